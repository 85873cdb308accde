// Package balance chooses among the replicas that can serve a request. Its
// choices are pure but for the account that it keeps of what this instance
// has sent where and how that ended.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/clock"
)

// Params set how replicas are compared.
type Params struct {
	// FarPenalty is what another failure domain adds, in requests.
	FarPenalty float64
	// AffinityBonus is what the replica that has the prompt's shared parts is
	// ahead, in requests.
	AffinityBonus float64
	// FailurePenalty is what a replica that fails all its requests adds, in
	// requests; one that fails a part of them adds that part.
	FailurePenalty float64
	// EjectAfter failures in a row pass a replica over for EjectFor, which
	// doubles up to MaxEject.
	EjectAfter         int
	EjectFor, MaxEject time.Duration
}

// DefaultParams returns the comparison used unless set otherwise.
func DefaultParams() Params {
	return Params{
		FarPenalty: 0.5, AffinityBonus: 2, FailurePenalty: 40,
		EjectAfter: 2, EjectFor: 400 * time.Millisecond, MaxEject: 5 * time.Second,
	}
}

// Candidate is a replica that can serve a request.
type Candidate struct {
	ID string
	// Domain is its failure domain, empty if that is not known.
	Domain string
	Near   bool
	// Others is how many requests of other instances it runs, as of Age ago.
	Others int
	Age    time.Duration
	// Slots is how many requests it runs at once.
	Slots int
	// Affine: it is the one to which such requests should go.
	Affine bool
	// Wait is how long it takes until it serves.
	Wait time.Duration
}

// Outcome is how a request ended on a server.
type Outcome int

// The outcomes.
const (
	// Succeeded: the server answered as it should.
	Succeeded Outcome = iota + 1
	// Failed: it refused, answered wrongly, broke off or stayed silent.
	Failed
	// Neutral says nothing of the server, such as a client that left.
	Neutral
	// Unreachable: it could not be connected to, or the connection fell silent.
	Unreachable
	// Silent: nothing came until the client left. The server may be full, or out of reach.
	Silent
)

// failureMemory is the weight of the newest outcome in the share of failures.
const failureMemory = 0.15

// waitWeight is how many requests ahead count like a second of waiting: about
// what requests on an engine slow each other by.
const waitWeight = 60

type server struct {
	inFlight int
	// took is how long requests that it answered have taken, smoothed; zero before the
	// first one.
	took time.Duration
	// failing is the smoothed share of failures.
	failing float64
	row     int
	until   time.Time
}

// Balancer is one instance's account of the servers.
type Balancer struct {
	params Params

	mu      sync.Mutex
	servers map[string]*server // by id; guarded by mu
	domains map[string]*domain // failure domains by name; guarded by mu
}

// New returns a Balancer that has sent nothing yet.
func New(p Params) *Balancer {
	return &Balancer{params: p, servers: map[string]*server{}, domains: map[string]*domain{}}
}

// Pick returns the index of the candidate to send to, -1 if there is none. Servers of a
// domain that seems to be out of reach are taken only if there is no other, and ejected ones
// only if all are. The choice is drawn: see draw.
func (b *Balancer) Pick(candidates []Candidate, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(candidates, now)
	if len(usable) == 0 {
		return -1
	}
	scores := make([]float64, len(usable))
	for i, index := range usable {
		scores[i] = b.score(candidates[index])
	}
	return usable[draw(scores, b.unseen(candidates, usable), rand.Float64())]
}

// usable needs mu. It returns the indices of the candidates that are neither ejected nor in
// a domain that seems to be out of reach, of those that are not ejected if there is none,
// and of all if all are.
func (b *Balancer) usable(candidates []Candidate, now time.Time) []int {
	var usable, suspect, ejected []int
	for i, c := range candidates {
		switch s := b.servers[c.ID]; {
		case s != nil && now.Before(s.until):
			ejected = append(ejected, i)
		case b.suspects(c.Domain, now):
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

// score needs mu; lower is better.
func (b *Balancer) score(c Candidate) float64 {
	load := float64(c.Others)
	if s := b.servers[c.ID]; s != nil {
		load += float64(s.inFlight) + s.failing*b.params.FailurePenalty
	}
	load *= c.scale()
	if !c.Near {
		load += b.params.FarPenalty
	}
	if c.Affine {
		load -= b.params.AffinityBonus
	}
	return load + c.Wait.Seconds()*waitWeight
}

// referenceSlots is the size of a server in which the other weights are given.
const referenceSlots = 16

// scale converts requests on the candidate to those on a server of referenceSlots.
func (c Candidate) scale() float64 {
	if c.Slots <= 0 {
		return 1
	}
	return referenceSlots / float64(c.Slots)
}

// Start notes that a request is sent to a server in a failure domain. The returned
// function must be called once, with how it ended.
func (b *Balancer) Start(id, inDomain string) func(o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		s = &server{}
		b.servers[id] = s
	}
	s.inFlight++
	began := clock.Now()
	return func(o Outcome, now time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.inFlight--
		if o == Succeeded {
			s.noteTook(now.Sub(began))
		}
		b.note(s, o, now)
		b.noteDomain(inDomain, o, now)
	}
}

// note needs mu.
func (b *Balancer) note(s *server, o Outcome, now time.Time) {
	switch o {
	case Succeeded:
		s.failing *= 1 - failureMemory
		s.row = 0
	case Failed, Unreachable:
		s.failing += (1 - s.failing) * failureMemory
		s.row++
		if s.row >= b.params.EjectAfter {
			s.until = now.Add(min(b.params.MaxEject, b.params.EjectFor<<min(s.row-b.params.EjectAfter, 8)))
		}
	case Neutral, Silent:
	}
}

// Forget drops the account of a server that is gone.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, id)
}

// Failing returns the smoothed share of a server's failures.
func (b *Balancer) Failing(id string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		return s.failing
	}
	return 0
}
