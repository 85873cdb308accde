package store

import "fmt"

// Revision orders the states of the store: of two revisions, the greater one is the later. A store
// that was restored from a copy assigns the same numbers again, in a new era; the era is therefore
// in the upper bits. Only this package splits a Revision into its parts.
type Revision int64

// numberBits is the number of lower bits of a Revision, which hold the store's own revision number;
// the bits above hold the era. At the permitted write rates, 2^40 numbers last for decades.
const numberBits = 40

// RevisionOf returns the Revision for a number in an era.
func RevisionOf(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns the number of times the store had been restored from a copy.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the store's own revision number.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// String returns the revision as ERA.NUMBER, or "none" if it is negative.
func (r Revision) String() string {
	if r < 0 {
		return "none"
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}
