// Package brittle bounds what instances send to backend servers that end if they have to turn too many requests away.
//
// A server that states in its answers that it is brittle tolerates a number of rejections a second from all instances
// together. Only a request that it has no room for is rejected, so the requests in flight there are counted over all
// instances: one of them keeps a Semaphore for the server, and the others ask it for a permit before each send. The
// semaphore also learns how much room the server has. While no instance answers that keeps a semaphore, each instance has a
// fixed part of the server's slots.
//
// The package sends nothing. Semaphores tell the time themselves, and the current time is passed to the rest.
package brittle

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Server is what is known of a brittle server.
type Server struct {
	ID string
	// FailureDomain is where it runs.
	FailureDomain string
	// Slots is the number of requests that it runs concurrently; 0 if unknown.
	Slots int
	// Tolerated is the number of rejections a second that it survives.
	Tolerated int
}

// Permits asks the instances that keep semaphores for permits.
type Permits interface {
	// Acquire asks for a permit, as Semaphore.Acquire does.
	Acquire(ctx context.Context, r Request) Answer
	// Accept and Release are as those of Semaphore. They do not wait for an answer.
	Accept(s Server, p Permit)
	Release(s Server, p Permit, o Outcome)
}

// Answer is the answer to a Request. Answered is false if no instance answers that keeps the semaphore.
type Answer struct {
	Answered bool
	Grant
}

// Gate admits what one instance sends to servers. It is safe for concurrent use.
type Gate struct {
	self    string
	permits Permits
	parts   *parts

	mu         sync.Mutex
	lastNumber uint64                  // of the last permit; guarded by mu
	servers    map[string]*serverState // by server ID; guarded by mu
}

// serverState is what the instance has in flight at one server.
type serverState struct {
	inFlight int
	// permits are the numbers of the permits in use.
	permits []uint64
	// fullUntil is until when no permit is asked for that the request would not wait for.
	fullUntil time.Time
}

// maxFullPause bounds the time for which a refused permit holds for other requests of the instance.
const maxFullPause = 30 * time.Millisecond

// NewGate returns a Gate for the named instance. instances returns the number of instances.
func NewGate(self string, permits Permits, instances func() int) *Gate {
	return &Gate{self: self, permits: permits, parts: newParts(self, instances), servers: map[string]*serverState{}}
}

// Admission is the admission of one request to a server, until End. The zero value is none.
type Admission struct {
	gate   *Gate
	server Server
	// permit is the number of the permit; 0 if there is none. byPart is set if a part of the server's slots is used instead.
	permit uint64
	byPart bool
	// doubtful is set if the server may reject the request.
	doubtful bool
}

// Begin admits a request to a server that is not brittle.
func (g *Gate) Begin(id string) Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(id).inFlight++
	return Admission{gate: g, server: Server{ID: id}}
}

// BeginBrittle admits a request to a brittle server if there is room for it, and waits for room for the given time. If
// there is none, ok is false, and retryAfter is the time after which there may be.
func (g *Gate) BeginBrittle(ctx context.Context, s Server, priority int, wait time.Duration, now time.Time) (a Admission, retryAfter time.Duration, ok bool) {
	number, full := g.nextPermit(s.ID, wait, now)
	if full > 0 {
		return Admission{}, full, false
	}
	answer := g.permits.Acquire(ctx, Request{Permit: Permit{Instance: g.self, Number: number}, Server: s, Priority: priority, Wait: wait})
	switch {
	case answer.Granted:
		return g.admit(Admission{gate: g, server: s, permit: number, doubtful: answer.Doubtful}), 0, true
	case answer.Answered:
		g.setFull(s.ID, now.Add(min(maxFullPause, answer.RetryAfter)))
		return Admission{}, answer.RetryAfter, false
	}
	if next := g.parts.nextSend(s, g.InFlight(s.ID), now); !next.IsZero() {
		return Admission{}, next.Sub(now), false
	}
	return g.admit(Admission{gate: g, server: s, byPart: true}), 0, true
}

// nextPermit returns the number of the next permit to ask for. full is above 0 if none is to be asked for within that time.
func (g *Gate) nextPermit(id string, wait time.Duration, now time.Time) (number uint64, full time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if st := g.servers[id]; st != nil && wait <= 0 && st.fullUntil.After(now) {
		return 0, st.fullUntil.Sub(now)
	}
	g.lastNumber++
	return g.lastNumber, 0
}

// admit counts an admitted request.
func (g *Gate) admit(a Admission) Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state(a.server.ID)
	st.inFlight++
	if a.permit != 0 {
		st.permits = append(st.permits, a.permit)
	}
	return a
}

// setFull records that a server has no room.
func (g *Gate) setFull(id string, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(id).fullUntil = until
}

// Accepted records that the server has begun to answer the request.
func (a Admission) Accepted() {
	if a.doubtful {
		a.gate.permits.Accept(a.server, Permit{Instance: a.gate.self, Number: a.permit})
	}
}

// End ends a request, and returns how many requests of this instance were in flight at the server until then.
func (a Admission) End(o Outcome, now time.Time) (inFlight int) {
	if a.gate == nil {
		return 0
	}
	inFlight = a.gate.end(a)
	if a.permit != 0 {
		a.gate.permits.Release(a.server, Permit{Instance: a.gate.self, Number: a.permit}, o)
	}
	if a.byPart {
		a.gate.parts.record(a.server, inFlight, o, now)
	}
	return inFlight
}

// RejectedWithoutPermit records that a brittle server rejected a request that was sent without a permit.
func (g *Gate) RejectedWithoutPermit(s Server) {
	g.permits.Release(s, Permit{Instance: g.self}, Rejected)
}

// HasPermit reports whether the request was sent with a permit.
func (a Admission) HasPermit() bool { return a.permit != 0 }

// end counts the end of an admitted request.
func (g *Gate) end(a Admission) (inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state(a.server.ID)
	inFlight = st.inFlight
	st.inFlight--
	if i := slices.Index(st.permits, a.permit); i >= 0 {
		st.permits = slices.Delete(st.permits, i, i+1)
	}
	if st.inFlight <= 0 && st.fullUntil.IsZero() {
		delete(g.servers, a.server.ID)
	}
	return inFlight
}

// InFlight returns the number of requests in flight at a server.
func (g *Gate) InFlight(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if st := g.servers[id]; st != nil {
		return st.inFlight
	}
	return 0
}

// Renewals returns what is in flight, by server ID, and drops the state of servers at which nothing is.
func (g *Gate) Renewals(now time.Time) map[string]Renewal {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make(map[string]Renewal, len(g.servers))
	for id, st := range g.servers {
		switch {
		case st.inFlight > 0:
			list[id] = Renewal{Instance: g.self, Permits: slices.Clone(st.permits), Unpermitted: st.inFlight - len(st.permits)}
		case !st.fullUntil.After(now):
			delete(g.servers, id)
		}
	}
	return list
}

// state returns the state of a server. g.mu must be held.
func (g *Gate) state(id string) *serverState {
	st := g.servers[id]
	if st == nil {
		st = &serverState{}
		g.servers[id] = st
	}
	return st
}

// Forget drops the state of servers that are not known any more.
func (g *Gate) Forget(known func(id string) bool) { g.parts.forget(known) }
