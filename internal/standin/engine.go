package standin

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/pause"
)

// reportWait is how long a report waits for a change of what is loaded, and so
// the lag of the load figures in it.
const reportWait = 500 * time.Millisecond

// noiseQueue is the longest queue reported under SetLoadNoise.
const noiseQueue = 8

// keptOrders is how many order ids an engine remembers.
const keptOrders = 64

// EngineParams describe a stand-in engine.
type EngineParams struct {
	Name        string
	MemoryBytes int64
	// Fencing makes the engine refuse orders with an old epoch.
	Fencing bool
	// StepTime is the time of one token; MaxBatch requests share the steps.
	StepTime time.Duration
	MaxBatch int
	Speeds   Speeds
	Weights  *WeightStore
	// Tiers says where checkpoints are cached at the start.
	Tiers map[string]backend.Tier
	// Credential, if not empty, must come with each order.
	Credential string
}

// Engine is a stand-in model engine.
type Engine struct {
	params EngineParams
	batch  chan struct{}

	mu          sync.Mutex
	incarnation string                  // guarded by mu
	sequence    uint64                  // guarded by mu
	epoch       uint64                  // guarded by mu
	units       map[string]*unit        // guarded by mu
	orders      []string                // guarded by mu
	tiers       map[string]backend.Tier // guarded by mu
	attempts    map[string]*attempt     // guarded by mu
	leaving     bool                    // guarded by mu
	role        string                  // guarded by mu
	changed     chan struct{}           // guarded by mu; closed at each change
	tally       Tally                   // guarded by mu
	runs        map[string]int          // guarded by mu; by prompt
	loadHook    func(o backend.Order)   // guarded by mu
	stopLoads   context.CancelFunc      // guarded by mu
	loadCtx     context.Context         // guarded by mu
	waiting     int                     // guarded by mu
	noise       bool                    // guarded by mu; report a load that changes
	slowdown    float64                 // guarded by mu
}

// Tally counts what an engine saw, for checks.
type Tally struct {
	// Loads counts loads started, Overcommits those that passed the memory.
	Loads, Overcommits int
	// StaleOrders counts orders refused for their epoch.
	StaleOrders int
	// Requests counts attempts begun.
	Requests int
	// PeakBytes is the most memory ever in use.
	PeakBytes int64
}

type unit struct {
	backend.UnitReport
	stop context.CancelFunc
}

// NewEngine returns an engine with nothing loaded.
func NewEngine(p EngineParams) *Engine {
	e := &Engine{params: p, batch: make(chan struct{}, p.MaxBatch), changed: make(chan struct{}), runs: map[string]int{}, slowdown: 1}
	e.reset()
	return e
}

// reset needs mu or an engine that nobody else knows.
func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.units = map[string]*unit{}
	e.attempts = map[string]*attempt{}
	e.tiers = map[string]backend.Tier{}
	maps.Copy(e.tiers, e.params.Tiers)
	e.loadCtx, e.stopLoads = context.WithCancel(context.Background())
}

// Restart empties the engine, as when its instance is reclaimed and replaced.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLoads()
	for _, a := range e.attempts {
		a.stop()
	}
	e.epoch = 0
	e.orders = nil
	e.role = ""
	e.reset()
	e.bump()
}

// SetLeaving announces that the engine is going.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.bump()
}

// SetSlowdown multiplies the step time.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLoadNoise makes each report show another queue, as a busy engine's would.
func (e *Engine) SetLoadNoise(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noise = on
}

// OnLoad calls f, outside locks, with each load order before it is looked at.
func (e *Engine) OnLoad(f func(o backend.Order)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadHook = f
}

// Tally returns the counts so far.
func (e *Engine) Tally() Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally
}

// Runs returns how often each prompt was begun.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// Holds reports whether the model occupies memory in any state.
func (e *Engine) Holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.units[model]
	return found
}

// Models lists the models, without adapters, that occupy memory.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for id, u := range e.units {
		if u.Adapter == "" {
			out = append(out, id)
		}
	}
	return out
}

// bump needs mu.
func (e *Engine) bump() {
	e.sequence++
	close(e.changed)
	e.changed = make(chan struct{})
}

// Fence implements backend.Engine.
func (e *Engine) Fence(_ context.Context, epoch uint64) (backend.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkEpoch(epoch); err != nil {
		return backend.Report{}, err
	}
	return e.report(), nil
}

// checkEpoch needs mu.
func (e *Engine) checkEpoch(epoch uint64) error {
	if !e.params.Fencing {
		return nil
	}
	if epoch < e.epoch {
		e.tally.StaleOrders++
		return backend.ErrStaleEpoch
	}
	e.epoch = epoch
	return nil
}

// Load implements backend.Engine. It does not refuse for lack of memory but
// counts the breach: keeping the account is the orderer's work.
func (e *Engine) Load(_ context.Context, o backend.Order) (backend.Ack, error) {
	e.mu.Lock()
	hook := e.loadHook
	e.mu.Unlock()
	if hook != nil {
		hook(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.receive(o); err != nil {
		return backend.Ack{}, err
	}
	ack := backend.Ack{Incarnation: e.incarnation}
	if u, found := e.units[o.Unit.ID()]; found && u.Version == o.Version && u.State != backend.Unloading {
		return ack, nil
	}
	if _, found := e.units[o.Model]; o.Adapter != "" && !found {
		return backend.Ack{}, backend.ErrRefused
	}
	e.start(o)
	return ack, nil
}

// receive needs mu.
func (e *Engine) receive(o backend.Order) error {
	if err := e.checkEpoch(o.Epoch); err != nil {
		return err
	}
	if e.params.Fencing && o.Incarnation != e.incarnation {
		return backend.ErrRefused
	}
	e.orders = append(e.orders, o.ID)
	if len(e.orders) > keptOrders {
		e.orders = e.orders[1:]
	}
	return nil
}

// start needs mu.
func (e *Engine) start(o backend.Order) {
	ctx, stop := context.WithCancel(e.loadCtx)
	u := &unit{stop: stop}
	u.Unit, u.State, u.MemoryBytes = o.Unit, backend.Loading, o.MemoryBytes
	e.units[o.Unit.ID()] = u
	e.tally.Loads++
	used := e.used()
	e.tally.PeakBytes = max(e.tally.PeakBytes, used)
	if used > e.params.MemoryBytes {
		e.tally.Overcommits++
	}
	e.bump()
	go e.load(ctx, u, e.tierOf(o.Unit.ID()))
}

// used needs mu.
func (e *Engine) used() int64 {
	var sum int64
	for _, u := range e.units {
		sum += u.MemoryBytes
	}
	return sum
}

// tierOf needs mu.
func (e *Engine) tierOf(id string) backend.Tier {
	if t, found := e.tiers[id]; found {
		return t
	}
	return backend.TierRemote
}

func (e *Engine) load(ctx context.Context, u *unit, tier backend.Tier) {
	bytes, speed := float64(u.MemoryBytes), e.params.Speeds[tier]
	if tier == backend.TierRemote {
		if e.params.Weights.Fetch(ctx, bytes, speed) != nil {
			return
		}
	} else if !pause.For(ctx, time.Duration(bytes/speed*float64(time.Second))) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || u.State != backend.Loading {
		return
	}
	u.State = backend.Resident
	e.tiers[u.Unit.ID()] = backend.TierMemory
	e.bump()
}

// Unload implements backend.Engine.
func (e *Engine) Unload(_ context.Context, o backend.Order) (backend.Ack, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.receive(o); err != nil {
		return backend.Ack{}, err
	}
	ack := backend.Ack{Incarnation: e.incarnation}
	u, found := e.units[o.Unit.ID()]
	if !found {
		e.bump()
		return ack, nil
	}
	u.stop()
	u.State = backend.Unloading
	e.freeIdle()
	e.bump()
	return ack, nil
}

// SetRole implements backend.Engine.
func (e *Engine) SetRole(_ context.Context, o backend.Order) (backend.Ack, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.receive(o); err != nil {
		return backend.Ack{}, err
	}
	e.role = o.Role
	e.bump()
	return backend.Ack{Incarnation: e.incarnation}, nil
}

// freeIdle removes units that are unloading and serve nothing, with the
// adapters of a removed model. It needs mu.
func (e *Engine) freeIdle() {
	for id, u := range e.units {
		if u.State != backend.Unloading || u.Running > 0 {
			continue
		}
		for other, v := range e.units {
			if id == other || (u.Adapter == "" && v.Model == u.Model) {
				v.stop()
				delete(e.units, other)
			}
		}
	}
}

// Report implements backend.Engine.
func (e *Engine) Report(ctx context.Context, after uint64) (backend.Report, error) {
	timeout := time.NewTimer(reportWait)
	defer timeout.Stop()
	for {
		e.mu.Lock()
		report, changed := e.report(), e.changed
		e.mu.Unlock()
		if report.Sequence > after {
			return report, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return report, nil
		case <-ctx.Done():
			return backend.Report{}, backend.ErrUnknown
		}
	}
}

// report needs mu.
func (e *Engine) report() backend.Report {
	r := backend.Report{
		Incarnation: e.incarnation, Sequence: e.sequence, Epoch: e.epoch,
		MemoryBytes: e.params.MemoryBytes, Leaving: e.leaving, Role: e.role,
		Queue: e.waiting, Running: len(e.batch),
		Orders: slices.Clone(e.orders), Tiers: maps.Clone(e.tiers),
	}
	if e.noise {
		r.Queue = rand.IntN(noiseQueue)
	}
	for _, u := range e.units {
		r.Units = append(r.Units, u.UnitReport)
	}
	return r
}
