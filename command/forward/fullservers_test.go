package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

var refusedAsFull = reply{status: 503, notExecuted: true}

// newFullFixture returns a fixture whose engines have two slots each and run the given numbers of requests of other
// instances.
func newFullFixture(t *testing.T, others map[string]int, replies ...reply) *fixture {
	t.Helper()
	f := newFixture(t, replies...)
	for _, id := range []string{"e1", "e2"} {
		f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Revision: 2, Slots: 2, Models: map[string][]string{"warm": nil}}, time.Now())
	}
	f.dir.ApplyViews(1, nil, others, time.Now())
	return f
}

// TestFullEnginesRefusedAtOnce plays a second of requests for a model whose engines are full, with a decision that
// knows full engines and one that does not (no slots announced). The clients get the same answer, refused and not run;
// the first spends the shared budget only for its probes.
func TestFullEnginesRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		repeats := func(slots int) (repeats, sends int) {
			f := newFullFixture(t, map[string]int{"e1": 20, "e2": 20}, refusedAsFull)
			for _, id := range []string{"e1", "e2"} {
				f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Revision: 3, Slots: slots, Models: map[string][]string{"warm": nil}}, time.Now())
			}
			f.placer.place = Place{Engine: "e1", Ready: time.Now()}
			f.forwarder.budget = newFilledBudget(BudgetParams{Ratio: 1, Extra: 100, Window: time.Minute})
			for range 100 {
				started := time.Now()
				_, failure := f.serve("once", "warm", 300*time.Millisecond)
				if failure == nil || failure.Verdict != verdict.NotRun || slots > 0 && (failure.RetryAfter <= 0 || failure.RetryAfter > time.Second || time.Since(started) > 0) {
					t.Fatalf("%v, retry after %s", failure, failure.RetryAfter)
				}
				time.Sleep(10 * time.Millisecond)
			}
			return f.forwarder.budget.State("llm", time.Now()).Repeats, len(f.servers.attempts)
		}
		oldRepeats, oldSends := repeats(0)
		newRepeats, newSends := repeats(2)
		t.Logf("repeated sends %d, was %d; sends %d, was %d", newRepeats, oldRepeats, newSends, oldSends)
		if newRepeats > 5 || newRepeats*10 > oldRepeats {
			t.Errorf("%d repeated sends, %d without the knowledge of full engines", newRepeats, oldRepeats)
		}
	})
}

// TestFullEngineAvoided: the next requests go to the engine with room, without another send to the full one, and to
// both again once it may have room.
func TestFullEngineAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFullFixture(t, map[string]int{"e1": 20, "e2": 20}, refusedAsFull, reply{status: 200, events: true, body: threeEvents})
		for range 20 {
			if _, failure := f.serve("once", "warm", 0); failure != nil {
				t.Fatal(failure)
			}
		}
		full := f.servers.attempts[0].Server.ID
		for _, a := range f.servers.attempts[1:] {
			if a.Server.ID == full {
				t.Fatalf("sent to %s, which is full", full)
			}
		}
		time.Sleep(time.Second)
		f.servers.attempts = nil
		for range 50 {
			f.serve("once", "warm", 0)
		}
		sent := false
		for _, a := range f.servers.attempts {
			sent = sent || a.Server.ID == full
		}
		if !sent {
			t.Errorf("nothing sent to %s, which has room again", full)
		}
	})
}

// TestRefusalWithoutLoadIsNotFull: an engine that refuses although its slots are free, as while it changes its models,
// is not full, whether the report of other instances' requests is lost or not.
func TestRefusalWithoutLoadIsNotFull(t *testing.T) {
	for name, others := range map[string]map[string]int{"free": {"e1": 0, "e2": 0}, "no report": nil} {
		t.Run(name, func(t *testing.T) {
			f := newFullFixture(t, others, refusedAsFull, refusedAsFull, reply{status: 200, events: true, body: threeEvents})
			f.placer.place = Place{Engine: "e1", Ready: time.Now()}
			if _, failure := f.serve("once", "warm", 0); failure != nil {
				t.Errorf("%v, want another send to the engine that the holder names", failure)
			}
		})
	}
}

// TestStreamWaitsForRoom: a stream that broke off waits for room to be resumed, instead of being refused.
func TestStreamWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFullFixture(t, map[string]int{"e1": 20, "e2": 20},
			reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", broken: true}, refusedAsFull, reply{status: 200, events: true, body: threeEvents})
		f.placer.place = Place{Engine: "e1", Ready: time.Now()}
		w, failure := f.serve("stream", "warm", 0)
		if failure != nil || w.Body.String() != threeEvents {
			t.Errorf("%v, client got %q", failure, w.Body.String())
		}
	})
}

// TestFullThenGone: the pause ends with the engine's process.
func TestFullThenGone(t *testing.T) {
	f := newFullFixture(t, map[string]int{"e1": 20, "e2": 20}, refusedAsFull)
	f.serve("once", "warm", 0)
	full := f.servers.attempts[0].Server.ID
	f.forwarder.balancer.Forget(full)
	if until := f.forwarder.balancer.FullUntil(full, time.Now()); !until.IsZero() {
		t.Errorf("the new process of %s is full until %s", full, until)
	}
}
