// Package admission decides which requests an instance takes in.
package admission

import (
	"sync"
	"time"

	"github.com/martenport/martenport/verdict"
)

// Params bound what an instance takes in. A limit keeps the memory of the
// instance bounded and a burst of one caller or model from the others.
type Params struct {
	// MaxRequests bounds all requests in progress or waiting.
	MaxRequests int
	// MaxPerModel bounds those of one model; a declaration may set its own.
	MaxPerModel int
	// MaxPerCaller bounds those of one caller.
	MaxPerCaller int
	// RetryAfter is told to callers that are refused for a limit.
	RetryAfter time.Duration
}

// Counts are the requests by their end. At every moment Accepted is the sum of
// the others.
type Counts struct {
	Accepted, Answered, Refused, Failed, Cancelled, Running int64
}

// Sum returns what Accepted must be.
func (c Counts) Sum() int64 {
	return c.Answered + c.Refused + c.Failed + c.Cancelled + c.Running
}

// Gate counts requests in and out and refuses those above the limits.
type Gate struct {
	params Params

	mu       sync.Mutex
	counts   Counts         // guarded by mu
	byModel  map[string]int // guarded by mu
	byCaller map[string]int // guarded by mu
	draining bool           // guarded by mu
	idle     chan struct{}  // guarded by mu; closed when draining and nothing runs
}

// NewGate returns an open gate.
func NewGate(p Params) *Gate {
	return &Gate{params: p, byModel: map[string]int{}, byCaller: map[string]int{}, idle: make(chan struct{})}
}

// Ticket stands for one request that was let in.
type Ticket struct {
	gate          *Gate
	model, caller string
}

// Enter lets a request in or refuses it. modelLimit replaces MaxPerModel when
// above 0. A request that is refused here is counted as accepted and refused.
func (g *Gate) Enter(model, caller string, modelLimit int) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Accepted++
	if err := g.check(model, caller, modelLimit); err != nil {
		g.counts.Refused++
		return nil, err
	}
	g.counts.Running++
	g.byModel[model]++
	g.byCaller[caller]++
	return &Ticket{gate: g, model: model, caller: caller}, nil
}

// Reject counts a request that was refused before it could be let in.
func (g *Gate) Reject() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Accepted++
	g.counts.Refused++
}

// check needs mu.
func (g *Gate) check(model, caller string, modelLimit int) error {
	if modelLimit <= 0 {
		modelLimit = g.params.MaxPerModel
	}
	refuse := func(what string, limit int) error {
		return verdict.Refuse(verdict.ReasonQueueFull, "%s has %d requests here", what, limit).After(g.params.RetryAfter)
	}
	switch {
	case g.draining:
		return verdict.Refuse(verdict.ReasonDraining, "instance is leaving, send the request again").After(time.Millisecond)
	case g.counts.Running >= int64(g.params.MaxRequests):
		return refuse("the instance", g.params.MaxRequests)
	case g.byModel[model] >= modelLimit:
		return refuse("model "+model, modelLimit)
	case g.byCaller[caller] >= g.params.MaxPerCaller:
		return refuse("caller "+caller, g.params.MaxPerCaller)
	}
	return nil
}

// Leave counts the request out by how it ended; err is nil when answered.
func (t *Ticket) Leave(err error) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Running--
	*g.end(err)++
	decrement(g.byModel, t.model)
	decrement(g.byCaller, t.caller)
	if g.draining && g.counts.Running == 0 {
		closeOnce(g.idle)
	}
}

// end needs mu.
func (g *Gate) end(err error) *int64 {
	if err == nil {
		return &g.counts.Answered
	}
	f := verdict.Of(err)
	switch {
	case f.Reason == verdict.ReasonCancelled:
		return &g.counts.Cancelled
	case f.Verdict == verdict.NotRun:
		return &g.counts.Refused
	default:
		return &g.counts.Failed
	}
}

func decrement(counts map[string]int, name string) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

func closeOnce(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// Drain refuses all further requests and returns a channel that is closed once
// none is running.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	if g.counts.Running == 0 {
		closeOnce(g.idle)
	}
	return g.idle
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Counts returns the requests by their end.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Waiting returns the requests of a model in progress or waiting.
func (g *Gate) Waiting(model string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byModel[model]
}
