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
	// UsedLately is how long after its last use a copy counts as in use: what
	// instances report is a little old.
	UsedLately time.Duration
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
	// RemoteWindow is the time over which loads from the weight store are
	// counted, and RemoteAtOnce how many may run together: more slow each
	// other down.
	RemoteWindow time.Duration
	RemoteAtOnce int
	// LaneCost is what a second in which an engine can load nothing else adds
	// to the cost of a load there, in seconds of waiting.
	LaneCost float64
	// WantLifetime is how long a wanted model is remembered after it was last
	// asked for.
	WantLifetime time.Duration
}

// DefaultParams returns the parameters used unless set otherwise. Times of
// loads come from the configuration; the times of orders were measured on the
// users' bench (45 to 90 ms for an unload, 20 ms beyond a load's time), the
// weights chosen by its days.
func DefaultParams() Params {
	return Params{
		DemandWindow: 4 * time.Second, ForgetRate: 0.001, RunningWait: 2 * time.Second, OrderTime: 30 * time.Millisecond, UnloadTime: 90 * time.Millisecond,
		KeepFor: time.Second, UsedLately: 600 * time.Millisecond, CopyLoad: 12, SpareRate: 1.5, RequestTime: 2 * time.Second,
		AdapterTime: 80 * time.Millisecond, RemoteWindow: 5 * time.Second, RemoteAtOnce: 4, LaneCost: 0.5, WantLifetime: 1500 * time.Millisecond,
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

// choice is an engine that could take a model, and at what price.
type choice struct {
	engine *Engine
	evict  []string
	tier   serving.Tier
	ready  time.Time
	// cost is the waiting time, what evicting costs, and what the engine
	// cannot do meanwhile, in seconds of waiting.
	cost float64
}

// bestChoice returns where a model costs least to load. claimed is how long
// engines will be busy with models that go before it. Engines without the
// weights are looked at only if none that has them is soon free.
func (f *Fleet) bestChoice(service, model string, claimed map[string]time.Duration, now time.Time) (best choice, ok bool) {
	best, ok = f.bestOf(f.caching(model), service, model, claimed, now)
	if ok && best.ready.Sub(now) < best.engine.Spec.Models[model].RemoteLoad {
		return best, true
	}
	if other, found := f.bestOf(f.free(now), service, model, claimed, now); found && (!ok || other.cost < best.cost) {
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

func (f *Fleet) bestOf(engines []*Engine, service, model string, claimed map[string]time.Duration, now time.Time) (best choice, ok bool) {
	for _, e := range engines {
		if e.Server.Service != service || !e.usable(now) || e.Copies[model] != nil {
			continue
		}
		c, possible := f.consider(e, model, claimed[e.Server.ID], now)
		if possible && (!ok || c.cost < best.cost) {
			best, ok = c, true
		}
	}
	return best, ok
}

// consider says what loading a model on the engine would take.
func (f *Fleet) consider(e *Engine, model string, claimed time.Duration, now time.Time) (choice, bool) {
	m, known := e.Spec.Models[model]
	if !known || !f.permitted(e, model) {
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
	load := m.LoadTime(tier)
	start := e.free(now)
	start = start.Add(claimed + wait + f.params.OrderTime + time.Duration(len(evict))*f.params.UnloadTime)
	c := choice{engine: e, evict: evict, tier: tier, ready: start.Add(load)}
	c.cost = c.ready.Sub(now).Seconds() + loss + f.params.LaneCost*load.Seconds()
	return c, true
}

// victim is a copy that could be evicted.
type victim struct {
	model string
	loss  float64
	wait  time.Duration
	mb    float64
}

// makeRoom chooses the copies to evict for needMB of memory: those whose loss
// costs least. wait is how long their requests are expected to run on.
func (f *Fleet) makeRoom(e *Engine, needMB float64, now time.Time) (evict []string, loss float64, wait time.Duration, ok bool) {
	free := e.Spec.MemoryMB - e.memoryMB()
	if free >= needMB {
		return nil, 0, 0, true
	}
	victims := f.victims(e, now)
	slices.SortFunc(victims, func(a, b victim) int {
		return compareFloat(a.loss+a.wait.Seconds(), b.loss+b.wait.Seconds(), a.model, b.model)
	})
	for _, v := range victims {
		evict = append(evict, v.model)
		free += v.mb
		loss += v.loss
		wait = max(wait, v.wait)
		if free >= needMB {
			return evict, loss, wait, true
		}
	}
	return nil, 0, 0, false
}

// victims lists the copies of an engine that may be evicted. A copy in use is
// one only if its model has copies to spare.
func (f *Fleet) victims(e *Engine, now time.Time) []victim {
	var victims []victim
	for name, c := range e.Copies {
		if c.State != Resident || now.Before(c.Needed) {
			continue
		}
		m := e.Spec.Models[name]
		v := victim{model: name, mb: m.MemoryMB + float64(len(c.Adapters))*m.AdapterMB}
		spare := f.copiesOf(name, now) > max(1, f.wantedCopies(name))
		v.loss = f.evictionLoss(e, name, spare)
		if c.Running > 0 || now.Sub(c.Used) < f.params.UsedLately {
			if !spare {
				continue
			}
			v.wait = f.params.RunningWait
		}
		victims = append(victims, v)
	}
	return victims
}

// What evicting costs, in seconds of waiting.
const (
	// spareLoss is for a copy that its model can spare, a second of rate.
	spareLoss = 0.01
	// tieLoss prefers, among idle models, one that has other copies.
	tieLoss = 0.02
)

// evictionLoss is what a copy's eviction is expected to cost: the requests that
// come, times the time to load it again.
func (f *Fleet) evictionLoss(e *Engine, model string, spare bool) float64 {
	rate := f.rate(model)
	if spare {
		return rate * spareLoss
	}
	return rate*e.Spec.Models[model].LoadTime(serving.TierDisk).Seconds() + tieLoss
}

// start books the operation of a choice.
func (f *Fleet) start(c choice, model string, now time.Time) Operation {
	e := c.engine
	op := Operation{
		Engine: e.Server.ID, Load: serving.Unit{Model: model}, From: now, Ready: c.ready, generation: e.generation,
		Remote: c.tier == serving.TierRemote, Duration: e.Spec.Models[model].LoadTime(c.tier),
	}
	for _, name := range c.evict {
		e.Copies[name].State = Leaving
		op.Unload = append(op.Unload, serving.Unit{Model: name})
	}
	if op.Remote {
		f.remoteLoads = append(f.remoteLoads, now)
	}
	e.Copies[model] = &Copy{State: Arriving, Ready: c.ready, Needed: c.ready.Add(f.params.KeepFor), Adapters: map[string]*Adapter{}}
	e.Busy, e.Free, e.remote = true, c.ready, op.Remote
	f.copiesChanged()
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

// remoteAllowed reports whether one more load from the weight store may begin.
func (f *Fleet) remoteAllowed(spec *serving.EngineSpec, now time.Time) bool {
	running := 0
	for _, e := range f.engines {
		if e.Busy && e.remote {
			running++
		}
	}
	f.remoteLoads = slices.DeleteFunc(f.remoteLoads, func(t time.Time) bool { return now.Sub(t) > f.params.RemoteWindow })
	return running < f.params.RemoteAtOnce && float64(len(f.remoteLoads)) < spec.RemoteLoadsPerSecond*f.params.RemoteWindow.Seconds()
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
