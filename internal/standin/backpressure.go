package standin

import (
	"net/http"
	"sync"
)

// Words is what a Server reports of itself in the headers of its answers.
type Words struct {
	// Limit is the number of requests per second that it accepts, as written in the header; omitted if empty.
	Limit string
	// Leaving reports whether the server says that it is leaving.
	Leaving bool
	// Rest, if not empty, makes the server refuse requests and ask for a pause of that many seconds.
	Rest string
}

// backpressureState is what a Server reports now.
type backpressureState struct {
	mu      sync.Mutex
	current Words // guarded by mu
}

// Say sets what the server reports in all answers from now on.
func (s *Server) Say(w Words) {
	s.backpressure.mu.Lock()
	defer s.backpressure.mu.Unlock()
	s.backpressure.current = w
}

// PathBackpressure is the path that calls Say: POST with ?limit=, &rest= and &leaving=true or false.
const PathBackpressure = "/standin/say"

func (s *Server) serveBackpressure(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.Say(Words{Limit: q.Get("limit"), Rest: q.Get("rest"), Leaving: q.Get("leaving") == "true"})
	w.WriteHeader(http.StatusNoContent)
}

// write sets the headers of an answer and returns what they report.
func (b *backpressureState) write(h http.Header) (reported Words) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Limit != "" {
		h.Set("Server-Limit", b.current.Limit)
	}
	if b.current.Leaving {
		h.Set("Server-Leaving", "1")
	}
	return b.current
}

// refuseRequest refuses a request with status 503 and Retry-After. The request is not run.
func (w Words) refuseRequest(rw http.ResponseWriter, id string) {
	rw.Header().Set("Martenport-Attempt-Id", id)
	rw.Header().Set("Martenport-Not-Executed", "1")
	rw.Header().Set("Retry-After", w.Rest)
	rw.WriteHeader(http.StatusServiceUnavailable)
}
