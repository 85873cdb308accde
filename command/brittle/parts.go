package brittle

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// parts are the fixed parts of brittle servers' slots that an instance uses while no instance answers that keeps a
// semaphore. After a rejection an instance sends nothing for so long that the rejections of all instances stay below what
// the server tolerates, and its part is halved; answers let it grow again.
type parts struct {
	self      string
	instances func() int

	mu      sync.Mutex
	servers map[string]*partState // of servers that have rejected requests, by server ID; guarded by mu
}

// partState is the state of a part after a rejection.
type partState struct {
	// window is the number of requests that may be in flight according to earlier rejections.
	window float64
	// pausedUntil is when the instance may send again after a rejection.
	pausedUntil time.Time
}

func newParts(self string, instances func() int) *parts {
	return &parts{self: self, instances: instances, servers: map[string]*partState{}}
}

// nextSend returns when a request may be sent to a server at which this instance has a number in flight, the zero time if it
// may be now.
func (p *parts) nextSend(s Server, inFlight int, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[s.ID]
	switch part := p.part(s); {
	case part == 0:
		return now.Add(noPlaceDelay)
	case st != nil && st.pausedUntil.After(now):
		return st.pausedUntil
	case inFlight >= part || st != nil && inFlight >= int(st.window):
		return now.Add(retryDelay)
	}
	return time.Time{}
}

// part returns how many requests this instance may have in flight at a server that has rejected none of them.
func (p *parts) part(s Server) int {
	instances := max(1, p.instances())
	if s.Slots <= 0 {
		return 1
	}
	part := s.Slots / instances
	if part == 0 && p.hasPlace(s, instances) {
		part = 1
	}
	return part
}

// hasPlace reports whether this instance is one of those that may have a request in flight at a server with fewer slots
// than there are instances: all of them, if the server tolerates the rest.
func (p *parts) hasPlace(s Server, instances int) bool {
	room := float64(s.Slots) + toleratedPart*float64(s.Tolerated)
	return room >= float64(instances) || p.drawn(s.ID) < sharePart*room/float64(instances)
}

// drawn returns a number in [0, 1) that is fixed for this instance and a server.
func (p *parts) drawn(server string) float64 {
	return float64(xxhash.Sum64String(p.self+"@"+server)>>11) / (1 << 53)
}

// record records how a request ended that used a part, of which the given number were in flight.
func (p *parts) record(s Server, inFlight int, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[s.ID]
	switch {
	case o == Rejected:
		p.servers[s.ID] = p.afterRejection(s, st, inFlight, now)
	case o == Accepted && st != nil:
		st.window += 1 / st.window
		if st.window > maxWindow {
			delete(p.servers, s.ID)
		}
	}
}

// afterRejection returns the state after a rejection.
func (p *parts) afterRejection(s Server, st *partState, inFlight int, now time.Time) *partState {
	window := float64(inFlight)
	if st != nil {
		window = st.window
	}
	pause := time.Duration(float64(p.instances()) / max(toleratedPart, toleratedPart*float64(s.Tolerated)) * float64(time.Second))
	pause = min(maxPause, max(minPause, pause))
	return &partState{window: max(1, window/2), pausedUntil: now.Add(time.Duration((1 + pauseSpread*rand.Float64()) * float64(pause)))}
}

// forget drops the state of servers that are not known any more.
func (p *parts) forget(known func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.servers {
		if !known(id) {
			delete(p.servers, id)
		}
	}
}
