package replicas

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Params set how models are placed.
type Params struct {
	// DemandWindow is the time constant of rates: a shift of demand shows
	// within it, single requests for rare models do not outlast it by much.
	DemandWindow time.Duration
	// ForgetRate is the rate, a second, below which a model counts as idle.
	ForgetRate float64
	// RunningWait is how long an unload is expected to wait for requests that
	// run: about the length of a generation.
	RunningWait time.Duration
	// OrderTime is what a load adds to its configured time: a round trip and
	// the engine's own. UnloadTime is what an unload takes before the next
	// order is accepted.
	OrderTime, UnloadTime time.Duration
	// KeepFor is how long a copy that was loaded for waiting requests is kept
	// for them after it is ready.
	KeepFor time.Duration
	// CopyLoad is how many requests at once, all instances together, make
	// another copy of a model worth its memory.
	CopyLoad float64
	// SpareRate is the rate, a second, from which a model has a second copy,
	// so that the loss of an engine does not stop it.
	SpareRate float64
	// RequestTime is how long a request is expected to run.
	RequestTime time.Duration
	// AdapterTime is how long an adapter takes to load.
	AdapterTime time.Duration
	// RemoteWindow and RemoteLoads bound loads from the weight store: at most
	// RemoteLoads starts within any RemoteWindow.
	RemoteWindow time.Duration
}

// DefaultParams returns the parameters used unless set otherwise. Times of
// loads come from the configuration; these are the rest.
func DefaultParams() Params {
	return Params{
		DemandWindow: 4 * time.Second, ForgetRate: 0.001, RunningWait: 2 * time.Second, OrderTime: 30 * time.Millisecond, UnloadTime: 90 * time.Millisecond,
		KeepFor: time.Second, CopyLoad: 12, SpareRate: 1.5, RequestTime: 2 * time.Second, AdapterTime: 80 * time.Millisecond,
		RemoteWindow: 5 * time.Second,
	}
}

// Operation is a change on one engine: units to unload, then one to load.
type Operation struct {
	Engine string
	Unload []serving.Unit
	Load   serving.Unit
	// Remote: the load comes from the weight store.
	Remote bool
	// From is when the first order may be sent; an adapter waits for its model.
	From time.Time
	// Ready is when the load is expected to be done.
	Ready time.Time
	// Duration is the expected time of the load alone.
	Duration time.Duration
	// generation of the account that it was planned on.
	generation uint64
}

// Found is where a unit is or will be.
type Found struct {
	Engine string
	// Ready is when it serves; a time past means now.
	Ready time.Time
	// Start, if set, is the operation to carry out for it.
	Start *Operation
}

// Find returns where a unit of a service will soonest be served, planning an
// operation if it has to be loaded. ok is false if no engine can take it.
func (f *Fleet) Find(service string, unit serving.Unit, now time.Time) (found Found, ok bool) {
	if found, ok := f.existing(service, unit, now); ok {
		return found, true
	}
	if unit.Adapter != "" {
		if found, ok := f.placeAdapter(service, unit, now); ok {
			return found, true
		}
	}
	op, ok := f.placeModel(service, unit.Model, now)
	if !ok {
		return Found{}, false
	}
	return Found{Engine: op.Engine, Ready: op.Ready, Start: &op}, true
}

// existing returns the copy that serves the unit, or will first.
func (f *Fleet) existing(service string, unit serving.Unit, now time.Time) (best Found, ok bool) {
	for _, e := range f.Engines() {
		c := e.Copies[unit.Model]
		if e.Server.Service != service || c == nil || c.State == Leaving || e.Server.Draining || now.Before(e.Failing) {
			continue
		}
		ready := c.Ready
		if unit.Adapter != "" {
			a := c.Adapters[unit.Adapter]
			if a == nil {
				continue
			}
			ready = later(ready, a.Ready)
			a.Used = now
		}
		if !ok || ready.Before(best.Ready) {
			best, ok = Found{Engine: e.Server.ID, Ready: ready}, true
		}
	}
	if ok {
		f.engines[best.Engine].Copies[unit.Model].need(later(best.Ready, now).Add(f.params.KeepFor))
	}
	return best, ok
}

func (c *Copy) need(until time.Time) { c.Needed = later(c.Needed, until) }

// placeAdapter plans to load an adapter on the engine with the model that has
// the most room for it, or whose least recently used adapter is oldest.
func (f *Fleet) placeAdapter(service string, unit serving.Unit, now time.Time) (Found, bool) {
	var best *Engine
	var bestVictim serving.Unit
	bestScore := 0.0
	for _, e := range f.Engines() {
		c := e.Copies[unit.Model]
		if e.Server.Service != service || c == nil || c.State == Leaving || !e.usable(now) {
			continue
		}
		victim, score, ok := f.adapterRoom(e, unit.Model, now)
		if !ok {
			continue
		}
		score += later(c.Ready, now).Sub(now).Seconds()
		if best == nil || score < bestScore {
			best, bestVictim, bestScore = e, victim, score
		}
	}
	if best == nil {
		return Found{}, false
	}
	return f.startAdapter(best, unit, bestVictim, now), true
}

// adapterRoom says what must be unloaded for one more adapter of a model, and
// scores the choice: lower is better.
func (f *Fleet) adapterRoom(e *Engine, model string, now time.Time) (victim serving.Unit, score float64, ok bool) {
	full := e.adapters() >= e.Spec.AdapterSlots || e.memoryMB()+e.Spec.Models[model].AdapterMB > e.Spec.MemoryMB
	if !full {
		return serving.Unit{}, float64(e.adapters()) / float64(e.Spec.AdapterSlots), true
	}
	var oldest time.Time
	for name, c := range e.Copies {
		for adapter, a := range c.Adapters {
			if a.Running > 0 || now.Before(a.Ready.Add(f.params.KeepFor)) || now.Sub(a.Used) < f.params.KeepFor {
				continue
			}
			if !ok || a.Used.Before(oldest) {
				victim, oldest, ok = serving.Unit{Model: name, Adapter: adapter}, a.Used, true
			}
		}
	}
	return victim, 1 + 1/(1+now.Sub(oldest).Seconds()), ok
}

func (f *Fleet) startAdapter(e *Engine, unit, victim serving.Unit, now time.Time) Found {
	c := e.Copies[unit.Model]
	op := Operation{Engine: e.Server.ID, Load: unit, Duration: f.params.AdapterTime, From: later(c.Ready, now), generation: e.generation}
	op.Ready = op.From.Add(f.params.OrderTime + f.params.AdapterTime)
	if victim.Adapter != "" {
		op.Unload = []serving.Unit{victim}
		delete(e.Copies[victim.Model].Adapters, victim.Adapter)
	}
	c.Adapters[unit.Adapter] = &Adapter{Ready: op.Ready, Due: op.Ready, Used: now}
	c.need(op.Ready.Add(f.params.KeepFor))
	return Found{Engine: e.Server.ID, Ready: op.Ready, Start: &op}
}

// choice is an engine that could take a model, and at what price.
type choice struct {
	engine *Engine
	evict  []string
	tier   serving.Tier
	ready  time.Time
	// loss is what evicting costs: expected worth a second, times the time to
	// load the evicted model again.
	loss float64
}

// placeModel plans to load a model where it will be ready soonest, weighing
// what is evicted for it.
func (f *Fleet) placeModel(service, model string, now time.Time) (Operation, bool) {
	best, ok := f.bestChoice(service, model, now)
	if !ok {
		return Operation{}, false
	}
	return f.start(best, model, now), true
}

func (f *Fleet) bestChoice(service, model string, now time.Time) (best choice, ok bool) {
	for _, e := range f.Engines() {
		if e.Server.Service != service || !e.usable(now) || e.Copies[model] != nil {
			continue
		}
		c, possible := f.consider(e, model, now)
		if !possible {
			continue
		}
		if !ok || f.cost(c, now) < f.cost(best, now) {
			best, ok = c, true
		}
	}
	return best, ok
}

// cost adds the waiting time and what evicting costs, in seconds of a request
// of ordinary worth.
func (f *Fleet) cost(c choice, now time.Time) float64 {
	return c.ready.Sub(now).Seconds() + c.loss
}

// consider says what loading a model on the engine would take.
func (f *Fleet) consider(e *Engine, model string, now time.Time) (choice, bool) {
	m, known := e.Spec.Models[model]
	if !known {
		return choice{}, false
	}
	evict, loss, wait, ok := f.makeRoom(e, m.MemoryMB, now)
	if !ok {
		return choice{}, false
	}
	tier := e.Tiers[model]
	if tier == serving.TierRemote && !f.remoteAllowed(e.Spec, now) {
		return choice{}, false
	}
	start := later(e.Free, now).Add(wait + f.params.OrderTime + time.Duration(len(evict))*f.params.UnloadTime)
	return choice{engine: e, evict: evict, tier: tier, ready: start.Add(m.LoadTime(tier)), loss: loss}, true
}

// makeRoom chooses the copies to evict for needMB of memory: those whose loss
// costs least. wait is how long their requests are expected to run on.
func (f *Fleet) makeRoom(e *Engine, needMB float64, now time.Time) (evict []string, loss float64, wait time.Duration, ok bool) {
	free := e.Spec.MemoryMB - e.memoryMB()
	type candidate struct {
		model string
		loss  float64
		wait  time.Duration
		mb    float64
	}
	var candidates []candidate
	for name, c := range e.Copies {
		if c.State != Resident || now.Before(c.Needed) {
			continue
		}
		cand := candidate{model: name, loss: f.evictionLoss(e, name), mb: e.Spec.Models[name].MemoryMB}
		cand.mb += float64(len(c.Adapters)) * e.Spec.Models[name].AdapterMB
		if c.Running > 0 {
			cand.wait = f.params.RunningWait
		}
		candidates = append(candidates, cand)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return compareFloat(a.loss+a.wait.Seconds(), b.loss+b.wait.Seconds(), a.model, b.model)
	})
	for _, c := range candidates {
		if free >= needMB {
			break
		}
		evict = append(evict, c.model)
		free += c.mb
		loss += c.loss
		wait = max(wait, c.wait)
	}
	return evict, loss, wait, free >= needMB
}

// evictionLoss is what a copy's eviction is expected to cost: requests a second
// times the seconds that its next load takes, and less while other copies stay.
func (f *Fleet) evictionLoss(e *Engine, model string) float64 {
	reload := e.Spec.Models[model].LoadTime(serving.TierMemory).Seconds()
	rate := f.rate(model)
	others := f.copiesOf(model) - 1
	if others <= 0 {
		return rate*reload + tieLoss
	}
	perCopy := rate * f.params.RequestTime.Seconds() / float64(others)
	return rate * reload * min(1, perCopy/f.params.CopyLoad)
}

// tieLoss prefers, among idle models, one that has other copies.
const tieLoss = 0.05

// start books the operation of a choice.
func (f *Fleet) start(c choice, model string, now time.Time) Operation {
	e := c.engine
	op := Operation{
		Engine: e.Server.ID, Load: serving.Unit{Model: model}, Ready: c.ready, generation: e.generation,
		Remote: c.tier == serving.TierRemote, Duration: e.Spec.Models[model].LoadTime(c.tier),
	}
	for _, victim := range c.evict {
		e.Copies[victim].State = Leaving
		op.Unload = append(op.Unload, serving.Unit{Model: victim})
	}
	if op.Remote {
		f.remoteLoads = append(f.remoteLoads, now)
	}
	e.Copies[model] = &Copy{State: Arriving, Ready: c.ready, Needed: c.ready.Add(f.params.KeepFor), Adapters: map[string]*Adapter{}}
	e.Free = c.ready
	e.cached(model)
	return op
}

// cached notes that a load leaves a copy of the weights with the engine. Which
// copies it drops from its host memory for that is known from its next entry.
func (e *Engine) cached(model string) {
	for name, tier := range e.Tiers {
		e.Tiers[name] = min(tier, serving.TierDisk)
	}
	if e.Tiers != nil {
		e.Tiers[model] = serving.TierMemory
	}
}

// remoteAllowed reports whether one more load from the weight store may begin.
func (f *Fleet) remoteAllowed(spec *serving.EngineSpec, now time.Time) bool {
	f.remoteLoads = slices.DeleteFunc(f.remoteLoads, func(t time.Time) bool { return now.Sub(t) > f.params.RemoteWindow })
	return float64(len(f.remoteLoads)) < spec.RemoteLoadsPerSecond*f.params.RemoteWindow.Seconds()
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
