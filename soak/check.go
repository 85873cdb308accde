package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// history is what clients and servers observed, against which the guarantees are checked.
type history struct {
	mu       *sync.Mutex
	requests map[string]clientRequest
	servers  map[string]standin.State // by server and number of its start
	// budgetExtra is the number of repeated sends that the budget allows in addition to its ratio.
	budgetExtra int
	// acknowledged holds when the store acknowledged the write of each configuration version.
	acknowledged map[int64]time.Time
}

func newHistory(entries int) history {
	return history{mu: &sync.Mutex{}, requests: map[string]clientRequest{}, servers: map[string]standin.State{}, budgetExtra: budgetExtra(entries), acknowledged: map[int64]time.Time{}}
}

func (h *history) addRequest(req clientRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[req.id] = req
}

func (h *history) addServerState(server string, state standin.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers[server] = state
}

// violations returns the guarantees that the history contradicts.
func (h *history) violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []Violation
	runs := map[string]int{}
	for name, state := range h.servers {
		for id, n := range state.Runs {
			runs[id] += n
		}
		for _, v := range state.Violations {
			found = append(found, Violation{"memory is never overcommitted", name + ": " + v})
		}
		found = append(found, orderViolations(name, state.Orders)...)
		if state.Forgotten > 0 {
			found = append(found, Violation{"the history is whole", fmt.Sprintf("%s has forgotten %d arrivals: make the run shorter", name, state.Forgotten)})
		}
	}
	for id, n := range runs {
		if _, known := h.requests[id]; !known {
			found = append(found, Violation{"only what a client sent runs", id})
		}
		if req := h.requests[id]; n > 1 && atMostOnce(req.route) {
			found = append(found, Violation{"a non-idempotent request runs at most once", fmt.Sprintf("%s ran %d times", id, n)})
		}
	}
	for _, req := range h.requests {
		found = append(found, req.violations(runs[req.id])...)
		found = append(found, req.lostAnswerViolations(runs[req.id])...)
		found = append(found, req.retryViolations()...)
		found = append(found, req.versionViolations()...)
		found = append(found, req.joinedViolations()...)
	}
	found = append(found, h.keyViolations()...)
	found = append(found, h.backpressureViolations()...)
	found = append(found, h.attemptViolations()...)
	found = append(found, h.timeLeftViolations()...)
	return append(found, h.budgetViolations()...)
}

// violations checks the client's view of a request against the number of times that servers ran it.
func (req *clientRequest) violations(runs int) []Violation {
	var found []Violation
	if req.refused() && runs > 0 {
		found = append(found, Violation{"a refusal that says not run is true", fmt.Sprintf("%s (%s) ran %d times", req.id, req.route, runs)})
	}
	found = append(found, req.bodyViolations()...)
	if req.entryRunning && req.duration > longestTimeout+answerSlack {
		found = append(found, Violation{"each request is answered or refused in its time", fmt.Sprintf("%s (%s) took %s", req.id, req.route, req.duration)})
	}
	return found
}

// orderViolations checks the orders that one start of an engine accepted: fencing tokens never decrease, and orders
// of different holders are at least holderGapMS apart.
func orderViolations(engine string, orders []standin.ReceivedOrder) []Violation {
	var found []Violation
	var last standin.ReceivedOrder
	for _, o := range orders {
		if !o.Accepted {
			continue
		}
		if o.Fence < last.Fence {
			found = append(found, Violation{"one holder orders at a time", fmt.Sprintf("%s: token %d of %s after %d of %s", engine, o.Fence, o.Holder, last.Fence, last.Holder)})
		}
		if last.Holder != "" && o.Holder != last.Holder && o.At.Sub(last.At) < holderGapMS*time.Millisecond {
			found = append(found, Violation{"one holder orders at a time", fmt.Sprintf("%s: %s only %s after %s", engine, o.Holder, o.At.Sub(last.At), last.Holder)})
		}
		last = o
	}
	return found
}
