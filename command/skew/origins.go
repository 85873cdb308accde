// Package skew remembers at which software version streams began while servers of several versions serve side by side
// (version skew, as in a rolling update). A client that resumes a stream names the attempt that began it; the stream
// may go on only at the version that began it. The package does no I/O.
package skew

import (
	"crypto/sha256"
	"sync"
	"time"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the server that wrote the stream's first event.
	Version string
}

// Lifetime is how long after its first event a stream may be resumed. It exceeds the time for which clients of
// streams wait for a complete answer over all attempts.
const Lifetime = 2 * time.Minute

// maxOrigins bounds the origins in each half of the table, about 100 B each.
const maxOrigins = 32768

// attemptKey is a digest of an attempt's ID, which clients choose.
type attemptKey [16]byte

func keyOf(attempt string) attemptKey {
	sum := sha256.Sum256([]byte(attempt))
	return attemptKey(sum[:len(attemptKey{})])
}

// Origins holds the origins of streams by the attempt that brought the first event, for Lifetime at least unless there
// are too many. It is safe for concurrent use.
type Origins struct {
	mu      sync.Mutex
	periods // guarded by mu
}

// NewOrigins returns an empty table.
func NewOrigins() *Origins { return &Origins{} }

// Record records the origin of a stream. An origin never changes: only the first one recorded for an attempt counts.
func (o *Origins) Record(attempt string, origin Origin, now time.Time) {
	o.record(keyOf(attempt), origin, now)
}

func (o *Origins) record(key attemptKey, origin Origin, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(now, Lifetime, len(o.current) >= maxOrigins)
	if _, known := o.previous[key]; known {
		return
	}
	if _, known := o.current[key]; !known {
		o.current[key] = origin
	}
}

// Find returns the origin of a stream, and whether it is known.
func (o *Origins) Find(attempt string, now time.Time) (Origin, bool) {
	key := keyOf(attempt)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(now, Lifetime, len(o.current) >= maxOrigins)
	if origin, known := o.current[key]; known {
		return origin, true
	}
	origin, known := o.previous[key]
	return origin, known
}

// Len returns the number of origins.
func (o *Origins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.current) + len(o.previous)
}
