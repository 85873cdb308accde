package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestKeyAndLimitChecksFindViolations: a check of keys or limits that misses a violation, or reports one in a correct
// history, would make soak results meaningless. Each violation must be found, and found alone.
func TestKeyAndLimitChecksFindViolations(t *testing.T) {
	began := time.Unix(100, 0)
	history := func(late time.Duration, requests int, workspace string, keyPassed bool) map[string]int {
		s := newHistory(2)
		s.acknowledged = map[int64]time.Time{1: began, 2: began, 3: began.Add(time.Second), 4: began.Add(time.Minute)}
		state := standin.State{Service: mainService, Runs: map[string]int{}}
		run := func(id, key, runAs string, sentAt time.Time) {
			s.addRequest(clientRequest{id: id, route: "safe", key: key, sentAt: sentAt, status: 200, complete: true, body: "POST /safe/x body"})
			state.Arrivals = append(state.Arrivals, standin.Arrival{ID: id, At: sentAt.Add(time.Millisecond), Workspace: runAs, KeyTold: keyPassed})
			state.Runs[id] = 1
		}
		run("steady", steadyKey, workspace, began)
		run("rotating", rotatingKey(1), rotatingWorkspace, began.Add(time.Second+late))
		for i := range requests {
			run("limited-"+strconv.Itoa(i), limitedKey, limitedWorkspace, began.Add(time.Duration(i)*quotaWindow/time.Duration(requests)))
		}
		s.servers["s start 1"] = state
		got := map[string]int{}
		for _, b := range s.violations() {
			got[b.Guarantee]++
		}
		return got
	}
	if got := history(revokeBound, int(quotaBound), steadyWorkspace, false); len(got) > 0 {
		t.Errorf("correct history: got violations %v, want none", got)
	}
	for guarantee, got := range map[string]map[string]int{
		"a key works no longer than the bound":       history(revokeBound+time.Millisecond, 1, steadyWorkspace, false),
		"a workspace stays within its limit":         history(0, int(quotaBound)+1, steadyWorkspace, false),
		"a request runs as the workspace of its key": history(0, 1, limitedWorkspace, false),
		"no server is told a key":                    history(0, 1, steadyWorkspace, true),
	} {
		if len(got) != 1 || got[guarantee] == 0 {
			t.Errorf("want only a violation of %q, got %v", guarantee, got)
		}
	}
}
