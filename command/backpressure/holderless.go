package backpressure

import (
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/rendezvous"
)

// HolderlessLimiter limits what an instance sends to rate-limited servers while no holder lends. This
// happens when a failure domain is cut off, or when the store is unavailable and a lost holder cannot be
// replaced; rate-limited servers may then be the only ones available.
//
// The instances of the server's failure domain divide its rate without communicating: some of them,
// chosen by hash, gain equal parts of it, and the others send nothing. Each starts empty when all
// shares of the lost holder have expired, and saves up at most one request. So in a window, all of them
// together exceed the rate by at most one request each, and sharerCount bounds their number. Together
// with what the holder has lent, that is at most 6 times the rate plus 3 requests in 4 s; the
// deployment allows 6 times the rate plus 5.
//
// It is safe for concurrent use.
type HolderlessLimiter struct {
	self string

	mu sync.Mutex
	// buckets has this instance's part of each server's rate, by server id; guarded by mu.
	buckets map[string]*quota.Bucket
}

// sharerCount returns how many of the peers share a server with the given rate, in requests per second.
func sharerCount(peers []string, rate float64) int { return min(len(peers), 2+int(rate)) }

// NewHolderlessLimiter returns an empty HolderlessLimiter for the named instance.
func NewHolderlessLimiter(self string) *HolderlessLimiter {
	return &HolderlessLimiter{self: self, buckets: map[string]*quota.Bucket{}}
}

// Reset records that a holder has lent shares.
func (l *HolderlessLimiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.buckets)
}

// Take takes one send to a server from this instance's part of the server's rate. lent is when a holder
// last lent shares, and peers are the instances of the server's failure domain. If the send is not
// possible now, after is the time until it will be; 0 if this instance has no part.
func (l *HolderlessLimiter) Take(server string, rate float64, peers []string, lent, now time.Time) (ok bool, after time.Duration) {
	n := sharerCount(peers, rate)
	if !isSharer(server, l.self, peers, n) {
		return false, 0
	}
	begins := lent.Add(time.Duration((1 + lifetimeSlack) * float64(shareLifetime)))
	if now.Before(begins) {
		return false, begins.Sub(now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := quota.Share{Rate: LentLimit(rate).Rate / float64(n), Saved: 1}
	bucket := l.buckets[server]
	if bucket == nil {
		empty := quota.NewBucket(0, begins)
		bucket = &empty
		l.buckets[server] = bucket
	}
	bucket.Refill(share, now)
	if bucket.Take(1) {
		return true, 0
	}
	return false, time.Duration((1 - bucket.Level()) / share.Rate * float64(time.Second))
}

// lifetimeSlack is the fraction by which other instances' shares may last longer than by this
// instance's clock.
const lifetimeSlack = 0.02

// isSharer reports whether an instance is one of the n peers that share a server.
func isSharer(server, self string, peers []string, n int) bool {
	candidates := slices.Clone(peers)
	for range n {
		best := rendezvous.Choose(server, candidates)
		if best == self {
			return true
		}
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == best })
	}
	return false
}
