package quarantine

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// begunRetention is how long a part with which an answer has begun is not held responsible for crashes. Parts that
	// many requests share are on all servers at the same time.
	begunRetention = 20 * time.Second
	// begunSlots is the number of parts that are remembered, 16 B each. Parts with the same slot replace each other.
	begunSlots = 1 << 13
)

// begunParts remembers with which parts of prompts answers have begun here at which software version. It takes no locks, since
// it is updated with each answer, and is not exchanged: Record.Begun tells other instances, and only of parts that have a
// record. A part that crashes servers of a version is never in it with that version.
type begunParts struct {
	slots [begunSlots]struct {
		hash atomic.Uint64
		at   atomic.Int64 // nanoseconds since the Unix epoch
	}
}

// add records that a server of a software version has begun an answer to a request with a part.
func (b *begunParts) add(hash uint64, version string, now time.Time) {
	hash = withVersion(hash, version)
	slot := &b.slots[hash%begunSlots]
	slot.hash.Store(hash)
	slot.at.Store(now.UnixNano())
}

// contains reports whether a server of a software version has recently begun an answer to a request with a part.
func (b *begunParts) contains(hash uint64, version string, now time.Time) bool {
	hash = withVersion(hash, version)
	slot := &b.slots[hash%begunSlots]
	age := now.Sub(time.Unix(0, slot.at.Load()))
	return slot.hash.Load() == hash && age.Abs() < begunRetention
}

// withVersion combines the hash of a part and a software version.
func withVersion(hash uint64, version string) uint64 {
	return hash ^ bits.RotateLeft64(xxhash.Sum64String(version), 1)
}
