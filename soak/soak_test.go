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

// TestShortRun: the real programs keep their guarantees and recover under the faults of one seed. Among these are a
// changing idle timeout while connections are reused, and repeated kills of all instances while a service fails.
func TestShortRun(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(root) // the programs are built from the repository's root
	result, err := Run(t.Context(), Params{Seed: 6, FaultDuration: 12 * time.Second, Entries: 2, Engines: 3, PlainServers: 4, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if result.Answered == 0 || len(result.Faults) == 0 {
		t.Errorf("%d requests answered and %d faults injected, want at least one of each", result.Answered, len(result.Faults))
	}
	if result.UndisturbedReused == 0 || result.RepeatedSends == 0 {
		t.Errorf("%d undisturbed requests on reused connections and %d repeated sends, want at least one of each", result.UndisturbedReused, result.RepeatedSends)
	}
	for _, b := range result.Violations {
		t.Errorf("%s: %s", b.Guarantee, b.Detail)
	}
	if t.Failed() {
		t.Log(result.Faults, result.Budget)
	}
}

// TestRunsDoNotShareAddresses: concurrent runs on the same addresses would mix up their histories. A second run
// must take another address range, and must be refused if none is free.
func TestRunsDoNotShareAddresses(t *testing.T) {
	const taken = 17
	other, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.254:7000", taken))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	second := run{params: Params{Seed: subnets + taken}}
	if _, err := second.claimSubnet(1); err == nil || !strings.Contains(err.Error(), "other runs use") {
		t.Errorf("claimSubnet of a range in use: got error %v, want one that says so", err)
	}
	subnetClaim, err := second.claimSubnet(subnets)
	if err != nil {
		t.Fatal(err)
	}
	defer subnetClaim.Close()
	if second.subnet == taken || subnetClaim.Addr().String() == other.Addr().String() {
		t.Errorf("the second run got the address range 127.1.%d.x of the first", second.subnet)
	}
}

// TestChecksFindViolations: a check that misses a violation would let faults pass unnoticed. Each guarantee must be
// reported as violated for a history that contradicts it.
func TestChecksFindViolations(t *testing.T) {
	s := newHistory(2)
	s.addRequest(clientRequest{id: "twice", route: "unsafe", status: 502})
	s.addRequest(clientRequest{id: "refused", route: "safe", status: 503})
	s.addRequest(clientRequest{id: "others", route: "safe", status: 200, complete: true, body: "another's"})
	s.addRequest(clientRequest{id: "short", route: "once", model: "m1", status: 200, complete: true, body: "id: 1\ndata: m1\n\n"})
	s.addRequest(clientRequest{id: "cut", route: "once", model: "m1", status: 200, body: "id: 1\ndata: m1\n\n"})
	s.addRequest(clientRequest{id: "late", route: "safe", status: 200, complete: true, body: "POST /safe/x body", entryRunning: true, duration: time.Minute})
	s.addRequest(clientRequest{id: "run and cut", route: "keep", reusedConn: true, undisturbed: true, sentAt: time.Unix(1, 0)})
	s.addRequest(clientRequest{id: "read and cut", route: "keep", reusedConn: true, undisturbed: true, sentAt: time.Unix(1, 0), duration: closeRaceTime})
	s.addRequest(clientRequest{id: "answer cut", route: "once", model: "m1", status: 200, reusedConn: true, undisturbed: true, sentAt: time.Unix(1, 0)})
	s.addRequest(clientRequest{id: "patient", route: patientRoute, model: "m1", status: 503})
	s.addRequest(clientRequest{id: "patient, told", route: patientRoute, model: "m1", status: 503, retryAfter: "2"})
	s.addRequest(clientRequest{id: "two versions", route: "stream", model: "m1", status: 200, versions: []string{"v1", "v2"}})
	joined := clientRequest{id: "joined", route: "stream", model: "m1", status: 200, complete: true, lastEvent: 3, resumes: "begun"}
	joined.parts, joined.body = []string{"id: 1\ndata: m1\n\nid: 2\ndata: m1\n\n"}, joined.expectedBody()
	s.addRequest(joined)
	s.servers["e start 1"] = stateWithRuns(map[string]int{"twice": 1, "refused": 1, "nobody's": 1, "run and cut": 1, "answer cut": 1})
	s.servers["e start 2"] = stateWithRuns(map[string]int{"twice": 1})
	s.servers["e start 3"] = standin.State{Forgotten: 1}
	s.servers["f start 1"] = standin.State{Service: sideService, Arrivals: repeatedArrivals("refused", budgetExtra(2)+2)}
	want := map[string]int{
		"a non-idempotent request runs at most once": 1, "a refusal that says not run is true": 1, "only what a client sent runs": 1,
		"each client gets the whole answer to its own request": 2, "each request is answered or refused in its time": 1,
		"a request on a kept connection is answered or refused": 3, "repeated sends stay within the shared budget": 1,
		"the history is whole": 1, "a refused request is told when to return": 1,
		"a stream keeps to one software version": 1, "the parts of a stream that is taken up are one stream": 1,
	}
	got := map[string]int{}
	for _, b := range s.violations() {
		got[b.Guarantee]++
	}
	for guarantee, n := range want {
		if got[guarantee] != n {
			t.Errorf("%s: got %d violations, want %d", guarantee, got[guarantee], n)
		}
	}
}

// stateWithRuns returns the state of a server with the given runs.
func stateWithRuns(runs map[string]int) standin.State { return standin.State{Runs: runs} }

// repeatedArrivals returns n arrivals of one request, a millisecond apart.
func repeatedArrivals(id string, n int) []standin.Arrival {
	var list []standin.Arrival
	for i := range n {
		list = append(list, standin.Arrival{ID: id, Workspace: steadyWorkspace, At: time.Unix(100, 0).Add(time.Duration(i) * time.Millisecond)})
	}
	return list
}

// TestPermittedConnectionEndsAreNoViolation: a reused connection may end without an answer in these cases, so
// reporting a violation would make the soak fail for no reason.
func TestPermittedConnectionEndsAreNoViolation(t *testing.T) {
	base := clientRequest{route: "keep", reusedConn: true, undisturbed: true, sentAt: time.Unix(1, 0)}
	for name, change := range map[string]func(*clientRequest) (runs int){
		"a close crossed the request":         func(t *clientRequest) int { t.duration = time.Millisecond; return 0 },
		"nothing could be sent":               func(t *clientRequest) int { t.sentAt = time.Time{}; return 0 },
		"the connection was new":              func(t *clientRequest) int { t.reusedConn = false; return 1 },
		"the instance or a way was disturbed": func(t *clientRequest) int { t.undisturbed = false; return 1 },
		"it was answered":                     func(t *clientRequest) int { t.status, t.complete = 200, true; return 1 },
		"it was refused":                      func(t *clientRequest) int { t.status, t.complete = 503, true; return 0 },
		"its time was over amid the answer":   func(t *clientRequest) int { t.status, t.duration = 200, shortestTimeout; return 1 },
	} {
		req := base
		if found := req.lostAnswerViolations(change(&req)); len(found) != 0 {
			t.Errorf("%s: got violations %v, want none", name, found)
		}
	}
}

// TestBudgetBound: the bound must count requests at the time at which clients sent them, those of the preceding
// window included, and must not allow the repeated sends of more than one window.
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
		s := newHistory(2)
		for i := range 100 {
			s.addRequest(clientRequest{id: strconv.Itoa(i), route: "keep", sentAt: c.sent, status: 200, complete: true, body: "POST /keep/x body"})
		}
		s.servers["f start 1"] = standin.State{Service: sideService, Runs: map[string]int{"1": 1}, Arrivals: repeatedArrivals("1", c.repeats+1)}
		if found := s.violations(); (len(found) > 0) != c.broken {
			t.Errorf("%s: got violations %v, want any: %v", name, found, c.broken)
		}
	}
}

// TestTakeUpBound: streams that are taken up have to go on half as often as streams begin, once there are enough.
func TestTakeUpBound(t *testing.T) {
	for name, c := range map[string]struct {
		counts *takeUps
		broken bool
	}{
		"all go on":                  {&takeUps{beginnings: 100, begun: 90, takenUp: 20, wentOn: 20}, false},
		"half as often":              {&takeUps{beginnings: 100, begun: 100, takenUp: 20, wentOn: 10}, false},
		"less":                       {&takeUps{beginnings: 100, begun: 100, takenUp: 20, wentOn: 9}, true},
		"as seldom as streams begin": {&takeUps{beginnings: 100, begun: 10, takenUp: 20, wentOn: 1}, false},
		"few":                        {&takeUps{beginnings: 100, begun: 100, takenUp: minTakeUps - 1}, false},
	} {
		if found := c.counts.violations(); (len(found) > 0) != c.broken {
			t.Errorf("%s: got violations %v, want any: %v", name, found, c.broken)
		}
	}
}

// TestVersionsOfEvents: the versions in events are found, and what is left is what clients expect.
func TestVersionsOfEvents(t *testing.T) {
	plain, versions := splitVersions("id: 1\ndata: m1 v1\n\nid: 2\ndata: m1 v2\n\n")
	if plain != "id: 1\ndata: m1\n\nid: 2\ndata: m1\n\n" || len(versions) != 2 {
		t.Errorf("%q, versions %v", plain, versions)
	}
}
