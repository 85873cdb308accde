// Package replicas decides which models and adapters are loaded on which engine. It does no I/O: its inputs are the
// known state of the engines and the demand, its outputs are operations, which the lease holder carries out.
//
// Fleet is the lease holder's record of all engines. The engines' memory limits hold whoever has the lease: each order
// names the engine's sequence on which it was decided, and an engine whose sequence is uncertain is marked MustBeRead,
// so that nothing is planned on it until its state has been read again.
package replicas

import (
	"maps"
	"time"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/serving"
)

// State is the state of a model on an engine.
type State int

// The states. A model in any of them counts against the engine's memory.
const (
	// Resident models are loaded and serve requests.
	Resident State = iota + 1
	// Loading models are being loaded, or a load is planned.
	Loading
	// Unloading models are being unloaded, or an unload is planned. They get no new requests.
	Unloading
)

// Copy is a model on one engine.
type Copy struct {
	State State
	// Ready is when a loading copy is expected to serve, and OriginalReady the same before it was postponed.
	Ready, OriginalReady time.Time
	// Running is the number of requests of all instances on the copy, as last reported.
	Running int
	// inUseUntil is the time until which requests that were directed to the copy may run without being included in
	// Running.
	inUseUntil time.Time
	// fromHostMemory: it was expected to be loaded from the engine's host memory.
	fromHostMemory bool
	Adapters       map[string]*Adapter
}

// loading reports whether the copy, or its adapter unless adapter is empty, is not known to be loaded yet.
func (c *Copy) loading(adapter string) bool {
	a := c.Adapters[adapter]
	return c.State == Loading || a != nil && a.loading
}

// Adapter is an adapter of a copy.
type Adapter struct {
	// Ready is when the adapter is expected to serve, OriginalReady the same before it was postponed.
	Ready, OriginalReady time.Time
	// LastUsed is when it was last requested.
	LastUsed time.Time
	Running  int
	// loading: its load order has not been answered yet.
	loading bool
	// missing: the engine reports that it does not have the adapter.
	missing bool
}

// Engine is the record of one engine.
type Engine struct {
	Server serving.Server
	Spec   *serving.EngineSpec
	// Sequence is the number of orders that the engine has accepted, as far as is known.
	Sequence int64
	Copies   map[string]*Copy
	Tiers    map[string]serving.Tier
	// MustBeRead: the engine's state must be read again before anything is planned on it.
	MustBeRead bool
	// orderUnanswered: the answer to an order on unansweredSequence was lost.
	orderUnanswered    bool
	unansweredSequence int64
	// late has the late orders of all engines.
	late lateOrders
	// inheritedUntil is until when an order of an earlier holder may be carried out that was sent to an earlier process.
	inheritedUntil time.Time
	// sequenceDoubtful: the order whose answer was lost was probably carried out, see HeldAlready.
	sequenceDoubtful bool
	// Busy: a model is being loaded or unloaded. FreeAt is when that is expected to be done.
	Busy   bool
	FreeAt time.Time
	// NotBefore is when the first order may be sent: another holder may have ordered the engine recently.
	NotBefore time.Time
	// remote: the current load comes from the weight store.
	remote bool
	// remoteConcurrency is the number of concurrent loads, this one included, with which the current load from the
	// weight store was planned. remoteStarted is when the engine accepted it, zero until then.
	remoteConcurrency int
	remoteStarted     time.Time
	// inheritedBusySince is since when an engine that must be read has been carrying out an order of a previous
	// holder, zero if it is not.
	inheritedBusySince time.Time
	// FailingUntil is until when the engine is skipped after failed orders.
	FailingUntil time.Time
	failures     int
	// outOfReachUntil is until when nothing is planned on the engine, because the lease holder does not reach it.
	outOfReachUntil time.Time
	// heldBackUntil is until when the engine accepts no additional requests for its units, see HoldBack.
	heldBackUntil time.Time
	// generation counts how often the record was replaced or found to be wrong. Operations of an earlier generation are
	// not current, see Current.
	generation uint64
}

// Demand is the smoothed demand for one model.
type Demand struct {
	// Rate is in requests per second over all instances, Weight is their weight per second, and Late the weight per
	// second of those that would miss their objective if the model had to be loaded first.
	Rate, Weight, Late float64
	// Deferrable is the rate of requests that may be refused under overload, and Served the rate at which such requests
	// are answered.
	Deferrable, Served float64
	// Running is the number of concurrent requests.
	Running float64
	// Refused is the rate of requests that are refused for lack of room and still want to be served, each counted once.
	Refused float64
	// service is the service of the model; empty if it is not contended.
	service string
	// answered is the rate of answered requests, and runSeconds the total run time of those answered in a second.
	answered, runSeconds float64
	classes              []classDemand
}

// Fleet is the record of all engines. It is not safe for concurrent use.
type Fleet struct {
	params       Params
	engines      map[string]*Engine
	demand       map[string]*Demand
	wantedModels map[string]*wantedModel
	index        index
	// late has the orders to all engines, also to those that are gone, whose answers were lost.
	late lateOrders
	// inheritedOrdersEnd returns Engine.inheritedUntil for a server.
	inheritedOrdersEnd func(serving.Server) time.Time
	// decayedAt is when the rates were last decayed, countedAt when running requests were last counted, and
	// proactiveCheckedAt when models were last checked for proactive loads.
	decayedAt, countedAt, proactiveCheckedAt time.Time
	// arrivalsSince is when the first arrivals were reported; zero before.
	arrivalsSince time.Time
	// remoteLimiter limits loads from the weight store, and store estimates its speed.
	remoteLimiter remoteLimiter
	store         weightStore
	// wantedValue is the total value of the requests that wait for models, as last computed.
	wantedValue float64
	unloadTimes unloadTimes
	// hostMemory tracks whether loads from the host memory of engines take as long as configured.
	hostMemory hostMemoryStats
	// reportAge is the usual maximum age of the instances' reports of running requests.
	reportAge time.Duration
	// suspended: nothing is planned.
	suspended bool
	// limits has the operators' limits.
	limits limits.Source
	// runTime is the mean run time of the requests for all models.
	runTime runTime
	// room has the room of traffic classes in contended services.
	room room
	// speeds are the engines' speeds that differ from the usual one.
	speeds map[string]float64
	// complete: an engine that is not in engines no longer exists.
	complete bool
	// contended has the services whose models are loaded by slack, and short those of them that had more wanted models
	// than free engines when loads were last ordered.
	contended, short map[string]bool
	// lateness is by how much loads of contended services end later than expected.
	lateness loadLateness
}

// NewFleet returns a Fleet without engines.
func NewFleet(p Params) *Fleet {
	return &Fleet{params: p, engines: map[string]*Engine{}, late: lateOrders{}, demand: map[string]*Demand{}, wantedModels: map[string]*wantedModel{}, limits: limits.None{}, inheritedOrdersEnd: func(serving.Server) (none time.Time) { return }, speeds: map[string]float64{},
		store: weightStore{fullSpeedLoads: p.RemoteConcurrency}, unloadTimes: unloadTimes{idle: p.UnloadTime, inUse: p.RunningWait, afterRuns: p.UnloadTime}}
}

// SetLimits sets the source of the operators' limits.
func (f *Fleet) SetLimits(source limits.Source) { f.limits = source }

// Engine returns the record of one engine, nil if it is not known.
func (f *Fleet) Engine(id string) *Engine { return f.engines[id] }

// SetServers sets the engines and what they announce; engines that are not in servers are dropped. New engines
// must be read. spec returns the specification of a service's engines, nil for a service without engines.
func (f *Fleet) SetServers(servers []serving.Server, spec func(service string) *serving.EngineSpec) {
	seen := map[string]bool{}
	for _, s := range servers {
		engineSpec := spec(s.Service)
		if engineSpec == nil {
			continue
		}
		seen[s.ID] = true
		e := f.engines[s.ID]
		if e == nil || e.Server.IsEarlierProcess(s) {
			e = restarted(e, s)
			e.late = f.late
			f.engines[s.ID] = e
			f.index = index{}
		}
		if e.Tiers == nil || s.Revision > e.Server.Revision {
			e.Tiers = maps.Clone(s.Tiers)
			f.index.cached = nil
		}
		e.Server, e.Spec, e.inheritedUntil = s, engineSpec, f.inheritedOrdersEnd(s)
	}
	countBefore := len(f.engines)
	maps.DeleteFunc(f.engines, func(id string, _ *Engine) bool { return !seen[id] })
	if len(f.engines) < countBefore {
		f.index = index{}
	}
}

// restarted returns the record of a started engine, which replaces that of the previous process under the same ID; before
// is nil if there is none. The new record has no state of the previous process.
func restarted(before *Engine, s serving.Server) *Engine {
	e := &Engine{MustBeRead: true, Copies: map[string]*Copy{}}
	e.adopt(s.Models, 0, time.Time{})
	if before != nil {
		e.generation = before.generation + 1
	}
	return e
}

// Adopt replaces the record of an engine by the engine's report. The report must have been made while no order was in
// progress.
func (f *Fleet) Adopt(id string, r serving.Report, now time.Time) {
	e := f.engines[id]
	if e == nil {
		return
	}
	if !e.Server.MayBeSameProcess(r.Born) {
		e.fail(now)
		return
	}
	if r.Sequence < e.Sequence { // only a restart resets the sequence: the report is of another process
		e.fail(now)
		return
	}
	e.adopt(r.Models, r.Sequence, now)
	f.copiesChanged()
	for _, unit := range r.Pending {
		if c := e.Copies[unit.Model]; c != nil && c.Adapters[unit.Adapter] == nil {
			c.Adapters[unit.Adapter] = &Adapter{Ready: now, LastUsed: now}
		}
	}
	if r.Tiers != nil {
		e.Tiers = r.Tiers
		f.index.cached = nil
	}
	e.MustBeRead, e.Busy, e.orderUnanswered, e.sequenceDoubtful = false, false, false, false
	e.inheritedBusySince = time.Time{}
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
			c.Adapters[name] = &Adapter{LastUsed: now}
		}
		e.Copies[model] = c
	}
}

// memoryMB returns the memory that everything on the engine may occupy.
func (e *Engine) memoryMB() float64 {
	total := 0.0
	for name, c := range e.Copies {
		m := e.Spec.Models[name]
		total += m.MemoryMB + float64(len(c.Adapters))*m.AdapterMB
	}
	return total
}

// adapters returns the number of adapters on the engine.
func (e *Engine) adapters() int {
	n := 0
	for _, c := range e.Copies {
		n += len(c.Adapters)
	}
	return n
}

// usable reports whether anything may be loaded on the engine.
func (e *Engine) usable(now time.Time) bool {
	return !e.MustBeRead && !now.Before(e.outOfReachUntil) && e.acceptsRequests(now) && !e.nearLateOrder(now)
}

// acceptsRequests reports whether the engine accepts requests for its units.
func (e *Engine) acceptsRequests(now time.Time) bool {
	return !e.Server.Draining && !now.Before(e.FailingUntil) && !now.Before(e.heldBackUntil)
}
