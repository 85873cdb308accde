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

// holdingEngine keeps the next order to load back, as a network would, until
// it is released.
type holdingEngine struct {
	backend.Engine
	hold bool
	kept []backend.Order
}

func (e *holdingEngine) Load(ctx context.Context, o backend.Order) (backend.Ack, error) {
	if !e.hold {
		return e.Engine.Load(ctx, o)
	}
	e.hold = false
	e.kept = append(e.kept, o)
	return backend.Ack{}, backend.ErrUnknown
}

func (e *holdingEngine) release(ctx context.Context) {
	for _, o := range e.kept {
		_, _ = e.Engine.Load(ctx, o)
	}
	e.kept = nil
}

// TestUnansweredOrderStaysCounted: on an engine that ignores fencing, an order
// of an earlier orderer loads a model that the present one had ordered too,
// without an answer. Unloading the model does not free its slot while that
// second order may still arrive; once it has arrived, it does.
func TestUnansweredOrderStaysCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, false, faults{})
		first, second := w.orderer("first", "e1"), w.orderer("second", "e1")
		engine := w.engines["e1"]
		m := backend.Unit{Model: "m1", Version: "1"}

		late := &holdingEngine{Engine: engine, hold: true}
		first.engine = late
		mustTakeover(t, first)
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		_ = first.Load(short, m, 18*gib)
		cancel()

		later := &holdingEngine{Engine: engine, hold: true}
		second.engine = later
		mustTakeover(t, second)
		short, cancel = context.WithTimeout(t.Context(), time.Second)
		_ = second.Load(short, m, 18*gib) // adopts the doubtful claim
		cancel()

		late.release(t.Context())
		pollUntil(t, second, func() bool { return second.ledger.Entries["m1"].Phase == placement.Resident })
		time.Sleep(time.Minute)
		if done, err := second.yield(t.Context(), "m1"); done || err != nil {
			t.Fatalf("yield: %t %v", done, err)
		}
		pollUntil(t, second, func() bool { return !engine.Holds("m1") })
		if done, err := second.yield(t.Context(), "m1"); done || !errors.Is(err, ErrInUse) {
			t.Errorf("the slot was given up while an order is under way: %t %v", done, err)
		}
		later.release(t.Context())
		pollUntil(t, second, func() bool { return second.ledger.Entries["m1"].Phase == placement.Resident })
		time.Sleep(time.Minute)
		_, _ = second.yield(t.Context(), "m1")
		pollUntil(t, second, func() bool { return !engine.Holds("m1") })
		if done, err := second.yield(t.Context(), "m1"); !done || err != nil {
			t.Errorf("the slot is not given up although nothing is under way: %t %v", done, err)
		}
		engine.Restart()
	})
}

// orderer returns an orderer of an instance, without faults.
func (w *world) orderer(instance, engine string) *Orderer {
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

// pollUntil takes reports in until the condition holds.
func pollUntil(t *testing.T, o *Orderer, condition func() bool) {
	t.Helper()
	for range 100 {
		if _, err := o.poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		o.tidyClaims(t.Context())
		if condition() {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatal("not reached")
}

// tidyClaims settles claims as tidy does, without its other work.
func (o *Orderer) tidyClaims(ctx context.Context) {
	if o.take(ctx) != nil {
		return
	}
	defer o.give()
	o.settleClaims(ctx)
}
