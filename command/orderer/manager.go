package orderer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
)

// Params are the settings of a Manager.
type Params struct {
	// ReconcileInterval is the interval at which the manager looks for engines without a live
	// orderer and reconciles its own.
	ReconcileInterval time.Duration
	// StartupDelay is the time after the start during which no engine is taken over, so that the
	// instances can discover each other first.
	StartupDelay time.Duration
	// Workers is the number of engines that are processed concurrently.
	Workers int
}

// Manager runs the orderers of one instance. It takes over engines of its own failure domain that
// have no live orderer, and polls and reconciles the engines that it orders.
//
// Rendezvous hashing over the instances believed alive selects the one that takes over. If their
// views differ, two instances may try; the epoch in the engine's record lets only one of them
// succeed.
type Manager struct {
	env    *Environment
	params Params
	dial   func(declaration.Engine) backend.Engine
	work   chan string

	mu                sync.Mutex
	orderers          map[string]*Orderer // guarded by mu; by engine
	queued            map[string]bool     // guarded by mu; engines queued for or being processed by a worker
	freedAtGeneration map[string]int64    // guarded by mu; generation at which a lost engine's slots were freed
	draining          bool                // guarded by mu
	pollCtx           context.Context     // guarded by mu; polling stops when it ends
	polls             sync.WaitGroup
}

// NewManager returns a manager that connects to engines with dial.
func NewManager(env *Environment, params Params, dial func(declaration.Engine) backend.Engine) *Manager {
	return &Manager{
		env: env, params: params, dial: dial, work: make(chan string, workQueueSize),
		orderers: map[string]*Orderer{}, queued: map[string]bool{},
		freedAtGeneration: map[string]int64{}, pollCtx: context.Background(),
	}
}

// workQueueSize bounds the number of engines waiting for a worker. Engines that do not fit are
// queued at a later tick.
const workQueueSize = 256

// Run runs the manager until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.pollCtx = ctx
	m.mu.Unlock()
	var workers sync.WaitGroup
	for range m.params.Workers {
		workers.Go(func() { m.worker(ctx) })
	}
	if pause.For(ctx, m.params.StartupDelay) {
		m.enqueueLoop(ctx)
	}
	workers.Wait()
	m.polls.Wait()
}

func (m *Manager) enqueueLoop(ctx context.Context) {
	ticker := time.NewTicker(m.params.ReconcileInterval)
	defer ticker.Stop()
	for {
		m.enqueueAll()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// enqueueAll queues every engine that this instance has to process.
func (m *Manager) enqueueAll() {
	self := m.env.Tables.Members.Self()
	index := m.env.Tables.Config.Index()
	for _, e := range index.Engines {
		if e.Lost && m.shouldFreeLost(e.Name, index.Generation, self) {
			m.enqueue(e.Name)
			continue
		}
		if !e.Lost && e.FailureDomain == self.FailureDomain && (m.isOrderer(e.Name) || m.shouldTakeOver(e.Name, self)) {
			m.enqueue(e.Name)
		}
	}
	for _, name := range m.Ordered() {
		m.enqueue(name)
	}
}

func (m *Manager) enqueue(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queued[engine] || m.draining {
		return
	}
	select {
	case m.work <- engine:
		m.queued[engine] = true
	default:
	}
}

func (m *Manager) worker(ctx context.Context) {
	for {
		select {
		case engine := <-m.work:
			m.process(ctx, engine)
			m.mu.Lock()
			delete(m.queued, engine)
			m.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// process takes over, reconciles or hands over the engine, or frees the slots of a lost one.
func (m *Manager) process(ctx context.Context, engine string) {
	declared, found := m.env.Tables.Config.Index().Engines[engine]
	o := m.Orderer(engine)
	switch {
	case o != nil && (!found || declared.Lost || declared.Address != o.declared.Address):
		_ = o.Handover(ctx)
		m.removeOrderer(engine)
	case o != nil:
		o.reconcile(ctx)
	case found && !declared.Lost:
		m.takeOver(ctx, *declared)
	case found && declared.Lost:
		m.freeLostSlots(ctx, engine)
	}
}

// shouldFreeLost reports whether this instance has been selected to free a lost engine's slots and
// has not done so for this generation. Any live instance can be selected, since the whole failure
// domain of the engine may be gone.
func (m *Manager) shouldFreeLost(engine string, generation int64, self table.Member) bool {
	m.mu.Lock()
	done := m.freedAtGeneration[engine] == generation
	m.mu.Unlock()
	return !done && rendezvous.Choose(engine, table.Names(m.env.Tables.Members.Alive())) == self.Name
}

func (m *Manager) takeOver(ctx context.Context, declared declaration.Engine) {
	engine := m.dial(declared)
	if !responds(ctx, engine) || m.recordedOrdererAlive(ctx, declared.Name) {
		return
	}
	o := newOrderer(m.env, declared, engine)
	if o.Takeover(ctx) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return
	}
	m.orderers[declared.Name] = o
	m.polls.Go(func() { m.pollLoop(m.pollCtx, o) })
}

// responds reports whether the engine returns a report. An engine that does not is not taken over:
// that would cost store writes at every tick without any benefit.
func responds(ctx context.Context, e backend.Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := e.Report(ctx, 0)
	return err == nil
}

// minPollInterval is the pause between two polls of an engine. After a failed poll, the pause is
// Params.ReconcileInterval.
const minPollInterval = 50 * time.Millisecond

func (m *Manager) pollLoop(ctx context.Context, o *Orderer) {
	after := o.reportSequence(ctx)
	for o.Active() && ctx.Err() == nil {
		next, err := o.poll(ctx, after)
		after = next
		gap := minPollInterval
		if err != nil {
			gap = m.params.ReconcileInterval
		}
		if !pause.For(ctx, gap) {
			return
		}
	}
}

func (o *Orderer) reportSequence(ctx context.Context) uint64 {
	if o.lock(ctx) != nil {
		return 0
	}
	defer o.unlock()
	return o.report.Sequence
}

func (m *Manager) removeOrderer(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.orderers, engine)
}

// shouldTakeOver reports whether the engine appears to have no live orderer and this instance is
// the one selected to take over.
func (m *Manager) shouldTakeOver(engine string, self table.Member) bool {
	members := m.env.Tables.Members
	if view, found := m.env.Tables.Engines.Get(engine); found && view.Orderer != "" && view.Orderer != self.Name {
		if current, known := members.Get(view.Orderer); known && current.State != table.Dead {
			return false
		}
	}
	return rendezvous.Choose(engine, table.Names(members.AliveIn(self.FailureDomain))) == self.Name
}

// recordedOrdererAlive reports whether the orderer in the engine's record is the current
// incarnation of another instance that is not dead. It prevents instances that have not discovered
// each other yet from taking engines over from each other repeatedly. It returns true if the record
// cannot be read.
func (m *Manager) recordedOrdererAlive(ctx context.Context, engine string) bool {
	record, _, err := store.Read[placement.EngineRecord](ctx, m.env.Store, recordKey(engine))
	if err != nil {
		return true // a take-over would fail as well, since it writes the record
	}
	name, incarnation, _ := strings.Cut(record.Orderer, identitySeparator)
	member, known := m.env.Tables.Members.Get(name)
	return known && name != m.env.Instance && member.State != table.Dead && formatIncarnation(member) == incarnation
}

// Orderer returns this instance's active orderer of the engine, or nil.
func (m *Manager) Orderer(engine string) *Orderer {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.orderers[engine]
	if found && !o.Active() {
		delete(m.orderers, engine)
		return nil
	}
	return o
}

func (m *Manager) isOrderer(engine string) bool { return m.Orderer(engine) != nil }

// Ordered returns the names of the engines that this instance orders.
func (m *Manager) Ordered() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.orderers))
}

// Drain hands over all engines and prevents further take-overs.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	orderers := slices.Collect(maps.Values(m.orderers))
	m.mu.Unlock()
	var handovers sync.WaitGroup
	for _, o := range orderers {
		handovers.Go(func() { _ = o.Handover(ctx) })
	}
	handovers.Wait()
}
