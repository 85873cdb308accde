package forward

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/command/continuation"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// fakeMemory returns a fixed state of runs, and records the backups that are freed.
type fakeMemory struct {
	state serving.RunState
	// onCheck is called with each check; nil for nothing.
	onCheck func()

	mu    sync.Mutex
	freed []string // guarded by mu
}

func (m *fakeMemory) RunState(context.Context, serving.Server, string) serving.RunState {
	if m.onCheck != nil {
		m.onCheck()
	}
	return m.state
}

func (m *fakeMemory) FreeBackup(_ context.Context, s serving.Server, _ string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freed = append(m.freed, s.ID)
	return nil
}

// newBackupFixture returns a fixture whose engines e1 and e2 keep backups.
func newBackupFixture(t *testing.T, memory *fakeMemory, replies ...reply) *fixture {
	f := newFixture(t, replies...)
	spec := f.dir.Config().Services["llm"].Engine
	spec.Backups, spec.BackupTTL = true, 5*time.Second
	for _, id := range []string{"e1", "e2"} {
		f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 2, Models: map[string][]string{"warm": nil}}, time.Now())
	}
	f.forwarder.backups = newBackups(Dependencies{Memory: memory, Counts: &Counts{set: metrics.NewSet()}})
	return f
}

// brokenStream breaks off within its third event, and restOfStream is what its backup engine sends.
var (
	brokenStream = reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", broken: true}
	restOfStream = reply{status: 200, events: true, body: "id: 3\ndata: c\n\n"}
	noBackup     = reply{status: 503, body: "none"}
)

// TestContinuation: whether a stream that must not be repeated goes on at its backup engine, and what
// the client gets. It never gets an event twice, nor another status than that of a run.
func TestContinuation(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := map[string]struct {
		state   serving.RunState
		replies []reply
		sends   int
		body    string
		whole   bool
		freed   int
	}{
		"engine gone":                   {serving.RunGone, []reply{brokenStream, restOfStream}, 2, threeEvents, true, 0},
		"repeats an event":              {serving.RunGone, []reply{brokenStream, {status: 200, events: true, body: threeEvents}}, 2, threeEvents, true, 0},
		"engine unreachable":            {serving.RunUnknown, []reply{brokenStream, restOfStream}, 2, threeEvents, true, 0},
		"engine works on":               {serving.RunActive, []reply{brokenStream, restOfStream}, 1, begun, false, 1},
		"not listed any more":           {serving.RunNotListed, []reply{brokenStream, restOfStream}, 2, threeEvents, true, 0},
		"backup refused":                {serving.RunGone, []reply{brokenStream, noBackup, restOfStream}, 2, begun, false, 1},
		"backup engine says not run":    {serving.RunGone, []reply{brokenStream, {status: 503, notExecuted: true}, restOfStream}, 2, begun, false, 1},
		"backup engine not reached":     {serving.RunGone, []reply{brokenStream, {failure: notSent}, restOfStream}, 2, begun, false, 1},
		"second loss, no third engine":  {serving.RunGone, []reply{brokenStream, {status: 200, events: true, broken: true}, restOfStream}, 2, begun, false, 1},
		"lost before the first event":   {serving.RunGone, []reply{{failure: mayHaveRun}, {status: 200, events: true, body: threeEvents}}, 2, threeEvents, true, 0},
		"then refused":                  {serving.RunGone, []reply{{failure: mayHaveRun}, noBackup, restOfStream}, 2, "", false, 1},
		"not listed before first event": {serving.RunNotListed, []reply{{failure: mayHaveRun}, restOfStream}, 1, "", false, 1},
		"not run at first":              {serving.RunGone, []reply{{failure: notSent}, {status: 200, events: true, body: threeEvents}}, 2, threeEvents, true, 0},
		"failed answer cut":             {serving.RunGone, []reply{{status: 500, body: "x", broken: true}, restOfStream}, 1, "", false, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := &fakeMemory{state: test.state}
				f := newBackupFixture(t, memory, test.replies...)
				w, failure := f.serve("once", "warm", 0)
				synctest.Wait()
				if whole := failure == nil; whole != test.whole || w.Body.String() != test.body {
					t.Errorf("client got %q, %v", w.Body.String(), failure)
				}
				if failure != nil && failure.Verdict == verdict.NotRun {
					t.Errorf("%v, want that it may have run", failure)
				}
				if n := len(f.servers.attempts); n != test.sends {
					t.Errorf("%d sends, want %d", n, test.sends)
				}
				if len(memory.freed) != test.freed {
					t.Errorf("freed at %v, want %d", memory.freed, test.freed)
				}
				if n := f.forwarder.backups.ledger.InUse(); n != 0 {
					t.Errorf("%d backups still counted", n)
				}
				checkContinuations(t, f.servers.attempts, test.replies)
			})
		})
	}
}

// checkContinuations checks that a request is sent again only to the engine that keeps its backup, to
// go on from there, unless it has not run before.
func checkContinuations(t *testing.T, attempts []serving.Attempt, replies []reply) {
	t.Helper()
	for i, a := range attempts[1:] {
		if replies[i].failure == notSent {
			continue
		}
		if !a.ContinueFromBackup || a.Server.Address != attempts[i].Backup {
			t.Errorf("send %d to %s, from backup %v; its backup is at %q", i+2, a.Server.ID, a.ContinueFromBackup, attempts[i].Backup)
		}
	}
}

// TestContinuationOfEndedEngine guards against a stream that goes on while its engine, which counts as ended, works on it.
func TestContinuationOfEndedEngine(t *testing.T) {
	for name, test := range map[string]struct {
		state serving.RunState
		sends int
		wait  time.Duration
	}{
		"works on":    {serving.RunActive, 1, 0},
		"stopped":     {serving.RunNotListed, 2, continuation.DefaultParams().MaxListAge},
		"gone":        {serving.RunGone, 2, 0},
		"unreachable": {serving.RunUnknown, 2, continuation.DefaultParams().UnreachableAfter},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBackupFixture(t, &fakeMemory{state: test.state}, brokenStream, restOfStream)
				var sent []time.Time
				f.servers.onSend = func(a serving.Attempt) {
					sent = append(sent, time.Now())
					if len(sent) == 1 {
						f.guard.crashed = map[string]bool{a.Server.ID: true}
					}
				}
				_, failure := f.serve("once", "warm", 0)
				synctest.Wait()
				if len(sent) != test.sends || (failure == nil) != (test.sends == 2) {
					t.Fatalf("%d sends, %v; want %d", len(sent), failure, test.sends)
				}
				if waited := sent[len(sent)-1].Sub(sent[0]); waited < test.wait {
					t.Errorf("went on after %s, want %s without an answer", waited, test.wait)
				}
			})
		})
	}
}

// TestContinuationTarget: a stream does not go on at an engine that leaves in the meantime, and has no
// backup if no other engine has its unit.
func TestContinuationTarget(t *testing.T) {
	memory := &fakeMemory{state: serving.RunGone}
	f := newBackupFixture(t, memory, brokenStream, restOfStream)
	memory.onCheck = func() {
		for _, id := range []string{"e1", "e2"} {
			f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Revision: 3, Draining: true}, time.Now())
		}
	}
	if _, failure := f.serve("once", "warm", 0); failure == nil || failure.Reason != verdict.ReasonBroken || len(f.servers.attempts) != 1 {
		t.Errorf("%v after %d sends to a leaving engine", failure, len(f.servers.attempts))
	}
	f = newBackupFixture(t, &fakeMemory{state: serving.RunGone}, brokenStream, restOfStream)
	f.dir.ApplyServer(serving.Server{ID: "e2", Service: "llm", Address: "e2:1", Revision: 3, Models: map[string][]string{"other": nil}}, time.Now())
	if _, failure := f.serve("once", "warm", 0); failure == nil || len(f.servers.attempts) != 1 || f.servers.attempts[0].Backup != "" {
		t.Errorf("%v, attempts %+v; want no backup", failure, f.servers.attempts)
	}
}

// TestContinuationWithoutBudget: a continuation is a repeated send, which the budget may deny.
func TestContinuationWithoutBudget(t *testing.T) {
	f := newBackupFixture(t, &fakeMemory{state: serving.RunGone}, brokenStream, restOfStream)
	f.forwarder.budget.SetParams(BudgetParams{Window: time.Minute}, time.Now())
	if _, failure := f.serve("once", "warm", 0); failure == nil || failure.Verdict == verdict.NotRun || len(f.servers.attempts) != 1 {
		t.Errorf("%v after %d sends", failure, len(f.servers.attempts))
	}
}

// TestOtherRequestsHaveNoBackup: streams that may be resumed, and engines that keep no backups, are
// served as without this package.
func TestOtherRequestsHaveNoBackup(t *testing.T) {
	f := newBackupFixture(t, &fakeMemory{}, reply{status: 200, events: true, body: threeEvents})
	f.serve("stream", "warm", 0)
	f.dir.Config().Services["llm"].Engine.Backups = false
	f.serve("once", "warm", 0)
	if slices.ContainsFunc(f.servers.attempts, func(a serving.Attempt) bool { return a.Backup != "" || a.ContinueFromBackup }) {
		t.Errorf("attempts %+v", f.servers.attempts)
	}
	var text strings.Builder
	f.forwarder.backups.set.WritePrometheus(&text)
	if strings.Contains(text.String(), "martenport_stream_backups_total") {
		t.Errorf("metrics %s", text.String())
	}
}

// TestContinuationGivenUp: a stream does not go on if its client leaves while the engine before is
// asked, and is counted as too late.
func TestContinuationGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &fakeMemory{state: serving.RunActive}
		f := newBackupFixture(t, memory, brokenStream, restOfStream)
		w := httptest.NewRecorder()
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(120*time.Millisecond, leave)
		r := &serving.Request{ID: "r1", Host: "h", Target: "/once/x", Unit: serving.Unit{Model: "warm"}, Arrived: time.Now()}
		failure := f.forwarder.Serve(ctx, r, w)
		time.Sleep(time.Second)
		synctest.Wait()
		if failure == nil || failure.Reason != verdict.ReasonCancelled || len(f.servers.attempts) != 1 || len(memory.freed) != 1 {
			t.Errorf("%v, %d sends, freed at %v", failure, len(f.servers.attempts), memory.freed)
		}
		var text strings.Builder
		f.forwarder.backups.set.WritePrometheus(&text)
		if !strings.Contains(text.String(), `martenport_continuations_total{outcome="too_late"} 1`) {
			t.Errorf("metrics %s", text.String())
		}
	})
}
