// Package admission decides which requests an instance accepts, and queues
// accepted requests until a replica of their model has capacity.
package admission

import (
	"sync"
	"time"

	"github.com/martenport/martenport/verdict"
)

// Params are the limits on concurrent requests of an instance. They bound the
// instance's memory and keep a burst from one caller, or for one model, from
// crowding out the others.
type Params struct {
	// MaxRequests limits all requests in progress or queued.
	MaxRequests int
	// MaxPerModel limits those for one model; the declaration may override it.
	MaxPerModel int
	// MaxPerCaller limits those from one caller.
	MaxPerCaller int
	// RetryAfter is returned to callers whose request exceeds a limit.
	RetryAfter time.Duration
}

// Counts are the numbers of requests by outcome. Accepted is always the sum of
// the others.
type Counts struct {
	Accepted, Answered, Refused, Failed, Cancelled, Running int64
}

// Sum returns the sum of all counts except Accepted, which must equal Accepted.
func (c Counts) Sum() int64 {
	return c.Answered + c.Refused + c.Failed + c.Cancelled + c.Running
}

// Gate counts requests and their outcomes and refuses requests above the limits.
type Gate struct {
	params Params

	mu       sync.Mutex
	counts   Counts         // guarded by mu
	byModel  map[string]int // guarded by mu
	byCaller map[string]int // guarded by mu
	draining bool           // guarded by mu
	idle     chan struct{}  // guarded by mu; closed when draining and no request is running
}

// NewGate returns a Gate that accepts requests.
func NewGate(p Params) *Gate {
	return &Gate{params: p, byModel: map[string]int{}, byCaller: map[string]int{}, idle: make(chan struct{})}
}

// Ticket represents one admitted request.
type Ticket struct {
	gate          *Gate
	model, caller string
}

// Admit admits a request or refuses it with a *verdict.Failure. modelLimit
// replaces MaxPerModel if above 0. A refused request is counted in both Accepted
// and Refused.
func (g *Gate) Admit(model, caller string, modelLimit int) (*Ticket, error) {
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

// Reject counts a request that was refused before it reached Admit.
func (g *Gate) Reject() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Accepted++
	g.counts.Refused++
}

// check returns the reason to refuse a request, nil if there is none. g.mu must
// be held.
func (g *Gate) check(model, caller string, modelLimit int) error {
	if modelLimit <= 0 {
		modelLimit = g.params.MaxPerModel
	}
	refuse := func(what string, limit int) error {
		return verdict.Refuse(verdict.ReasonQueueFull, "%s has %d requests here", what, limit).WithRetryAfter(g.params.RetryAfter)
	}
	switch {
	case g.draining:
		return verdict.Refuse(verdict.ReasonDraining, "instance is leaving, send the request again").WithRetryAfter(time.Millisecond)
	case g.counts.Running >= int64(g.params.MaxRequests):
		return refuse("the instance", g.params.MaxRequests)
	case g.byModel[model] >= modelLimit:
		return refuse("model "+model, modelLimit)
	case g.byCaller[caller] >= g.params.MaxPerCaller:
		return refuse("caller "+caller, g.params.MaxPerCaller)
	}
	return nil
}

// Done counts the request as ended, by outcome; err is nil if it was answered. It
// must be called once.
func (t *Ticket) Done(err error) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Running--
	*g.outcomeCount(err)++
	decrement(g.byModel, t.model)
	decrement(g.byCaller, t.caller)
	if g.draining && g.counts.Running == 0 {
		closeOnce(g.idle)
	}
}

// outcomeCount returns the count for requests that ended with err. g.mu must be
// held.
func (g *Gate) outcomeCount(err error) *int64 {
	if err == nil {
		return &g.counts.Answered
	}
	f := verdict.FromError(err)
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

// Drain refuses all further requests and returns a channel that is closed when
// none is running any more.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	if g.counts.Running == 0 {
		closeOnce(g.idle)
	}
	return g.idle
}

// Draining reports whether Drain has been called.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Counts returns the current request counts.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Pending returns the number of requests for a model that are in progress or
// queued.
func (g *Gate) Pending(model string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byModel[model]
}
