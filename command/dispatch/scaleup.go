package dispatch

import (
	"context"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/declaration"
)

// minScaleUpDelay is the minimum time that requests must have been queued for a
// model before another replica is requested.
const minScaleUpDelay = time.Second

// scaleUpTimeout limits the request for another replica; the load itself may
// take longer.
const scaleUpTimeout = 30 * time.Second

// scaleUpBusy requests another replica of each model whose queue has been
// non-empty for scaleUpDelay. A shorter burst is over before an additional replica
// would be ready, and does not cause a load whose replica would then be idle.
func (d *Dispatcher) scaleUpBusy(ctx context.Context) {
	index := d.tables.Config.Index()
	for name, busy := range d.queue.BusyFor() {
		model, found := index.Models[name]
		if !found || busy < d.scaleUpDelay(index, model) {
			continue
		}
		unit := backend.Unit{Model: model.Name, Version: model.Version}
		have := d.replicaCount(unit)
		if have == 0 || have >= model.MaxReplicas || !d.beginScaleUp(name) {
			continue
		}
		go func() {
			defer d.endScaleUp(name)
			ctx, cancel := context.WithTimeout(ctx, scaleUpTimeout)
			defer cancel()
			_ = d.waker.ScaleUp(ctx, unit, have)
		}()
	}
}

// scaleUpDelay returns how long requests must have been queued for the model
// before another replica is requested: the expected load time, shortened by the
// declared tail weight.
func (d *Dispatcher) scaleUpDelay(index *declaration.Index, m *declaration.Model) time.Duration {
	load := d.waker.LoadTime(int64(m.Memory))
	return max(minScaleUpDelay, time.Duration(float64(load)*(1-index.Declaration.TailWeight)))
}

// replicaCount returns the number of usable engines on which the unit is
// resident or loading.
func (d *Dispatcher) replicaCount(u backend.Unit) int {
	n := 0
	for _, e := range d.tables.Engines.All() {
		if state, found := e.Find(u.ID()); found && e.Usable() && state.State != backend.Unloading {
			n++
		}
	}
	return n
}

// beginScaleUp marks the model's scale-up as in progress. It returns false if
// one already is.
func (d *Dispatcher) beginScaleUp(model string) bool {
	_, running := d.scalingUp.LoadOrStore(model, true)
	return !running
}

func (d *Dispatcher) endScaleUp(model string) { d.scalingUp.Delete(model) }
