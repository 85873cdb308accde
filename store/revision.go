package store

import "fmt"

// Revision orders the states of the store: of two, the greater one is the later. A store that
// came back from a copy gives numbers out again, in another era, so the era goes first. Nothing
// but this package takes a Revision apart.
type Revision int64

// numberBits are the lower bits of a Revision, which have the store's own number; the era is in
// those above. The rates of the platform leave 2^40 numbers for decades.
const numberBits = 40

// RevisionOf returns the revision with a number in an era.
func RevisionOf(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns how often the store had come back from a copy.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns what the store itself calls the revision.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// String has the era and the number.
func (r Revision) String() string {
	if r < 0 {
		return "none"
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}
