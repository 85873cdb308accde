package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// room is an engine that can take an adapter, and what must go for it.
type room struct {
	engine *Engine
	victim serving.Unit
	from   time.Time
	// score is lower for a better engine: the waiting time in seconds, and how
	// full of adapters it is.
	score float64
}

// placeAdapter plans to load an adapter on an engine with its model. Engines
// take no adapter while they load or unload a model.
func (f *Fleet) placeAdapter(service string, unit serving.Unit, now time.Time) (Found, bool) {
	var best room
	for _, e := range f.holding(unit.Model) {
		c := e.Copies[unit.Model]
		if e.Server.Service != service || c.State == Leaving || !e.usable(now) {
			continue
		}
		r, ok := f.adapterRoom(e, unit.Model, now)
		if !ok {
			continue
		}
		r.from = later(c.Ready, e.free(now))
		r.score += r.from.Sub(now).Seconds()
		if best.engine == nil || r.score < best.score {
			best = r
		}
	}
	if best.engine == nil {
		return Found{}, false
	}
	return f.startAdapter(best, unit, now), true
}

// adapterRoom says what must be unloaded for one more adapter of a model.
func (f *Fleet) adapterRoom(e *Engine, model string, now time.Time) (room, bool) {
	slots := float64(e.Spec.AdapterSlots)
	if slots == 0 {
		return room{}, false
	}
	short := e.memoryMB() + e.Spec.Models[model].AdapterMB - e.Spec.MemoryMB
	if e.adapters() < e.Spec.AdapterSlots && short <= 0 {
		return room{engine: e, score: float64(e.adapters()) / slots}, true
	}
	r := room{engine: e}
	var oldest time.Time
	for name, c := range e.Copies {
		if e.Spec.Models[name].AdapterMB < short {
			continue // one of its adapters does not make room enough
		}
		for adapter, a := range c.Adapters {
			if a.Running > 0 || now.Before(a.Ready.Add(f.params.KeepFor)) || now.Sub(a.Used) < f.params.KeepFor {
				continue
			}
			if r.victim.Adapter == "" || a.Used.Before(oldest) {
				r.victim, oldest = serving.Unit{Model: name, Adapter: adapter}, a.Used
			}
		}
	}
	r.score = 1 + 1/(1+now.Sub(oldest).Seconds())
	return r, r.victim.Adapter != ""
}

func (f *Fleet) startAdapter(r room, unit serving.Unit, now time.Time) Found {
	e := r.engine
	c := e.Copies[unit.Model]
	op := Operation{Engine: e.Server.ID, Load: unit, Duration: f.params.AdapterTime, From: r.from, generation: e.generation, copy: c}
	op.Ready = op.From.Add(f.params.OrderTime + f.params.AdapterTime)
	if r.victim.Adapter != "" {
		op.Unload = []serving.Unit{r.victim}
		delete(e.Copies[r.victim.Model].Adapters, r.victim.Adapter)
	}
	c.Adapters[unit.Adapter] = &Adapter{Ready: op.Ready, Due: op.Ready, Used: now, arriving: true}
	return Found{Engine: e.Server.ID, Ready: op.Ready, Start: &op, For: serving.WaitAdapter}
}

// adaptersFirst reports whether adapters are to be loaded on the engine before the
// next model is: they take milliseconds, and while a model is loaded or an unload
// waits for running requests, they cannot be loaded for seconds (.013 +- .007 of worth,
// 24 pairs of days on the users' platform).
func (e *Engine) adaptersFirst(now time.Time) bool {
	for _, c := range e.Copies {
		if c.State == Leaving {
			continue
		}
		for _, a := range c.Adapters {
			if a.arriving && now.Before(a.Due.Add(adapterPatience)) {
				return true
			}
		}
	}
	return false
}

// adapterPatience is how long after an adapter should have been loaded the next
// model is held back for it.
const adapterPatience = 200 * time.Millisecond

// Delayed notes that an engine has refused an operation's load because another order
// is under way; it is sent again after wait.
func (f *Fleet) Delayed(op Operation, wait time.Duration, now time.Time) {
	ready := now.Add(wait + op.Duration)
	if e := f.engines[op.Engine]; e != nil && op.Load.Adapter != "" {
		ready = later(ready, e.free(now).Add(op.Duration))
	}
	f.Expect(op, ready)
}
