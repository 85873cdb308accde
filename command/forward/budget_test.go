package forward

import (
	"testing"
	"time"
)

// fleet judges the budgets of several instances by the bound on their sum.
type fleet struct {
	params            BudgetParams
	requests, repeats []time.Time
}

// excess returns by how much the repeats of the worst window are beyond the bound:
// the requests counted are those of that window, of the one before it or of the one
// half a window before it, whichever has most.
func (f *fleet) excess() (worst float64, from time.Time) {
	w := f.params.Window
	for _, start := range f.repeats {
		most := 0
		for _, before := range []time.Duration{0, w / 2, w} {
			most = max(most, within(f.requests, start.Add(-before), w))
		}
		over := float64(within(f.repeats, start, w)) - f.params.Ratio*float64(most) - f.params.Extra
		if over > worst {
			worst, from = over, start
		}
	}
	return worst, from
}

func within(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// TestBudgetOverRestarts: clients of a service whose servers all failed saw nothing
// unusual, but the servers got 203 repeated sends in ten seconds where 157 were
// allowed. All servers answered with an error from 8 s on, and all six instances were
// killed and started anew at 10, 13, 16 and 19 s. Each process kept what it had spent
// to itself, so that the next one on its machine took its part of Extra again; the log
// of the draws showed it: 202 were allowed in that window, 73 by processes from before
// the first kill, and each later process began at none. So every send beyond the first
// had been paid for, by an account that had been forgotten.
func TestBudgetOverRestarts(t *testing.T) {
	const (
		instances = 6
		perSecond = 9 // requests for the service at each instance
	)
	params := BudgetParams{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}
	f := &fleet{params: params}
	budgets := make([]*Budget, instances)
	begin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	restarts := []float64{0, 20, 23, 26, 29}
	for s := 0.0; s < 45; s += 1.0 / perSecond {
		now := at(s)
		if len(restarts) > 0 && s >= restarts[0] {
			restarts = restarts[1:]
			for i := range budgets {
				budgets[i] = NewBudget(params)
			}
		}
		for _, b := range budgets {
			b.Request("s", now)
			f.requests = append(f.requests, now)
			failing := s >= 18 && s < 38
			if failing && b.Take("s", instances, now) {
				f.repeats = append(f.repeats, now)
			}
		}
	}
	if over, from := f.excess(); over > 0 {
		t.Errorf("%.1f repeated sends beyond the bound in the window from %s on", over, from.Sub(begin))
	}
	if len(f.repeats) == 0 {
		t.Error("nothing was sent once more")
	}
}
