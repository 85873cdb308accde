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

// maxPending bounds the pending ends of a record: as many as the ends that it remembers of runs alone.
const maxPending = maxAlone

// PendingEnd is the end of a life under a run alone of which another suspect may be the cause.
type PendingEnd struct {
	Life Life
	// Age is how long ago the life ended.
	Age time.Duration
}

// pendingEnd is a PendingEnd as a ledger remembers it. An end is older than anybody's word of it, so that of
// two times the earlier one counts.
type pendingEnd struct {
	life Life
	at   time.Time
}

// postpone needs mu. It reports whether an end under a run alone does not count as such yet:
// another suspect was there at ends that count against the request.
func (l *Ledger) postpone(b Break) bool {
	known := l.records[b.Fingerprint]
	return known != nil && l.rivalled(known)
}

// takePending needs mu. It takes over pending ends, and reports whether one was news. Those that do not count any more
// are left out, or ledgers would tell each other of them for ever.
func (l *Ledger) takePending(r *record, pending []PendingEnd, now time.Time) (changed bool) {
	for _, end := range pending {
		if end.Age >= settleAfter && l.contested(r.Fingerprint, end.Life) {
			continue
		}
		changed = r.addPending(pendingEnd{life: end.Life, at: now.Add(-end.Age)}) || changed
	}
	return changed
}

// addPending notes a pending end, and reports whether it was news.
func (r *record) addPending(end pendingEnd) bool {
	i := slices.IndexFunc(r.pending, func(known pendingEnd) bool { return known.life == end.life })
	switch {
	case i >= 0:
		if end.at.Before(r.pending[i].at) {
			r.pending[i].at = end.at
		}
		return false
	case len(r.pending) >= maxPending, slices.Contains(r.Alone, end.life), slices.Contains(r.Cleared, end.life):
		return false
	}
	r.pending = append(r.pending, end)
	slices.SortFunc(r.pending, func(a, b pendingEnd) int { return compareLives(a.life, b.life) })
	return true
}

// dropPending forgets pending ends that were decided: of lives that count, or that do not count any more.
func (r *record) dropPending() {
	r.pending = slices.DeleteFunc(r.pending, func(end pendingEnd) bool {
		return slices.Contains(r.Alone, end.life) || slices.Contains(r.Cleared, end.life)
	})
}

// toldPending returns the pending ends for others.
func (r *record) toldPending(now time.Time) []PendingEnd {
	var told []PendingEnd
	for _, end := range r.pending {
		told = append(told, PendingEnd{Life: end.life, Age: max(0, now.Sub(end.at))})
	}
	return told
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

// Unsettled reports whether an end under a run alone of the request is pending. It must not run meanwhile.
func (l *Ledger) Unsettled(fp serving.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	return r != nil && len(r.pending) > 0
}

// Settle decides pending ends that are old enough: they count as ends under runs alone, unless another suspect was
// there. It returns the requests that were raised by that, and those of which an end does not count.
func (l *Ledger) Settle(now time.Time) (raised []Raise, dropped []serving.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fp, r := range l.records {
		for _, end := range slices.Clone(r.pending) {
			switch {
			case now.Sub(end.at) < settleAfter:
			case l.contested(fp, end.life):
				r.pending = slices.DeleteFunc(r.pending, func(p pendingEnd) bool { return p.life == end.life })
				l.touch(r)
				dropped = append(dropped, fp)
			default:
				raised = append(raised, l.merge(Record{Fingerprint: fp, Crashes: []Life{end.life}, Alone: []Life{end.life}}, now)...)
			}
		}
	}
	return raised, dropped
}
