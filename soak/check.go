package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// seen is the history that promises are checked against.
type seen struct {
	mu      *sync.Mutex
	tries   map[string]try
	servers map[string]standin.State // by server and start
	// extra is how many repeated sends the budget allows beyond its ratio.
	extra int
	// versions are when each was acknowledged.
	versions map[int64]time.Time
}

func newSeen(entries int) seen {
	return seen{mu: &sync.Mutex{}, tries: map[string]try{}, servers: map[string]standin.State{}, extra: budgetExtra(entries), versions: map[int64]time.Time{}}
}

func (s *seen) tried(t try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries[t.id] = t
}

func (s *seen) add(server string, state standin.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[server] = state
}

// breaches checks the history.
func (s *seen) breaches() []Breach {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Breach
	runs := map[string]int{}
	for name, state := range s.servers {
		for id, n := range state.Runs {
			runs[id] += n
		}
		for _, v := range state.Violations {
			found = append(found, Breach{"memory is never overcommitted", name + ": " + v})
		}
		found = append(found, ordersOf(name, state.Orders)...)
		if state.Forgotten > 0 {
			found = append(found, Breach{"the history is whole", fmt.Sprintf("%s has forgotten %d arrivals: make the run shorter", name, state.Forgotten)})
		}
	}
	for id, n := range runs {
		if _, known := s.tries[id]; !known {
			found = append(found, Breach{"only what a client sent runs", id})
		}
		if t := s.tries[id]; n > 1 && runsOnce(t.route) {
			found = append(found, Breach{"a non-idempotent request runs at most once", fmt.Sprintf("%s ran %d times", id, n)})
		}
	}
	for _, t := range s.tries {
		found = append(found, t.breaches(runs[t.id])...)
		found = append(found, t.lostBreaches(runs[t.id])...)
	}
	found = append(found, s.keyBreaches()...)
	found = append(found, s.saidBreaches()...)
	return append(found, s.budgetBreaches()...)
}

// breaches checks one try, which ran so often.
func (t *try) breaches(runs int) []Breach {
	var found []Breach
	switch {
	case t.refused() && runs > 0:
		found = append(found, Breach{"a refusal that says not run is true", fmt.Sprintf("%s (%s) ran %d times", t.id, t.route, runs)})
	case t.status == http.StatusOK && t.whole && t.body != t.expected():
		found = append(found, Breach{"each client gets the whole answer to its own request", fmt.Sprintf("%s (%s) got %q", t.id, t.route, t.body)})
	case t.status == http.StatusOK && !strings.HasPrefix(t.expected(), t.body):
		found = append(found, Breach{"a part of an answer is a part of the client's own", fmt.Sprintf("%s (%s) got %q", t.id, t.route, t.body)})
	}
	if t.undisturbed && t.took > routeTimeout+answerSlack {
		found = append(found, Breach{"each request is answered or refused in its time", fmt.Sprintf("%s (%s) took %s", t.id, t.route, t.took)})
	}
	return found
}

// ordersOf checks the accepted orders to one start of an engine: tokens rise, and
// two holders' orders are apart.
func ordersOf(engine string, orders []standin.ReceivedOrder) []Breach {
	var found []Breach
	var last standin.ReceivedOrder
	for _, o := range orders {
		if !o.Accepted {
			continue
		}
		if o.Fence < last.Fence {
			found = append(found, Breach{"one holder orders at a time", fmt.Sprintf("%s: token %d of %s after %d of %s", engine, o.Fence, o.Holder, last.Fence, last.Holder)})
		}
		if last.Holder != "" && o.Holder != last.Holder && o.At.Sub(last.At) < leaseMS*time.Millisecond {
			found = append(found, Breach{"one holder orders at a time", fmt.Sprintf("%s: %s only %s after %s", engine, o.Holder, o.At.Sub(last.At), last.Holder)})
		}
		last = o
	}
	return found
}
