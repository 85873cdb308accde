package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

// restarts is a fleet of one instance that is killed again and again, before a store that lasts.
type restarts struct {
	ledger *Ledger
	stored map[serving.Fingerprint]Record
	// written is when the stored records were written.
	written time.Time
}

// restart has the instance start anew, with what the store has.
func (r *restarts) restart(now time.Time) {
	r.ledger = NewLedger()
	for _, record := range r.stored {
		record.Age += now.Sub(r.written)
		pending := record.Pending
		record.Pending = nil
		for _, end := range pending {
			end.Age += now.Sub(r.written)
			record.Pending = append(record.Pending, end)
		}
		r.ledger.Take([]Record{record}, now)
	}
}

// write has the store know what the instance does.
func (r *restarts) write(now time.Time, fps ...serving.Fingerprint) {
	r.written = now
	for _, fp := range fps {
		if record, known := r.ledger.Record(fp, now); known {
			r.stored[fp] = record
		}
	}
}

// TestEndsUnderKills: kills of all instances at any moment cost an end of a server only where they
// come between an end under a run alone and its write to the store. Guards against ends under one
// request that grow with the number of kills.
func TestEndsUnderKills(t *testing.T) {
	const (
		step      = 100 * time.Millisecond
		together  = 4 // servers that end before anybody knows
		requested = 120
	)
	rapid.Check(t, func(t *rapid.T) {
		now := start
		r := &restarts{ledger: NewLedger(), stored: map[serving.Fingerprint]Record{}}
		fps := []serving.Fingerprint{"culprit", "beside"}
		ends := 0
		for ; ends < together; ends++ {
			for _, fp := range fps {
				r.ledger.Ended(BrokenAttempt{Fingerprint: fp, Server: server(ends)}, now)
			}
		}
		r.write(now, fps...)
		lost := 0
		for range requested {
			now = now.Add(step)
			if rapid.IntRange(0, 7).Draw(t, "kill") == 0 {
				r.restart(now)
			}
			if rapid.Bool().Draw(t, "sweep") {
				r.ledger.DecidePending(now)
				r.write(now, fps...)
			}
			if r.ledger.State("culprit") != Suspect || r.ledger.HasPending("culprit") {
				continue
			}
			r.ledger.Ended(BrokenAttempt{Fingerprint: "culprit", Server: server(ends), Alone: true}, now)
			ends++
			if rapid.IntRange(0, 4).Draw(t, "killed before the write") == 0 {
				r.restart(now)
				lost++
				continue
			}
			r.write(now, fps...)
		}
		if most := together + 1 + lost; ends > most {
			t.Errorf("%d servers ended, want at most %d: %d kills came before a write", ends, most, lost)
		}
		if got := r.ledger.State("beside"); got == Quarantined {
			t.Errorf("the request beside it is %s", got)
		}
	})
}

// TestPendingEndsAgree: a pending end that does not count any more is not taken up again from who
// has not decided it yet; the word of one that is younger than known does not put it off.
func TestPendingEndsAgree(t *testing.T) {
	a, b := NewLedger(), NewLedger()
	for n := range 3 {
		for _, fp := range []serving.Fingerprint{"beside", "culprit"} {
			a.Ended(BrokenAttempt{Fingerprint: fp, Server: server(n)}, start)
		}
	}
	a.Ended(BrokenAttempt{Fingerprint: "beside", Server: server(3), Alone: true}, start)
	share := func(from, to *Ledger, now time.Time) {
		records, _ := from.Since(0, now)
		to.Take(records, now)
	}
	share(a, b, start.Add(time.Second)) // on its way for a second
	share(b, a, start.Add(time.Second))
	a.Ended(BrokenAttempt{Fingerprint: "culprit", Server: server(3)}, start)
	if _, dropped := a.DecidePending(start.Add(confirmationDelay)); len(dropped) != 1 {
		t.Fatalf("dropped %v: the end was put off, or counts", dropped)
	}
	share(a, b, start.Add(confirmationDelay))
	share(b, a, start.Add(confirmationDelay+time.Second))
	if a.HasPending("beside") {
		t.Error("taken up again after it was decided")
	}
	b.DecidePending(start.Add(confirmationDelay + time.Second))
	if a.State("beside") != Suspect || b.State("beside") != Suspect || b.HasPending("beside") {
		t.Errorf("%s and %s, want suspect", a.State("beside"), b.State("beside"))
	}
	if a.digest != b.digest {
		t.Error("what they know differs")
	}
}
