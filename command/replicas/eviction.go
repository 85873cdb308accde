package replicas

import (
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// victim is a copy that could be evicted.
type victim struct {
	model string
	// cost is the expected cost of its eviction, inUse the probability that requests run on it, and wait the expected
	// time until they have ended.
	cost, inUse float64
	wait        time.Duration
	mb          float64
}

// useProbability returns the probability that requests run on a copy. In a large fleet, instances report their running
// requests only once per second. In between, requests may have started that Find directed to the copy, and
// instances that know the copy may have sent it requests at the rate of its model. Without this, in a run with 195
// instances and little traffic, 2,052 of 3,672 load orders were refused because the unload before them waited for
// requests, and one load in ten took 1.44 s instead of .69 s.
func (f *Fleet) useProbability(c *Copy, model string, now time.Time) float64 {
	if c.Running > 0 || now.Before(c.inUseUntil) {
		return 1
	}
	copies := float64(max(1, f.copiesOf(model, now)))
	return 1 - math.Exp(-f.demandOf(model).Rate*f.reportAge.Seconds()/copies)
}

// SetReportAge sets the usual maximum age of the instances' reports of running requests.
func (f *Fleet) SetReportAge(age time.Duration) { f.reportAge = age }

// victims returns the copies of an engine that may be evicted, cheapest per MB first: all resident ones. The value of a
// copy that is in use, or that requests wait for, is part of its cost and wait.
func (f *Fleet) victims(e *Engine, now time.Time) []victim {
	var victims []victim
	for name, c := range e.Copies {
		if c.State != Resident {
			continue
		}
		m := e.Spec.Models[name]
		v := victim{model: name, mb: m.MemoryMB + float64(len(c.Adapters))*m.AdapterMB}
		v.cost = f.evictionCost(m, f.copiesOf(name, now) > max(1, f.wantedCopies(name))) * f.speedOf(e)
		v.inUse = f.useProbability(c, name, now)
		v.wait = time.Duration(v.inUse * float64(f.unloadTimes.inUse))
		victims = append(victims, v)
	}
	slices.SortFunc(victims, func(a, b victim) int { return compareFloat(a.cost/a.mb, b.cost/b.mb, a.model, b.model) })
	return victims
}

// spareCopyCost is the cost of evicting a copy that its model can spare, per request per second, in seconds of waiting
// of a request of weight 1.
const spareCopyCost = 0.01

// evictionCost returns the expected cost of evicting a model's copy.
func (f *Fleet) evictionCost(m serving.Model, spare bool) float64 {
	if spare {
		return f.demandOf(m.Name).Rate * spareCopyCost
	}
	return f.waitingValue(m.Name) + f.absenceCost(m.Name)
}

// absenceCost returns the expected cost of having no copy of a model: if requests arrive within the horizon, their
// waiting time until it is loaded, the requests that miss their objective for that reason, and the engine time for the
// load.
func (f *Fleet) absenceCost(model string) float64 {
	d := f.demandOf(model)
	if d.Rate <= 0 {
		return 0
	}
	load := f.diskLoad(model).Seconds()
	unavailable := load + f.unloadTimes.idle.Seconds() + f.params.OrderTime.Seconds()
	requestProbability := 1 - math.Exp(-d.Rate*f.params.Horizon.Seconds())
	waiting := d.Weight/d.Rate*unavailable + d.Weight*unavailable*unavailable/2
	late := d.Late/d.Rate + d.Late*unavailable
	return requestProbability * (waiting + late + max(f.params.EngineTimeCost, f.engineTimeCost(0))*load)
}

// diskLoad returns how long an engine takes to load a model from its disk, 0 if no engine is configured for it.
func (f *Fleet) diskLoad(model string) time.Duration {
	e, known := f.engineConfiguredFor(model)
	if !known {
		return 0
	}
	return e.Spec.Models[model].LoadTime(serving.TierDisk)
}

// updateWantedValue computes the current value of all requests that wait for models. It is 0 while no engine is
// loading, since nothing is queued behind an engine then.
func (f *Fleet) updateWantedValue(now time.Time) {
	f.wantedValue = 0
	if !slices.ContainsFunc(f.Engines(), func(e *Engine) bool { return e.Busy }) {
		return
	}
	for _, w := range f.wantedModels {
		if f.copiesOf(w.model, now) == 0 {
			f.wantedValue += w.value()
		}
	}
}

// engineTimeCost returns the cost of a second in which an engine loads one model and can load no other: the value of
// all other wanted models, divided by the number of engines. own is the value of the requests for the loaded model.
func (f *Fleet) engineTimeCost(own float64) float64 {
	return max(0, f.wantedValue-own) / float64(max(1, len(f.engines)))
}

// evictions are the copies to evict for a model.
type evictions struct {
	models []string
	cost   float64
	wait   time.Duration
	// inUse: requests probably run on one of them.
	inUse bool
}

// inUseThreshold is the probability above which a copy is considered to be in use.
const inUseThreshold = 0.5

// maxEvictionCandidates limits the copies of an engine that are considered for eviction, cheapest per MB first, since
// all their combinations are compared.
const maxEvictionCandidates = 8

// chooseEvictions returns the cheapest set of copies to evict so that needMB of memory are free. Each second of waiting
// for their running requests costs costPerSecond. ok is false if no set frees enough memory.
func (f *Fleet) chooseEvictions(e *Engine, needMB, costPerSecond float64, now time.Time) (best evictions, ok bool) {
	free := e.Spec.MemoryMB - e.memoryMB()
	if free >= needMB {
		return evictions{}, true
	}
	victims := f.victims(e, now)
	victims = victims[:min(len(victims), maxEvictionCandidates)]
	bestCost := math.Inf(1)
	for set := 1; set < 1<<len(victims); set++ {
		var chosen evictions
		mb := free
		for i, v := range victims {
			if set&(1<<i) != 0 {
				mb += v.mb
				chosen.cost += v.cost
				chosen.wait = max(chosen.wait, v.wait)
				chosen.inUse = chosen.inUse || v.inUse > inUseThreshold
			}
		}
		if cost := chosen.cost + costPerSecond*chosen.wait.Seconds(); mb >= needMB && cost < bestCost {
			best, bestCost, ok = chosen, cost, true
			best.models = chosenModels(victims, set)
		}
	}
	return best, ok
}

// chosenModels returns the models of the victims in set, a bit mask.
func chosenModels(victims []victim, set int) []string {
	var models []string
	for i, v := range victims {
		if set&(1<<i) != 0 {
			models = append(models, v.model)
		}
	}
	return models
}
