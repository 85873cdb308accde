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
	// Remote is set if the load comes from the weight store.
	Remote bool
	// From is when the first order may be sent; an adapter's load waits for its model.
	From time.Time
	// Ready is when the load is expected to be done.
	Ready time.Time
	// Duration is the expected duration of the load alone.
	Duration time.Duration
	// InUse is set if requests probably ran on the units to unload when the operation was planned.
	InUse bool
	// Order is why the load has its place among others, empty if the service is not contended. Slack is how long it
	// could have waited further, and Waited how long its requests have waited.
	Order         string
	Slack, Waited time.Duration
	// generation is the generation of the engine's record on which the operation was planned.
	generation uint64
	// copy is the copy of the model for which an adapter is loaded, nil if a model is loaded.
	copy *Copy
}

// placementOption is an engine that could load a model, with the cost of that.
type placementOption struct {
	engine *Engine
	evict  []string
	// inUse is set if requests probably run on the copies to evict.
	inUse bool
	// tier is the tier from which the engine would load the weights.
	tier serving.Tier
	// concurrency is the number of concurrent loads from the weight store, this one included.
	concurrency int
	// ready is when the load is expected to be done.
	ready time.Time
	// evictionCost is the cost of the evictions. minBenefit is the benefit that the load must have: the eviction cost
	// plus the cost of the engine's time. Without the latter, the score on the users' platform was .029 +- .008 lower
	// over six workloads (24 paired runs). cost ranks the options: the eviction cost, the cost of the engine's time and
	// the cost of waiting until ready. All are in seconds of waiting of a request of weight 1.
	evictionCost, minBenefit, cost float64
}

// waitReason returns what the requests for the model wait for if the operation may start after delay.
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

// bestPlacement returns the option with the lowest cost to load a wanted model, and false if there is none. reserved is
// how long engines will be busy with models of higher benefit, by engine. Engines that would load the weights from the
// weight store are considered only if no engine that has them in its host memory or on its disk could have the model
// ready within the duration of such a load.
func (f *Fleet) bestPlacement(w *wantedModel, reserved map[string]time.Duration, now time.Time) (best placementOption, ok bool) {
	best, ok = f.bestPlacementAmong(f.caching(w.model), w, reserved, remoteState{}, now)
	if ok && best.ready.Sub(now) < best.engine.Spec.Models[w.model].RemoteLoad {
		return best, true
	}
	remote := f.remoteStateAt(now)
	if !remote.allowed {
		return best, ok
	}
	if other, found := f.bestPlacementAmong(f.freeEngines(now), w, reserved, remote, now); found && (!ok || other.cost < best.cost) {
		return other, true
	}
	return best, ok
}

// freeAt returns when the next load could start on the engine.
func (e *Engine) freeAt(now time.Time) time.Time {
	at := later(e.NotBefore, now)
	if e.Busy {
		at = later(e.FreeAt, at)
	}
	return at
}

// freeEngines returns the engines on which a load could start now.
func (f *Fleet) freeEngines(now time.Time) []*Engine {
	var free []*Engine
	for _, e := range f.Engines() {
		if e.usable(now) && !e.freeAt(now).After(now) {
			free = append(free, e)
		}
	}
	return free
}

// bestPlacementAmong returns the option with the lowest cost on the given engines, and false if there is none.
func (f *Fleet) bestPlacementAmong(engines []*Engine, w *wantedModel, reserved map[string]time.Duration, remote remoteState, now time.Time) (best placementOption, ok bool) {
	for _, e := range engines {
		if e.Server.Service != w.service || !e.hasVersion(w.version) || !e.usable(now) || e.Copies[w.model] != nil {
			continue
		}
		c, possible := f.evaluatePlacement(e, w, reserved[e.Server.ID], remote, now)
		if possible && (!ok || c.cost < best.cost) {
			best, ok = c, true
		}
	}
	return best, ok
}

// evaluatePlacement returns the option to load a wanted model on the engine, with its costs. It returns false if the
// engine cannot load the model, or if it would have to use the weight store and the load is not worth that.
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
	c.ready = e.freeAt(now).Add(reserved + f.params.OrderTime + unload + load)
	minTimeCost := max(timeCost, f.params.EngineTimeCost)
	if w.proactive {
		timeCost = minTimeCost
	}
	if len(evicted.models) > 0 || e.hasUnloadedWeights() { // otherwise the engine is new and has nothing else to load
		c.minBenefit += timeCost * (load + unload).Seconds()
	}
	c.cost = value*c.ready.Sub(now).Seconds() + c.evictionCost + minTimeCost*(load+unload).Seconds()
	c.cost += f.slownessCost(e, w.model)
	return c, true
}

// startLoad records that a model is loaded by an option, and returns the operation to carry out.
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

// markCached records that a load leaves the weights in the engine's host memory. Until the engine's next announcement,
// it is not known which weights it dropped from host memory to make room, so all others are assumed to be on its disk.
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

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// compareFloat orders by the numbers and then, for equal numbers, by the names.
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
