package holder

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestStoreOutage: while the store does not answer, orders continue for as long as the lease is valid without a
// renewal, and stop then. The models that the engine has are offered all the time, because its orders did not fail
// by a fault of the engine. Orders resume soon after the store's return. When each order waited for a renewal and then
// had no time left, the engine was skipped as failing, and the models that it had were not offered for eight seconds.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewPlatform()
		engine := &recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{}}}
		h := newTestHolder("a", platform, engine, time.Second, "m1", "m2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		if err := h.TakeOver(ctx, lease.Record{}, 0, "test"); err != nil {
			t.Fatal(err)
		}
		go h.Run(ctx)
		go requestModelsInTurn(ctx, h, "m1", "m2")
		time.Sleep(10 * time.Second)
		outageStart := time.Now()
		platform.SetDelay(time.Hour)
		for time.Since(outageStart) < 8*time.Second {
			time.Sleep(100 * time.Millisecond)
			assertLoadedModelsOffered(t, h, engine, time.Since(outageStart))
		}
		platform.SetDelay(0)
		outageEnd := time.Now()
		time.Sleep(6 * time.Second)
		stop()
		time.Sleep(5 * time.Second)
		engine.mu.Lock()
		accepted := slices.Clone(engine.accepted)
		engine.mu.Unlock()
		during, after := 0, time.Duration(-1)
		for _, o := range accepted {
			switch at := o.at; {
			case at.Before(outageStart):
			case at.Before(outageEnd):
				during++
				if since := at.Sub(outageStart); since > validity {
					t.Errorf("order accepted %s after the start of the outage, the lease is valid for %s", since, validity)
				}
			case after < 0:
				after = at.Sub(outageEnd)
			}
		}
		// Each model is requested for 2.4 s at a time, so one of two changes falls within the validity.
		if during == 0 {
			t.Error("no order during the outage while the lease was valid")
		}
		if after < 0 || after > 4*time.Second {
			t.Errorf("first order %s after the end of the outage, want 4 s at most", after)
		}
	})
}

// assertLoadedModelsOffered fails the test unless each model that the engine has is offered there.
func assertLoadedModelsOffered(t *testing.T, h *Holder, engine *recordingEngine, elapsed time.Duration) {
	t.Helper()
	engine.mu.Lock()
	held := len(engine.models)
	var models []string
	for model := range engine.models {
		models = append(models, model)
	}
	engine.mu.Unlock()
	if held == 0 || elapsed < validity {
		return // a load may be in progress
	}
	for _, model := range models {
		found, ok, err := h.Want(Request{Service: "llm", Unit: serving.Unit{Model: model}, Waiting: replicas.Waiting{}}, time.Now())
		if err != nil || !ok || found.Engine == "" || found.Ready.After(time.Now()) {
			t.Errorf("%s after the start of the outage: loaded model %s is not offered: %+v, %v, %v", elapsed, model, found, ok, err)
		}
	}
}

// busyEngine is an engine whose unloads wait for running requests.
type busyEngine struct {
	recordingEngine
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
	return b.recordingEngine.Order(ctx, o)
}

func (b *busyEngine) Report(ctx context.Context, s serving.Server) (serving.Report, error) {
	r, err := b.recordingEngine.Report(ctx, s)
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Busy = time.Now().Before(b.until)
	return r, err
}

// TestSlowUnloadDoesNotFailEngine: an unload that waits for requests for longer than a load takes must not count as
// a failure of the engine. The load follows it, and few orders are refused meanwhile. Otherwise the engine is skipped as
// failing (after 2.4 s when this was seen), and busy models that it has are loaded again from the weight store.
func TestSlowUnloadDoesNotFailEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &busyEngine{recordingEngine: recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{"m1": nil}}}, unloading: 6 * time.Second}
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
			failing := e.MustBeRead || time.Now().Before(e.FailingUntil)
			h.mu.Unlock()
			if failing {
				t.Fatal("the engine is skipped as failing while its unload waits")
			}
		}
		loads := engine.loads("m2") // locks mu itself
		engine.mu.Lock()
		accepted, refused := len(engine.accepted), engine.refused
		engine.mu.Unlock()
		if len(loads) == 0 || accepted < 2 {
			t.Errorf("%d orders accepted, want an unload and a load", accepted)
		}
		if refused == 0 || refused > 30 {
			t.Errorf("%d orders refused in 6 s, want between 1 and 30", refused)
		}
	})
}
