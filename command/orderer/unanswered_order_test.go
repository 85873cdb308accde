package orderer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
)

// delayingEngine withholds the next load order, as a network could, until deliverDelayed is called.
type delayingEngine struct {
	backend.Engine
	delayNext bool
	delayed   []backend.Order
}

func (e *delayingEngine) Load(ctx context.Context, o backend.Order) (backend.Ack, error) {
	if !e.delayNext {
		return e.Engine.Load(ctx, o)
	}
	e.delayNext = false
	e.delayed = append(e.delayed, o)
	return backend.Ack{}, backend.ErrUnknown
}

func (e *delayingEngine) deliverDelayed(ctx context.Context) {
	for _, o := range e.delayed {
		_, _ = e.Engine.Load(ctx, o)
	}
	e.delayed = nil
}

// TestUnansweredOrderStaysCounted guards against releasing a slot too early on an engine without
// fencing support. An order of an earlier orderer loads a model for which the current orderer also
// sent an order that was not answered. Unloading the model must not free its slot while the second
// order may still arrive; after it has arrived, unloading must free the slot.
func TestUnansweredOrderStaysCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 1, false, faults{})
		first, second := w.orderer("first", "e1"), w.orderer("second", "e1")
		engine := w.engines["e1"]
		m := backend.Unit{Model: "m1", Version: "1"}

		firstEngine := &delayingEngine{Engine: engine, delayNext: true}
		first.engine = firstEngine
		mustTakeover(t, first)
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		_ = first.Load(short, m, 18*gib)
		cancel()

		secondEngine := &delayingEngine{Engine: engine, delayNext: true}
		second.engine = secondEngine
		mustTakeover(t, second)
		short, cancel = context.WithTimeout(t.Context(), time.Second)
		_ = second.Load(short, m, 18*gib) // orders the unit of the doubtful claim again
		cancel()

		firstEngine.deliverDelayed(t.Context())
		pollUntil(t, second, func() bool { return second.ledger.Entries["m1"].Phase == placement.Resident })
		time.Sleep(time.Minute)
		if done, err := second.yieldStep(t.Context(), "m1"); done || err != nil {
			t.Fatalf("yield: %t %v", done, err)
		}
		pollUntil(t, second, func() bool { return !engine.Holds("m1") })
		if done, err := second.yieldStep(t.Context(), "m1"); done || !errors.Is(err, ErrInUse) {
			t.Errorf("slot released while an order is in flight: done %t, error %v", done, err)
		}
		secondEngine.deliverDelayed(t.Context())
		pollUntil(t, second, func() bool { return second.ledger.Entries["m1"].Phase == placement.Resident })
		time.Sleep(time.Minute)
		_, _ = second.yieldStep(t.Context(), "m1")
		pollUntil(t, second, func() bool { return !engine.Holds("m1") })
		if done, err := second.yieldStep(t.Context(), "m1"); !done || err != nil {
			t.Errorf("slot not released although no order is in flight: done %t, error %v", done, err)
		}
		engine.Restart()
	})
}

// orderer returns an orderer of the named instance whose calls do not fail.
func (w *simulation) orderer(instance, engine string) *Orderer {
	tables := w.tables(instance)
	env := &Environment{
		Instance: instance, Identity: instance + "#1", Store: w.platform, Tables: tables,
		Events: w.events, Policy: placement.DefaultPolicy(),
	}
	return newOrderer(env, *tables.Config.Index().Engines[engine], w.engines[engine])
}

func mustTakeover(t *testing.T, o *Orderer) {
	t.Helper()
	if err := o.Takeover(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// pollUntil polls the engine and settles claims until the condition holds.
func pollUntil(t *testing.T, o *Orderer, condition func() bool) {
	t.Helper()
	for range 100 {
		if _, err := o.poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		o.lockAndSettleClaims(t.Context())
		if condition() {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatal("condition not met after 100 polls")
}

// lockAndSettleClaims settles claims as reconcile does, without its other work.
func (o *Orderer) lockAndSettleClaims(ctx context.Context) {
	if o.lock(ctx) != nil {
		return
	}
	defer o.unlock()
	o.settleClaims(ctx)
}
