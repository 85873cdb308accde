package skew

import (
	"sync"
	"time"
)

// Limits on the streams that a Recent holds.
const (
	// maxRecent is the number of streams, about 150 B each.
	maxRecent = 8192
	// maxAttemptLength is the length of attempt IDs, which clients choose, in bytes. Longer ones are not held.
	maxAttemptLength = 64
)

// Entry is the origin of a stream, by the attempt that brought its first event.
type Entry struct {
	Attempt string
	Origin  Origin
}

// Recent holds the latest streams that began while their service had one software version. Nobody needs their origins
// until servers of a second version appear; then other instances have to learn them. It is safe for concurrent use.
type Recent struct {
	mu sync.Mutex
	// entries is a ring whose oldest entry is at next once it is full; guarded by mu.
	entries []recentEntry
	next    int
}

type recentEntry struct {
	Entry
	begunAt time.Time
}

// Add adds a stream that begins now. The oldest one makes room for it.
func (r *Recent) Add(e Entry, now time.Time) {
	if len(e.Attempt) > maxAttemptLength {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < maxRecent {
		r.entries = append(r.entries, recentEntry{e, now})
		return
	}
	r.entries[r.next] = recentEntry{e, now}
	r.next = (r.next + 1) % maxRecent
}

// Find returns the origin of a stream, and whether it is held.
func (r *Recent) Find(attempt string) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.entries {
		if e := r.entries[(r.next+len(r.entries)-1-n)%len(r.entries)]; e.Attempt == attempt {
			return e.Origin, true
		}
	}
	return Origin{}, false
}

// Take removes the streams of a service, and returns those that may still be resumed.
func (r *Recent) Take(service string, now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var taken []Entry
	var kept []recentEntry
	for n := range r.entries {
		e := r.entries[(r.next+n)%len(r.entries)]
		switch {
		case e.Origin.Service != service:
			kept = append(kept, e)
		case now.Sub(e.begunAt) < Lifetime:
			taken = append(taken, e.Entry)
		}
	}
	r.entries, r.next = kept, 0
	return taken
}
