package forward

import (
	"testing"
	"time"
)

// maxTotalDelay is the maximum sum of the delay with which a request is recorded and the delay with
// which a repeated send arrives.
const maxTotalDelay = 1500 * time.Millisecond

// worstCase simulates one instance that has the whole budget. Sends drawn before zero arrive at
// zero, delayed, and later ones arrive at once, so that the window that begins at zero has the
// highest possible number of them.
type worstCase struct {
	*cluster
	zero time.Time
}

func newWorstCase(p BudgetParams) *worstCase {
	p.Domains = 1
	e := &worstCase{&cluster{params: p, checkers: map[string]*boundChecker{"s": {params: p}}, now: time.Unix(1000, 0)}, time.Time{}}
	e.zero = e.now.Add(10 * p.Window)
	e.addMachine(0)
	return e
}

// sendRequests simulates requests at a time relative to zero. Each one is sent again as often as
// the budget allows, up to tries times.
func (e *worstCase) sendRequests(from time.Duration, requests, tries int) {
	e.now = e.zero.Add(from)
	for range requests {
		e.serve(e.machines[0], "s", tries, 0, max(0, -from))
	}
}

// drawAll draws everything that is available or accrues between two times relative to zero.
func (e *worstCase) drawAll(from, to time.Duration) {
	const step = 10 * time.Millisecond
	checker := e.checkers["s"]
	for at := from; at < to; at += step {
		e.now = e.zero.Add(at)
		for e.machines[0].budget.Take("s", e.now) {
			checker.repeats = append(checker.repeats, e.zero.Add(max(0, at)))
		}
	}
}

// check verifies that repeated sends were made and stayed within the bound.
func (e *worstCase) check(t *testing.T) {
	t.Helper()
	checker := e.checkers["s"]
	if len(checker.repeats) == 0 {
		t.Error("nothing was sent again")
	}
	if over, from := checker.excess(); over > roundingError {
		t.Errorf("%.1f repeated sends beyond the bound in the window from %s on", over, from.Sub(e.zero))
	}
}

// TestBudgetWorstCase: each part of the bound holds in its worst case, in which everything saved is
// drawn so that it arrives at the beginning of a window and the rest is drawn as it accrues, until
// the end of the window.
func TestBudgetWorstCase(t *testing.T) {
	for _, window := range []time.Duration{10 * time.Second, 4 * time.Second, 2 * time.Second} {
		t.Run(window.String(), func(t *testing.T) {
			t.Run("extra", func(t *testing.T) {
				e := newWorstCase(BudgetParams{Extra: 1000, Window: window})
				e.drawAll(-maxTotalDelay, window)
				e.check(t)
			})
			t.Run("bursts of requests in two windows", func(t *testing.T) {
				e := newWorstCase(BudgetParams{Ratio: 0.5, Window: window})
				e.sendRequests(-maxTotalDelay, 1000, 1)
				e.sendRequests(window-time.Millisecond, 1000, 1)
				e.check(t)
			})
			t.Run("requests of long ago", func(t *testing.T) {
				e := newWorstCase(BudgetParams{Ratio: 0.5, Extra: 10, Window: window})
				e.sendRequests(-window-10*time.Millisecond, 1000, 0)
				e.drawAll(-maxTotalDelay, 0)
				e.check(t)
			})
		})
	}
}

// TestBudgetWithoutWindow: without a window nothing is sent again. When a window is set, the bucket
// starts empty: nothing has accrued before.
func TestBudgetWithoutWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetParams{Ratio: 0.2, Extra: 52})
	for _, instances := range []int{0, 1} {
		b.SetInstances(instances, now)
		now = now.Add(time.Minute)
		b.RecordRequest("s", now)
		if b.Take("s", now) {
			t.Errorf("%d instances: a repeated send without a window", instances)
		}
	}
	b.SetParams(BudgetParams{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}, now)
	if b.Take("s", now) {
		t.Error("a new bucket is not empty")
	}
}

// TestBudgetEarlierTimestamp: recording a request with an earlier time than the previous one does
// not reduce the level.
func TestBudgetEarlierTimestamp(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetParams{Extra: 52, Window: 10 * time.Second})
	b.SetInstances(1, now)
	now = now.Add(time.Minute)
	before := b.State("s", now).Level
	b.RecordRequest("s", now.Add(-time.Second))
	if after := b.State("s", now).Level; after != before {
		t.Errorf("level is %.1f, was %.1f", after, before)
	}
}
