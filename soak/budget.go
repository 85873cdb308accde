package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// The bound on repeated sends in the settings of the entry instances: in any budgetWindow, all instances together
// may repeat budgetRatio of a service's requests plus an extra.
const (
	budgetRatio  = 0.05
	budgetWindow = 10 * time.Second
	// budgetExtraBase and budgetExtraEntry give an extra of 52 for 6 instances and of 200 for 80, close to those
	// of the users' deployments.
	budgetExtraBase, budgetExtraEntry = 40, 2
)

func budgetExtra(entries int) int { return budgetExtraBase + budgetExtraEntry*entries }

// sendTimes holds, in chronological order, when clients sent the requests to a service, and when arrivals beyond
// the first of a request reached its servers.
type sendTimes struct{ requests, repeats []time.Time }

// sendTimesByService groups the history by service. h.mu must be held.
func (h *history) sendTimesByService() map[string]*sendTimes {
	all := map[string]*sendTimes{}
	for _, req := range h.requests {
		if !req.sentAt.IsZero() {
			times := sendTimesOf(all, serviceOf(req.route))
			times.requests = append(times.requests, req.sentAt)
		}
	}
	for service, arrivals := range h.arrivalsByService() {
		times := sendTimesOf(all, service)
		seen := map[string]bool{}
		for _, a := range arrivals {
			if seen[a.ID] {
				times.repeats = append(times.repeats, a.At)
			}
			seen[a.ID] = true
		}
		slices.SortFunc(times.requests, time.Time.Compare)
	}
	return all
}

func sendTimesOf(all map[string]*sendTimes, service string) *sendTimes {
	if all[service] == nil {
		all[service] = &sendTimes{}
	}
	return all[service]
}

// arrivalsByService returns each service's arrivals in chronological order. h.mu must be held.
func (h *history) arrivalsByService() map[string][]standin.Arrival {
	all := map[string][]standin.Arrival{}
	for _, state := range h.servers {
		all[state.Service] = append(all[state.Service], state.Arrivals...)
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	}
	return all
}

// budgetUse describes the budgetWindow in which the repeated sends to a service came closest to the bound, or
// exceeded it the most. It is the zero value if nothing was repeated.
type budgetUse struct {
	from             time.Time
	repeats, allowed int
}

// budgetViolations checks that repeated sends stay within the budget shared by all instances: in no budgetWindow are
// there more arrivals beyond the first of each request than the bound allows. The bound is computed from the
// requests in that window, in the preceding one, or in the one that begins half a window earlier, whichever has
// the most. h.mu must be held.
func (h *history) budgetViolations() []Violation {
	var found []Violation
	for service, times := range h.sendTimesByService() {
		if use := times.worstWindow(h.budgetExtra); use.repeats > use.allowed {
			found = append(found, Violation{"repeated sends stay within the shared budget", fmt.Sprintf("%s: %s", service, use)})
		}
	}
	return found
}

// worstWindow checks only windows that begin with a repeated send, since no other window contains more.
func (s *sendTimes) worstWindow(extra int) budgetUse {
	var worst budgetUse
	for i, from := range s.repeats {
		use := budgetUse{from: from, repeats: countInWindow(s.repeats[i:], from), allowed: int(budgetRatio*float64(s.maxRequestsNear(from))) + extra}
		if i == 0 || use.repeats-use.allowed > worst.repeats-worst.allowed {
			worst = use
		}
	}
	return worst
}

func (u budgetUse) String() string {
	return fmt.Sprintf("%d arrivals beyond the first in the %s from %s, %d allowed", u.repeats, budgetWindow, u.from.Format("15:04:05.000"), u.allowed)
}

// budgetSummary describes how close each service came to the bound, and returns the total number of repeated
// sends.
func (h *history) budgetSummary() (uses []string, repeats int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, times := range h.sendTimesByService() {
		repeats += len(times.repeats)
		uses = append(uses, fmt.Sprintf("%s: %s", service, times.worstWindow(h.budgetExtra)))
	}
	slices.Sort(uses)
	return uses, repeats
}

// maxRequestsNear returns the maximum number of requests in the window that begins at from, the preceding one, and
// the one that begins half a window earlier.
func (s *sendTimes) maxRequestsNear(from time.Time) int {
	return max(countInWindow(s.requests, from), countInWindow(s.requests, from.Add(-budgetWindow)), countInWindow(s.requests, from.Add(-budgetWindow/2)))
}

// countInWindow counts the times, which must be sorted, within the budgetWindow that begins at from.
func countInWindow(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(budgetWindow), time.Time.Compare)
	return end - first
}
