package quarantine

import (
	"testing"

	"github.com/martenport/martenport/serving"
)

// TestSimultaneousCrashes guards against quarantining a harmless request that many clients send because
// one culprit crashes many servers at the same time. No request is quarantined before it has run
// isolated: the harmless one is answered then, and the culprit crashes one more server. Found in the
// soak (seed 1011): 435 harmless requests were refused permanently.
func TestSimultaneousCrashes(t *testing.T) {
	for _, servers := range []int{3, maxCleared, 3 * maxCleared} {
		l, other := NewLedger(), NewLedger()
		for n := range servers {
			for _, fp := range []serving.Fingerprint{"beside", "culprit"} {
				l.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(n)}, start)
			}
		}
		if l.State("beside") != Suspect || l.State("culprit") != Suspect {
			t.Fatalf("%d servers: %s and %s before an isolated run, want suspect", servers, l.State("beside"), l.State("culprit"))
		}
		l.RecordAnswer("beside", start)
		if got := l.State("beside"); got != Clear {
			t.Errorf("%d servers: %s after its answer, want clear", servers, got)
		}
		escalations := l.RecordCrash(BrokenAttempt{Fingerprint: "culprit", Server: server(servers), Isolated: true}, start)
		if len(escalations) != 1 || escalations[0].NewState != Quarantined {
			t.Errorf("%d servers: escalations %v after a crash during an isolated run", servers, escalations)
		}
		records, _ := l.Since(0, start)
		other.Merge(records, start)
		if got := other.State("culprit"); got != Quarantined {
			t.Errorf("%d servers: %s in the ledger that received the records, want quarantined", servers, got)
		}
		l.Clear("culprit", start)
		if record, _ := l.Record("culprit", start); record.State() != Clear || len(record.Alone) > 0 {
			t.Errorf("%d servers: %+v after its release, want clear", servers, record)
		}
	}
}

// TestCulpritDuringIsolatedRun guards against blaming a harmless request for the crash of a server on
// which it ran isolated while the culprit started there as well. Three servers crash together under the
// culprit while the harmless request, which many clients send, runs on all of them. The harmless
// request then runs isolated on a fourth server, to which the culprit had been sent before any crash
// was detected and where it starts only now. Found in the soak (seed 1028): 473 harmless requests were
// refused permanently.
func TestCulpritDuringIsolatedRun(t *testing.T) {
	l := NewLedger()
	for n := range 3 {
		for _, fp := range []serving.Fingerprint{"beside", "culprit"} {
			l.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(n)}, start)
		}
	}
	l.RecordCrash(BrokenAttempt{Fingerprint: "beside", Server: server(3), Isolated: true}, start)
	l.RecordCrash(BrokenAttempt{Fingerprint: "culprit", Server: server(3)}, start)
	l.DecidePending(start.Add(confirmationDelay))
	if got := l.State("beside"); got != Suspect {
		t.Errorf("%s, want suspect", got)
	}
	if got := l.State("culprit"); got != Suspect {
		t.Errorf("the culprit is %s, want suspect", got)
	}
}

// TestPendingCrashSurvivesRestart guards against losing a crash during an isolated run if the instance
// that recorded it, and all that received the record, restart before the crash is decided. What the
// instance has sent must be enough for others to quarantine the request. Found in the soak (seed 2104):
// all instances were killed repeatedly, each time before the crash was decided, and eleven servers
// crashed under one request.
func TestPendingCrashSurvivesRestart(t *testing.T) {
	l, later := NewLedger(), NewLedger()
	for n, fps := range [][]serving.Fingerprint{{"culprit"}, {"culprit", "beside"}, {"beside"}} {
		for _, fp := range fps {
			l.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(n)}, start)
		}
	}
	l.RecordCrash(BrokenAttempt{Fingerprint: "culprit", Server: server(3), Isolated: true}, start)
	records, _ := l.Since(0, start)
	later.Merge(records, start)
	later.DecidePending(start.Add(confirmationDelay))
	if got := later.State("culprit"); got != Quarantined {
		t.Errorf("%s, want quarantined", got)
	}
}
