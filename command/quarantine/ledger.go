package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
)

// How long and how much a ledger remembers.
const (
	// suspicionLifetime is for how long an end counts against a request that is not
	// quarantined: longer than any client repeats one.
	suspicionLifetime = 10 * time.Minute
	// quarantineLifetime is after how long a quarantined request is tried again.
	quarantineLifetime = time.Hour
	// maxRecords bounds the requests remembered, about 300 B each: all that run on tens of
	// servers that end together.
	maxRecords = 4096
	// maxCleared bounds the ends that a record remembers as cleared: more than are news to
	// any instance at once.
	maxCleared = 8
	// maxAlone is how many more there may be under runs of its own: a few more than one, as a
	// run is let begin by each of two holders that follow each other.
	maxAlone = 4
)

// Ledger is what one instance knows of ends of servers. It is safe for concurrent use.
type Ledger struct {
	// id tells this ledger from one that a process before had, and from other instances'.
	id uint64

	mu      sync.Mutex
	records map[serving.Fingerprint]*record // guarded by mu
	// explained has the incarnations that quarantined requests ended; guarded by mu.
	explained map[Incarnation]serving.Fingerprint
	change    uint64 // counts changes of records; guarded by mu
	// digest sums up the records; guarded by mu.
	digest uint64
	// answered are the requests that this instance has answered of late; guarded by mu.
	answered answered
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{id: rand.Uint64(), records: map[serving.Fingerprint]*record{}, explained: map[Incarnation]serving.Fingerprint{}}
}

// Answered notes that the request was answered: it is cleared, and what is heard of ends under
// it in the next moments does not count. It returns the state before, and whether anything was
// held against it.
func (l *Ledger) Answered(fp serving.Fingerprint, now time.Time) (before State, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered.note(fp, now)
	return l.clear(fp, now)
}

// Clear has nothing be held against a request any more. It returns the state before, and
// whether anything was.
func (l *Ledger) Clear(fp serving.Fingerprint, now time.Time) (before State, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clear(fp, now)
}

// l.mu must be held.
func (l *Ledger) clear(fp serving.Fingerprint, now time.Time) (before State, changed bool) {
	r := l.records[fp]
	if r == nil || len(r.Crashes) == 0 {
		return Clear, false
	}
	before = r.State()
	l.merge(Record{Fingerprint: fp, Cleared: slices.Clone(r.Crashes)}, now)
	return before, true
}

// Record returns what is known of a request.
func (l *Ledger) Record(fp serving.Fingerprint, now time.Time) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[fp]; r != nil {
		return r.told(now), true
	}
	return Record{}, false
}

// Known returns what is known of a request for another ledger, nothing if nothing is.
func (l *Ledger) Known(fp serving.Fingerprint, now time.Time) []Record {
	if r, known := l.Record(fp, now); known {
		return []Record{r}
	}
	return nil
}

// State returns how a request is treated.
func (l *Ledger) State(fp serving.Fingerprint) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[fp]; r != nil {
		return r.State()
	}
	return Clear
}

// Implicated reports whether an end of a server counts against a request that is clear: it may be
// the cause, and another instance may know of more.
func (l *Ledger) Implicated(fp serving.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	return r != nil && len(r.Crashes) > 0 && r.State() == Clear
}

// StateOn returns how a request is treated on servers of a version of their software: a
// quarantined one may run alone on one under which no server of that version has ended.
func (l *Ledger) StateOn(fp serving.Fingerprint, version string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	if r == nil {
		return Clear
	}
	state := r.State()
	if state == Quarantined && !slices.ContainsFunc(r.Crashes, func(incarnation Incarnation) bool { return incarnation.Version == version }) {
		return Suspect
	}
	return state
}

// Grace returns how long after the first event of a run alone an end counts.
func (l *Ledger) Grace(fp serving.Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[fp]; r != nil {
		return r.grace()
	}
	return leastGrace
}

// List returns the requests that are suspects or quarantined, the oldest first.
func (l *Ledger) List(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Record
	for _, r := range l.records {
		if r.State() != Clear {
			list = append(list, r.told(now))
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return int(b.Age - a.Age) })
	return list
}

// Expire forgets what is old, and returns the quarantined requests among it.
func (l *Ledger) Expire(now time.Time) []serving.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var released []serving.Fingerprint
	for fp, r := range l.records {
		if now.Sub(r.at) < r.lifetime() {
			continue
		}
		if r.State() == Quarantined {
			released = append(released, fp)
		}
		l.drop(fp)
	}
	return released
}

// merge takes over what a record says beyond what is known. l.mu must be held.
func (l *Ledger) merge(from Record, now time.Time) []Raise {
	r := l.records[from.Fingerprint]
	if r == nil {
		l.makeRoom()
		r = &record{Record: Record{Fingerprint: from.Fingerprint}}
		l.records[from.Fingerprint] = r
	}
	before := r.State()
	changed := r.take(from)
	changed = l.takePending(r, from.Pending, now) || changed
	changed = l.clearExplained(r) || changed
	if len(r.Crashes) > 0 && l.answered.knows(r.Fingerprint, now) {
		changed = r.take(Record{Cleared: slices.Clone(r.Crashes)}) || changed
	}
	if at := now.Add(-from.Age); changed && at.After(r.at) {
		r.at = at
	}
	if !changed {
		if r.change == 0 {
			delete(l.records, from.Fingerprint)
		}
		return nil
	}
	l.touch(r)
	if r.State() <= before {
		l.unexplain(r, before)
		return nil
	}
	raised := []Raise{{Record: r.told(now), To: r.State()}}
	if r.State() == Quarantined {
		l.explain(r)
	}
	return raised
}

// clearExplained clears a request of the ends that a quarantined one explains. l.mu must be held.
func (l *Ledger) clearExplained(r *record) bool {
	var cleared []Incarnation
	for _, incarnation := range r.Crashes {
		if by, explained := l.explained[incarnation]; explained && by != r.Fingerprint {
			cleared = append(cleared, incarnation)
		}
	}
	return len(cleared) > 0 && r.take(Record{Cleared: cleared})
}

// explain clears all others of the ends of a request that is quarantined now. l.mu must be held.
func (l *Ledger) explain(by *record) {
	for _, incarnation := range by.Crashes {
		if _, known := l.explained[incarnation]; !known {
			l.explained[incarnation] = by.Fingerprint
		}
	}
	for _, r := range l.records {
		if r != by && r.State() != Quarantined && l.clearExplained(r) {
			l.touch(r)
		}
	}
}

// unexplain forgets what a request explained that is not quarantined any more: new ends count
// against others. l.mu must be held.
func (l *Ledger) unexplain(r *record, before State) {
	if before != Quarantined || r.State() == Quarantined {
		return
	}
	for incarnation, by := range l.explained {
		if by == r.Fingerprint {
			delete(l.explained, incarnation)
		}
	}
}

// touch notes a change that other instances should hear of. l.mu must be held.
func (l *Ledger) touch(r *record) {
	l.change++
	r.change = l.change
	l.digest ^= r.sum
	r.sum = r.hash()
	l.digest ^= r.sum
}

// l.mu must be held.
func (l *Ledger) drop(fp serving.Fingerprint) {
	r := l.records[fp]
	l.digest ^= r.sum
	before := r.State()
	r.Crashes, r.Alone = nil, nil
	l.unexplain(r, before)
	delete(l.records, fp)
}

// makeRoom forgets the oldest record of those that matter least if there are too many. l.mu must be
// held.
func (l *Ledger) makeRoom() {
	if len(l.records) < maxRecords {
		return
	}
	var oldest *record
	for _, r := range l.records {
		if oldest == nil || r.State() < oldest.State() || r.State() == oldest.State() && r.at.Before(oldest.at) {
			oldest = r
		}
	}
	l.drop(oldest.Fingerprint)
}
