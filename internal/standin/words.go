package standin

import (
	"net/http"
	"sync"
)

// Words is what a Server says of itself in its answers.
type Words struct {
	// Limit is how many requests a second it takes, as it is written in the answer; not named
	// if empty.
	Limit string
	// Leaving: it says that it leaves.
	Leaving bool
	// Rest, unless empty, has it turn requests away and ask for so many seconds without any.
	Rest string
}

// words are what a Server says now.
type words struct {
	mu  sync.Mutex
	now Words // guarded by mu
}

// Say has the server say something of itself in all its answers from now on.
func (s *Server) Say(w Words) {
	s.words.mu.Lock()
	defer s.words.mu.Unlock()
	s.words.now = w
}

// PathSay has a Server say something: POST with ?limit=, &rest= and &leaving=true or false.
const PathSay = "/standin/say"

func (s *Server) serveSay(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.Say(Words{Limit: q.Get("limit"), Rest: q.Get("rest"), Leaving: q.Get("leaving") == "true"})
	w.WriteHeader(http.StatusNoContent)
}

// write writes what the server says into the head of an answer.
func (w *words) write(h http.Header) (now Words) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now.Limit != "" {
		h.Set("Server-Limit", w.now.Limit)
	}
	if w.now.Leaving {
		h.Set("Server-Leaving", "1")
	}
	return w.now
}

// turnAway answers a request that does not run.
func (w Words) turnAway(rw http.ResponseWriter, id string) {
	rw.Header().Set("Martenport-Attempt-Id", id)
	rw.Header().Set("Martenport-Not-Executed", "1")
	rw.Header().Set("Retry-After", w.Rest)
	rw.WriteHeader(http.StatusServiceUnavailable)
}
