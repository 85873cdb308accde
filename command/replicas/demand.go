package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// Arrived notes n requests for a model, with their worth together.
func (f *Fleet) Arrived(model string, n int, value float64, now time.Time) {
	f.decay(now)
	d := f.demand[model]
	if d == nil {
		d = &Demand{}
		f.demand[model] = d
	}
	d.Rate += float64(n) / f.params.DemandWindow.Seconds()
	d.Value += value / f.params.DemandWindow.Seconds()
	d.Last = now
}

// Running takes over how many requests of all instances run for each unit; what
// is not named has none.
func (f *Fleet) Running(counts map[string]map[serving.Unit]int, now time.Time) {
	for id, e := range f.engines {
		for model, c := range e.Copies {
			c.Running = counts[id][serving.Unit{Model: model}]
			for name, a := range c.Adapters {
				a.Running = counts[id][serving.Unit{Model: model, Adapter: name}]
				c.Running += a.Running
			}
			if c.Running > 0 {
				c.Used = now
			}
		}
	}
}

// decay lets rates fall exponentially with the demand window.
func (f *Fleet) decay(now time.Time) {
	passed := now.Sub(f.decayed)
	f.decayed = now
	if passed <= 0 || passed > time.Hour {
		return
	}
	keep := math.Exp(-passed.Seconds() / f.params.DemandWindow.Seconds())
	for model, d := range f.demand {
		d.Rate *= keep
		d.Value *= keep
		if d.Rate < f.params.ForgetRate {
			delete(f.demand, model)
		}
	}
}

// rate is the requests a second for a model.
func (f *Fleet) rate(model string) float64 {
	if d := f.demand[model]; d != nil {
		return d.Rate
	}
	return 0
}
