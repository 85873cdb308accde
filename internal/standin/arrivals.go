package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxArrivals bounds the attempts that a Server records, to about 6 MB.
const maxArrivals = 1 << 16

// Arrival is an attempt that reached a Server, whether or not it ran.
type Arrival struct {
	ID string
	At time.Time
	// Remaining is the time that the server is given for the request, 0 if the request names none.
	Remaining time.Duration
	// Workspace is the workspace that the request named, and KeyTold reports whether it carried the client's key.
	Workspace string
	KeyTold   bool
	// Said is what the server reported in the headers of its answer.
	Said Backpressure
}

// arrivalLog holds the latest attempts that reached a Server, and whether the server fails them.
type arrivalLog struct {
	mu        sync.Mutex
	list      []Arrival // in chronological order, at most maxArrivals; guarded by mu
	forgotten int       // number of older attempts dropped from list; guarded by mu
	failing   bool      // guarded by mu
}

// record adds an attempt. When the list is full its older half is dropped.
func (a *arrivalLog) record(arrival Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == maxArrivals {
		a.list = append([]Arrival(nil), a.list[maxArrivals/2:]...)
		a.forgotten += maxArrivals / 2
	}
	a.list = append(a.list, arrival)
}

func (a *arrivalLog) all() (list []Arrival, forgotten int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list), a.forgotten
}

func (a *arrivalLog) isFailing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failing
}

// SetFailing sets whether the server answers each request with an error after running it.
func (s *Server) SetFailing(failing bool) {
	s.arrivals.mu.Lock()
	defer s.arrivals.mu.Unlock()
	s.arrivals.failing = failing
}

// PathFault is the path that sets a Server's faults: POST with ?failing=true or false.
const PathFault = "/standin/fault"

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	s.SetFailing(r.URL.Query().Get("failing") == "true")
	w.WriteHeader(http.StatusNoContent)
}

// remainingTime returns the time that a server is given for a request, 0 if the request names none.
func remainingTime(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Martenport-Deadline-Ms"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
