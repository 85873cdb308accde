package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// Arrivals summarizes requests for a model.
type Arrivals struct {
	Count int
	// Weight is the total weight of the requests, and Late the weight of those that would miss their objective if the
	// model had to be loaded first.
	Weight, Late float64
	// Deferrable is the number of requests that may be refused under overload, and Served the number of such requests
	// that were answered in the same period.
	Deferrable, Served int
}

// RecordArrivals records requests for a model.
func (f *Fleet) RecordArrivals(model string, a Arrivals, now time.Time) {
	f.noteArrivals(now)
	f.decay(now)
	d := f.demandFor(model)
	window := f.params.DemandWindow.Seconds()
	d.Rate += float64(a.Count) / window
	d.Weight += a.Weight / window
	d.Late += a.Late / window
	d.Deferrable += float64(a.Deferrable) / window
	d.Served += float64(a.Served) / window
}

// runningWindow is the time constant for smoothing the number of concurrent requests.
const runningWindow = 2 * time.Second

// SetRunning sets the number of running requests of all instances, by engine and unit. Units that are not in counts
// have none.
func (f *Fleet) SetRunning(counts map[string]map[serving.Unit]int, now time.Time) {
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
	gain := 1 - math.Exp(-now.Sub(f.countedAt).Seconds()/runningWindow.Seconds())
	f.countedAt = now
	for model, d := range f.demand {
		d.Running += gain * (float64(totals[model]) - d.Running)
	}
}

// decay lowers the rates exponentially; the time constant is the demand window.
func (f *Fleet) decay(now time.Time) {
	passed := now.Sub(f.decayedAt)
	f.decayedAt = now
	if passed <= 0 || passed > time.Hour {
		return
	}
	keep := math.Exp(-passed.Seconds() / f.params.DemandWindow.Seconds())
	keepTraffic := math.Exp(-passed.Seconds() / trafficWindow.Seconds())
	for model, d := range f.demand {
		d.Rate *= keep
		d.Weight *= keep
		d.Late *= keep
		d.Deferrable *= keep
		d.Served *= keep
		d.decayClasses(keepTraffic)
		if d.Rate < f.params.IdleRate {
			delete(f.demand, model)
		}
	}
}

// demandOf returns the demand for a model, zero if there is none.
func (f *Fleet) demandOf(model string) Demand {
	if d := f.demand[model]; d != nil {
		return *d
	}
	return Demand{}
}
