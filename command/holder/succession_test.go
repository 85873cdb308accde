package holder

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// recordingEngine is a fakeEngine that records the accepted orders with their holder and time. It can delay the next
// order of holder a, as a freeze of that holder's machine between the check of the lease and the send would.
type recordingEngine struct {
	fakeEngine
	accepted []acceptedOrder
	frozen   chan struct{} // closed when the machine resumes; nil while it runs
}

type acceptedOrder struct {
	holder string
	fence  int64
	at     time.Time
	// born is the start of the process for which the order was meant.
	born int64
}

func (r *recordingEngine) Order(ctx context.Context, o serving.Order) (serving.OrderAnswer, error) {
	r.mu.Lock()
	frozen := r.frozen
	r.mu.Unlock()
	if o.Holder == "a" && frozen != nil {
		<-frozen
		ctx = context.WithoutCancel(ctx) // the kernel sends data that was already written
	}
	answer, err := r.fakeEngine.Order(ctx, o)
	if answer == serving.OrderAccepted {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.accepted = append(r.accepted, acceptedOrder{holder: o.Holder, fence: o.Fence, at: time.Now(), born: o.Server.Born})
	}
	return answer, err
}

// newTestHolder returns a holder with the given name and one engine for the models.
func newTestHolder(name string, platform *standin.Platform, engine serving.Engines, settle time.Duration, models ...string) *Holder {
	spec := &serving.EngineSpec{MemoryMB: 15, Models: map[string]serving.Model{}}
	tiers := map[string]serving.Tier{}
	for _, m := range models {
		spec.Models[m] = serving.Model{Name: m, MemoryMB: 10, DiskLoad: 50 * time.Millisecond}
		tiers[m] = serving.TierDisk
	}
	dir := directory.New()
	dir.ApplyConfig(&serving.Config{Version: 1, Services: map[string]serving.Service{"llm": {Name: "llm", Engine: spec}}})
	dir.ApplyServer(serving.Server{ID: "e", Service: "llm", Revision: 1, Tiers: tiers}, time.Now())
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(DefaultParams(name, name+":1", settle), platform, engine, dir, NewMetrics(metrics.NewSet()), log)
}

// requestModelsInTurn requests the models in turn until ctx ends. Only one fits on the engine, so each turn causes a
// load. A turn is longer than a model is kept for the requests that asked for it.
func requestModelsInTurn(ctx context.Context, h *Holder, models ...string) {
	const turn = 8
	for i := 0; ctx.Err() == nil; i++ {
		_, _, _ = h.Want(Request{Service: "llm", Unit: serving.Unit{Model: models[i/turn%len(models)]}, Waiting: replicas.Waiting{Instance: "i", OnTime: 1}}, time.Now())
		time.Sleep(300 * time.Millisecond)
	}
}

// TestFrozenHolder: a holder freezes after checking the lease and before sending an order, and another instance
// takes over. The successor's first order must follow the last one of the old holder by at least settle. The order
// that the old holder sends when it wakes must be refused, because it names an older sequence number.
func TestFrozenHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settle = 3 * time.Second
		platform := standin.NewPlatform()
		engine := &recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{}}}
		a := newTestHolder("a", platform, engine, settle, "m1", "m2")
		b := newTestHolder("b", platform, engine, settle, "m1", "m2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		takeOverFrom(ctx, t, a)
		time.Sleep(10 * time.Second)
		wake := make(chan struct{})
		engine.mu.Lock()
		engine.frozen = wake
		before := len(engine.accepted)
		engine.mu.Unlock()
		takeOverFrom(ctx, t, b)
		time.Sleep(15 * time.Second)
		close(wake)
		engine.mu.Lock()
		engine.frozen = nil
		engine.mu.Unlock()
		time.Sleep(5 * time.Second)
		stop()
		time.Sleep(10 * time.Second) // let all goroutines end
		engine.mu.Lock()
		defer engine.mu.Unlock()
		if before == 0 || len(engine.accepted) < before+2 || a.Holds() {
			t.Fatalf("%d orders before the freeze, %d in total, old holder holds the lease: %v", before, len(engine.accepted), a.Holds())
		}
		for i, o := range engine.accepted[1:] {
			last := engine.accepted[i]
			if o.fence < last.fence {
				t.Errorf("order with token %d of %s after token %d of %s", o.fence, o.holder, last.fence, last.holder)
			}
			if o.holder != last.holder && o.at.Sub(last.at) < settle {
				t.Errorf("%s sends an order %s after one of %s", o.holder, o.at.Sub(last.at), last.holder)
			}
		}
	})
}
