package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// An isolated run is only isolated from other suspects. A request that was sent to the same server
// before it became a suspect may start there during the isolated run. Instances learn of each other's
// crash records with their next reports, so at first the crash of the server is known for the isolated
// run only. Therefore, if another suspect may be the cause of the crashes, a crash during an isolated
// run is kept pending until the other instances' records must have arrived. It does not count as a
// crash during an isolated run if another suspect turns out to have been running on the server.
// Counting it immediately would quarantine requests that only shared the server.

// confirmationDelay is how long a crash during an isolated run is kept pending: two reports to the
// holder, at most one second apart, plus the time an instance needs to notice that an answer was cut
// off.
const confirmationDelay = 2500 * time.Millisecond

// maxPending bounds the pending crashes of a record. It equals the number of crashes during isolated
// runs that a record may hold in addition to others.
const maxPending = maxIsolatedCrashes

// PendingCrash is the crash of an incarnation during an isolated run that another suspect may have
// caused.
type PendingCrash struct {
	Incarnation Incarnation
	// Companions are the request that ran isolated and the parts of its prompt.
	Companions []serving.Fingerprint
	// Age is the time since the crash.
	Age time.Duration
	// FromNewInstance is set if the instance that recorded the crash had just started: it may not have known what else was
	// running there.
	FromNewInstance bool
}

// pendingCrash is a PendingCrash as stored in a ledger. Every report of a crash is later than the crash
// itself, so the earliest of several times is kept.
type pendingCrash struct {
	incarnation Incarnation
	companions  []serving.Fingerprint
	crashedAt   time.Time
	// fromNewInstance is as in PendingCrash.
	fromNewInstance bool
	// ambiguous is set once other records must have arrived and the crash may still be that of a rival.
	ambiguous bool
}

// UndecidedCrash is a crash during an isolated run that one of the rivals may have caused as well, or, if there are none,
// something that nobody knows of any more.
type UndecidedCrash struct {
	Fingerprint serving.Fingerprint
	Incarnation Incarnation
	Rivals      []serving.Fingerprint
}

// newLedgerTime is how long after its start an instance may not know of suspects that other instances knew of which have
// failed, or that it knew of before.
const newLedgerTime = 4 * confirmationDelay

// needsConfirmation reports whether a crash during an isolated run has to be kept pending, because
// another suspect was running at crashes that count against the request, or may have been. l.mu must be held.
func (l *Ledger) needsConfirmation(b BrokenAttempt, now time.Time) bool {
	if l.isNew(now) {
		return true
	}
	known := l.records[b.Fingerprint]
	return known != nil && l.sharesCrashWithSuspect(known)
}

// isNew reports whether the instance has just started.
func (l *Ledger) isNew(now time.Time) bool { return now.Sub(l.startedAt) < newLedgerTime }

// newPending returns the pending crash of the server of a broken attempt.
func (l *Ledger) newPending(b *BrokenAttempt, now time.Time) []PendingCrash {
	i := b.Identity()
	return []PendingCrash{{Incarnation: IncarnationOf(b.Server), Companions: i.fingerprints(), FromNewInstance: l.isNew(now)}}
}

// mergePending merges pending crashes, and reports whether any was new. It skips those that no longer
// count: otherwise ledgers would send them to each other forever. l.mu must be held.
func (l *Ledger) mergePending(r *record, pending []PendingCrash, now time.Time) (changed bool) {
	for _, crash := range pending {
		pending := pendingCrash{incarnation: crash.Incarnation, companions: crash.Companions, crashedAt: now.Add(-crash.Age), fromNewInstance: crash.FromNewInstance}
		if crash.Age >= confirmationDelay && l.hasOtherCause(r, pending) {
			continue
		}
		changed = r.addPending(pending) || changed
	}
	return changed
}

// addPending adds a pending crash, and reports whether it was new.
func (r *record) addPending(crash pendingCrash) bool {
	i := slices.IndexFunc(r.pending, func(known pendingCrash) bool { return known.incarnation == crash.incarnation })
	switch {
	case i >= 0:
		if crash.crashedAt.Before(r.pending[i].crashedAt) {
			r.pending[i].crashedAt = crash.crashedAt
		}
		return false
	case len(r.pending) >= maxPending,
		slices.Contains(r.Alone, crash.incarnation), slices.Contains(r.Cleared, crash.incarnation), slices.Contains(r.Begun, crash.incarnation.Version):
		return false
	}
	r.pending = append(r.pending, crash)
	slices.SortFunc(r.pending, func(a, b pendingCrash) int { return compareIncarnations(a.incarnation, b.incarnation) })
	return true
}

// dropPending removes pending crashes that have been decided: their incarnations are in Alone or in
// Cleared.
func (r *record) dropPending() {
	r.pending = slices.DeleteFunc(r.pending, func(crash pendingCrash) bool {
		return slices.Contains(r.Alone, crash.incarnation) || slices.Contains(r.Cleared, crash.incarnation) || slices.Contains(r.Begun, crash.incarnation.Version)
	})
}

// pendingSnapshot returns the pending crashes with ages instead of times, for other ledgers.
func (r *record) pendingSnapshot(now time.Time) []PendingCrash {
	var list []PendingCrash
	for _, crash := range r.pending {
		list = append(list, PendingCrash{Incarnation: crash.incarnation, Companions: crash.companions, Age: max(0, now.Sub(crash.crashedAt)), FromNewInstance: crash.fromNewInstance})
	}
	return list
}

// sharesCrashWithSuspect reports whether another suspect was running at a crash that counts against the
// request. l.mu must be held.
func (l *Ledger) sharesCrashWithSuspect(r *record) bool {
	for _, other := range l.records {
		if other != r && other.State() == Suspect && slices.ContainsFunc(other.Crashes, func(incarnation Incarnation) bool {
			return slices.Contains(r.Crashes, incarnation)
		}) {
			return true
		}
	}
	return false
}

// hasOtherCause reports whether another request or part, which is a suspect because of other crashes as well, was
// running on an incarnation that crashed during an isolated run. What the isolated run itself consisted of is no other
// cause of the crash, with one exception: a part that many requests share may have run beside a part that crashes
// servers. l.mu must be held.
func (l *Ledger) hasOtherCause(r *record, crash pendingCrash) bool {
	for _, other := range l.records {
		if other == r || len(other.Crashes) <= SuspectAfter || !slices.Contains(other.Crashes, crash.incarnation) {
			continue
		}
		switch companion := slices.Contains(crash.companions, other.Fingerprint); {
		case IsPart(r.Fingerprint) && IsPart(other.Fingerprint):
			if !containsAll(other.Crashes, r.Crashes) { // otherwise the requests with r have the other part, too
				return true
			}
		case !companion:
			return true
		}
	}
	return false
}

// isAmbiguous reports whether a crash during an isolated run of r may be that of a rival. Two isolated runs show that it is r
// unless one rival explains both. l.mu must be held.
func (l *Ledger) isAmbiguous(r *record, crash pendingCrash, now time.Time) bool {
	rivals := l.rivals(r, crash, now)
	if len(rivals) == 0 && !l.mayBeForgotten(crash) {
		return false
	}
	return !slices.ContainsFunc(r.pending, func(other pendingCrash) bool {
		return other.incarnation != crash.incarnation && !slices.ContainsFunc(l.rivals(r, other, now), func(fp serving.Fingerprint) bool {
			return slices.Contains(rivals, fp) && l.explainsAll(fp, r)
		})
	})
}

// mayBeForgotten reports whether nobody may know any more what else was running at a crash: neither the instance that recorded
// it, which had just started, nor this one, which started later.
func (l *Ledger) mayBeForgotten(crash pendingCrash) bool {
	return crash.fromNewInstance && crash.crashedAt.Before(l.startedAt)
}

// forgottenDelay is how long after a crash that may be forgotten the request may run again: an instance that ran throughout, if
// there is one, decides it after confirmationDelay, and its decision has to arrive.
const forgottenDelay = 2 * confirmationDelay

// explainsAll reports whether a rival was running at all crashes that count against r. A request that is sent again after
// each crash follows r to the next server, but was not at the crashes that made r a suspect. Parts of prompts spread with
// requests, so that for them a common rival is enough. l.mu must be held.
func (l *Ledger) explainsAll(rival serving.Fingerprint, r *record) bool {
	return IsPart(r.Fingerprint) || containsAll(l.records[rival].Crashes, r.Crashes)
}

// rivals returns what else may have caused a crash during an isolated run of r. l.mu must be held.
func (l *Ledger) rivals(r *record, crash pendingCrash, now time.Time) []serving.Fingerprint {
	rivals := l.suspectsBeside(r, crash)
	if !IsPart(r.Fingerprint) {
		return rivals
	}
	for _, fp := range crash.companions {
		if fp != r.Fingerprint && l.isRival(r, fp, crash.incarnation.Version, now) {
			rivals = append(rivals, fp)
		}
	}
	return rivals
}

// suspectsBeside returns the other requests that were running on the incarnation and are suspects: they became that too late
// to be kept away from the isolated run. What is answered meanwhile is no suspect any more. Requests with the part r are none:
// their crashes may be those of r. l.mu must be held.
func (l *Ledger) suspectsBeside(r *record, crash pendingCrash) (suspects []serving.Fingerprint) {
	for fp, other := range l.records {
		if other != r && !IsPart(fp) && !other.hasPart(r.Fingerprint) && other.State() == Suspect && slices.Contains(other.Crashes, crash.incarnation) && !follows(other, r) {
			suspects = append(suspects, fp)
		}
	}
	return suspects
}

// follows reports whether a request was at crashes of r only, and r would be a suspect without these: it was sent again to
// servers on which r ran, and explains nothing that r does not.
func follows(other, r *record) bool {
	return len(r.Crashes)-len(other.Crashes) >= SuspectAfter && containsAll(r.Crashes, other.Crashes)
}

// isRival reports whether another part of the prompt is a rival of the part r: one that was not at all crashes of r, and with
// which no answer is known to have begun. l.mu must be held.
func (l *Ledger) isRival(r *record, fp serving.Fingerprint, version string, now time.Time) bool {
	hash, isPart := partHash(fp)
	if !isPart || l.begun.contains(hash, version, now) {
		return false
	}
	other := l.records[fp]
	return other == nil || !slices.Contains(other.Begun, version) && !containsAll(other.Crashes, r.Crashes)
}

// HasPending reports whether a crash during an isolated run of the request, or of another one with a part
// of its prompt, is pending. The request must not run until it is decided.
func (l *Ledger) HasPending(i Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := func(r *record) bool {
		return r != nil && slices.ContainsFunc(r.pending, func(crash pendingCrash) bool { return !crash.ambiguous })
	}
	return pending(l.records[i.Fingerprint]) || slices.ContainsFunc(l.partsOf(&i), pending)
}

// DecidePending decides the pending crashes that are older than confirmationDelay: each counts as a
// crash during an isolated run unless another suspect was running on the incarnation. A crash that may be that of a rival stays
// pending. It returns the escalations that follow, the requests against which a pending crash does not count, and the crashes
// that have just become undecided.
func (l *Ledger) DecidePending(now time.Time) (escalations []Escalation, dropped []serving.Fingerprint, undecided []UndecidedCrash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fp := range slices.SortedFunc(maps.Keys(l.records), compareRequestsFirst) {
		r := l.records[fp]
		for _, crash := range r.removeDecidable(now) {
			if l.hasOtherCause(r, crash) {
				l.markChanged(r)
				dropped = append(dropped, fp)
				continue
			}
			if l.isAmbiguous(r, crash, now) {
				rivals := l.rivals(r, crash, now)
				if !crash.ambiguous && (len(rivals) > 0 || now.Sub(crash.crashedAt) >= forgottenDelay) {
					crash.ambiguous = true
					undecided = append(undecided, UndecidedCrash{Fingerprint: fp, Incarnation: crash.incarnation, Rivals: rivals})
				}
				r.addPending(crash)
				continue
			}
			crashed := []Incarnation{crash.incarnation}
			escalations = append(escalations, l.merge(Record{Fingerprint: fp, Crashes: crashed, Alone: crashed}, now)...)
		}
	}
	return escalations, dropped, undecided
}

// removeDecidable removes the pending crashes that are old enough to be decided, and returns them.
func (r *record) removeDecidable(now time.Time) []pendingCrash {
	var decidable, remaining []pendingCrash
	for _, crash := range r.pending {
		if now.Sub(crash.crashedAt) >= confirmationDelay {
			decidable = append(decidable, crash)
		} else {
			remaining = append(remaining, crash)
		}
	}
	r.pending = remaining
	return decidable
}
