package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

// restartingInstance is a single instance that is killed repeatedly, with a store that survives.
type restartingInstance struct {
	ledger *Ledger
	// newLedger returns the ledger of an instance that starts at a time.
	newLedger func(now time.Time) *Ledger
	stored    map[serving.Fingerprint]Record
	// writtenAt is when the stored records were written.
	writtenAt time.Time
}

// restart replaces the ledger by a new one that has loaded the stored records.
func (r *restartingInstance) restart(now time.Time) {
	r.ledger = r.newLedger(now)
	for _, record := range r.stored {
		record.Age += now.Sub(r.writtenAt)
		pending := record.Pending
		record.Pending = nil
		for _, crash := range pending {
			crash.Age += now.Sub(r.writtenAt)
			record.Pending = append(record.Pending, crash)
		}
		r.ledger.Merge([]Record{record}, now)
	}
}

// write stores the ledger's records of the given requests.
func (r *restartingInstance) write(now time.Time, fps ...serving.Fingerprint) {
	r.writtenAt = now
	for _, fp := range fps {
		if record, known := r.ledger.Record(fp, now); known {
			r.stored[fp] = record
		}
	}
}

// TestCrashesBoundedUnderKills guards against a number of crashes under one request that grows with the
// number of times the instances are killed. A kill may cost an additional crash only if it comes
// between a crash during an isolated run and the write of that crash to the store.
func TestCrashesBoundedUnderKills(t *testing.T) {
	checkCrashesBounded(t, func(time.Time) *Ledger { return NewLedger() }, 1)
}

// TestCrashesBoundedUnderKillsOfNewInstances guards against the same where what else was running at a crash may be forgotten:
// then two isolated runs decide.
func TestCrashesBoundedUnderKillsOfNewInstances(t *testing.T) {
	checkCrashesBounded(t, NewLedgerOfInstance, 2)
}

// checkCrashesBounded checks that a request crashes no more servers than it does together with another one, in the given number of
// isolated runs, and in those whose crash was not written.
func checkCrashesBounded(t *testing.T, newLedger func(now time.Time) *Ledger, isolatedRuns int) {
	const (
		step     = 100 * time.Millisecond
		together = 4 // servers that crash before any crash is detected
		steps    = 120
	)
	rapid.Check(t, func(t *rapid.T) {
		now := start
		r := &restartingInstance{ledger: newLedger(now), newLedger: newLedger, stored: map[serving.Fingerprint]Record{}}
		fps := []serving.Fingerprint{"culprit", "beside"}
		crashes := 0
		for ; crashes < together; crashes++ {
			for _, fp := range fps {
				r.ledger.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(crashes)}, now)
			}
		}
		r.write(now, fps...)
		lost := 0
		for range steps {
			now = now.Add(step)
			if rapid.IntRange(0, 7).Draw(t, "kill") == 0 {
				r.restart(now)
			}
			if rapid.Bool().Draw(t, "sweep") {
				r.ledger.DecidePending(now)
				r.write(now, fps...)
			}
			if r.ledger.State("culprit") != Suspect || r.ledger.HasPending(Identity{Fingerprint: "culprit"}) {
				continue
			}
			r.ledger.RecordCrash(BrokenAttempt{Fingerprint: "culprit", Server: server(crashes), Isolated: true}, now)
			crashes++
			if rapid.IntRange(0, 4).Draw(t, "killed before the write") == 0 {
				r.restart(now)
				lost++
				continue
			}
			r.write(now, fps...)
		}
		if limit := together + isolatedRuns + lost; crashes > limit {
			t.Errorf("%d servers crashed, want at most %d: %d kills preceded a write", crashes, limit, lost)
		}
		if got := r.ledger.State("beside"); got == Quarantined {
			t.Errorf("the request on the same servers is %s", got)
		}
	})
}

// TestPendingCrashesConverge guards against a pending crash that no longer counts being merged again
// from a ledger that has not decided it yet, and against a delayed report of a crash postponing its
// decision.
func TestPendingCrashesConverge(t *testing.T) {
	a, b := NewLedger(), NewLedger()
	for n := range 3 {
		for _, fp := range []serving.Fingerprint{"beside", "culprit"} {
			a.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(n)}, start)
		}
	}
	a.RecordCrash(BrokenAttempt{Fingerprint: "beside", Server: server(3), Isolated: true}, start)
	send := func(from, to *Ledger, now time.Time) {
		records, _ := from.Since(0, now)
		to.Merge(records, now)
	}
	send(a, b, start.Add(time.Second)) // in transit for one second
	send(b, a, start.Add(time.Second))
	a.RecordCrash(BrokenAttempt{Fingerprint: "culprit", Server: server(3)}, start)
	if _, dropped, _ := a.DecidePending(start.Add(confirmationDelay)); len(dropped) != 1 {
		t.Fatalf("dropped %v, want one request: the decision was postponed, or the crash counts", dropped)
	}
	send(a, b, start.Add(confirmationDelay))
	send(b, a, start.Add(confirmationDelay+time.Second))
	if a.HasPending(Identity{Fingerprint: "beside"}) {
		t.Error("the crash is pending again after it was decided")
	}
	b.DecidePending(start.Add(confirmationDelay + time.Second))
	if a.State("beside") != Suspect || b.State("beside") != Suspect || b.HasPending(Identity{Fingerprint: "beside"}) {
		t.Errorf("%s and %s, want suspect", a.State("beside"), b.State("beside"))
	}
	if a.digest != b.digest {
		t.Error("the digests differ")
	}
}
