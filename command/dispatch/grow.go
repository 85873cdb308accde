package dispatch

import (
	"context"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/declaration"
)

// minGrowAfter is the shortest time that requests must have waited for a model
// before another replica is asked for.
const minGrowAfter = time.Second

// growLimit bounds the asking; the load itself may take longer.
const growLimit = 30 * time.Second

// growBusy asks for another replica of each model for which requests have been
// waiting, without a break, for as long as the load would take; sooner the more
// the operators weigh the tail. A burst that is over by then never pays for a
// replica that would only stand idle.
func (d *Dispatcher) growBusy(ctx context.Context) {
	index := d.tables.Config.Index()
	for name, busy := range d.line.Busy() {
		model, found := index.Models[name]
		if !found || busy < d.growAfter(index, model) {
			continue
		}
		unit := backend.Unit{Model: model.Name, Version: model.Version}
		have := d.replicasOrLoading(unit)
		if have == 0 || have >= model.MaxReplicas || !d.startGrowing(name) {
			continue
		}
		go func() {
			defer d.endGrowing(name)
			ctx, cancel := context.WithTimeout(ctx, growLimit)
			defer cancel()
			_ = d.waker.Grow(ctx, unit, have)
		}()
	}
}

func (d *Dispatcher) growAfter(index *declaration.Index, m *declaration.Model) time.Duration {
	load := d.waker.LoadTime(int64(m.Memory))
	return max(minGrowAfter, time.Duration(float64(load)*(1-index.Declaration.TailWeight)))
}

func (d *Dispatcher) replicasOrLoading(u backend.Unit) int {
	n := 0
	for _, e := range d.tables.Engines.All() {
		if state, found := e.Find(u.ID()); found && e.Usable() && state.State != backend.Unloading {
			n++
		}
	}
	return n
}

// startGrowing reports whether nothing is being asked for the model already.
func (d *Dispatcher) startGrowing(model string) bool {
	_, running := d.growing.LoadOrStore(model, true)
	return !running
}

func (d *Dispatcher) endGrowing(model string) { d.growing.Delete(model) }
