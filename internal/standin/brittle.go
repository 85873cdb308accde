package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// admission decides which requests a Server runs, lets wait or rejects. It makes a brittle server end if it has to reject
// too many.
type admission struct {
	mu      sync.Mutex
	running int             // guarded by mu
	waiting []chan struct{} // requests that wait for a slot, in the order of their arrival; guarded by mu
	// brittle is set if the server lets fewer requests wait, and ends if it rejects more than tolerated requests in a
	// second; guarded by mu.
	brittle   bool
	tolerated int
	// rejected are the times of the rejections of the last second; guarded by mu.
	rejected []time.Time
}

// SetBrittle makes the server let fewer requests wait, and end as soon as it has to reject more than tolerated requests in
// a second for lack of room, or ends that if on is false. It does not make the server state that; see Backpressure.
func (s *Server) SetBrittle(on bool, tolerated int) {
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	s.admission.brittle, s.admission.tolerated, s.admission.rejected = on, tolerated, nil
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

// begin admits a request that arrives. turn is nil if the request runs, and otherwise closed when it does. admitted is
// false if there is no room for it; ends is set if the server has to reject one too many.
func (a *admission) begin(p *ServerParams, now time.Time) (turn chan struct{}, admitted, ends bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue, bounded := p.Queue, p.Queue > 0
	if a.brittle {
		queue, bounded = p.BrittleQueue, true
	}
	switch {
	case !bounded || a.running < p.slots():
		a.running++
		return nil, true, false
	case len(a.waiting) < queue:
		turn = make(chan struct{})
		a.waiting = append(a.waiting, turn)
		return turn, true, false
	}
	if !a.brittle {
		return nil, false, false
	}
	a.rejected = append(a.rejected, now)
	for now.Sub(a.rejected[0]) >= time.Second {
		a.rejected = a.rejected[1:]
	}
	return nil, false, len(a.rejected) > a.tolerated
}

// await waits for a request's turn, until its client leaves. It reports whether the request may run.
func (a *admission) await(ctx context.Context, turn chan struct{}) bool {
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, t := range a.waiting {
		if t == turn {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return false
		}
	}
	a.endLocked()
	return false
}

// end ends the run of a request.
func (a *admission) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endLocked()
}

// endLocked implements end. a.mu must be held.
func (a *admission) endLocked() {
	if len(a.waiting) == 0 {
		a.running--
		return
	}
	close(a.waiting[0])
	a.waiting = a.waiting[1:]
}

// admit reports whether a request may run, once it has a slot. Otherwise it has been rejected or its client has left; the
// server ends if that was one rejection too many.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, id string) bool {
	turn, admitted, ends := s.admission.begin(&s.params, time.Now())
	if admitted {
		return turn == nil || s.admission.await(r.Context(), turn)
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
