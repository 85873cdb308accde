package quarantine

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// A run alone is alone among suspects. Another request may have been sent to the same server
// before it became one, and begin there only now; at first the end of the server is known of
// the run alone only, since each instance hears of the others' at their next reports. So where
// another suspect may be the cause of the ends, the end under a run alone is held back until
// that could be heard, and does not count as such if the other one was there. Without that,
// 473 requests that harm nobody were refused for good in one run of the soak.

// settleAfter is how long an end under a run alone is held back: two reports to the holder, a
// second apart at the most, and the time in which an instance notices that an answer broke off.
const settleAfter = 2500 * time.Millisecond

// unsettledEnd is an end under a run alone of which another suspect may be the cause.
type unsettledEnd struct {
	life Life
	at   time.Time
}

// postpone needs mu. It reports whether an end under a run alone does not count as such yet,
// and has it be settled later then.
func (l *Ledger) postpone(b Break, now time.Time) bool {
	life := LifeOf(b.Server)
	known := l.records[b.Fingerprint]
	if known == nil || !l.rivalled(known) {
		return false
	}
	l.unsettled[b.Fingerprint] = unsettledEnd{life: life, at: now}
	return true
}

// rivalled needs mu. It reports whether another suspect was there at an end that counts
// against the request.
func (l *Ledger) rivalled(r *record) bool {
	for _, other := range l.records {
		if other != r && other.State() == Suspect && slices.ContainsFunc(other.Crashes, func(life Life) bool { return slices.Contains(r.Crashes, life) }) {
			return true
		}
	}
	return false
}

// contested needs mu. It reports whether another request, a suspect by other ends, was under
// way at a life that ended under a run alone.
func (l *Ledger) contested(fp serving.Fingerprint, life Life) bool {
	for _, other := range l.records {
		if other.Fingerprint != fp && len(other.Crashes) > SuspectAfter && slices.Contains(other.Crashes, life) {
			return true
		}
	}
	return false
}

// Unsettled reports whether an end under a run alone of the request is held back.
func (l *Ledger) Unsettled(fp serving.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, held := l.unsettled[fp]
	return held
}

// Settle has ends under runs alone count that were held back for long enough, unless another
// suspect was there.
func (l *Ledger) Settle(now time.Time) []Raise {
	l.mu.Lock()
	defer l.mu.Unlock()
	var raised []Raise
	for fp, end := range l.unsettled {
		if now.Sub(end.at) < settleAfter {
			continue
		}
		delete(l.unsettled, fp)
		if !l.contested(fp, end.life) {
			raised = append(raised, l.merge(Record{Fingerprint: fp, Crashes: []Life{end.life}, Alone: []Life{end.life}}, now)...)
		}
	}
	return raised
}
