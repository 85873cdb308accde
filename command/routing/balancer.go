// Package routing selects a replica for each request, from reported load and from
// the balancer's own record of its requests. It performs no I/O.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/table"
)

// Params configures a Balancer.
type Params struct {
	// AffinitySlack is the number of requests by which the load of a session's
	// replica may exceed that of the best alternative before the session is sent
	// there instead.
	AffinitySlack float64
	// CrossDomainPenalty is the number of requests added to the load of a replica
	// in another failure domain.
	CrossDomainPenalty float64
	// EjectAfter consecutive failures eject a replica for EjectFor. Each further
	// failure doubles the time, up to MaxEject.
	EjectAfter         int
	EjectFor, MaxEject time.Duration
	// InitialWindow is the number of concurrent requests that an instance may
	// have on a replica before the window is adjusted; 0 disables the limit.
	InitialWindow float64
	// QueueDelay is the delay of a first token, beyond the smallest observed one,
	// above which the request is assumed to have been queued in the engine.
	QueueDelay time.Duration
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{AffinitySlack: 4, CrossDomainPenalty: 4, EjectAfter: 3, EjectFor: time.Second, MaxEject: 30 * time.Second, InitialWindow: 8, QueueDelay: 50 * time.Millisecond}
}

// serverStats is the record of one backend server, from this instance's own
// requests only.
type serverStats struct {
	inFlight     int       // requests in progress
	failures     int       // consecutive failures
	ejectedUntil time.Time // end of the ejection; zero if never ejected
	window       window
	serviceTimes serviceTimes
}

// Balancer selects replicas for the requests of one instance.
type Balancer struct {
	params Params

	mu      sync.Mutex
	servers map[string]*serverStats // guarded by mu; by server name
}

// NewBalancer returns a Balancer without any recorded requests.
func NewBalancer(p Params) *Balancer {
	return &Balancer{params: p, servers: map[string]*serverStats{}}
}

// Choose returns the replica for a request, or false if none has capacity. domain
// is the instance's failure domain. The requests of one session go to the same
// replica, to use its prefix cache, unless its load exceeds that of the best
// alternative by more than AffinitySlack.
func (b *Balancer) Choose(replicas []table.EngineView, domain, session string, now time.Time) (table.EngineView, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.withCapacity(b.notEjected(replicas, now))
	if len(usable) == 0 {
		return table.EngineView{}, false
	}
	best := b.betterOfTwo(usable, domain)
	if session == "" {
		return best, true
	}
	preferred := b.sessionReplica(usable, session)
	if b.score(preferred, domain) <= b.score(best, domain)+b.params.AffinitySlack {
		return preferred, true
	}
	return best, true
}

// notEjected returns the replicas that are not ejected, or all of them if every
// one is ejected. b.mu must be held.
func (b *Balancer) notEjected(replicas []table.EngineView, now time.Time) []table.EngineView {
	var out []table.EngineView
	for _, r := range replicas {
		if !b.server(r.Engine).ejectedUntil.After(now) {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return replicas
	}
	return out
}

// withCapacity returns the replicas whose window is not full. b.mu must be held.
func (b *Balancer) withCapacity(replicas []table.EngineView) []table.EngineView {
	if b.params.InitialWindow == 0 {
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

// betterOfTwo returns the replica with the lower score of two random ones. The
// random choice keeps instances that share the same stale load reports from all
// selecting the same replica. b.mu must be held.
func (b *Balancer) betterOfTwo(replicas []table.EngineView, domain string) table.EngineView {
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

// sessionReplica returns the replica that the session is hashed to.
func (b *Balancer) sessionReplica(replicas []table.EngineView, session string) table.EngineView {
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

// score returns the load of a replica in requests, including the penalty for
// another failure domain; lower is better. b.mu must be held.
func (b *Balancer) score(r table.EngineView, domain string) float64 {
	s := b.server(r.Engine)
	score := float64(max(r.Load.Queue+r.Load.Running, s.inFlight))
	if r.FailureDomain != domain {
		score += b.params.CrossDomainPenalty
	}
	return score
}

// server returns the record of the named server and creates it if needed. b.mu
// must be held.
func (b *Balancer) server(name string) *serverStats {
	s, found := b.servers[name]
	if !found {
		s = &serverStats{window: window{size: b.params.InitialWindow, slowStart: true}}
		b.servers[name] = s
	}
	return s
}

// StartRequest records a request in progress on the server. The caller must call
// the returned function once when it has ended; failed means that the server, not
// the request, was at fault.
func (b *Balancer) StartRequest(server string) func(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(server).inFlight++
	return func(failed bool) { b.endRequest(server, failed) }
}

// endRequest records the end of a request and ejects the server after EjectAfter
// consecutive failures.
func (b *Balancer) endRequest(name string, failed bool) {
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
		s.ejectedUntil = time.Now().Add(pause)
	}
}

// maxEjectShift limits the doubling of EjectFor, to avoid an integer overflow.
const maxEjectShift = 16
