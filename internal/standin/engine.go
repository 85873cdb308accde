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

// reportWait is how long a report waits for a change of the loaded units. It bounds the delay of the load figures
// in a report, since a change of these alone does not end the wait.
const reportWait = 500 * time.Millisecond

// maxNoiseQueue bounds the queue lengths that are reported under SetLoadNoise.
const maxNoiseQueue = 8

// maxOrderIDs is the number of order IDs that an engine remembers.
const maxOrderIDs = 64

// EngineParams are the parameters of a stand-in engine.
type EngineParams struct {
	Name        string
	MemoryBytes int64
	// Fencing makes the engine refuse orders with an old epoch.
	Fencing bool
	// StepTime is the time per token. At most MaxBatch requests run at once.
	StepTime time.Duration
	MaxBatch int
	Speeds   Speeds
	Weights  *WeightStore
	// Tiers are the initial cache tiers of checkpoints.
	Tiers map[string]backend.Tier
	// Credential, if not empty, is required with each order.
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
	changed     chan struct{}           // closed at each change; guarded by mu
	tally       Tally                   // guarded by mu
	runs        map[string]int          // by prompt; guarded by mu
	loadHook    func(o backend.Order)   // guarded by mu
	stopLoads   context.CancelFunc      // guarded by mu
	loadCtx     context.Context         // guarded by mu
	queued      int                     // guarded by mu
	loadNoise   bool                    // report random queue lengths; guarded by mu
	slowdown    float64                 // guarded by mu
}

// Tally holds counts of an engine for checks.
type Tally struct {
	// Loads counts the loads started, Overcommits those that exceeded the engine's memory.
	Loads, Overcommits int
	// StaleOrders counts the orders and fence calls refused because of an old epoch.
	StaleOrders int
	// Requests counts the attempts begun.
	Requests int
	// PeakBytes is the maximum memory in use so far.
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

// reset clears the state of the engine and gives it a new incarnation. e.mu must be held, except in NewEngine.
func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.units = map[string]*unit{}
	e.attempts = map[string]*attempt{}
	e.tiers = map[string]backend.Tier{}
	maps.Copy(e.tiers, e.params.Tiers)
	e.loadCtx, e.stopLoads = context.WithCancel(context.Background())
}

// Restart empties the engine, as when its machine is reclaimed and replaced.
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
	e.notifyChange()
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.notifyChange()
}

// SetSlowdown sets the factor that the step time is multiplied by.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLoadNoise sets whether each report has a random queue length, as from a busy engine.
func (e *Engine) SetLoadNoise(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadNoise = on
}

// OnLoad sets a function that is called with each load order before it is processed, without locks held.
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

// Runs returns the number of runs begun, by prompt.
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

// Models returns the models that occupy memory, without adapters.
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

// notifyChange increments the sequence and wakes waiting reports. e.mu must be held.
func (e *Engine) notifyChange() {
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

// checkEpoch refuses an old epoch if fencing is on, and records a new one. e.mu must be held.
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

// Load implements backend.Engine. It accepts loads that exceed the engine's memory and counts them as overcommits,
// since accounting for memory is the task of the orderer.
func (e *Engine) Load(_ context.Context, o backend.Order) (backend.Ack, error) {
	e.mu.Lock()
	hook := e.loadHook
	e.mu.Unlock()
	if hook != nil {
		hook(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptOrder(o); err != nil {
		return backend.Ack{}, err
	}
	ack := backend.Ack{Incarnation: e.incarnation}
	if u, found := e.units[o.Unit.ID()]; found && u.Version == o.Version && u.State != backend.Unloading {
		return ack, nil
	}
	if _, found := e.units[o.Model]; o.Adapter != "" && !found {
		return backend.Ack{}, backend.ErrRefused
	}
	e.startLoad(o)
	return ack, nil
}

// acceptOrder checks the epoch and the incarnation of an order and records its ID. e.mu must be held.
func (e *Engine) acceptOrder(o backend.Order) error {
	if err := e.checkEpoch(o.Epoch); err != nil {
		return err
	}
	if e.params.Fencing && o.Incarnation != e.incarnation {
		return backend.ErrRefused
	}
	e.orders = append(e.orders, o.ID)
	if len(e.orders) > maxOrderIDs {
		e.orders = e.orders[1:]
	}
	return nil
}

// startLoad begins a load and counts it. e.mu must be held.
func (e *Engine) startLoad(o backend.Order) {
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
	e.notifyChange()
	go e.load(ctx, u, e.tierOf(o.Unit.ID()))
}

// used returns the bytes of memory in use. e.mu must be held.
func (e *Engine) used() int64 {
	var sum int64
	for _, u := range e.units {
		sum += u.MemoryBytes
	}
	return sum
}

// tierOf returns the tier that a unit is cached in. e.mu must be held.
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
	e.notifyChange()
}

// Unload implements backend.Engine.
func (e *Engine) Unload(_ context.Context, o backend.Order) (backend.Ack, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptOrder(o); err != nil {
		return backend.Ack{}, err
	}
	ack := backend.Ack{Incarnation: e.incarnation}
	u, found := e.units[o.Unit.ID()]
	if !found {
		e.notifyChange()
		return ack, nil
	}
	u.stop()
	u.State = backend.Unloading
	e.removeIdle()
	e.notifyChange()
	return ack, nil
}

// SetRole implements backend.Engine.
func (e *Engine) SetRole(_ context.Context, o backend.Order) (backend.Ack, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptOrder(o); err != nil {
		return backend.Ack{}, err
	}
	e.role = o.Role
	e.notifyChange()
	return backend.Ack{Incarnation: e.incarnation}, nil
}

// removeIdle removes unloading units that run no requests, and with a model its adapters. e.mu must be held.
func (e *Engine) removeIdle() {
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

// report returns the current report. e.mu must be held.
func (e *Engine) report() backend.Report {
	r := backend.Report{
		Incarnation: e.incarnation, Sequence: e.sequence, Epoch: e.epoch,
		MemoryBytes: e.params.MemoryBytes, Leaving: e.leaving, Role: e.role,
		Queue: e.queued, Running: len(e.batch),
		Orders: slices.Clone(e.orders), Tiers: maps.Clone(e.tiers),
	}
	if e.loadNoise {
		r.Queue = rand.IntN(maxNoiseQueue)
	}
	for _, u := range e.units {
		r.Units = append(r.Units, u.UnitReport)
	}
	return r
}
