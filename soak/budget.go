package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// The bound on repeated sends that the entry instances are given: over all of them,
// in any budgetWindow, budgetRatio of a service's requests and an extra.
const (
	budgetRatio  = 0.05
	budgetWindow = 10 * time.Second
	// budgetExtraBase and budgetExtraEntry make the extra: 52 for 6 instances and
	// 200 for 80, near to those of the users' deployments.
	budgetExtraBase, budgetExtraEntry = 40, 2
)

func budgetExtra(entries int) int { return budgetExtraBase + budgetExtraEntry*entries }

// sends are the times of a service's requests, as clients sent them, and of the
// arrivals beyond the first of each request at its servers, both in order.
type sends struct{ requests, repeats []time.Time }

// sendsByService sorts the history by service. It needs mu.
func (s *seen) sendsByService() map[string]*sends {
	all := map[string]*sends{}
	for _, t := range s.tries {
		if !t.sent.IsZero() {
			of := sendsTo(all, serviceOf(t.route))
			of.requests = append(of.requests, t.sent)
		}
	}
	for service, arrived := range s.arrivalsByService() {
		of := sendsTo(all, service)
		first := map[string]bool{}
		for _, a := range arrived {
			if first[a.ID] {
				of.repeats = append(of.repeats, a.At)
			}
			first[a.ID] = true
		}
		slices.SortFunc(of.requests, time.Time.Compare)
	}
	return all
}

func sendsTo(all map[string]*sends, service string) *sends {
	if all[service] == nil {
		all[service] = &sends{}
	}
	return all[service]
}

// arrivalsByService needs mu. The arrivals are in the order of time.
func (s *seen) arrivalsByService() map[string][]standin.Arrival {
	all := map[string][]standin.Arrival{}
	for _, state := range s.servers {
		all[state.Service] = append(all[state.Service], state.Arrivals...)
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	}
	return all
}

// budgetUse is a service's budgetWindow in which its instances came nearest to the
// bound, or passed it by most; the zero value where nothing was repeated.
type budgetUse struct {
	from             time.Time
	repeats, allowed int
}

// budgetBreaches checks that repeated sends stay within the budget that all
// instances share: no budgetWindow has more arrivals beyond the first of each
// request than the bound allows. The requests that count are those in the window,
// in the one before it, or in the one half a window before it, whichever are most.
// It needs mu.
func (s *seen) budgetBreaches() []Breach {
	var found []Breach
	for service, of := range s.sendsByService() {
		if use := of.worst(s.extra); use.repeats > use.allowed {
			found = append(found, Breach{"repeated sends stay within the shared budget", fmt.Sprintf("%s: %s", service, use)})
		}
	}
	return found
}

// worst looks at the windows that begin with a repeated send; others hold no more.
func (s *sends) worst(extra int) budgetUse {
	var worst budgetUse
	for i, from := range s.repeats {
		use := budgetUse{from: from, repeats: countIn(s.repeats[i:], from), allowed: int(budgetRatio*float64(s.requestsAround(from))) + extra}
		if i == 0 || use.repeats-use.allowed > worst.repeats-worst.allowed {
			worst = use
		}
	}
	return worst
}

func (u budgetUse) String() string {
	return fmt.Sprintf("%d arrivals beyond the first in the %s from %s, %d allowed", u.repeats, budgetWindow, u.from.Format("15:04:05.000"), u.allowed)
}

// budgetUses tells how near to the bound each service came, and how many repeated
// sends there were in all.
func (s *seen) budgetUses() (uses []string, repeats int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, of := range s.sendsByService() {
		repeats += len(of.repeats)
		uses = append(uses, fmt.Sprintf("%s: %s", service, of.worst(s.extra)))
	}
	slices.Sort(uses)
	return uses, repeats
}

// requestsAround is the most requests in the window from a time, in the one before
// it, or in the one half a window before it.
func (s *sends) requestsAround(from time.Time) int {
	return max(countIn(s.requests, from), countIn(s.requests, from.Add(-budgetWindow)), countIn(s.requests, from.Add(-budgetWindow/2)))
}

// countIn counts ordered times in the window from a time.
func countIn(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(budgetWindow), time.Time.Compare)
	return end - first
}
