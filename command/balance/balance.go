// Package balance chooses among the replicas that can serve a request. Its choices depend only on
// their arguments, a random number and the statistics that it keeps of the requests this instance
// has sent to each server and of their outcomes.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/clock"
)

// Params are the weights by which replicas are compared and the rules for ejecting them.
type Params struct {
	// RemotePenalty is added to the score of a replica in another failure domain, in requests.
	RemotePenalty float64
	// AffinityBonus is subtracted from the score of the replica that has the shared parts of the
	// prompt cached, in requests.
	AffinityBonus float64
	// FailurePenalty is added to the score of a replica that fails all its requests, in requests. A
	// replica that fails a fraction of its requests adds that fraction of it.
	FailurePenalty float64
	// EjectAfter is the number of consecutive failures after which a replica is ejected, for
	// BaseEjectionTime at first. Each further failure doubles the time, up to MaxEjectionTime.
	EjectAfter                        int
	BaseEjectionTime, MaxEjectionTime time.Duration
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{
		RemotePenalty: 0.5, AffinityBonus: 2, FailurePenalty: 40,
		EjectAfter: 2, BaseEjectionTime: 400 * time.Millisecond, MaxEjectionTime: 5 * time.Second,
	}
}

// Candidate is a replica that can serve a request.
type Candidate struct {
	ID string
	// Domain is its failure domain, empty if unknown.
	Domain string
	// SameDomain is set if it is in the failure domain of this instance.
	SameDomain bool
	// OthersInFlight is the number of requests of other instances that it runs, as reported
	// ReportAge ago.
	OthersInFlight int
	ReportAge      time.Duration
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Affine is set if requests with this prompt prefix should go to this replica.
	Affine bool
	// Wait is the time until it can serve.
	Wait time.Duration
	// Speed is its speed relative to the usual one; 0 and 1 are the usual one.
	Speed float64
	// Urgent is set if the request may miss its objective on a slow server.
	Urgent bool
}

// Outcome is the result of a request as far as it concerns the server.
type Outcome int

// Outcomes.
const (
	// Succeeded means that the server answered correctly.
	Succeeded Outcome = iota + 1
	// Failed means that the server refused the request, answered with an error, broke off the
	// answer or stopped responding.
	Failed
	// Neutral means that the result does not concern the server, for example because the client
	// disconnected.
	Neutral
	// Unreachable means that no connection could be made, or that the connection timed out.
	Unreachable
	// Silent means that nothing was received until the client disconnected. The server may be at
	// capacity or unreachable.
	Silent
)

// failureSmoothing is the weight of the latest outcome in the smoothed failure rate.
const failureSmoothing = 0.15

// requestsPerWaitSecond is the number of requests ahead that weigh as much as one second of
// waiting: about the extent to which requests on an engine slow each other down.
const requestsPerWaitSecond = 60

// serverStats are the statistics of one server, from the requests of this instance.
type serverStats struct {
	inFlight int
	// latency is the smoothed duration of successful requests; zero before the first one.
	latency time.Duration
	// failureRate is the smoothed fraction of failed requests.
	failureRate         float64
	consecutiveFailures int
	// ejectedUntil is when the current or last ejection ends.
	ejectedUntil time.Time
	// fullUntil is until when the server is known to be full, and refusals the number of pauses for
	// that without a success since, see RecordFull.
	fullUntil time.Time
	refusals  int
	// recent counts the requests sent lately.
	recent recentRequests
}

// Balancer chooses servers for one instance and keeps its statistics of them.
type Balancer struct {
	params Params
	subset Subset

	mu      sync.Mutex
	servers map[string]*serverStats // by ID; guarded by mu
	domains map[string]*domainState // failure domains by name; guarded by mu
	speeds  speeds                  // guarded by mu
}

// New returns a Balancer without statistics.
func New(p Params) *Balancer {
	return &Balancer{params: p, servers: map[string]*serverStats{}, domains: map[string]*domainState{}, speeds: speeds{own: NewSpeedLearner()}}
}

// Pick returns the index of the candidate to send to, or -1 if there are none. Servers in a domain
// that is suspected to be unreachable are chosen only if there are no others, and ejected servers
// only if all candidates are ejected. The choice is random, see draw, Subset and, for servers of
// different speeds, pickOfTwo.
func (b *Balancer) Pick(candidates []Candidate, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(candidates, now)
	if len(usable) == 0 {
		return -1
	}
	if speedsDiffer(candidates, usable) {
		return b.pickOfTwo(candidates, usable, [2]float64{rand.Float64(), rand.Float64()})
	}
	scores := make([]float64, len(usable))
	for i, index := range usable {
		scores[i] = b.score(candidates[index])
	}
	return usable[b.drawPreferred(candidates, usable, scores, b.unseenRequests(candidates, usable), rand.Float64(), now)]
}

// usable returns the indices of the candidates that are neither ejected nor in a suspect domain. If
// there are none, it returns those in suspect domains, and if all are ejected, all of them. b.mu
// must be held.
func (b *Balancer) usable(candidates []Candidate, now time.Time) []int {
	var usable, suspect, ejected []int
	for i, c := range candidates {
		switch s := b.servers[c.ID]; {
		case s != nil && now.Before(s.ejectedUntil):
			ejected = append(ejected, i)
		case b.isSuspect(c.Domain, now):
			suspect = append(suspect, i)
		default:
			usable = append(usable, i)
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(suspect) > 0:
		return suspect
	default:
		return ejected
	}
}

// score returns the score of a candidate, in requests; lower is better. b.mu must be held.
func (b *Balancer) score(c Candidate) float64 {
	load := float64(c.OthersInFlight)
	if s := b.servers[c.ID]; s != nil {
		load += float64(s.inFlight) + s.failureRate*b.params.FailurePenalty
	}
	load = c.atSpeed(load * c.scale())
	if !c.SameDomain {
		load += b.params.RemotePenalty
	}
	if c.Affine {
		load -= b.params.AffinityBonus
	}
	return load + c.Wait.Seconds()*requestsPerWaitSecond
}

// referenceSlots is the server size to which scores in requests refer.
const referenceSlots = 16

// scale returns the factor that converts a number of requests on the candidate to the equivalent
// number on a server with referenceSlots.
func (c Candidate) scale() float64 {
	if c.Slots <= 0 {
		return 1
	}
	return referenceSlots / float64(c.Slots)
}

// Start records that a request is sent to a server in a failure domain. The returned function must
// be called exactly once, with the outcome.
func (b *Balancer) Start(id, domain string) func(o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		s = &serverStats{}
		b.servers[id] = s
	}
	s.inFlight++
	start := clock.Now()
	s.recent.record(start)
	return func(o Outcome, now time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.inFlight--
		if o == Succeeded {
			s.recordLatency(now.Sub(start))
		}
		b.recordOutcome(s, o, now)
		b.recordDomainOutcome(domain, o, now)
	}
}

// recordOutcome updates the statistics of a server. b.mu must be held.
func (b *Balancer) recordOutcome(s *serverStats, o Outcome, now time.Time) {
	switch o {
	case Succeeded:
		s.failureRate *= 1 - failureSmoothing
		s.consecutiveFailures, s.refusals = 0, 0
	case Failed, Unreachable:
		s.failureRate += (1 - s.failureRate) * failureSmoothing
		s.consecutiveFailures++
		if s.consecutiveFailures >= b.params.EjectAfter {
			s.ejectedUntil = now.Add(min(b.params.MaxEjectionTime, b.params.BaseEjectionTime<<min(s.consecutiveFailures-b.params.EjectAfter, 8)))
		}
	case Neutral, Silent:
	}
}

// Forget deletes the statistics of a server that no longer exists.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, id)
	b.speeds.own.Forget(id)
	delete(b.speeds.shared, id)
	delete(b.speeds.ownSpeeds, id)
}

// FailureRate returns the smoothed fraction of failed requests of a server.
func (b *Balancer) FailureRate(id string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		return s.failureRate
	}
	return 0
}
