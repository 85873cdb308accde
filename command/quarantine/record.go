package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is what a ledger remembers of one request.
type record struct {
	Record // but for Pending
	at     time.Time
	// pending are its pending ends.
	pending []pendingEnd
	// change is the ledger's at the record's last one, and sum the record's part of its
	// digest.
	change, sum uint64
}

func (r *record) grace() time.Duration { return max(leastGrace, r.Grace) }

// take takes over what another record says and reports whether that was news.
func (r *record) take(from Record) bool {
	changed := r.takeCleared(from.Cleared)
	changed = r.takeEnds(from) || changed
	r.tidy()
	r.dropPending()
	if from.Grace > r.Grace {
		r.Grace = from.Grace
		changed = true
	}
	if r.Subject == "" {
		r.Subject = from.Subject
	}
	return changed
}

// takeCleared has incarnations not count any more, and reports whether that was news.
func (r *record) takeCleared(cleared []Incarnation) (changed bool) {
	for _, incarnation := range cleared {
		if !r.forgotten(incarnation) {
			changed = add(&r.Cleared, incarnation) || changed
		}
		changed = remove(&r.Crashes, incarnation) || changed
		remove(&r.Alone, incarnation)
	}
	return changed
}

// takeEnds has incarnations that ended count, and reports whether that was news.
func (r *record) takeEnds(from Record) (changed bool) {
	for _, incarnation := range from.Crashes {
		if !slices.Contains(r.Cleared, incarnation) && len(r.Crashes) < r.mostCrashes(from, incarnation) {
			changed = add(&r.Crashes, incarnation) || changed
		}
	}
	for _, incarnation := range from.Alone {
		if slices.Contains(r.Crashes, incarnation) {
			changed = add(&r.Alone, incarnation) || changed
		}
	}
	return changed
}

// tidy has the lists be in order, and forgets what is too much.
func (r *record) tidy() {
	slices.SortFunc(r.Crashes, compareIncarnations)
	slices.SortFunc(r.Cleared, compareIncarnations)
	slices.SortFunc(r.Alone, compareIncarnations)
	if excess := len(r.Cleared) - maxCleared; excess > 0 {
		r.Cleared = slices.Delete(r.Cleared, 0, excess) // all ledgers drop the same
	}
}

// add adds an incarnation that a list lacks and reports whether it did.
func add(incarnations *[]Incarnation, incarnation Incarnation) bool {
	if slices.Contains(*incarnations, incarnation) {
		return false
	}
	*incarnations = append(*incarnations, incarnation)
	return true
}

// remove removes an incarnation from a list and reports whether it was there.
func remove(incarnations *[]Incarnation, incarnation Incarnation) bool {
	i := slices.Index(*incarnations, incarnation)
	if i < 0 {
		return false
	}
	*incarnations = slices.Delete(*incarnations, i, i+1)
	return true
}

// mostCrashes bounds the ends that a record remembers, for one more. That under a run of its own
// has to be among them, however many servers ended together before.
func (r *record) mostCrashes(from Record, incarnation Incarnation) int {
	if slices.Contains(from.Alone, incarnation) {
		return maxCleared + maxAlone
	}
	return maxCleared
}

// forgotten reports whether a cleared incarnation is one of those that are not remembered.
func (r *record) forgotten(incarnation Incarnation) bool {
	return len(r.Cleared) >= maxCleared && compareIncarnations(incarnation, r.Cleared[0]) < 0
}

// hash sums up what the record says.
func (r *record) hash() uint64 {
	text := append([]byte(r.Fingerprint), byte(len(r.Crashes)), byte(len(r.Alone)))
	incarnations := slices.Concat(r.Crashes, r.Cleared, r.Alone)
	for _, end := range r.pending {
		incarnations = append(incarnations, end.incarnation)
	}
	for _, incarnation := range incarnations {
		text = append(text, incarnation.Server...)
		text = binary.BigEndian.AppendUint64(text, uint64(incarnation.Born))
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint64(text, uint64(r.Grace)))
}

// told returns the record for others.
func (r *record) told(now time.Time) Record {
	told := r.Record
	told.Crashes, told.Cleared, told.Alone = slices.Clone(r.Crashes), slices.Clone(r.Cleared), slices.Clone(r.Alone)
	told.Pending = r.toldPending(now)
	told.Age = max(0, now.Sub(r.at))
	return told
}
