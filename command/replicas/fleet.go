// Package replicas decides which models and adapters are loaded on which
// engine. It is pure: it takes what is known of the engines and of demand, and
// gives operations. The instance that holds the lease carries them out.
//
// Fleet is that instance's account of all engines. Memory never depends on who
// holds the lease: each order names the sequence of the engine on which it was
// decided, and the account of an engine whose sequence is in doubt is Unsure,
// so that nothing is decided on it until it has been read anew.
package replicas

import (
	"maps"
	"time"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/serving"
)

// State is the state of a model on an engine.
type State int

// The states. A model in any of them occupies memory.
const (
	// Resident models serve.
	Resident State = iota + 1
	// Arriving models are being loaded or will be.
	Arriving
	// Leaving models are being unloaded or will be, and get no new requests.
	Leaving
)

// Copy is a model on one engine.
type Copy struct {
	State State
	// Ready is when an arriving copy is expected to serve, and Due when it was first.
	Ready, Due time.Time
	// Running counts requests of all instances on the copy, when last heard.
	Running int
	// toldUntil is until when requests may have begun on the copy that were told of it
	// and that its Running does not count yet.
	toldUntil time.Time
	// hostMemory: it was expected to be loaded from the engine's host memory.
	hostMemory bool
	Adapters   map[string]*Adapter
}

// loading reports whether the copy, or its adapter unless that is empty, is not known to
// be loaded yet.
func (c *Copy) loading(adapter string) bool {
	a := c.Adapters[adapter]
	return c.State == Arriving || a != nil && a.arriving
}

// Adapter is an adapter of a copy.
type Adapter struct {
	// Ready is when it is expected to serve, Due when it first was.
	Ready, Due time.Time
	// Used is when it was last asked for.
	Used    time.Time
	Running int
	// arriving: its order has not been answered yet.
	arriving bool
	// missing: the engine says that it does not have it.
	missing bool
}

// Engine is the account of one engine.
type Engine struct {
	Server serving.Server
	Spec   *serving.EngineSpec
	// Sequence is the engine's count of accepted orders, as known here.
	Sequence int64
	Copies   map[string]*Copy
	Tiers    map[string]serving.Tier
	// Unsure engines must be read anew before anything is decided on them.
	Unsure bool
	// unanswered: the answer to an order on the sequence unansweredOn was lost.
	unanswered   bool
	unansweredOn int64
	// unansweredAt is when that was.
	unansweredAt time.Time
	// readFrom is from when the engine may be read, see restarted.
	readFrom time.Time
	// Busy: a model is being loaded or unloaded; Free is when that is expected
	// to be done.
	Busy bool
	Free time.Time
	// NotBefore is when the first order may be sent: another holder may have
	// ordered the engine of late.
	NotBefore time.Time
	// remote: what is being loaded comes from the weight store.
	remote bool
	// together is as one of how many under way a load from the weight store was planned,
	// and began when the engine accepted it, zero until then.
	together int
	began    time.Time
	// foreignSince is since when an engine that is Unsure has been carrying out an order
	// of a holder before, zero if it is not.
	foreignSince time.Time
	// Failing is until when the engine is passed over, after failed orders.
	Failing  time.Time
	failures int
	// heldBack is until when the engine takes no more, or nothing, of what it has: see HoldBack.
	heldBack time.Time
	// generation counts the times that the account was replaced or found to be
	// wrong. Operations of an earlier one are void.
	generation uint64
}

// Demand is what is known of the requests for one model, smoothed.
type Demand struct {
	// Rate is requests a second over all instances, Weight their weight, and Late
	// the weight of those that would be late if the model had to be loaded first.
	Rate, Weight, Late float64
	// Deferrable is the rate of requests that may be refused for load, and Served the rate
	// at which such requests are answered.
	Deferrable, Served float64
	// Running is how many run at once.
	Running float64
}

// Fleet is the account of all engines. It is not safe for concurrent use.
type Fleet struct {
	params  Params
	engines map[string]*Engine
	demand  map[string]*Demand
	wants   map[string]*want
	index   index
	// decayed is when rates last fell, counted when running requests were counted.
	// extrasAt is when further copies were last looked at.
	decayed, counted, extrasAt time.Time
	// remote bounds loads from the weight store, and store is what is known of its speed.
	remote ceiling
	store  weightStore
	// wanted is what all that is wanted was worth when last added up.
	wanted float64
	pace   pace
	// hostMemory is whether loads from the host memory of engines are as short as they
	// should be.
	hostMemory hostMemory
	// wordAge is how old the instances' word of what they run is at most, usually.
	wordAge time.Duration
	// suspended: nothing is planned.
	suspended bool
	// limits is what operators decided.
	limits limits.Source
	// complete: an engine that is not known is gone.
	complete bool
}

// NewFleet returns an empty account.
func NewFleet(p Params) *Fleet {
	return &Fleet{params: p, engines: map[string]*Engine{}, demand: map[string]*Demand{}, wants: map[string]*want{}, limits: limits.None{},
		store: weightStore{atOnce: p.RemoteAtOnce}, pace: pace{idle: p.UnloadTime, running: p.RunningWait}}
}

// SetLimits has the fleet keep to what operators decided.
func (f *Fleet) SetLimits(source limits.Source) { f.limits = source }

// Engine returns the account of one engine, nil if it is not known.
func (f *Fleet) Engine(id string) *Engine { return f.engines[id] }

// SetServers takes over which engines there are and what they announce. New
// engines are Unsure.
func (f *Fleet) SetServers(servers []serving.Server, spec func(service string) *serving.EngineSpec) {
	seen := map[string]bool{}
	for _, s := range servers {
		engineSpec := spec(s.Service)
		if engineSpec == nil {
			continue
		}
		seen[s.ID] = true
		e := f.engines[s.ID]
		if e == nil || e.Server.Before(s) {
			e = restarted(e, s)
			f.engines[s.ID] = e
			f.index = index{}
		}
		if e.Tiers == nil || s.Revision > e.Server.Revision {
			e.Tiers = maps.Clone(s.Tiers)
			f.index.cached = nil
		}
		e.Server, e.Spec = s, engineSpec
	}
	known := len(f.engines)
	maps.DeleteFunc(f.engines, func(id string, _ *Engine) bool { return !seen[id] })
	if len(f.engines) < known {
		f.index = index{}
	}
}

// lateOrder is how long after its answer was lost an order may still be carried out. It names
// the engine by its id, and a sequence, which a process that starts again under the same id
// comes to have as well.
const lateOrder = 5 * time.Second

// restarted returns the account of an engine that starts, in place of that of the process
// before it under the same id, nil if there is none. It holds and knows nothing of before. It
// is not read, and so not ordered, while an order to the one before may still come late.
func restarted(before *Engine, s serving.Server) *Engine {
	e := &Engine{Unsure: true, Copies: map[string]*Copy{}}
	e.adopt(s.Models, 0, time.Time{})
	if before == nil {
		return e
	}
	e.generation = before.generation + 1
	e.readFrom = before.readFrom
	if before.unanswered {
		e.readFrom = before.unansweredAt.Add(lateOrder)
	}
	return e
}

// Adopt takes over an engine's report in place of what was known. The report
// must have been made when no order was under way.
func (f *Fleet) Adopt(id string, r serving.Report, now time.Time) {
	e := f.engines[id]
	if e == nil {
		return
	}
	if !e.Server.SameLife(r.Born) {
		e.fail(now)
		return
	}
	if r.Sequence < e.Sequence { // only a restart counts anew: this is another engine's report
		e.fail(now)
		return
	}
	e.adopt(r.Models, r.Sequence, now)
	f.copiesChanged()
	for _, unit := range r.Pending {
		if c := e.Copies[unit.Model]; c != nil && c.Adapters[unit.Adapter] == nil {
			c.Adapters[unit.Adapter] = &Adapter{Ready: now, Used: now}
		}
	}
	if r.Tiers != nil {
		e.Tiers = r.Tiers
		f.index.cached = nil
	}
	e.Unsure, e.Busy, e.unanswered = false, false, false
	e.foreignSince = time.Time{}
	e.generation++
}

func (e *Engine) adopt(models map[string][]string, sequence int64, now time.Time) {
	old := e.Copies
	e.Copies, e.Sequence = map[string]*Copy{}, sequence
	for model, adapters := range models {
		c := &Copy{State: Resident, Adapters: map[string]*Adapter{}}
		if known := old[model]; known != nil {
			c.Running = known.Running
		}
		for _, name := range adapters {
			c.Adapters[name] = &Adapter{Used: now}
		}
		e.Copies[model] = c
	}
}

// memoryMB is what everything on the engine may occupy.
func (e *Engine) memoryMB() float64 {
	total := 0.0
	for name, c := range e.Copies {
		m := e.Spec.Models[name]
		total += m.MemoryMB + float64(len(c.Adapters))*m.AdapterMB
	}
	return total
}

// adapters counts the adapters on the engine.
func (e *Engine) adapters() int {
	n := 0
	for _, c := range e.Copies {
		n += len(c.Adapters)
	}
	return n
}

// usable reports whether anything may be loaded on the engine.
func (e *Engine) usable(now time.Time) bool {
	return !e.Unsure && e.takes(now)
}

// takes reports whether the engine takes requests for what it has.
func (e *Engine) takes(now time.Time) bool {
	return !e.Server.Draining && !now.Before(e.Failing) && !now.Before(e.heldBack)
}
