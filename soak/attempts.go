package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// The bounds on what instances send for one request: the number of servers that run it, and the time that they are given.
const (
	// routeAttempts is the number of servers at which a request of any route may run.
	routeAttempts = 2
	// maxRunTooOften is the number of requests that may run at more servers. The bound applies to requests that no fault
	// affected.
	maxRunTooOften = 3
	// timeSlack is how much longer than its client waits a server may be given for a request.
	timeSlack = 500 * time.Millisecond
	// Of the sends that are given too much time and those that are repeated later than timeSlack, at most maxOverlong, or
	// maxOverlongShare, may be given too much.
	maxOverlong      = 20
	maxOverlongShare = 0.2
)

// attemptViolations checks at how many servers requests ran. h.mu must be held.
func (h *history) attemptViolations() []Violation {
	servers := map[string]int{}
	for _, state := range h.servers {
		for id, runs := range state.Runs {
			servers[id] += min(1, runs)
		}
	}
	var tooOften []string
	for id, n := range servers {
		if req := h.requests[id]; n > routeAttempts && req.undisturbed && !req.isHarmful() {
			tooOften = append(tooOften, fmt.Sprintf("%s at %d", id, n))
		}
	}
	if len(tooOften) <= maxRunTooOften {
		return nil
	}
	slices.Sort(tooOften)
	return []Violation{{"a request runs at no more servers than its route's attempts", fmt.Sprintf("%d requests: %v", len(tooOften), tooOften[:maxRunTooOften])}}
}

// timeLeftViolations checks how much time servers are given for requests that stable instances pass on. h.mu must be held.
func (h *history) timeLeftViolations() []Violation {
	overlong, counted := 0, 0
	for _, arrivals := range h.arrivalsByService() {
		first := map[string]standin.Arrival{}
		for _, a := range arrivals {
			before, repeated := first[a.ID]
			if !repeated {
				first[a.ID] = a
			}
			req, known := h.requests[a.ID]
			if !known || !req.entryStable || req.sentAt.IsZero() {
				continue
			}
			late := repeated && a.At.Sub(before.At) > timeSlack
			if isOverlong(a, before, req.sentAt, late) {
				overlong++
				counted++
			} else if late {
				counted++
			}
		}
	}
	if overlong <= maxOverlong || float64(overlong) <= maxOverlongShare*float64(counted) {
		return nil
	}
	return []Violation{{"servers are given no more time than is left", fmt.Sprintf("%d of %d sends", overlong, counted)}}
}

// isOverlong reports whether a server was given more time than the client waits. late is set if the request was sent before,
// at first, and not a moment ago.
func isOverlong(a, first standin.Arrival, sentAt time.Time, late bool) bool {
	end := a.At.Add(a.Remaining)
	return a.Remaining == 0 || a.Remaining > longestTimeout+timeSlack ||
		late && end.After(first.At.Add(first.Remaining+timeSlack)) && end.After(sentAt.Add(longestTimeout+timeSlack))
}
