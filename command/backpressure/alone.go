package backpressure

import (
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/rendezvous"
)

// Alone is what an instance sends to limited servers while no holder lends: where a failure
// domain is cut off, or the store is away and nobody can succeed a lost holder, servers that
// limit what they take may be all that there is.
//
// The instances of the server's failure domain share what it takes without a word: some of them,
// chosen by hash, gain equal parts of its rate. Others send it nothing. Each begins with nothing,
// when all shares of the lost holder are over, and saves up one request. So all together send no
// more than one each beyond the rate in a window, and there are sharers of them: with what the
// holder lends that is 6 times the rate and 3 in 4 s, where 5 are allowed beyond that.
//
// It is safe for concurrent use.
type Alone struct {
	self string

	mu sync.Mutex
	// parts has what there is of each server's; guarded by mu.
	parts map[string]*quota.Bucket
}

// sharers is how many of an instance's peers share a server that takes so many a second.
func sharers(peers []string, rate float64) int { return min(len(peers), 2+int(rate)) }

// NewAlone returns the account of the named instance.
func NewAlone(self string) *Alone { return &Alone{self: self, parts: map[string]*quota.Bucket{}} }

// Lent notes that a holder has lent.
func (a *Alone) Lent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.parts)
}

// Take takes one send to a server from this instance's part of what it takes. lent is when a
// holder last lent, and peers are the instances of the server's failure domain. If there is
// nothing left, after is when there will be; 0 if this instance has no part.
func (a *Alone) Take(server string, rate float64, peers []string, lent, now time.Time) (ok bool, after time.Duration) {
	n := sharers(peers, rate)
	if !chosen(server, a.self, peers, n) {
		return false, 0
	}
	begins := lent.Add(time.Duration((1 + lifetimeSlack) * float64(lifetime)))
	if now.Before(begins) {
		return false, begins.Sub(now)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	share := quota.Share{Rate: LimitAt(rate).Rate / float64(n), Saved: 1}
	part := a.parts[server]
	if part == nil {
		begun := quota.NewBucket(0, begins)
		part = &begun
		a.parts[server] = part
	}
	part.Refill(share, now)
	if part.Take(1) {
		return true, 0
	}
	return false, time.Duration((1 - part.Level()) / share.Rate * float64(time.Second))
}

// lifetimeSlack is the part by which shares of others may last longer than by this clock.
const lifetimeSlack = 0.02

// chosen reports whether an instance is one of the n of its peers that share a server.
func chosen(server, self string, peers []string, n int) bool {
	left := slices.Clone(peers)
	for range n {
		best := rendezvous.Choose(server, left)
		if best == self {
			return true
		}
		left = slices.DeleteFunc(left, func(name string) bool { return name == best })
	}
	return false
}
