package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/command/dispatch"
	"github.com/martenport/martenport/command/routing"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/verdict"
)

// One engine that runs 32 requests of 20 tokens at 5 ms per token serves 320 requests
// per second.
const (
	overloadTokens   = 20
	overloadCapacity = 320
	overloadDeadline = time.Second
	overloadSpan     = 10 * time.Second
)

// overloadResult is the result of one run.
type overloadResult struct {
	goodput float64       // answers within the deadline per second
	slowest time.Duration // longest time to an answer
	refusal time.Duration // longest time to a refusal
	counts  admission.Counts
}

// overload offers load times the capacity for overloadSpan. limits enables queueing by
// estimated wait and the request windows; without them every request is sent to the
// engine immediately.
func overload(t *testing.T, load int, limits bool) overloadResult {
	f := newTestFleet(t, fleetShape{domains: 1, nodesPerDomain: 1, enginesPerDomain: 1, models: oneReplica, tailWeight: 1})
	defer f.close()
	n := f.nodes[0]
	if !limits {
		params := routing.DefaultParams()
		params.InitialWindow = 0
		n.dispatcher = dispatch.New(dispatch.DefaultParams(), n.tables, n.events, routing.NewBalancer(params),
			admission.NewQueue(admission.QueueParams{MaxWaiting: 1 << 20}), n.waker, func(e declaration.Engine) backend.Engine { return f.engines[e.Name] })
	}
	n.gate = admission.NewGate(admission.Params{MaxRequests: 1 << 20, MaxPerModel: 1 << 20, MaxPerCaller: 1 << 20, RetryAfter: time.Second})
	if _, err := n.generate("caption", "warm", time.Minute); err != nil {
		t.Fatal(err)
	}
	type end struct {
		elapsed time.Duration
		err     error
	}
	total := load * overloadCapacity * int(overloadSpan/time.Second)
	ends := make(chan end, total)
	for i := range total {
		go func() {
			start := time.Now()
			_, err := n.generateAs(&martenportv1.GenerateRequest{
				Model: "caption", Prompt: fmt.Sprint(i), MaxTokens: overloadTokens, TimeoutMs: overloadDeadline.Milliseconds(), Caller: fmt.Sprint(i % 7),
			})
			ends <- end{time.Since(start), err}
		}()
		time.Sleep(overloadSpan / time.Duration(total))
	}
	var r overloadResult
	answered := 0
	for range total {
		e := <-ends
		switch {
		case e.err == nil:
			answered++
			r.slowest = max(r.slowest, e.elapsed)
		case verdict.FromError(e.err).Verdict == verdict.NotRun:
			r.refusal = max(r.refusal, e.elapsed)
		}
	}
	r.goodput = float64(answered) / overloadSpan.Seconds()
	r.counts = n.gate.Counts()
	return r
}

// TestGoodputUnderOverload guards against a collapse of goodput under overload: at five
// times the capacity, the rate of answers within the deadline must be at least 90% of
// the capacity, and every request must have exactly one outcome.
func TestGoodputUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := overload(t, 5, true)
		if r.goodput < 0.9*overloadCapacity {
			t.Errorf("goodput %v requests per second, want at least 90%% of the capacity %d", r.goodput, overloadCapacity)
		}
		if r.counts.Accepted != r.counts.Sum() || r.counts.Running != 0 {
			t.Errorf("counts %+v, want none running and Accepted the sum of the others", r.counts)
		}
	})
}

// BenchmarkOverload offers 1, 2, 5 and 10 times the capacity, with and without
// queueing by estimated wait and request windows.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []int{1, 2, 5, 10} {
		for _, limits := range []bool{true, false} {
			b.Run(fmt.Sprintf("load=%dx/limits=%t", load, limits), func(b *testing.B) {
				for b.Loop() {
					bubble(b, func(t *testing.T) {
						r := overload(t, load, limits)
						b.ReportMetric(r.goodput/overloadCapacity, "goodput/capacity")
						b.ReportMetric(r.slowest.Seconds(), "slowest-virtual-s")
						b.ReportMetric(r.refusal.Seconds(), "refusal-virtual-s")
						b.ReportMetric(float64(r.counts.Failed), "failed")
					})
				}
			})
		}
	}
}

// TestCancelByKey checks that a request can be cancelled by its key, but only by the
// caller that sent it.
func TestCancelByKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		n := f.nodes[0]
		done := make(chan error, 1)
		go func() {
			_, err := n.generateAs(&martenportv1.GenerateRequest{Model: "caption", Prompt: "x", Key: "k", Caller: "a", Idempotent: true})
			done <- err
		}()
		time.Sleep(time.Second)
		if n.running.cancelRequest("", "b", "k") {
			t.Error("request cancelled by another caller")
		}
		if !n.running.cancelRequest("", "a", "k") {
			t.Error("request not found by its key")
		}
		if f := verdict.FromError(<-done); f.Reason != verdict.ReasonCancelled || f.Verdict != verdict.NotRun {
			t.Errorf("%v, want ReasonCancelled and verdict NotRun", f)
		}
		f.checkCounts()
	})
}

// TestCancelDuringLoad checks that a request whose caller disconnects while it waits
// for a load is not answered and is not counted as running any more.
func TestCancelDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := f.nodes[0].Generate(ctx, &martenportv1.GenerateRequest{Model: "caption", Prompt: "x"})
			done <- err
		}()
		time.Sleep(time.Second)
		cancel()
		if err := <-done; err == nil {
			t.Error("cancelled request answered")
		}
		f.checkCounts()
	})
}
