// Package weights schedules loads on the streams of the weight store. If all loads run at once, all of them miss their
// deadlines; if only a few run at a time, ordered by deadline, most finish in time.
//
// Each failure domain has one gate, on an instance chosen by rendezvous hashing. A domain always has its own share of
// the streams, so that it can continue when it is cut off, and may borrow streams that the other domains are known not
// to use. The gate only improves efficiency: if it does not answer, a load starts without it.
package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/verdict"
)

// Request is a request for a stream for one load.
type Request struct {
	Engine, Unit string
	Bytes        int64
	// Latest is the time after which no request waits for the load.
	Latest time.Time
}

// loadID identifies a load.
type loadID struct{ engine, unit string }

func (r Request) id() loadID { return loadID{r.Engine, r.Unit} }

// Gate grants streams in one failure domain.
type Gate struct {
	params Params
	// changed has an item when a load has started to wait.
	changed chan struct{}

	mu      sync.Mutex
	waiting []*waiter        // guarded by mu
	granted map[loadID]grant // guarded by mu
	// waitingSince is since when loads have been waiting, ignoring gaps of up to GrantGrace, since a caller that asks
	// again is not new. lastWaitedAt is when a load was last seen waiting.
	waitingSince, lastWaitedAt time.Time // guarded by mu
	// borrowedAt is when a stream beyond the share was last granted.
	borrowedAt  time.Time // guarded by mu
	speeds      []float64 // guarded by mu; bytes per second of the newest loads
	lastSpeedAt time.Time // guarded by mu; when the newest of these loads ended
}

// Params configures a Gate.
type Params struct {
	// GrantGrace is how long after a grant the load may still be missing from reports.
	GrantGrace time.Duration
	// BorrowInterval is the minimum time between two grants beyond the share: long enough to learn which loads the
	// other domains have started in the meantime.
	BorrowInterval time.Duration
	// PropagationDelay is how long it takes until a domain learns which loads another one has started.
	PropagationDelay time.Duration
	// SpeedMaxAge is how long an observed speed is used while no load is running. If all loads were refused because of
	// it, it would never be corrected.
	SpeedMaxAge time.Duration
	// RetryAfter is the minimum retry delay returned with a refusal.
	RetryAfter time.Duration
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{GrantGrace: 5 * time.Second, BorrowInterval: 1500 * time.Millisecond, PropagationDelay: 500 * time.Millisecond, SpeedMaxAge: 30 * time.Second, RetryAfter: 5 * time.Second}
}

// maxSpeeds is how many of the newest loads are used to estimate the speed.
const maxSpeeds = 8

// grant is a stream in use.
type grant struct {
	since time.Time
	bytes int64
}

type waiter struct {
	Request
	done chan error
}

// NewGate returns a gate without granted streams.
func NewGate(p Params) *Gate {
	return &Gate{params: p, granted: map[loadID]grant{}, changed: make(chan struct{}, 1)}
}

// Acquire waits for a stream. Streams are granted by deadline, earliest first. A load that cannot finish in time even at
// the highest recently observed speed is refused, so that a slow store is not occupied by loads that no request waits
// for any more. Acquire also fails when ctx is done.
func (g *Gate) Acquire(ctx context.Context, r Request) error {
	w := &waiter{Request: r, done: make(chan error, 1)}
	g.mu.Lock()
	if _, again := g.granted[r.id()]; again {
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) == 0 && time.Since(g.lastWaitedAt) > g.params.GrantGrace {
		g.waitingSince = time.Now()
	}
	g.waiting = append(g.waiting, w)
	g.mu.Unlock()
	pause.Wake(g.changed)
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		g.remove(w)
		return verdict.Refuse(verdict.ReasonDeadline, "no stream of the weight store for %s in time", r.Unit)
	}
}

// Changed returns a channel that has an item when Update should be called because a load has started to wait.
func (g *Gate) Changed() <-chan struct{} { return g.changed }

func (g *Gate) remove(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
}

// State is the state of a granted load, as reported by its engine.
type State int

// The states.
const (
	// Unknown: not reported, or not yet.
	Unknown State = iota
	Loading
	Finished
)

// Streams are the streams that a failure domain may use.
type Streams struct {
	// Share is the domain's own share, which it may use regardless of the other domains.
	Share int
	// Allowed is Share plus the streams that the other domains are known not to use.
	Allowed int
	// BorrowRank is the domain's rank among domains that need streams at the same moment. A domain of a higher rank
	// waits before it borrows until it must have learned which loads those of lower rank have started.
	BorrowRank int
}

// Update drops loads that have ended and grants streams to waiting loads while any are available. loadState returns the
// state of a granted load.
func (g *Gate) Update(s Streams, loadState func(engine, unit string) State, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, granted := range g.granted {
		switch loadState(id.engine, id.unit) {
		case Finished:
			g.recordSpeed(granted.bytes, now.Sub(granted.since))
			delete(g.granted, id)
		case Unknown:
			if now.Sub(granted.since) > g.params.GrantGrace {
				delete(g.granted, id)
			}
		}
	}
	if len(g.waiting) > 0 {
		g.lastWaitedAt = now
	}
	g.refuseLate(now)
	slices.SortStableFunc(g.waiting, func(a, b *waiter) int { return a.Latest.Compare(b.Latest) })
	for len(g.waiting) > 0 && g.mayGrant(s, now) {
		w := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.granted[w.id()] = grant{since: now, bytes: w.Bytes}
		w.done <- nil
	}
}

// mayGrant reports whether one more stream may be granted, and records a borrowed one. g.mu must be held.
func (g *Gate) mayGrant(s Streams, now time.Time) bool {
	if len(g.granted) < s.Share {
		return true
	}
	if len(g.granted) >= s.Allowed || now.Sub(g.borrowedAt) < g.params.BorrowInterval {
		return false
	}
	if now.Sub(g.waitingSince) < g.params.BorrowInterval+time.Duration(s.BorrowRank)*g.params.PropagationDelay {
		return false
	}
	g.borrowedAt = now
	return true
}

// refuseLate refuses the waiting loads that cannot finish in time. g.mu must be held.
func (g *Gate) refuseLate(now time.Time) {
	if len(g.granted) == 0 && now.Sub(g.lastSpeedAt) > g.params.SpeedMaxAge {
		g.speeds = nil
	}
	fastest := 0.0
	for _, s := range g.speeds {
		fastest = max(fastest, s)
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		loadTime := time.Duration(0)
		if fastest > 0 {
			loadTime = time.Duration(float64(w.Bytes) / fastest * float64(time.Second))
		}
		if !now.Add(loadTime).After(w.Latest) {
			return false
		}
		w.done <- verdict.Refuse(verdict.ReasonTooSlow, "%s cannot be loaded in time, a load takes %v", w.Unit, loadTime.Round(time.Second)).WithRetryAfter(max(loadTime, g.params.RetryAfter))
		return true
	})
}

// recordSpeed records the speed of a load that ended. g.mu must be held.
func (g *Gate) recordSpeed(bytes int64, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	g.lastSpeedAt = time.Now()
	g.speeds = append(g.speeds, float64(bytes)/elapsed.Seconds())
	if len(g.speeds) > maxSpeeds {
		g.speeds = g.speeds[1:]
	}
}

// Waiting returns how many loads wait for a stream.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// Divide returns the streams of the failure domain with the given index. The shares of all domains add up to all
// streams, except that each domain has at least one.
func Divide(streams, domains, index, usedElsewhere int) Streams {
	domains = max(1, domains)
	share := streams / domains
	if index < streams%domains {
		share++
	}
	share = max(1, share)
	return Streams{Share: share, Allowed: max(share, streams-usedElsewhere), BorrowRank: index}
}
