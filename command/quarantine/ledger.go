package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenport/martenport/serving"
)

// Limits on the lifetime and number of records.
const (
	// suspicionLifetime is how long a crash counts against a request that is not quarantined. It is
	// longer than any client keeps repeating a request.
	suspicionLifetime = 10 * time.Minute
	// quarantineLifetime is the time after which a quarantined request may run again.
	quarantineLifetime = time.Hour
	// maxRecords bounds the requests in a ledger, about 300 B each. It is enough for all requests that
	// run on tens of servers that crash together.
	maxRecords = 4096
	// maxCleared bounds the cleared crashes in a record, and the crashes outside isolated runs that
	// count. It exceeds the number of crashes that can be unknown to any instance at a time.
	maxCleared = 8
	// maxIsolatedCrashes is how many crashes during isolated runs a record may hold beyond maxCleared
	// crashes. It is more than one because two successive holders can each permit an isolated run.
	maxIsolatedCrashes = 4
)

// Ledger holds the crashes of backend servers that one instance knows of. It is safe for concurrent
// use.
type Ledger struct {
	// id distinguishes this ledger from those of other instances and of earlier processes of this one.
	id uint64
	// startedAt is when the instance started; the zero time if it has all records.
	startedAt time.Time

	mu      sync.Mutex
	records map[serving.Fingerprint]*record // guarded by mu
	// attributed maps the incarnations whose crashes are attributed to a quarantined request to that
	// request; guarded by mu.
	attributed map[Incarnation]serving.Fingerprint
	revision   uint64 // counts changes of records; guarded by mu
	// digest is the XOR of the hashes of all records; guarded by mu.
	digest uint64
	// answered holds the requests that this instance has answered recently; guarded by mu.
	answered recentAnswers
	// parts has the records of parts of prompts by the hash of the part; guarded by mu. partRecords is their number.
	parts       map[uint64]*record
	partRecords atomic.Int32
	// begun has the parts of prompts with which answers have begun here recently.
	begun begunParts
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		id:         rand.Uint64(),
		records:    map[serving.Fingerprint]*record{},
		parts:      map[uint64]*record{},
		attributed: map[Incarnation]serving.Fingerprint{},
	}
}

// NewLedgerOfInstance returns the empty ledger of an instance that starts now: other instances may know of more.
func NewLedgerOfInstance(now time.Time) *Ledger {
	l := NewLedger()
	l.startedAt = now
	return l
}

// RecordAnswer records that the request was answered. The request is cleared, and crashes reported
// shortly afterwards do not count against it. RecordAnswer returns the previous state, and whether any
// crash counted against the request.
func (l *Ledger) RecordAnswer(fp serving.Fingerprint, now time.Time) (before State, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered.add(fp, now)
	return l.clear(fp, now)
}

// Clear clears the request of all crashes. It returns the previous state, and whether any crash counted
// against the request.
func (l *Ledger) Clear(fp serving.Fingerprint, now time.Time) (before State, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clear(fp, now)
}

// clear implements Clear. l.mu must be held.
func (l *Ledger) clear(fp serving.Fingerprint, now time.Time) (before State, changed bool) {
	r := l.records[fp]
	if r == nil || len(r.Crashes) == 0 {
		return Clear, false
	}
	before = r.State()
	l.merge(Record{Fingerprint: fp, Cleared: slices.Clone(r.Crashes)}, now)
	return before, true
}

// Record returns a copy of the request's record, and whether there is one.
func (l *Ledger) Record(fp serving.Fingerprint, now time.Time) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[fp]; r != nil {
		return r.snapshot(now), true
	}
	return Record{}, false
}

// RecordsOf returns the records with the given fingerprints in the form that Merge accepts.
func (l *Ledger) RecordsOf(now time.Time, fps ...serving.Fingerprint) []Record {
	var records []Record
	for _, fp := range fps {
		if r, known := l.Record(fp, now); known {
			records = append(records, r)
		}
	}
	return records
}

// RecordsOfIdentity returns the records of a request and of the parts of its prompt.
func (l *Ledger) RecordsOfIdentity(i Identity, now time.Time) []Record {
	if l.partRecords.Load() == 0 {
		return l.RecordsOf(now, i.Fingerprint)
	}
	return l.RecordsOf(now, i.fingerprints()...)
}

// knowsCrash reports whether a server is known to have crashed while it ran the request.
func (l *Ledger) knowsCrash(fp serving.Fingerprint, server string, born int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	if r == nil {
		return false
	}
	is := func(i Incarnation) bool { return i.Server == server && i.Born == born }
	return slices.ContainsFunc(r.Crashes, is) || slices.ContainsFunc(r.Cleared, is)
}

// State returns how the request is treated.
func (l *Ledger) State(fp serving.Fingerprint) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[fp]; r != nil {
		return r.State()
	}
	return Clear
}

// Implicated reports whether the request, or a part of its prompt, is clear although crashes count against it. It may be
// their cause, and other instances may know of more.
func (l *Ledger) Implicated(i Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	implicated := func(r *record) bool { return r != nil && len(r.Crashes) > 0 && r.State() == Clear }
	return implicated(l.records[i.Fingerprint]) || slices.ContainsFunc(l.partsOf(&i), implicated)
}

// StateOnVersion returns how the request is treated on servers with the given software version. A
// quarantined request may run isolated on a version of which it has crashed no server.
func (l *Ledger) StateOnVersion(fp serving.Fingerprint, version string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	if r == nil {
		return Clear
	}
	return r.stateOn(version)
}

// Grace returns the time after the first event of an isolated run during which a crash counts.
func (l *Ledger) Grace(fp serving.Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[fp]; r != nil {
		return r.grace()
	}
	return MinGrace
}

// List returns the records of all suspects and quarantined requests, oldest first.
func (l *Ledger) List(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Record
	for _, r := range l.records {
		if r.State() != Clear {
			list = append(list, r.snapshot(now))
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return int(b.Age - a.Age) })
	return list
}

// Expire removes records that have exceeded their lifetime, and returns those among them that the store may have: of
// quarantined requests, and of parts with which answers have begun.
func (l *Ledger) Expire(now time.Time) []serving.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var released []serving.Fingerprint
	for fp, r := range l.records {
		if now.Sub(r.changedAt) < r.lifetime() {
			continue
		}
		if r.State() == Quarantined || len(r.Begun) > 0 {
			released = append(released, fp)
		}
		l.drop(fp)
	}
	return released
}

// merge adds to the ledger what a record contains beyond what is known, and returns the escalation that
// follows, if any. l.mu must be held.
func (l *Ledger) merge(from Record, now time.Time) []Escalation {
	r := l.records[from.Fingerprint]
	if r == nil {
		l.evictIfFull()
		r = &record{Record: Record{Fingerprint: from.Fingerprint}}
		l.records[from.Fingerprint] = r
		l.indexPart(r)
	}
	before := r.State()
	changed := r.merge(from)
	changed = l.mergePending(r, from.Pending, now) || changed
	changed = l.clearAttributed(r) || changed
	if len(r.Crashes) > 0 && l.answered.contains(r.Fingerprint, now) {
		changed = r.merge(Record{Cleared: slices.Clone(r.Crashes)}) || changed
	}
	if begun := l.begunVersions(r, now); len(begun) > 0 {
		changed = r.merge(Record{Begun: begun}) || changed
	}
	if at := now.Add(-from.Age); changed && at.After(r.changedAt) {
		r.changedAt = at
	}
	if !changed {
		if r.revision == 0 {
			l.remove(r)
		}
		return nil
	}
	l.markChanged(r)
	if r.State() <= before {
		l.dropAttributions(r, before)
		return nil
	}
	escalations := []Escalation{{Record: r.snapshot(now), NewState: r.State()}}
	if r.State() == Quarantined {
		l.attributeCrashes(r)
	}
	return escalations
}

// clearAttributed clears a request of the crashes that are attributed to another, quarantined request.
// It reports whether there were any. Crashes are never attributed away from a part of prompts, nor from a
// request to a part of its own prompt: a request and several of its parts crash the same servers, and which
// of them is quarantined first depends on the order of messages. A request keeps all its crashes if one of its isolated
// runs ended with a server that nobody else is known to have crashed. l.mu must be held.
func (l *Ledger) clearAttributed(r *record) bool {
	if IsPart(r.Fingerprint) || slices.ContainsFunc(r.Isolated, func(incarnation Incarnation) bool { return !l.isAnothers(r, incarnation) }) {
		return false
	}
	var cleared []Incarnation
	for _, incarnation := range r.Crashes {
		if l.isAnothers(r, incarnation) {
			cleared = append(cleared, incarnation)
		}
	}
	return len(cleared) > 0 && r.merge(Record{Cleared: cleared})
}

// isAnothers reports whether a crash is attributed to another request, or to a part of prompts that the request does not
// have. l.mu must be held.
func (l *Ledger) isAnothers(r *record, incarnation Incarnation) bool {
	culprit, ok := l.attributed[incarnation]
	return ok && culprit != r.Fingerprint && !r.hasPart(culprit)
}

// attributeCrashes attributes the crashes of a request that has just been quarantined to it, and clears
// all other requests of them. l.mu must be held.
func (l *Ledger) attributeCrashes(culprit *record) {
	for _, incarnation := range culprit.Crashes {
		if before, known := l.attributed[incarnation]; !known || l.isMoreGeneral(culprit, before) {
			l.attributed[incarnation] = culprit.Fingerprint
		}
	}
	for _, r := range l.records {
		if r != culprit && r.State() != Quarantined && l.clearAttributed(r) {
			l.markChanged(r)
		}
	}
}

// isMoreGeneral reports whether a record is that of a part, and the culprit so far is a request without that part: its
// crashes are then those of the part. l.mu must be held.
func (l *Ledger) isMoreGeneral(r *record, culprit serving.Fingerprint) bool {
	before := l.records[culprit]
	return IsPart(r.Fingerprint) && !IsPart(culprit) && (before == nil || !before.hasPart(r.Fingerprint))
}

// dropAttributions removes the attributions to a request that is no longer quarantined, so that new
// crashes count against others again. l.mu must be held.
func (l *Ledger) dropAttributions(r *record, before State) {
	if before != Quarantined || r.State() == Quarantined {
		return
	}
	for incarnation, culprit := range l.attributed {
		if culprit == r.Fingerprint {
			delete(l.attributed, incarnation)
		}
	}
}

// markChanged records a change that has to be sent to other instances. l.mu must be held.
func (l *Ledger) markChanged(r *record) {
	l.revision++
	r.revision = l.revision
	l.digest ^= r.digestTerm
	r.digestTerm = r.hash()
	l.digest ^= r.digestTerm
}

// drop removes a request's record. l.mu must be held.
func (l *Ledger) drop(fp serving.Fingerprint) {
	r := l.records[fp]
	l.digest ^= r.digestTerm
	before := r.State()
	r.Crashes, r.Isolated, r.Alone = nil, nil, nil
	l.dropAttributions(r, before)
	l.remove(r)
}

// remove removes a record that is not attributed anything. l.mu must be held.
func (l *Ledger) remove(r *record) {
	delete(l.records, r.Fingerprint)
	if hash, isPart := partHash(r.Fingerprint); isPart {
		delete(l.parts, hash)
		l.partRecords.Store(int32(len(l.parts)))
	}
}

// indexPart adds a new record to the index of parts if it is that of a part. l.mu must be held.
func (l *Ledger) indexPart(r *record) {
	if hash, isPart := partHash(r.Fingerprint); isPart {
		l.parts[hash] = r
		l.partRecords.Store(int32(len(l.parts)))
	}
}

// evictIfFull removes the oldest record of those with the mildest state if the ledger is full. l.mu
// must be held.
func (l *Ledger) evictIfFull() {
	if len(l.records) < maxRecords {
		return
	}
	var victim *record
	for _, r := range l.records {
		if victim == nil || r.State() < victim.State() ||
			r.State() == victim.State() && r.changedAt.Before(victim.changedAt) {
			victim = r
		}
	}
	l.drop(victim.Fingerprint)
}
