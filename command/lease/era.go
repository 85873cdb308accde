package lease

import "github.com/martenport/martenport/store"

// FenceBase returns the base of an era's fencing tokens: it is lower than every token of that era and higher than
// every token of earlier eras.
func FenceBase(era int64) int64 { return int64(store.RevisionOf(era, 0)) }

// RestoredFromBackup reports whether the record, read in the given era of the store, was written in an earlier era.
// Such a record was restored from a backup of the store, and other instances may have held the lease since it was
// written.
func (r Record) RestoredFromBackup(era int64) bool { return r.Era != era }

// Vacant reports whether the record, read in the given era, shows that nobody holds the lease or does not show who
// holds it.
func (r Record) Vacant(era int64) bool {
	return r.Fence == 0 || r.Released || r.RestoredFromBackup(era)
}

// NeverHeld returns the record to replace when it is certain that nobody has held the lease yet.
func NeverHeld(era int64) Record { return Record{Era: era} }

// inEra returns r if it was written in the given era. Otherwise it returns the record of an unknown holder, which is
// assumed to have renewed the lease until now.
func (r Record) inEra(era int64) Record {
	if !r.RestoredFromBackup(era) {
		return r
	}
	return Record{Fence: max(1, r.Fence), Era: era}
}

// ObserveEra updates the lease when the store has entered an era, and reports whether the lease was lost because of
// that.
func (l *Lease) ObserveEra(era int64) (lost bool) {
	lost = l.held && l.revision.Era() < era
	if lost {
		l.held = false
	}
	return lost
}
