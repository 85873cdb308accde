package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestKeysAreJudged: each promise about keys and limits is seen to break in a history that
// breaks it, and not in one that keeps it.
func TestKeysAreJudged(t *testing.T) {
	began := time.Unix(100, 0)
	history := func(late time.Duration, requests int, workspace string, told bool) map[string]int {
		s := newSeen(2)
		s.versions = map[int64]time.Time{1: began, 2: began, 3: began.Add(time.Second), 4: began.Add(time.Minute)}
		state := standin.State{Service: plain, Runs: map[string]int{}}
		run := func(id, key, as string, at time.Time) {
			s.tried(try{id: id, route: "safe", key: key, sent: at, status: 200, whole: true, body: "POST /safe/x body"})
			state.Arrivals = append(state.Arrivals, standin.Arrival{ID: id, At: at.Add(time.Millisecond), Workspace: as, KeyTold: told})
			state.Runs[id] = 1
		}
		run("steady", steadyKey, workspace, began)
		run("rotating", rotatingKey(1), rotatingWorkspace, began.Add(time.Second+late))
		for i := range requests {
			run("limited-"+strconv.Itoa(i), limitedKey, limitedWorkspace, began.Add(time.Duration(i)*quotaWindow/time.Duration(requests)))
		}
		s.servers["s start 1"] = state
		got := map[string]int{}
		for _, b := range s.breaches() {
			got[b.Promise]++
		}
		return got
	}
	if got := history(revokeBound, int(quotaBound), steadyWorkspace, false); len(got) > 0 {
		t.Errorf("a history that keeps all promises: %v", got)
	}
	for promise, got := range map[string]map[string]int{
		"a key works no longer than the bound":       history(revokeBound+time.Millisecond, 1, steadyWorkspace, false),
		"a workspace stays within its limit":         history(0, int(quotaBound)+1, steadyWorkspace, false),
		"a request runs as the workspace of its key": history(0, 1, limitedWorkspace, false),
		"no server is told a key":                    history(0, 1, steadyWorkspace, true),
	} {
		if len(got) != 1 || got[promise] == 0 {
			t.Errorf("want %q alone, got %v", promise, got)
		}
	}
}
