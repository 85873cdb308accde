package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/serving"
)

// record is a ledger's record of one request.
type record struct {
	Record    // Pending is unused
	changedAt time.Time
	// pending are the pending crashes, sorted by compareIncarnations.
	pending []pendingCrash
	// revision is the ledger's revision at the record's last change, and digestTerm is the record's
	// contribution to the ledger's digest.
	revision, digestTerm uint64
}

// hasPart reports whether fp is the fingerprint of a part of the request's prompt.
func (r *record) hasPart(fp serving.Fingerprint) bool {
	hash, isPart := partHash(fp)
	return isPart && slices.Contains(r.Parts, hash)
}

// grace returns the grace period of the next isolated run.
func (r *record) grace() time.Duration { return max(MinGrace, r.Grace) }

// stateOn returns the state on servers with a software version, or on any server if version is "". What is quarantined
// may run isolated on a version of which it has crashed no server.
func (r *record) stateOn(version string) State {
	state := r.State()
	if state == Quarantined && version != "" && !slices.ContainsFunc(r.Crashes, func(incarnation Incarnation) bool {
		return incarnation.Version == version
	}) {
		return Suspect
	}
	return state
}

// merge adds what another record contains, and reports whether any of it was new.
func (r *record) merge(from Record) bool {
	changed := r.mergeBegun(from.Begun)
	changed = r.mergeCleared(from.Cleared) || changed
	changed = r.mergeCrashes(from) || changed
	r.normalize()
	r.dropPending()
	if from.Grace > r.Grace {
		r.Grace = from.Grace
		changed = true
	}
	if r.Subject == "" {
		r.Subject = from.Subject
	}
	if len(r.Parts) == 0 {
		r.Parts = from.Parts
	}
	return changed
}

// mergeBegun adds software versions at which answers have begun, clears the record of their crashes, and reports whether
// any was new.
func (r *record) mergeBegun(versions []string) (changed bool) {
	for _, version := range versions {
		if slices.Contains(r.Begun, version) {
			continue
		}
		r.Begun = append(slices.Clone(r.Begun), version)
		r.mergeCleared(ofVersion(r.Crashes, version))
		changed = true
	}
	slices.Sort(r.Begun)
	return changed
}

// mergeCleared clears the record of crashes, and reports whether that changed anything.
func (r *record) mergeCleared(cleared []Incarnation) (changed bool) {
	for _, incarnation := range cleared {
		if !r.evicted(incarnation) {
			changed = addIncarnation(&r.Cleared, incarnation) || changed
		}
		changed = removeIncarnation(&r.Crashes, incarnation) || changed
		removeIncarnation(&r.Isolated, incarnation)
		removeIncarnation(&r.Alone, incarnation)
	}
	return changed
}

// mergeCrashes adds the crashes of another record, and reports whether any was new.
func (r *record) mergeCrashes(from Record) (changed bool) {
	for _, incarnation := range from.Crashes {
		if !slices.Contains(r.Begun, incarnation.Version) && !slices.Contains(r.Cleared, incarnation) && len(r.Crashes) < r.crashLimit(from, incarnation) {
			changed = addIncarnation(&r.Crashes, incarnation) || changed
		}
	}
	changed = r.addSubset(&r.Isolated, from.Isolated) || changed
	return r.addSubset(&r.Alone, from.Alone) || changed
}

// addSubset adds those incarnations to a list whose crashes count against the request, and reports whether any was new.
func (r *record) addSubset(list *[]Incarnation, incarnations []Incarnation) (changed bool) {
	for _, incarnation := range incarnations {
		if slices.Contains(r.Crashes, incarnation) {
			changed = addIncarnation(list, incarnation) || changed
		}
	}
	return changed
}

// normalize sorts the lists, and removes the oldest cleared crashes beyond maxCleared.
func (r *record) normalize() {
	slices.SortFunc(r.Crashes, compareIncarnations)
	slices.SortFunc(r.Cleared, compareIncarnations)
	slices.SortFunc(r.Isolated, compareIncarnations)
	slices.SortFunc(r.Alone, compareIncarnations)
	if excess := len(r.Cleared) - maxCleared; excess > 0 {
		r.Cleared = slices.Delete(r.Cleared, 0, excess) // all ledgers remove the same ones
	}
}

// addIncarnation appends an incarnation to a list unless it is there, and reports whether it did.
func addIncarnation(incarnations *[]Incarnation, incarnation Incarnation) bool {
	if slices.Contains(*incarnations, incarnation) {
		return false
	}
	*incarnations = append(*incarnations, incarnation)
	return true
}

// removeIncarnation removes an incarnation from a list, and reports whether it was there.
func removeIncarnation(incarnations *[]Incarnation, incarnation Incarnation) bool {
	i := slices.Index(*incarnations, incarnation)
	if i < 0 {
		return false
	}
	*incarnations = slices.Delete(*incarnations, i, i+1)
	return true
}

// crashLimit returns the length up to which Crashes may grow when incarnation is added. The limit is
// higher for crashes during isolated runs, so that one of them fits however many servers have crashed
// together before.
func (r *record) crashLimit(from Record, incarnation Incarnation) int {
	if slices.Contains(from.Isolated, incarnation) || slices.Contains(from.Alone, incarnation) {
		return maxCleared + maxIsolatedCrashes
	}
	return maxCleared
}

// evicted reports whether a cleared incarnation is older than those that are kept in a full list.
func (r *record) evicted(incarnation Incarnation) bool {
	return len(r.Cleared) >= maxCleared && compareIncarnations(incarnation, r.Cleared[0]) < 0
}

// hash returns a hash of the record's content.
func (r *record) hash() uint64 {
	text := append([]byte(r.Fingerprint), byte(len(r.Crashes)), byte(len(r.Cleared)), byte(len(r.Isolated)), byte(len(r.Alone)))
	incarnations := slices.Concat(r.Crashes, r.Cleared, r.Isolated, r.Alone)
	for _, crash := range r.pending {
		incarnations = append(incarnations, crash.incarnation)
	}
	for _, version := range r.Begun {
		text = append(text, version...)
	}
	for _, incarnation := range incarnations {
		text = append(text, incarnation.Server...)
		text = binary.BigEndian.AppendUint64(text, uint64(incarnation.Born))
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint64(text, uint64(r.Grace)))
}

// snapshot returns a copy of the record for other ledgers.
func (r *record) snapshot(now time.Time) Record {
	snapshot := r.Record
	snapshot.Crashes, snapshot.Cleared = slices.Clone(r.Crashes), slices.Clone(r.Cleared)
	snapshot.Isolated, snapshot.Alone = slices.Clone(r.Isolated), slices.Clone(r.Alone)
	snapshot.Begun = slices.Clone(r.Begun)
	snapshot.Pending = r.pendingSnapshot(now)
	snapshot.Age = max(0, now.Sub(r.changedAt))
	return snapshot
}
