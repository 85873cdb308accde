// Package brittle bounds what an instance sends to backend servers that end if they have to turn too many requests away.
//
// A server that states in its answers that it is brittle tolerates a number of rejections a second from all instances
// together. Only a request that it has no room for is rejected, so each instance keeps its part of the server's room: its
// requests in flight stay within a share of the slots, or half of what the other instances leave free. After a rejection
// an instance sends nothing for so long that the rejections of all instances stay below what the server tolerates, and
// its part is halved; answers let it grow again.
//
// The package is pure: the current time is passed in, and nothing is sent.
package brittle

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is what is known of a brittle server.
type Server struct {
	ID string
	// Slots is the number of requests that it runs concurrently; 0 if unknown.
	Slots int
	// Others is the number of requests of other instances on it, -1 if unknown.
	Others int
	// Tolerated is the number of rejections a second that it survives.
	Tolerated int
}

const (
	// toleratedPart is the part of the tolerated rejections that instances may cause together.
	toleratedPart = 0.5
	// minPause is the shortest pause after a rejection: the time over which rejections count.
	minPause = time.Second
	// maxPause bounds the pause where a large fleet sends to a server that tolerates little.
	maxPause = 10 * time.Second
	// pauseSpread is the part by which pauses differ, so that instances do not return together.
	pauseSpread = 0.5
	// sharePart is the part of the servers' room that is divided where each instance cannot have a request in flight.
	// Which instances have one is drawn by hash, so their number varies.
	sharePart = 0.75
	// retryDelay is when to ask again while the instance's part is taken: a fraction of the time that requests take.
	retryDelay = 25 * time.Millisecond
	// noPlaceDelay is when to ask again for a server at which this instance has no place.
	noPlaceDelay = 2 * time.Second
	// maxWindow bounds the growth of an instance's part.
	maxWindow = 1024
)

// Gate decides what one instance sends to brittle servers. It is safe for concurrent use.
type Gate struct {
	self      string
	instances func() int

	mu      sync.Mutex
	servers map[string]*serverState // by server ID; guarded by mu
}

// serverState is the state of one server.
type serverState struct {
	inFlight int
	// window is the number of requests that may be in flight according to earlier rejections; 0 before the first one.
	window float64
	// pausedUntil is when the instance may send again after a rejection.
	pausedUntil time.Time
}

// NewGate returns a Gate for the named instance. instances returns the number of instances.
func NewGate(self string, instances func() int) *Gate {
	return &Gate{self: self, instances: instances, servers: map[string]*serverState{}}
}

// NextSend returns when a request may be sent to a brittle server, the zero time if it may be now.
func (g *Gate) NextSend(s Server, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nextSend(s, now)
}

// nextSend implements NextSend. g.mu must be held.
func (g *Gate) nextSend(s Server, now time.Time) time.Time {
	st := g.servers[s.ID]
	switch part := g.part(s); {
	case part == 0:
		return now.Add(noPlaceDelay)
	case st == nil:
		return time.Time{}
	case st.pausedUntil.After(now):
		return st.pausedUntil
	case st.inFlight >= part || st.window > 0 && st.inFlight >= int(st.window):
		return now.Add(retryDelay)
	}
	return time.Time{}
}

// part returns how many requests this instance may have in flight at a server that has rejected none of them.
func (g *Gate) part(s Server) int {
	instances := max(1, g.instances())
	if s.Slots <= 0 {
		return 1
	}
	part := s.Slots / instances
	if part == 0 && g.hasPlace(s, instances) {
		part = 1
	}
	if s.Others >= 0 {
		part = max(part, (s.Slots-s.Others)/2)
	}
	return part
}

// hasPlace reports whether this instance is one of those that may have a request in flight at a server with fewer slots
// than there are instances: all of them, if the server tolerates the rest.
func (g *Gate) hasPlace(s Server, instances int) bool {
	room := float64(s.Slots) + toleratedPart*float64(s.Tolerated)
	return room >= float64(instances) || g.drawn(s.ID) < sharePart*room/float64(instances)
}

// drawn returns a number in [0, 1) that is fixed for this instance and a server.
func (g *Gate) drawn(server string) float64 {
	return float64(xxhash.Sum64String(g.self+"@"+server)>>11) / (1 << 53)
}

// Begin counts a request to a server, which need not be brittle, until End.
func (g *Gate) Begin(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(id).inFlight++
}

// BeginBrittle is Begin for a brittle server, unless NextSend is not zero. It reports whether the request may be sent.
func (g *Gate) BeginBrittle(s Server, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.nextSend(s, now).IsZero() {
		return false
	}
	g.state(s.ID).inFlight++
	return true
}

// End ends a request after Begin or BeginBrittle, and returns how many of this instance were in flight until then.
func (g *Gate) End(id string) (inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state(id)
	inFlight = st.inFlight
	st.inFlight--
	if st.inFlight == 0 && st.window == 0 {
		delete(g.servers, id)
	}
	return inFlight
}

// Rejected records that a brittle server rejected a request for lack of room.
func (g *Gate) Rejected(s Server, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state(s.ID)
	pause := time.Duration(float64(g.instances()) / max(toleratedPart, toleratedPart*float64(s.Tolerated)) * float64(time.Second))
	pause = min(maxPause, max(minPause, pause))
	st.pausedUntil = now.Add(time.Duration((1 + pauseSpread*rand.Float64()) * float64(pause)))
	window := st.window
	if window == 0 {
		window = float64(st.inFlight)
	}
	st.window = max(1, window/2)
}

// Answered records that a server ran a request.
func (g *Gate) Answered(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if st := g.servers[id]; st != nil && st.window > 0 {
		st.window = min(maxWindow, st.window+1/st.window)
	}
}

// Forget drops the state of a server that is not brittle, or gone.
func (g *Gate) Forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.servers[id]
	if st == nil {
		return
	}
	st.window, st.pausedUntil = 0, time.Time{}
	if st.inFlight == 0 {
		delete(g.servers, id)
	}
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
