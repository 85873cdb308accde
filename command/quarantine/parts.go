package quarantine

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Assess returns how a request is treated on servers with a software version, or on any server if version is "", and
// unless it is clear, because of which record: its own or that of a part of its prompt.
func (l *Ledger) Assess(i Identity, version string) (state State, cause serving.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[i.Fingerprint]; r != nil {
		state, cause = l.requestState(r, &i, version), i.Fingerprint
	}
	for _, r := range l.partsOf(&i) {
		if s := l.partState(r, &i, version); s > state {
			state, cause = s, r.Fingerprint
		}
	}
	return state, cause
}

// SuspectParts returns the parts of a request's prompt that make it a suspect on servers with a software version.
func (l *Ledger) SuspectParts(i Identity, version string) []serving.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suspects []serving.Fingerprint
	for _, r := range l.partsOf(&i) {
		if l.partState(r, &i, version) == Suspect {
			suspects = append(suspects, r.Fingerprint)
		}
	}
	return suspects
}

// HeldParts returns the parts of a request's prompt that are suspects or quarantined.
func (l *Ledger) HeldParts(i Identity) []serving.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []serving.Fingerprint
	for _, r := range l.partsOf(&i) {
		if r.State() != Clear {
			held = append(held, r.Fingerprint)
		}
	}
	return held
}

// RecordBegun records that a server of a software version has begun an answer to a request, and goes on. The parts of its
// prompt are cleared of crashes of that version. It returns those that were suspects or quarantined.
func (l *Ledger) RecordBegun(i Identity, version string, now time.Time) (released []serving.Fingerprint) {
	i.eachPart(func(hash uint64, _ string) { l.begun.add(hash, version, now) })
	if l.partRecords.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.partsOf(&i) {
		if slices.Contains(r.Begun, version) {
			continue
		}
		before := r.State()
		l.merge(Record{Fingerprint: r.Fingerprint, Begun: []string{version}}, now)
		if before != Clear && r.State() == Clear {
			released = append(released, r.Fingerprint)
		}
	}
	return released
}

// ofVersion returns the incarnations with a software version.
func ofVersion(incarnations []Incarnation, version string) (found []Incarnation) {
	for _, incarnation := range incarnations {
		if incarnation.Version == version {
			found = append(found, incarnation)
		}
	}
	return found
}

// partsOf returns the records of the parts of a request's prompt. l.mu must be held.
func (l *Ledger) partsOf(i *Identity) (known []*record) {
	if l.partRecords.Load() == 0 {
		return nil
	}
	i.eachPart(func(hash uint64, _ string) {
		if r := l.parts[hash]; r != nil {
			known = append(known, r)
		}
	})
	return known
}

// requestState returns how a request is treated because of its own record. If each of its isolated runs ended beside something
// that crashed other servers as well, it is not shown to be the cause, and runs isolated. l.mu must be held.
func (l *Ledger) requestState(r *record, i *Identity, version string) State {
	state := r.stateOn(version)
	if state != Quarantined || r.isolatedTooOften() {
		return state
	}
	own := i.fingerprints()
	for _, incarnation := range r.Alone {
		if !l.hasCauseBeside(r, incarnation, own) {
			return Quarantined
		}
	}
	return Suspect
}

// hasCauseBeside reports whether another suspect, or something quarantined, was running on an incarnation, and on some that
// crashed without r. l.mu must be held.
func (l *Ledger) hasCauseBeside(r *record, incarnation Incarnation, own []serving.Fingerprint) bool {
	for _, other := range l.records {
		if len(other.Crashes) > SuspectAfter && slices.Contains(other.Crashes, incarnation) &&
			!slices.Contains(own, other.Fingerprint) && !containsAll(r.Crashes, other.Crashes) {
			return true
		}
	}
	return false
}

// partState returns how a request is treated because of a part of its prompt. The part is not shown to be a cause by
// itself if another quarantined record that does not apply to the request accounts for all of its crashes, or if those
// that are left without the crashes of quarantined requests without the part would not quarantine it. The request then
// runs isolated. l.mu must be held.
func (l *Ledger) partState(r *record, i *Identity, version string) State {
	state := r.stateOn(version)
	if state == Quarantined && (l.explainedByOther(r, i) || l.crashesLeft(r).State() != Quarantined) {
		return Suspect
	}
	return state
}

// crashesLeft returns the crashes of a part during which no quarantined request without the part was running. l.mu must be
// held.
func (l *Ledger) crashesLeft(r *record) *Record {
	left := Record{Fingerprint: r.Fingerprint, Crashes: slices.Clone(r.Crashes), Alone: slices.Clone(r.Alone)}
	for _, other := range l.records {
		if IsPart(other.Fingerprint) || other.State() != Quarantined || other.hasPart(r.Fingerprint) {
			continue
		}
		explained := func(incarnation Incarnation) bool { return slices.Contains(other.Crashes, incarnation) }
		left.Crashes = slices.DeleteFunc(left.Crashes, explained)
		left.Alone = slices.DeleteFunc(left.Alone, explained)
	}
	return &left
}

// explainedByOther implements partState. l.mu must be held.
func (l *Ledger) explainedByOther(r *record, i *Identity) bool {
	own := i.fingerprints()
	for _, other := range l.records {
		if other != r && other.State() == Quarantined && !slices.Contains(own, other.Fingerprint) && containsAll(other.Crashes, r.Crashes) {
			return true
		}
	}
	return false
}

func containsAll(all, some []Incarnation) bool {
	return !slices.ContainsFunc(some, func(incarnation Incarnation) bool { return !slices.Contains(all, incarnation) })
}

// recordPartCrashes counts the crash of the server of a broken attempt against the parts of its prompt, unless its
// answer had begun. l.mu must be held.
func (l *Ledger) recordPartCrashes(b *BrokenAttempt, now time.Time) []Escalation {
	if b.RunTime > MinGrace || b.inconclusive() {
		return nil
	}
	var escalations []Escalation
	i := b.Identity()
	i.eachPart(func(hash uint64, id string) {
		if !l.begun.contains(hash, b.Server.Version, now) {
			escalations = append(escalations, l.recordPartCrash(partFingerprint(hash), partSubject(i.Service, id), b, now)...)
		}
	})
	return escalations
}

// recordPartCrash counts a crash against one part. l.mu must be held.
func (l *Ledger) recordPartCrash(fp serving.Fingerprint, subject string, b *BrokenAttempt, now time.Time) []Escalation {
	crashed := []Incarnation{IncarnationOf(b.Server)}
	update := Record{Fingerprint: fp, Subject: subject, Crashes: crashed}
	if r := l.records[fp]; b.Isolated && r != nil && r.State() != Clear {
		update.Pending = l.newPending(b, now) // another part that is no suspect yet may be the cause
	}
	return l.merge(update, now)
}

// begunVersions returns the software versions of crashes in the record of a part that do not count against it, because
// servers of the version have begun answers with it recently. It returns none for a request. l.mu must be held.
func (l *Ledger) begunVersions(r *record, now time.Time) (versions []string) {
	hash, isPart := partHash(r.Fingerprint)
	if !isPart {
		return nil
	}
	for _, crash := range r.Crashes {
		if l.begun.contains(hash, crash.Version, now) {
			versions = append(versions, crash.Version)
		}
	}
	return versions
}
