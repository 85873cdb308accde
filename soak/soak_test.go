package soak

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestShortRun: the real programs, disturbed for a while by one seed, keep their
// promises and serve everything again. Connections are kept while the idle limit
// changes, and all instances are killed in a series while a service fails.
func TestShortRun(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(root) // the programs are built from the repository's root
	result, err := Run(t.Context(), Params{Seed: 6, For: 12 * time.Second, Entries: 2, Engines: 3, Plain: 4, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if result.Answered == 0 || len(result.Faults) == 0 {
		t.Errorf("%d answered, %d faults: nothing was tried", result.Answered, len(result.Faults))
	}
	if result.KeptClear == 0 || result.Repeats == 0 {
		t.Errorf("%d requests on kept connections of undisturbed instances, %d repeated sends: nothing was put to the test", result.KeptClear, result.Repeats)
	}
	for _, b := range result.Breaches {
		t.Errorf("%s: %s", b.Promise, b.Detail)
	}
	if t.Failed() {
		t.Log(result.Faults, result.Budget)
	}
}

// TestRunsDoNotShareAddresses: a second run on the same addresses would mix up the
// histories of both; it takes others, and is refused where there are none.
func TestRunsDoNotShareAddresses(t *testing.T) {
	const taken = 17
	other, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.254:7000", taken))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	second := run{params: Params{Seed: subnets + taken}}
	if _, err := second.claim(1); err == nil || !strings.Contains(err.Error(), "other runs use") {
		t.Errorf("%v, want a refusal", err)
	}
	alone, err := second.claim(subnets)
	if err != nil {
		t.Fatal(err)
	}
	defer alone.Close()
	if second.subnet == taken || alone.Addr().String() == other.Addr().String() {
		t.Errorf("the second run has the addresses 127.1.%d.x of the first", second.subnet)
	}
}

// TestHistoryIsJudged: each promise that the soak checks is seen to break in a
// history that breaks it.
func TestHistoryIsJudged(t *testing.T) {
	s := newSeen(2)
	s.tried(try{id: "twice", route: "unsafe", status: 502})
	s.tried(try{id: "refused", route: "safe", status: 503})
	s.tried(try{id: "others", route: "safe", status: 200, whole: true, body: "another's"})
	s.tried(try{id: "short", route: "once", model: "m1", status: 200, whole: true, body: "id: 1\ndata: m1\n\n"})
	s.tried(try{id: "cut", route: "once", model: "m1", status: 200, body: "id: 1\ndata: m1\n\n"})
	s.tried(try{id: "late", route: "safe", status: 200, whole: true, body: "POST /safe/x body", undisturbed: true, took: time.Minute})
	s.tried(try{id: "run and cut", route: "keep", kept: true, clear: true, sent: time.Unix(1, 0)})
	s.tried(try{id: "read and cut", route: "keep", kept: true, clear: true, sent: time.Unix(1, 0), took: crossing})
	s.tried(try{id: "answer cut", route: "once", model: "m1", status: 200, kept: true, clear: true, sent: time.Unix(1, 0)})
	s.servers["e start 1"] = ran(map[string]int{"twice": 1, "refused": 1, "nobody's": 1, "run and cut": 1, "answer cut": 1})
	s.servers["e start 2"] = ran(map[string]int{"twice": 1})
	s.servers["e start 3"] = standin.State{Forgotten: 1}
	s.servers["f start 1"] = standin.State{Service: side, Arrivals: repeated("refused", budgetExtra(2)+2)}
	want := map[string]int{
		"a non-idempotent request runs at most once": 1, "a refusal that says not run is true": 1, "only what a client sent runs": 1,
		"each client gets the whole answer to its own request": 2, "each request is answered or refused in its time": 1,
		"a request on a kept connection is answered or refused": 3, "repeated sends stay within the shared budget": 1,
		"the history is whole": 1,
	}
	got := map[string]int{}
	for _, b := range s.breaches() {
		got[b.Promise]++
	}
	for promise, n := range want {
		if got[promise] != n {
			t.Errorf("%s: %d breaches found, want %d", promise, got[promise], n)
		}
	}
}

// ran is what a server has seen that ran so much.
func ran(runs map[string]int) standin.State { return standin.State{Runs: runs} }

// repeated are n arrivals of one attempt, a millisecond apart.
func repeated(id string, n int) []standin.Arrival {
	var list []standin.Arrival
	for i := range n {
		list = append(list, standin.Arrival{ID: id, Workspace: steadyWorkspace, At: time.Unix(100, 0).Add(time.Duration(i) * time.Millisecond)})
	}
	return list
}

// TestLegalCrossingsAreNoBreach: what may end a kept connection without an answer.
func TestLegalCrossingsAreNoBreach(t *testing.T) {
	whole := try{route: "keep", kept: true, clear: true, sent: time.Unix(1, 0)}
	for name, change := range map[string]func(*try) (runs int){
		"a close crossed the request":         func(t *try) int { t.took = time.Millisecond; return 0 },
		"nothing could be sent":               func(t *try) int { t.sent = time.Time{}; return 0 },
		"the connection was new":              func(t *try) int { t.kept = false; return 1 },
		"the instance or a way was disturbed": func(t *try) int { t.clear = false; return 1 },
		"it was answered":                     func(t *try) int { t.status, t.whole = 200, true; return 1 },
		"it was refused":                      func(t *try) int { t.status, t.whole = 503, true; return 0 },
		"its time was over amid the answer":   func(t *try) int { t.status, t.took = 200, shortestTimeout; return 1 },
	} {
		one := whole
		if found := one.lostBreaches(change(&one)); len(found) != 0 {
			t.Errorf("%s: %v", name, found)
		}
	}
}

// TestBudgetBound: the bound counts requests as clients sent them, those of the window
// before too, and no more than one window's repeated sends.
func TestBudgetBound(t *testing.T) {
	begin := time.Unix(100, 0)
	within := budgetExtra(2) + 5
	for name, c := range map[string]struct {
		sent    time.Time
		repeats int
		broken  bool
	}{
		"requests in the window":          {begin, within, false},
		"requests in the window before":   {begin.Add(-budgetWindow / 2), within, false},
		"one too many":                    {begin, within + 1, true},
		"requests two windows before":     {begin.Add(-2 * budgetWindow), within, true},
		"requests were made but not sent": {time.Time{}, within, true},
	} {
		s := newSeen(2)
		for i := range 100 {
			s.tried(try{id: strconv.Itoa(i), route: "keep", sent: c.sent, status: 200, whole: true, body: "POST /keep/x body"})
		}
		s.servers["f start 1"] = standin.State{Service: side, Runs: map[string]int{"1": 1}, Arrivals: repeated("1", c.repeats+1)}
		if found := s.breaches(); (len(found) > 0) != c.broken {
			t.Errorf("%s: %v, broken %v expected", name, found, c.broken)
		}
	}
}
