package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// brittleState makes a Server end if it has to reject too many requests.
type brittleState struct {
	mu      sync.Mutex
	running int // guarded by mu
	// brittle is set if the server rejects what exceeds its slots, and ends if it rejects more than tolerated requests
	// in a second; guarded by mu.
	brittle   bool
	tolerated int
	// rejected are the times of the rejections of the last second; guarded by mu.
	rejected []time.Time
}

// SetBrittle makes the server end as soon as it has to reject more than tolerated requests in a second for lack of room,
// or ends that if on is false. It does not make the server state that; see Backpressure.
func (s *Server) SetBrittle(on bool, tolerated int) {
	s.brittle.mu.Lock()
	defer s.brittle.mu.Unlock()
	s.brittle.brittle, s.brittle.tolerated, s.brittle.rejected = on, tolerated, nil
}

// PathBrittle is the path that calls SetBrittle: POST with ?on=true or false, and &tolerated=.
const PathBrittle = "/standin/brittle"

func (s *Server) serveBrittle(w http.ResponseWriter, r *http.Request) {
	tolerated, err := strconv.Atoi(r.URL.Query().Get("tolerated"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetBrittle(r.URL.Query().Get("on") == "true", tolerated)
	w.WriteHeader(http.StatusNoContent)
}

// begin counts a request that begins to run, and reports whether there is room for it. ends is set if the server ends
// because it had to reject too many.
func (b *brittleState) begin(now time.Time) (admitted, ends bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.brittle || b.running < serverSlots {
		b.running++
		return true, false
	}
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) >= time.Second {
		b.rejected = b.rejected[1:]
	}
	return false, len(b.rejected) > b.tolerated
}

func (b *brittleState) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// admit reports whether a request may run. Otherwise it has been rejected, and the server ends if that was one too many.
func (s *Server) admit(w http.ResponseWriter, id string) bool {
	admitted, ends := s.brittle.begin(time.Now())
	if admitted {
		return true
	}
	if ends {
		s.mu.Lock()
		s.endedByRejections = true
		s.mu.Unlock()
		s.Stop()
	}
	w.Header().Set("Martenport-Attempt-Id", id)
	w.Header().Set("Martenport-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}
