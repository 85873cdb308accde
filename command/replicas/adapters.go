package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// adapterPlacement is an engine that can take an adapter, and the adapter to evict for it, if any.
type adapterPlacement struct {
	engine    *Engine
	victim    serving.Unit
	notBefore time.Time
	// score ranks engines, lower is better: the waiting time in seconds plus the share of adapter slots in use.
	score float64
}

// placeAdapter plans to load an adapter on an engine, of a software version unless that is "", that has its model. Engines accept no adapter load while they
// load or unload a model.
func (f *Fleet) placeAdapter(service string, unit serving.Unit, version string, now time.Time) (Found, bool) {
	var best adapterPlacement
	for _, e := range f.holding(unit.Model) {
		c := e.Copies[unit.Model]
		if e.Server.Service != service || !e.hasVersion(version) || c.State == Unloading || !e.usable(now) {
			continue
		}
		r, ok := f.adapterPlacementOn(e, unit.Model, now)
		if !ok {
			continue
		}
		r.notBefore = later(c.Ready, e.freeAt(now))
		r.score += r.notBefore.Sub(now).Seconds()
		if best.engine == nil || r.score < best.score {
			best = r
		}
	}
	if best.engine == nil {
		return Found{}, false
	}
	return f.startAdapter(best, unit, now), true
}

// adapterPlacementOn returns how one more adapter of a model fits on an engine: without an eviction, or by evicting
// the least recently used adapter that is idle. ok is false if it does not fit.
func (f *Fleet) adapterPlacementOn(e *Engine, model string, now time.Time) (adapterPlacement, bool) {
	slots := float64(e.Spec.AdapterSlots)
	if slots == 0 {
		return adapterPlacement{}, false
	}
	missingMB := e.memoryMB() + e.Spec.Models[model].AdapterMB - e.Spec.MemoryMB
	if e.adapters() < e.Spec.AdapterSlots && missingMB <= 0 {
		return adapterPlacement{engine: e, score: float64(e.adapters()) / slots}, true
	}
	r := adapterPlacement{engine: e}
	var oldest time.Time
	for name, c := range e.Copies {
		if e.Spec.Models[name].AdapterMB < missingMB {
			continue // evicting one of its adapters does not free enough memory
		}
		for adapter, a := range c.Adapters {
			if a.Running > 0 || now.Before(a.Ready.Add(f.params.AdapterKeepTime)) || now.Sub(a.LastUsed) < f.params.AdapterKeepTime {
				continue
			}
			if r.victim.Adapter == "" || a.LastUsed.Before(oldest) {
				r.victim, oldest = serving.Unit{Model: name, Adapter: adapter}, a.LastUsed
			}
		}
	}
	r.score = 1 + 1/(1+now.Sub(oldest).Seconds())
	return r, r.victim.Adapter != ""
}

func (f *Fleet) startAdapter(r adapterPlacement, unit serving.Unit, now time.Time) Found {
	e := r.engine
	c := e.Copies[unit.Model]
	op := Operation{Engine: e.Server.ID, Load: unit, Duration: f.params.AdapterTime, From: r.notBefore, generation: e.generation, copy: c}
	op.Ready = op.From.Add(f.params.OrderTime + f.params.AdapterTime)
	if r.victim.Adapter != "" {
		op.Unload = []serving.Unit{r.victim}
		delete(e.Copies[r.victim.Model].Adapters, r.victim.Adapter)
	}
	c.Adapters[unit.Adapter] = &Adapter{Ready: op.Ready, OriginalReady: op.Ready, LastUsed: now, loading: true}
	return Found{Engine: e.Server.ID, Ready: op.Ready, Start: &op, WaitReason: serving.WaitAdapter}
}

// adapterLoadPending reports whether adapter loads on the engine must finish before the next model load may start.
// Adapters load in milliseconds, but cannot be loaded for seconds while a model is being loaded or an unload waits for
// running requests. Loading adapters first gained .013 +- .007 of the score (24 paired runs on the users' platform).
func (e *Engine) adapterLoadPending(now time.Time) bool {
	for _, c := range e.Copies {
		if c.State == Unloading {
			continue
		}
		for _, a := range c.Adapters {
			if a.loading && now.Before(a.OriginalReady.Add(adapterLoadGrace)) {
				return true
			}
		}
	}
	return false
}

// adapterLoadGrace is how long after its original ready time a pending adapter load still delays the next model load.
const adapterLoadGrace = 200 * time.Millisecond

// Delayed records that an engine refused an operation's load because another order is in progress. The load is retried
// after wait.
func (f *Fleet) Delayed(op Operation, wait time.Duration, now time.Time) {
	ready := now.Add(wait + op.Duration)
	if e := f.engines[op.Engine]; e != nil && op.Load.Adapter != "" {
		ready = later(ready, e.freeAt(now).Add(op.Duration))
	}
	f.Expect(op, ready)
}
