package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// Arrivals are requests for a model.
type Arrivals struct {
	Count int
	// Weight is that of the requests together, and Late that of those which would
	// be late if the model had to be loaded first.
	Weight, Late float64
	// Deferrable is how many of them may be refused where more is asked for than engines
	// serve, and Served how many such requests have been answered meanwhile.
	Deferrable, Served int
}

// Arrived notes requests for a model.
func (f *Fleet) Arrived(model string, a Arrivals, now time.Time) {
	f.decay(now)
	d := f.demand[model]
	if d == nil {
		d = &Demand{}
		f.demand[model] = d
	}
	window := f.params.DemandWindow.Seconds()
	d.Rate += float64(a.Count) / window
	d.Weight += a.Weight / window
	d.Late += a.Late / window
	d.Deferrable += float64(a.Deferrable) / window
	d.Served += float64(a.Served) / window
}

// runningWindow is the time constant of how many requests run at once.
const runningWindow = 2 * time.Second

// Running takes over how many requests of all instances run for each unit; what
// is not named has none.
func (f *Fleet) Running(counts map[string]map[serving.Unit]int, now time.Time) {
	totals := map[string]int{}
	for id, e := range f.engines {
		for model, c := range e.Copies {
			c.Running = counts[id][serving.Unit{Model: model}]
			for name, a := range c.Adapters {
				a.Running = counts[id][serving.Unit{Model: model, Adapter: name}]
				c.Running += a.Running
			}
			totals[model] += c.Running
		}
	}
	gain := 1 - math.Exp(-now.Sub(f.counted).Seconds()/runningWindow.Seconds())
	f.counted = now
	for model, d := range f.demand {
		d.Running += gain * (float64(totals[model]) - d.Running)
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
		d.Weight *= keep
		d.Late *= keep
		d.Deferrable *= keep
		d.Served *= keep
		if d.Rate < f.params.ForgetRate {
			delete(f.demand, model)
		}
	}
}

// demandOf returns what is known of the requests for a model.
func (f *Fleet) demandOf(model string) Demand {
	if d := f.demand[model]; d != nil {
		return *d
	}
	return Demand{}
}
