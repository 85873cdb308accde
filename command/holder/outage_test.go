package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestStoreOutage: while the store does not answer, orders go on for as long as the
// lease is good without a renewal, and stop then; what the engine holds is offered all
// the time, since its orders failed by no fault of its own; and orders go on within a
// second of the store's return. Found on the booking desk's trouble-3: each order
// waited for a renewal and then had no time left, the engine was passed over for that,
// and models that it held were not offered for eight seconds.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewPlatform()
		engine := &judged{fakeEngine: fakeEngine{models: map[string][]string{}}}
		h := newTestHolder("a", platform, engine, time.Second, "m1", "m2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		if err := h.TakeOver(ctx, lease.Record{}, 0, "test"); err != nil {
			t.Fatal(err)
		}
		go h.Run(ctx)
		go keepWanting(ctx, h, "m1", "m2")
		time.Sleep(10 * time.Second)
		began := time.Now()
		platform.SetDelay(time.Hour)
		for time.Since(began) < 8*time.Second {
			time.Sleep(100 * time.Millisecond)
			assertHeldOffered(t, h, engine, time.Since(began))
		}
		platform.SetDelay(0)
		returned := time.Now()
		time.Sleep(6 * time.Second)
		stop()
		time.Sleep(5 * time.Second)
		during, after := 0, time.Duration(-1)
		for _, o := range engine.accepted {
			switch at := o.at; {
			case at.Before(began):
			case at.Before(returned):
				during++
				if since := at.Sub(began); since > validity {
					t.Errorf("an order %s into the outage, the lease is good for %s", since, validity)
				}
			case after < 0:
				after = at.Sub(returned)
			}
		}
		// One turn of models is 2.4 s long, so one of two is within the validity.
		if during == 0 {
			t.Error("no order in the outage while the lease was still good")
		}
		if after < 0 || after > 4*time.Second {
			t.Errorf("first order %s after the outage", after)
		}
	})
}

// assertHeldOffered fails unless each model that the engine holds is offered there.
func assertHeldOffered(t *testing.T, h *Holder, engine *judged, into time.Duration) {
	t.Helper()
	engine.mu.Lock()
	held := len(engine.models)
	var models []string
	for model := range engine.models {
		models = append(models, model)
	}
	engine.mu.Unlock()
	if held == 0 || into < validity {
		return // a load may be under way
	}
	for _, model := range models {
		found, ok, err := h.Want(Request{Service: "llm", Unit: serving.Unit{Model: model}, Waiting: replicas.Waiting{}}, time.Now())
		if err != nil || !ok || found.Engine == "" || found.Ready.After(time.Now()) {
			t.Errorf("%s into the outage: %s is held and not offered: %+v, %v, %v", into, model, found, ok, err)
		}
	}
}

// busyEngine is one whose unloads wait for running requests.
type busyEngine struct {
	judged
	unloading time.Duration
	until     time.Time // guarded by mu
	refused   int       // guarded by mu
}

func (b *busyEngine) Order(ctx context.Context, o serving.Order) (serving.OrderAnswer, error) {
	b.mu.Lock()
	busy := time.Now().Before(b.until)
	switch {
	case busy:
		b.refused++
	case o.Unload:
		b.until = time.Now().Add(b.unloading)
	}
	b.mu.Unlock()
	if busy {
		return serving.OrderConflict, nil
	}
	return b.judged.Order(ctx, o)
}

func (b *busyEngine) Report(ctx context.Context, s serving.Server) (serving.Report, error) {
	r, err := b.judged.Report(ctx, s)
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Busy = time.Now().Before(b.until)
	return r, err
}

// TestUnloadThatWaits: an unload that waits for requests for longer than a load takes
// does not fail its engine; the load follows it, and few orders are refused meanwhile.
// Found on the booking desk's scale-1: the engine was passed over after 2.4 s, and busy
// models that it had were loaded anew from the weight store.
func TestUnloadThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &busyEngine{judged: judged{fakeEngine: fakeEngine{models: map[string][]string{"m1": nil}}}, unloading: 6 * time.Second}
		h := newTestHolder("a", standin.NewPlatform(), engine, time.Millisecond, "m1", "m2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		if err := h.TakeOver(ctx, lease.Record{}, 0, "test"); err != nil {
			t.Fatal(err)
		}
		go h.Run(ctx)
		time.Sleep(2 * time.Second)
		for range 40 {
			_, _, _ = h.Want(Request{Service: "llm", Unit: serving.Unit{Model: "m2"}, Waiting: replicas.Waiting{Instance: "i", OnTime: 1}}, time.Now())
			time.Sleep(200 * time.Millisecond)
			h.mu.Lock()
			e := h.fleet.Engine("e")
			failing := e.Unsure || time.Now().Before(e.Failing)
			h.mu.Unlock()
			if failing {
				t.Fatal("the engine is passed over while its unload waits")
			}
		}
		if loads := engine.loads("m2"); len(loads) == 0 || len(engine.accepted) < 2 {
			t.Errorf("%d orders accepted, want the unload and the load", len(engine.accepted))
		}
		if engine.refused == 0 || engine.refused > 30 {
			t.Errorf("%d orders refused in 6 s, want some and 30 at most", engine.refused)
		}
	})
}
