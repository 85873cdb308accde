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
// that could be heard, and does not count as such if the other one was there. Counting it at once
// would quarantine requests that only shared the server.

// confirmationDelay is how long an end under a run alone is held back: two reports to the holder, a
// second apart at the most, and the time in which an instance notices that an answer broke off.
const confirmationDelay = 2500 * time.Millisecond

// maxPending bounds the pending ends of a record: as many as the ends that it remembers of runs
// alone.
const maxPending = maxAlone

// PendingEnd is the end of an incarnation under a run alone of which another suspect may be the
// cause.
type PendingEnd struct {
	Incarnation Incarnation
	// Age is how long ago the incarnation ended.
	Age time.Duration
}

// pendingEnd is a PendingEnd as a ledger remembers it. An end is older than anybody's word of it, so
// that of two times the earlier one counts.
type pendingEnd struct {
	incarnation Incarnation
	at          time.Time
}

// awaitsConfirmation reports whether an end under a run alone does not count as such yet: another
// suspect was there at ends that count against the request. l.mu must be held.
func (l *Ledger) awaitsConfirmation(b BrokenAttempt) bool {
	known := l.records[b.Fingerprint]
	return known != nil && l.sharesCrashWithSuspect(known)
}

// takePending takes over pending ends, and reports whether one was news. Those that do not count
// any more are left out, or ledgers would tell each other of them for ever. l.mu must be held.
func (l *Ledger) takePending(r *record, pending []PendingEnd, now time.Time) (changed bool) {
	for _, end := range pending {
		if end.Age >= confirmationDelay && l.hasOtherCause(r.Fingerprint, end.Incarnation) {
			continue
		}
		changed = r.addPending(pendingEnd{incarnation: end.Incarnation, at: now.Add(-end.Age)}) || changed
	}
	return changed
}

// addPending notes a pending end, and reports whether it was news.
func (r *record) addPending(end pendingEnd) bool {
	i := slices.IndexFunc(r.pending, func(known pendingEnd) bool { return known.incarnation == end.incarnation })
	switch {
	case i >= 0:
		if end.at.Before(r.pending[i].at) {
			r.pending[i].at = end.at
		}
		return false
	case len(r.pending) >= maxPending, slices.Contains(r.Alone, end.incarnation), slices.Contains(r.Cleared, end.incarnation):
		return false
	}
	r.pending = append(r.pending, end)
	slices.SortFunc(r.pending, func(a, b pendingEnd) int { return compareIncarnations(a.incarnation, b.incarnation) })
	return true
}

// dropPending forgets pending ends that were decided: of incarnations that count, or that do not
// count any more.
func (r *record) dropPending() {
	r.pending = slices.DeleteFunc(r.pending, func(end pendingEnd) bool {
		return slices.Contains(r.Alone, end.incarnation) || slices.Contains(r.Cleared, end.incarnation)
	})
}

// toldPending returns the pending ends for others.
func (r *record) toldPending(now time.Time) []PendingEnd {
	var told []PendingEnd
	for _, end := range r.pending {
		told = append(told, PendingEnd{Incarnation: end.incarnation, Age: max(0, now.Sub(end.at))})
	}
	return told
}

// sharesCrashWithSuspect reports whether another suspect was there at an end that counts against
// the request. l.mu must be held.
func (l *Ledger) sharesCrashWithSuspect(r *record) bool {
	for _, other := range l.records {
		if other != r && other.State() == Suspect && slices.ContainsFunc(other.Crashes, func(incarnation Incarnation) bool { return slices.Contains(r.Crashes, incarnation) }) {
			return true
		}
	}
	return false
}

// hasOtherCause reports whether another request, a suspect by other ends, was under way at an
// incarnation that ended under a run alone. l.mu must be held.
func (l *Ledger) hasOtherCause(fp serving.Fingerprint, incarnation Incarnation) bool {
	for _, other := range l.records {
		if other.Fingerprint != fp && len(other.Crashes) > SuspectAfter && slices.Contains(other.Crashes, incarnation) {
			return true
		}
	}
	return false
}

// HasPending reports whether an end under a run alone of the request is pending. It must not run
// meanwhile.
func (l *Ledger) HasPending(fp serving.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	return r != nil && len(r.pending) > 0
}

// DecidePending decides pending ends that are old enough: they count as ends under runs alone, unless
// another suspect was there. It returns the requests that were raised by that, and those of which an
// end does not count.
func (l *Ledger) DecidePending(now time.Time) (raised []Raise, dropped []serving.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fp, r := range l.records {
		for _, end := range r.takeDue(now) {
			if l.hasOtherCause(fp, end.incarnation) {
				l.touch(r)
				dropped = append(dropped, fp)
				continue
			}
			ended := []Incarnation{end.incarnation}
			raised = append(raised, l.merge(Record{Fingerprint: fp, Crashes: ended, Alone: ended}, now)...)
		}
	}
	return raised, dropped
}

// takeDue removes the pending ends that are old enough to be decided, and returns them.
func (r *record) takeDue(now time.Time) []pendingEnd {
	var due, later []pendingEnd
	for _, end := range r.pending {
		if now.Sub(end.at) >= confirmationDelay {
			due = append(due, end)
		} else {
			later = append(later, end)
		}
	}
	r.pending = later
	return due
}
