package forward

import (
	"testing"
	"time"
)

// late is how late a request may be noted and a repeated send may arrive, together.
const late = 1500 * time.Millisecond

// edge plays one instance that has the whole budget. Sends that are drawn before zero
// arrive at zero, late, and those after it at once, so that the window from zero on has
// as many of them as there can be.
type edge struct {
	*services
	zero time.Time
}

func newEdge(p BudgetParams) *edge {
	p.Domains = 1
	e := &edge{&services{params: p, judges: map[string]*fleet{"s": {params: p}}, now: time.Unix(1000, 0)}, time.Time{}}
	e.zero = e.now.Add(10 * p.Window)
	e.add(0)
	return e
}

// at plays requests at a time from zero on; each is sent once more as often as the
// budget allows, up to tries times.
func (e *edge) at(from time.Duration, requests, tries int) {
	e.now = e.zero.Add(from)
	for range requests {
		e.serve(e.machines[0], "s", tries, 0, max(0, -from))
	}
}

// spend draws all that there is and comes to be from one time to another.
func (e *edge) spend(from, to time.Duration) {
	const step = 10 * time.Millisecond
	judge := e.judges["s"]
	for at := from; at < to; at += step {
		e.now = e.zero.Add(at)
		for e.machines[0].budget.Take("s", e.now) {
			judge.repeats = append(judge.repeats, e.zero.Add(max(0, at)))
		}
	}
}

func (e *edge) check(t *testing.T) {
	t.Helper()
	judge := e.judges["s"]
	if len(judge.repeats) == 0 {
		t.Error("nothing was sent once more")
	}
	if over, from := judge.excess(); over > rounding {
		t.Errorf("%.1f repeated sends beyond the bound in the window from %s on", over, from.Sub(e.zero))
	}
}

// TestBudgetEdges: each part of the bound holds at its worst: all that was saved up is
// drawn so that it arrives as a window begins, and the rest as it is gained, to its end.
func TestBudgetEdges(t *testing.T) {
	for _, window := range []time.Duration{10 * time.Second, 4 * time.Second, 2 * time.Second} {
		t.Run(window.String(), func(t *testing.T) {
			t.Run("extra", func(t *testing.T) {
				e := newEdge(BudgetParams{Extra: 1000, Window: window})
				e.spend(-late, window)
				e.check(t)
			})
			t.Run("bursts of requests in two windows", func(t *testing.T) {
				e := newEdge(BudgetParams{Ratio: 0.5, Window: window})
				e.at(-late, 1000, 1)
				e.at(window-time.Millisecond, 1000, 1)
				e.check(t)
			})
			t.Run("requests of long ago", func(t *testing.T) {
				e := newEdge(BudgetParams{Ratio: 0.5, Extra: 10, Window: window})
				e.at(-window-10*time.Millisecond, 1000, 0)
				e.spend(-late, 0)
				e.check(t)
			})
		})
	}
}

// TestBudgetWithoutWindow: without a window nothing is sent once more, and when there
// is one the account begins empty: the time before has gained nothing.
func TestBudgetWithoutWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetParams{Ratio: 0.2, Extra: 52})
	for _, instances := range []int{0, 1} {
		b.SetInstances(instances, now)
		now = now.Add(time.Minute)
		b.Request("s", now)
		if b.Take("s", now) {
			t.Errorf("%d instances: a send once more without a window", instances)
		}
	}
	b.SetParams(BudgetParams{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}, now)
	if b.Take("s", now) {
		t.Error("an account that begins has something to spend")
	}
}

// TestBudgetOfEarlierTime: a request that is noted with a time before that of the last
// takes nothing away.
func TestBudgetOfEarlierTime(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetParams{Extra: 52, Window: 10 * time.Second})
	b.SetInstances(1, now)
	now = now.Add(time.Minute)
	before := b.Spending("s", now).Level
	b.Request("s", now.Add(-time.Second))
	if left := b.Spending("s", now).Level; left != before {
		t.Errorf("%.1f left, before %.1f", left, before)
	}
}
