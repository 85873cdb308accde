package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// keptArrivals bounds what a Server remembers of the attempts that reach it: about
// 6 MB.
const keptArrivals = 1 << 16

// Arrival is an attempt that reached a Server, run or not.
type Arrival struct {
	ID string
	At time.Time
	// Workspace is whose it is by what the server was told, KeyTold whether the client's key
	// was passed on to it.
	Workspace string
	KeyTold   bool
	// Said is what the server said of itself in its answer.
	Said Words
}

// arrivals are the last attempts that reached a Server, and whether it fails them.
type arrivals struct {
	mu        sync.Mutex
	list      []Arrival // in the order of time, at most keptArrivals; guarded by mu
	forgotten int       // how many older ones are not in list; guarded by mu
	failing   bool      // guarded by mu
}

// add notes an attempt. When the list is full its older half is forgotten.
func (a *arrivals) add(arrival Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == keptArrivals {
		a.list = append([]Arrival(nil), a.list[keptArrivals/2:]...)
		a.forgotten += keptArrivals / 2
	}
	a.list = append(a.list, arrival)
}

func (a *arrivals) all() (list []Arrival, forgotten int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list), a.forgotten
}

func (a *arrivals) fails() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failing
}

// SetFailing has the server run each request and answer it with an error.
func (s *Server) SetFailing(failing bool) {
	s.arrivals.mu.Lock()
	defer s.arrivals.mu.Unlock()
	s.arrivals.failing = failing
}

// PathFault sets a Server's faults: POST with ?failing=true or false.
const PathFault = "/standin/fault"

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	s.SetFailing(r.URL.Query().Get("failing") == "true")
	w.WriteHeader(http.StatusNoContent)
}
