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

// TestGateCounts checks that each limit refuses requests, that every request is
// counted with exactly one outcome, and that Drain waits for running requests.
func TestGateCounts(t *testing.T) {
	g := NewGate(Params{MaxRequests: 3, MaxPerModel: 2, MaxPerCaller: 2, RetryAfter: time.Second})
	a, _ := g.Admit("m", "x", 0)
	b, _ := g.Admit("m", "y", 0)
	for _, c := range []struct{ model, caller string }{{"m", "z"}, {"m", "x"}} {
		if _, err := g.Admit(c.model, c.caller, 0); verdict.FromError(err).Reason != verdict.ReasonQueueFull || verdict.FromError(err).RetryAfter == 0 {
			t.Errorf("third request for the model: %v, want a refusal with ReasonQueueFull and a retry delay", err)
		}
	}
	c, err := g.Admit("n", "x", 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.Admit("o", "w", 0); verdict.FromError(err).Verdict != verdict.NotRun {
		t.Errorf("fourth request: %v, want verdict NotRun", err)
	}
	a.Done(nil)
	b.Done(verdict.Refuse(verdict.ReasonDeadline, "late"))
	idle := g.Drain()
	if _, err := g.Admit("m", "x", 0); verdict.FromError(err).Reason != verdict.ReasonDraining {
		t.Errorf("request while draining: %v, want ReasonDraining", err)
	}
	select {
	case <-idle:
		t.Error("idle channel closed while a request is running")
	default:
	}
	c.Done(verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "broken"))
	<-idle
	if n := g.Counts(); n.Accepted != n.Sum() || n.Answered != 1 || n.Failed != 1 || n.Running != 0 {
		t.Errorf("counts %+v, want 1 answered, 1 failed, none running, and Accepted the sum of the others", n)
	}
}

// TestQueueOrder checks the order of grants: models round-robin, so that a burst
// for one model does not delay the others, then by priority, then callers in
// turn, then by deadline.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueParams{MaxWaiting: 100})
		var (
			mu     sync.Mutex
			served []string
			all    sync.WaitGroup
		)
		room := 0
		wait := func(name string, w Waiter) {
			w.Deadline = time.Now().Add(time.Hour)
			all.Go(func() {
				err := q.Wait(t.Context(), w, func() bool { room--; return room >= 0 })
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
			q.GrantWaiting()
			synctest.Wait()
		}
		all.Wait()
		want := []string{"urgent", "other model", "other caller", "burst0", "burst1", "burst2"}
		if !slices.Equal(served, want) {
			t.Errorf("granted in order %v\nwant             %v", served, want)
		}
	})
}

// TestQueueRefusesImmediately guards against holding a request until its deadline
// when it is known on arrival that it cannot be answered in time: it must be
// refused immediately, with a retry delay.
func TestQueueRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueParams{MaxWaiting: 100, RetryAfter: time.Second, Refuse: true})
		start := time.Now()
		err := q.Wait(t.Context(), Waiter{Model: "m", Deadline: start.Add(time.Second), ServiceTime: time.Minute}, func() bool { return false })
		if f := verdict.FromError(err); f.Verdict != verdict.NotRun || f.RetryAfter == 0 || time.Since(start) > 0 {
			t.Errorf("%v after %v, want an immediate NotRun with a retry delay", err, time.Since(start))
		}
	})
}
