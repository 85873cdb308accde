package admission

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestGateCounts: every request that enters has one end, and limits refuse.
func TestGateCounts(t *testing.T) {
	g := NewGate(Params{MaxRequests: 3, MaxPerModel: 2, MaxPerCaller: 2, RetryAfter: time.Second})
	a, _ := g.Enter("m", "x", 0)
	b, _ := g.Enter("m", "y", 0)
	for _, c := range []struct{ model, caller string }{{"m", "z"}, {"m", "x"}} {
		if _, err := g.Enter(c.model, c.caller, 0); verdict.Of(err).Reason != verdict.ReasonQueueFull || verdict.Of(err).RetryAfter == 0 {
			t.Errorf("third request of the model: %v", err)
		}
	}
	c, err := g.Enter("n", "x", 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.Enter("o", "w", 0); verdict.Of(err).Verdict != verdict.NotRun {
		t.Errorf("fourth request: %v", err)
	}
	a.Leave(nil)
	b.Leave(verdict.Refuse(verdict.ReasonDeadline, "late"))
	idle := g.Drain()
	if _, err := g.Enter("m", "x", 0); verdict.Of(err).Reason != verdict.ReasonDraining {
		t.Errorf("while draining: %v", err)
	}
	select {
	case <-idle:
		t.Error("idle while a request runs")
	default:
	}
	c.Leave(verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "broken"))
	<-idle
	if n := g.Counts(); n.Accepted != n.Sum() || n.Answered != 1 || n.Failed != 1 || n.Running != 0 {
		t.Errorf("%+v", n)
	}
}

// TestLineOrder: by priority, then callers in turn, then deadline; models take
// turns so that one model's burst keeps no other waiting.
func TestLineOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLine(LineParams{MaxWaiting: 100})
		var (
			mu     sync.Mutex
			served []string
			all    sync.WaitGroup
		)
		room := 0
		wait := func(name string, w Waiter) {
			w.Deadline = time.Now().Add(time.Hour)
			all.Go(func() {
				err := l.Wait(t.Context(), w, func() bool { room--; return room >= 0 })
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				served = append(served, name)
			})
			synctest.Wait()
		}
		for i := range 3 {
			wait(fmt.Sprintf("burst%d", i), Waiter{Model: "m", Caller: "greedy"})
		}
		wait("other caller", Waiter{Model: "m", Caller: "modest"})
		wait("urgent", Waiter{Model: "m", Caller: "greedy", Priority: 9})
		wait("other model", Waiter{Model: "n", Caller: "greedy"})
		for range 6 {
			room = 1
			l.Poke()
			synctest.Wait()
		}
		all.Wait()
		want := []string{"urgent", "other model", "other caller", "burst0", "burst1", "burst2"}
		if !slices.Equal(served, want) {
			t.Errorf("served %v\nwant   %v", served, want)
		}
	})
}

// TestLineRefusesAtOnce: a request that cannot be answered in time is refused
// when that is known, with when to come back, not at its deadline.
func TestLineRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLine(LineParams{MaxWaiting: 100, RetryAfter: time.Second, Refuse: true})
		start := time.Now()
		err := l.Wait(t.Context(), Waiter{Model: "m", Deadline: start.Add(time.Second), Service: time.Minute}, func() bool { return false })
		if f := verdict.Of(err); f.Verdict != verdict.NotRun || f.RetryAfter == 0 || time.Since(start) > 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}
