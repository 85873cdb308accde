// Package routing chooses among replicas. It is pure but for the balancer's
// own account of what it sent where.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/table"
)

// Params set how replicas are compared.
type Params struct {
	// AffinitySlack is how many requests more the replica of a session may
	// have than the least loaded one and still be taken.
	AffinitySlack float64
	// FarPenalty is how many requests a replica in another failure domain
	// must have less to be taken.
	FarPenalty float64
	// EjectAfter failures in a row take a replica out for EjectFor, doubling
	// up to MaxEject.
	EjectAfter         int
	EjectFor, MaxEject time.Duration
	// StartWindow is how many requests an instance sends to a replica before
	// first tokens tell more; 0 sends without limit.
	StartWindow float64
	// QueueDelay is how much later than at best the first token may come
	// before it counts as waiting in the engine.
	QueueDelay time.Duration
}

// DefaultParams returns the comparison used unless set otherwise.
func DefaultParams() Params {
	return Params{AffinitySlack: 4, FarPenalty: 4, EjectAfter: 3, EjectFor: time.Second, MaxEject: 30 * time.Second, StartWindow: 8, QueueDelay: 50 * time.Millisecond}
}

// health is what the balancer knows of one backend server by its own requests.
type health struct {
	inFlight int
	failures int
	until    time.Time
	window   window
	service  service
}

// Balancer chooses replicas for one instance.
type Balancer struct {
	params Params

	mu      sync.Mutex
	servers map[string]*health // guarded by mu
}

// NewBalancer returns a balancer that has sent nothing yet.
func NewBalancer(p Params) *Balancer {
	return &Balancer{params: p, servers: map[string]*health{}}
}

// Choose returns the replica for a request, false when there is none with room.
// Sessions stay with one replica while it is not much busier than the others,
// so that its prefix cache is of use.
func (b *Balancer) Choose(replicas []table.EngineView, domain, session string, now time.Time) (table.EngineView, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.withRoom(b.usable(replicas, now))
	if len(usable) == 0 {
		return table.EngineView{}, false
	}
	best := b.least(usable, domain)
	if session == "" {
		return best, true
	}
	home := b.home(usable, session)
	if b.score(home, domain) <= b.score(best, domain)+b.params.AffinitySlack {
		return home, true
	}
	return best, true
}

// usable leaves out ejected replicas, unless all are. It needs mu.
func (b *Balancer) usable(replicas []table.EngineView, now time.Time) []table.EngineView {
	var out []table.EngineView
	for _, r := range replicas {
		if !b.server(r.Engine).until.After(now) {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return replicas
	}
	return out
}

// withRoom leaves out replicas whose window is full. It needs mu.
func (b *Balancer) withRoom(replicas []table.EngineView) []table.EngineView {
	if b.params.StartWindow == 0 {
		return replicas
	}
	var out []table.EngineView
	for _, r := range replicas {
		if s := b.server(r.Engine); float64(s.inFlight) < s.window.size {
			out = append(out, r)
		}
	}
	return out
}

// least returns the better of two taken at random, so that instances with the
// same old reports do not all choose the same. It needs mu.
func (b *Balancer) least(replicas []table.EngineView, domain string) table.EngineView {
	first := rand.IntN(len(replicas))
	if len(replicas) == 1 {
		return replicas[first]
	}
	second := rand.IntN(len(replicas) - 1)
	if second >= first {
		second++
	}
	if b.score(replicas[second], domain) < b.score(replicas[first], domain) {
		return replicas[second]
	}
	return replicas[first]
}

func (b *Balancer) home(replicas []table.EngineView, session string) table.EngineView {
	names := make([]string, len(replicas))
	for i, r := range replicas {
		names[i] = r.Engine
	}
	chosen := rendezvous.Choose(session, names)
	for _, r := range replicas {
		if r.Engine == chosen {
			return r
		}
	}
	return replicas[0]
}

// score is the work ahead of a new request on the replica, in requests. It
// needs mu.
func (b *Balancer) score(r table.EngineView, domain string) float64 {
	s := b.server(r.Engine)
	score := float64(max(r.Load.Queue+r.Load.Running, s.inFlight))
	if r.FailureDomain != domain {
		score += b.params.FarPenalty
	}
	return score
}

// server needs mu.
func (b *Balancer) server(name string) *health {
	s, found := b.servers[name]
	if !found {
		s = &health{window: window{size: b.params.StartWindow, slowStart: true}}
		b.servers[name] = s
	}
	return s
}

// Sent notes a request sent to the server; call the returned function with its
// outcome. failed means that the server, not the request, was at fault.
func (b *Balancer) Sent(server string) func(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(server).inFlight++
	return func(failed bool) { b.done(server, failed) }
}

func (b *Balancer) done(name string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(name)
	s.inFlight--
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	if over := s.failures - b.params.EjectAfter; over >= 0 {
		pause := min(b.params.EjectFor<<min(over, maxEjectShift), b.params.MaxEject)
		s.until = time.Now().Add(pause)
	}
}

// maxEjectShift keeps the doubling of ejections from overflowing.
const maxEjectShift = 16
