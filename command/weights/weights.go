// Package weights shares the weight store's streams. Loads that all run at once
// all come late; run a few at a time, by deadline, and most come in time.
//
// Each failure domain has one gate, at an instance chosen by rendezvous
// hashing. A domain always has its own share of the streams, so that it goes on
// when it is cut off, and may use what the other domains are known not to use.
// The gate is a matter of efficiency only: where it does not answer, a load
// starts without it.
package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/verdict"
)

// Request asks for a stream for one load.
type Request struct {
	Engine, Unit string
	Bytes        int64
	// Latest is the time after which nobody waits for the load.
	Latest time.Time
}

// loadID names one load.
type loadID struct{ engine, unit string }

func (r Request) id() loadID { return loadID{r.Engine, r.Unit} }

// Gate grants streams in one failure domain.
type Gate struct {
	params Params
	// news has an item when a load has begun to wait.
	news chan struct{}

	mu      sync.Mutex
	waiting []*waiter        // guarded by mu
	granted map[loadID]grant // guarded by mu
	// waitingFrom is since when loads have waited, with pauses of up to Settle:
	// one whose caller asks anew has not just come. waitedAt is when one last did.
	waitingFrom, waitedAt time.Time // guarded by mu
	// borrowed is when a stream beyond the share was last granted.
	borrowed time.Time // guarded by mu
	speeds   []float64 // guarded by mu; bytes a second of the newest loads
	notedAt  time.Time // guarded by mu; when the newest of them ended
}

// Params bound a Gate.
type Params struct {
	// Settle is how long after a grant the load may not be known yet.
	Settle time.Duration
	// Borrow is the shortest time between two grants beyond the own share: long
	// enough to hear what the other domains have begun meanwhile.
	Borrow time.Duration
	// Hear is how long a domain takes to hear what another has begun.
	Hear time.Duration
	// Trust is how long an observed speed is believed when no load is running:
	// if all were refused for it, it would never be corrected.
	Trust time.Duration
	// RetryAfter is told when a load is refused.
	RetryAfter time.Duration
}

// DefaultParams returns the bounds used unless set otherwise.
func DefaultParams() Params {
	return Params{Settle: 5 * time.Second, Borrow: 1500 * time.Millisecond, Hear: 500 * time.Millisecond, Trust: 30 * time.Second, RetryAfter: 5 * time.Second}
}

// keptSpeeds is how many of the newest loads are remembered.
const keptSpeeds = 8

// grant is a stream in use.
type grant struct {
	since time.Time
	bytes int64
}

type waiter struct {
	Request
	done chan error
}

// NewGate returns a gate that has granted nothing.
func NewGate(p Params) *Gate {
	return &Gate{params: p, granted: map[loadID]grant{}, news: make(chan struct{}, 1)}
}

// Acquire waits for a stream. The load that is needed soonest goes first; one
// that cannot be finished in time any more, even at the fastest that the store
// was of late, is refused, so that a slow store is not kept busy with loads
// that serve nobody.
func (g *Gate) Acquire(ctx context.Context, r Request) error {
	w := &waiter{Request: r, done: make(chan error, 1)}
	g.mu.Lock()
	if _, again := g.granted[r.id()]; again {
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) == 0 && time.Since(g.waitedAt) > g.params.Settle {
		g.waitingFrom = time.Now()
	}
	g.waiting = append(g.waiting, w)
	g.mu.Unlock()
	pause.Wake(g.news)
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		g.remove(w)
		return verdict.Refuse(verdict.ReasonDeadline, "no stream of the weight store for %s in time", r.Unit)
	}
}

// News has an item when Update should look, since a load has begun to wait.
func (g *Gate) News() <-chan struct{} { return g.news }

func (g *Gate) remove(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
}

// State of a granted load, as its engine reports it.
type State int

// The states.
const (
	// Unknown: not reported, perhaps not yet.
	Unknown State = iota
	Loading
	Finished
)

// Streams are those that a failure domain may use.
type Streams struct {
	// Share is its own; it may use them whatever the others do.
	Share int
	// Allowed is Share and what the others are known to leave.
	Allowed int
	// Turn is the domain's place in the order in which domains that need streams
	// at the same moment borrow them. One that is not first waits until it can
	// have heard what those before it have begun.
	Turn int
}

// Update drops loads that are over and grants streams while there are any. look
// returns the state of a granted load.
func (g *Gate) Update(s Streams, look func(engine, unit string) State, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, one := range g.granted {
		switch look(id.engine, id.unit) {
		case Finished:
			g.note(one.bytes, now.Sub(one.since))
			delete(g.granted, id)
		case Unknown:
			if now.Sub(one.since) > g.params.Settle {
				delete(g.granted, id)
			}
		}
	}
	if len(g.waiting) > 0 {
		g.waitedAt = now
	}
	g.refuseDoomed(now)
	slices.SortStableFunc(g.waiting, func(a, b *waiter) int { return a.Latest.Compare(b.Latest) })
	for len(g.waiting) > 0 && g.mayGrant(s, now) {
		w := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.granted[w.id()] = grant{since: now, bytes: w.Bytes}
		w.done <- nil
	}
}

// mayGrant needs mu.
func (g *Gate) mayGrant(s Streams, now time.Time) bool {
	if len(g.granted) < s.Share {
		return true
	}
	if len(g.granted) >= s.Allowed || now.Sub(g.borrowed) < g.params.Borrow {
		return false
	}
	if now.Sub(g.waitingFrom) < g.params.Borrow+time.Duration(s.Turn)*g.params.Hear {
		return false
	}
	g.borrowed = now
	return true
}

// refuseDoomed needs mu.
func (g *Gate) refuseDoomed(now time.Time) {
	if len(g.granted) == 0 && now.Sub(g.notedAt) > g.params.Trust {
		g.speeds = nil
	}
	fastest := 0.0
	for _, s := range g.speeds {
		fastest = max(fastest, s)
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		need := time.Duration(0)
		if fastest > 0 {
			need = time.Duration(float64(w.Bytes) / fastest * float64(time.Second))
		}
		if !now.Add(need).After(w.Latest) {
			return false
		}
		w.done <- verdict.Refuse(verdict.ReasonTooSlow, "%s cannot be loaded in time, a load takes %v", w.Unit, need.Round(time.Second)).After(max(need, g.params.RetryAfter))
		return true
	})
}

// note keeps how fast a load was. It needs mu.
func (g *Gate) note(bytes int64, took time.Duration) {
	if took <= 0 {
		return
	}
	g.notedAt = time.Now()
	g.speeds = append(g.speeds, float64(bytes)/took.Seconds())
	if len(g.speeds) > keptSpeeds {
		g.speeds = g.speeds[1:]
	}
}

// Waiting returns how many loads wait for a stream.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// Divide returns the streams of the failure domain with this index among all.
// The shares together are all streams, but each domain has at least one.
func Divide(streams, domains, index, usedElsewhere int) Streams {
	domains = max(1, domains)
	share := streams / domains
	if index < streams%domains {
		share++
	}
	share = max(1, share)
	return Streams{Share: share, Allowed: max(share, streams-usedElsewhere), Turn: index}
}
