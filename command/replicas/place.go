package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Operation is a change on one engine: units to unload, then a unit to load.
type Operation struct {
	Engine string
	Unload []serving.Unit
	Load   serving.Unit
	// Remote: the load comes from the weight store.
	Remote bool
	// From is when the first order may be sent; an adapter's load waits for its model.
	From time.Time
	// Ready is when the load is expected to be done.
	Ready time.Time
	// Duration is the expected duration of the load alone.
	Duration time.Duration
	// InUse: requests probably ran on the units to unload when the operation was planned.
	InUse bool
	// generation is the generation of the engine's record on which the operation was planned.
	generation uint64
	// copy is the copy for which an adapter is loaded, nil for models.
	copy *Copy
}

// placementOption is an engine that could take a model, and at what cost.
type placementOption struct {
	engine *Engine
	evict  []string
	// inUse: requests probably run on the copies to evict.
	inUse bool
	tier  serving.Tier
	// concurrency is the number of concurrent loads from the weight store, this one included.
	concurrency int
	ready       time.Time
	// evictionCost is the cost of the evictions. minBenefit is the benefit that the load must have: the eviction cost
	// plus the engine time; without the latter, six days on the users' platform scored .029 +- .008 less (24 pairs).
	// cost ranks the options: minBenefit plus the waiting time. All are in seconds of waiting of a request of weight 1.
	evictionCost, minBenefit, cost float64
}

// waitReason returns what requests wait for that get this option after delay.
func (c placementOption) waitReason(delay time.Duration) serving.Wait {
	switch {
	case delay > 0 || c.inUse:
		return serving.WaitCopies
	case c.tier == serving.TierRemote:
		return serving.WaitWeightStore
	default:
		return serving.WaitDisk
	}
}

// bestPlacement returns the option with the lowest cost to load a wanted model. reserved is how long engines will be
// busy with models of higher benefit, by engine. Engines without the weights are considered only if no engine that has
// them is free soon enough.
func (f *Fleet) bestPlacement(w *wantedModel, reserved map[string]time.Duration, now time.Time) (best placementOption, ok bool) {
	best, ok = f.bestPlacementAmong(f.caching(w.model), w, reserved, remoteState{}, now)
	if ok && best.ready.Sub(now) < best.engine.Spec.Models[w.model].RemoteLoad {
		return best, true
	}
	remote := f.remoteStateAt(now)
	if !remote.allowed {
		return best, ok
	}
	if other, found := f.bestPlacementAmong(f.free(now), w, reserved, remote, now); found && (!ok || other.cost < best.cost) {
		return other, true
	}
	return best, ok
}

// free returns when the next load could start on the engine.
func (e *Engine) free(now time.Time) time.Time {
	at := later(e.NotBefore, now)
	if e.Busy {
		at = later(e.FreeAt, at)
	}
	return at
}

// free returns the engines on which a load could start now.
func (f *Fleet) free(now time.Time) []*Engine {
	var free []*Engine
	for _, e := range f.Engines() {
		if e.usable(now) && !e.free(now).After(now) {
			free = append(free, e)
		}
	}
	return free
}

func (f *Fleet) bestPlacementAmong(engines []*Engine, w *wantedModel, reserved map[string]time.Duration, remote remoteState, now time.Time) (best placementOption, ok bool) {
	for _, e := range engines {
		if e.Server.Service != w.service || !e.usable(now) || e.Copies[w.model] != nil {
			continue
		}
		c, possible := f.evaluatePlacement(e, w, reserved[e.Server.ID], remote, now)
		if possible && (!ok || c.cost < best.cost) {
			best, ok = c, true
		}
	}
	return best, ok
}

// evaluatePlacement returns the cost of loading a wanted model on the engine. It returns false if that is not possible.
func (f *Fleet) evaluatePlacement(e *Engine, w *wantedModel, reserved time.Duration, remote remoteState, now time.Time) (placementOption, bool) {
	m, known := e.Spec.Models[w.model]
	if !known || !f.permitted(e, w.model) {
		return placementOption{}, false
	}
	tier := e.Tiers[w.model]
	load := f.loadTime(m, tier, remote.concurrency)
	if tier == serving.TierRemote && !(remote.allowed && f.worthRemote(w, m, load, now)) {
		return placementOption{}, false
	}
	ownValue := w.value()
	if w.proactive {
		ownValue = 0 // no request waits for it
	}
	timeCost := f.engineTimeCost(ownValue)
	value := max(1, w.value())
	evicted, ok := f.chooseEvictions(e, m.MemoryMB, value+timeCost, now)
	if !ok {
		return placementOption{}, false
	}
	unload := evicted.wait + time.Duration(len(evicted.models))*f.unloadTimes.idle
	c := placementOption{concurrency: remote.concurrency, engine: e, evict: evicted.models, inUse: evicted.inUse, tier: tier, evictionCost: evicted.cost, minBenefit: evicted.cost}
	c.ready = e.free(now).Add(reserved + f.params.OrderTime + unload + load)
	minTimeCost := max(timeCost, f.params.EngineTimeCost)
	if w.proactive {
		timeCost = minTimeCost
	}
	if len(evicted.models) > 0 || e.hasUnloadedWeights() { // otherwise the engine is new and has nothing else to load
		c.minBenefit += timeCost * (load + unload).Seconds()
	}
	c.cost = value*c.ready.Sub(now).Seconds() + c.evictionCost + minTimeCost*(load+unload).Seconds()
	return c, true
}

// startLoad records and returns the operation of an option.
func (f *Fleet) startLoad(c placementOption, model string, now time.Time) Operation {
	e := c.engine
	op := Operation{
		Engine: e.Server.ID, Load: serving.Unit{Model: model}, From: now, Ready: c.ready, generation: e.generation,
		Remote: c.tier == serving.TierRemote, Duration: f.loadTime(e.Spec.Models[model], c.tier, c.concurrency), InUse: c.inUse,
	}
	e.remoteConcurrency, e.remoteStarted = c.concurrency, time.Time{}
	for _, name := range c.evict {
		e.Copies[name].State = Unloading
		op.Unload = append(op.Unload, serving.Unit{Model: name})
	}
	if op.Remote {
		f.remoteLimiter.recordPlanned(now)
	}
	e.Copies[model] = &Copy{State: Loading, Ready: c.ready, Adapters: map[string]*Adapter{}}
	if c.tier == serving.TierMemory {
		e.Copies[model].fromHostMemory = f.hostMemory.trusted()
		f.hostMemory.recordLoad(e.Copies[model].fromHostMemory)
	}
	e.Busy, e.FreeAt, e.remote = true, c.ready, op.Remote
	f.copyAdded(e, model)
	f.markCached(e, model)
	return op
}

// markCached records that a load leaves a copy of the weights in the engine's host memory. Which weights the engine
// drops from host memory for that is known from its next announcement, so all others are assumed to be on disk.
func (f *Fleet) markCached(e *Engine, model string) {
	if e.Tiers[model] == serving.TierRemote {
		f.index.cached = nil
	}
	for name, tier := range e.Tiers {
		e.Tiers[name] = min(tier, serving.TierDisk)
	}
	if e.Tiers != nil {
		e.Tiers[model] = serving.TierMemory
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareFloat(a, b float64, nameA, nameB string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	case nameA < nameB:
		return -1
	default:
		return 1
	}
}
