package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

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
	// InUse: requests ran on what is unloaded when that was planned.
	InUse bool
	// generation of the account that it was planned on.
	generation uint64
	// copy is the one that an adapter is loaded for, nil for models.
	copy *Copy
}

// choice is an engine that could take a model, and at what price.
type choice struct {
	engine *Engine
	evict  []string
	// inUse: requests run on what is evicted.
	inUse bool
	tier  serving.Tier
	// together is as one of how many under way a load from the weight store would begin.
	together int
	ready    time.Time
	// loss is what evicting costs, price what the load has to be worth: the loss and
	// the engine's time. Without the latter six days on the users' platform earned .029
	// +- .008 less (24 pairs). cost compares choices: it is the price and the waiting
	// time. All are in seconds of waiting of an ordinary request.
	loss, price, cost float64
}

// waitsFor says what requests wait for that get the choice after hold.
func (c choice) waitsFor(hold time.Duration) serving.Wait {
	switch {
	case hold > 0 || c.inUse:
		return serving.WaitCopies
	case c.tier == serving.TierRemote:
		return serving.WaitWeightStore
	default:
		return serving.WaitDisk
	}
}

// bestChoice returns where a wanted model costs least to load. claimed is how long
// engines will be busy with models that go before it. Engines without the
// weights are looked at only if none that has them is soon free.
func (f *Fleet) bestChoice(w *want, claimed map[string]time.Duration, now time.Time) (best choice, ok bool) {
	best, ok = f.bestOf(f.caching(w.model), w, claimed, remoteState{}, now)
	if ok && best.ready.Sub(now) < best.engine.Spec.Models[w.model].RemoteLoad {
		return best, true
	}
	remote := f.remoteNow(now)
	if !remote.allowed {
		return best, ok
	}
	if other, found := f.bestOf(f.free(now), w, claimed, remote, now); found && (!ok || other.cost < best.cost) {
		return other, true
	}
	return best, ok
}

// free returns when the next load could begin on the engine.
func (e *Engine) free(now time.Time) time.Time {
	at := later(e.NotBefore, now)
	if e.Busy {
		at = later(e.Free, at)
	}
	return at
}

// free returns the engines on which a load could begin now.
func (f *Fleet) free(now time.Time) []*Engine {
	var free []*Engine
	for _, e := range f.Engines() {
		if e.usable(now) && !e.free(now).After(now) {
			free = append(free, e)
		}
	}
	return free
}

func (f *Fleet) bestOf(engines []*Engine, w *want, claimed map[string]time.Duration, remote remoteState, now time.Time) (best choice, ok bool) {
	for _, e := range engines {
		if e.Server.Service != w.service || !e.usable(now) || e.Copies[w.model] != nil {
			continue
		}
		c, possible := f.consider(e, w, claimed[e.Server.ID], remote, now)
		if possible && (!ok || c.cost < best.cost) {
			best, ok = c, true
		}
	}
	return best, ok
}

// consider says what loading a wanted model on the engine would take.
func (f *Fleet) consider(e *Engine, w *want, claimed time.Duration, remote remoteState, now time.Time) (choice, bool) {
	m, known := e.Spec.Models[w.model]
	if !known || !f.permitted(e, w.model) {
		return choice{}, false
	}
	tier := e.Tiers[w.model]
	load := f.loadTime(m, tier, remote.together)
	if tier == serving.TierRemote && !(remote.allowed && f.worthRemote(w, m, load, now)) {
		return choice{}, false
	}
	own := w.value()
	if w.extra {
		own = 0 // nobody waits for it
	}
	second := f.engineTimeCost(own)
	value := max(1, w.value())
	room, ok := f.makeRoom(e, m.MemoryMB, value+second, now)
	if !ok {
		return choice{}, false
	}
	unload := room.wait + time.Duration(len(room.models))*f.pace.idle
	c := choice{together: remote.together, engine: e, evict: room.models, inUse: room.inUse, tier: tier, loss: room.loss, price: room.loss}
	c.ready = e.free(now).Add(claimed + f.params.OrderTime + unload + load)
	least := max(second, f.params.EngineTimeCost)
	if w.extra {
		second = least
	}
	if len(room.models) > 0 || e.hasWeights() { // else the engine is new, and could do nothing else meanwhile
		c.price += second * (load + unload).Seconds()
	}
	c.cost = value*c.ready.Sub(now).Seconds() + c.loss + least*(load+unload).Seconds()
	return c, true
}

// start books the operation of a choice.
func (f *Fleet) start(c choice, model string, now time.Time) Operation {
	e := c.engine
	op := Operation{
		Engine: e.Server.ID, Load: serving.Unit{Model: model}, From: now, Ready: c.ready, generation: e.generation,
		Remote: c.tier == serving.TierRemote, Duration: f.loadTime(e.Spec.Models[model], c.tier, c.together), InUse: c.inUse,
	}
	e.together, e.began = c.together, time.Time{}
	for _, name := range c.evict {
		e.Copies[name].State = Leaving
		op.Unload = append(op.Unload, serving.Unit{Model: name})
	}
	if op.Remote {
		f.remote.plan(now)
	}
	e.Copies[model] = &Copy{State: Arriving, Ready: c.ready, Adapters: map[string]*Adapter{}}
	if c.tier == serving.TierMemory {
		e.Copies[model].hostMemory = f.hostMemory.trusted()
		f.hostMemory.began(e.Copies[model].hostMemory)
	}
	e.Busy, e.Free, e.remote = true, c.ready, op.Remote
	f.copyAdded(e, model)
	f.cached(e, model)
	return op
}

// cached notes that a load leaves a copy of the weights with the engine. Which
// copies it drops from its host memory for that is known from its next entry.
func (f *Fleet) cached(e *Engine, model string) {
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
