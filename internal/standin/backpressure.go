package standin

import (
	"net/http"
	"sync"
)

// Backpressure is the state that a Server reports in the headers of its answers.
type Backpressure struct {
	// Limit is the number of requests per second that it accepts, as written in the header; omitted if empty.
	Limit string
	// Brittle is the number of rejections a second that it states to tolerate; omitted if empty.
	Brittle string
	// Leaving makes the server state that it is leaving.
	Leaving bool
	// Rest, if not empty, makes the server refuse requests and ask for a pause of that many seconds.
	Rest string
}

// backpressureState is what a Server reports now.
type backpressureState struct {
	mu      sync.Mutex
	current Backpressure // guarded by mu
}

// SetBackpressure sets what the server reports in all answers from now on.
func (s *Server) SetBackpressure(b Backpressure) {
	s.backpressure.mu.Lock()
	defer s.backpressure.mu.Unlock()
	s.backpressure.current = b
}

// PathBackpressure is the path that calls SetBackpressure: POST with ?limit=, &rest=, &brittle= and &leaving=true or false.
const PathBackpressure = "/standin/say"

func (s *Server) serveBackpressure(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.SetBackpressure(Backpressure{Limit: q.Get("limit"), Rest: q.Get("rest"), Leaving: q.Get("leaving") == "true", Brittle: q.Get("brittle")})
	w.WriteHeader(http.StatusNoContent)
}

// write sets the headers of an answer and returns what they report.
func (b *backpressureState) write(h http.Header) (reported Backpressure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Limit != "" {
		h.Set("Server-Limit", b.current.Limit)
	}
	if b.current.Brittle != "" {
		h.Set("Server-Brittle", b.current.Brittle)
	}
	if b.current.Leaving {
		h.Set("Server-Leaving", "1")
	}
	return b.current
}

// refuseRequest refuses a request with status 503 and Retry-After. The request is not run.
func (b Backpressure) refuseRequest(w http.ResponseWriter, id string) {
	w.Header().Set("Martenport-Attempt-Id", id)
	w.Header().Set("Martenport-Not-Executed", "1")
	w.Header().Set("Retry-After", b.Rest)
	w.WriteHeader(http.StatusServiceUnavailable)
}
