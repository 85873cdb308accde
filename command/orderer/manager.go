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

// Params set the manager's rhythm.
type Params struct {
	// Tick is how often engines without a live orderer are looked for and the
	// own ones are tidied.
	Tick time.Duration
	// Settle is how long after the start no engine is taken over, so that the
	// instances have heard of each other.
	Settle time.Duration
	// Workers is how many engines are worked on at once.
	Workers int
}

// Manager runs the orderers of one instance: it takes over engines of its own
// failure domain that have no live orderer, polls and tidies those it orders.
//
// Rendezvous hashing over the instances thought alive says who should take
// over. If views differ two may try; the record's epoch lets one through.
type Manager struct {
	env    *Environment
	params Params
	dial   func(declaration.Engine) backend.Engine
	work   chan string

	mu       sync.Mutex
	orderers map[string]*Orderer // guarded by mu; by engine
	queued   map[string]bool     // guarded by mu; engines given to a worker
	freed    map[string]int64    // guarded by mu; generation at which a lost engine's slots were freed
	draining bool                // guarded by mu
	ctx      context.Context     // guarded by mu; ends polling
	polls    sync.WaitGroup
}

// NewManager returns a manager that reaches engines by dial.
func NewManager(env *Environment, params Params, dial func(declaration.Engine) backend.Engine) *Manager {
	return &Manager{
		env: env, params: params, dial: dial, work: make(chan string, workBacklog),
		orderers: map[string]*Orderer{}, queued: map[string]bool{}, freed: map[string]int64{}, ctx: context.Background(),
	}
}

// workBacklog bounds the engines waiting for a worker; the rest wait a tick.
const workBacklog = 256

// Run works until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	var workers sync.WaitGroup
	for range m.params.Workers {
		workers.Go(func() { m.worker(ctx) })
	}
	if pause.For(ctx, m.params.Settle) {
		m.loop(ctx)
	}
	workers.Wait()
	m.polls.Wait()
}

func (m *Manager) loop(ctx context.Context) {
	ticker := time.NewTicker(m.params.Tick)
	defer ticker.Stop()
	for {
		m.enqueueDue()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// enqueueDue hands every engine that needs attention to the workers.
func (m *Manager) enqueueDue() {
	self := m.env.Tables.Members.Self()
	index := m.env.Tables.Config.Index()
	for _, e := range index.Engines {
		if e.Lost && m.shouldFree(e.Name, index.Generation, self) {
			m.enqueue(e.Name)
			continue
		}
		if !e.Lost && e.FailureDomain == self.FailureDomain && (m.orders(e.Name) || m.shouldTakeOver(e.Name, self)) {
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
			m.attend(ctx, engine)
			m.mu.Lock()
			delete(m.queued, engine)
			m.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// attend takes an engine over, tidies it, or lets it go.
func (m *Manager) attend(ctx context.Context, engine string) {
	declared, found := m.env.Tables.Config.Index().Engines[engine]
	o := m.Orderer(engine)
	switch {
	case o != nil && (!found || declared.Lost || declared.Address != o.declared.Address):
		_ = o.Handover(ctx)
		m.drop(engine)
	case o != nil:
		o.tidy(ctx)
	case found && !declared.Lost:
		m.takeOver(ctx, *declared)
	case found && declared.Lost:
		m.freeLost(ctx, engine)
	}
}

// shouldFree reports whether this instance is the one to free a lost engine's
// slots and has not done so for this generation. The engine's own failure
// domain may be gone, so any instance can be chosen.
func (m *Manager) shouldFree(engine string, generation int64, self table.Member) bool {
	m.mu.Lock()
	done := m.freed[engine] == generation
	m.mu.Unlock()
	return !done && rendezvous.Choose(engine, table.Names(m.env.Tables.Members.Alive())) == self.Name
}

func (m *Manager) takeOver(ctx context.Context, declared declaration.Engine) {
	engine := m.dial(declared)
	if !answers(ctx, engine) || m.recordedAlive(ctx, declared.Name) {
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
	m.polls.Go(func() { m.pollLoop(m.ctx, o) })
}

// answers asks an engine for a report. One that does not answer is not taken
// over: it would cost the platform writes at each tick and be of no use.
func answers(ctx context.Context, e backend.Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := e.Report(ctx, 0)
	return err == nil
}

// pollGap is the shortest pause between two reports of an engine, and the
// pause after one that failed.
const pollGap = 50 * time.Millisecond

func (m *Manager) pollLoop(ctx context.Context, o *Orderer) {
	after := o.sequence(ctx)
	for o.Active() && ctx.Err() == nil {
		next, err := o.poll(ctx, after)
		after = next
		gap := pollGap
		if err != nil {
			gap = m.params.Tick
		}
		if !pause.For(ctx, gap) {
			return
		}
	}
}

func (o *Orderer) sequence(ctx context.Context) uint64 {
	if o.take(ctx) != nil {
		return 0
	}
	defer o.give()
	return o.report.Sequence
}

func (m *Manager) drop(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.orderers, engine)
}

// shouldTakeOver reports whether the engine seems to lack a live orderer and
// this instance is the one to step in.
func (m *Manager) shouldTakeOver(engine string, self table.Member) bool {
	members := m.env.Tables.Members
	if view, found := m.env.Tables.Engines.Get(engine); found && view.Orderer != "" && view.Orderer != self.Name {
		if holder, known := members.Get(view.Orderer); known && holder.State != table.Dead {
			return false
		}
	}
	return rendezvous.Choose(engine, table.Names(members.AliveIn(self.FailureDomain))) == self.Name
}

// recordedAlive reads the engine's record and reports whether its orderer is
// another start of an instance that is alive. It keeps instances that have
// not heard of each other yet from taking engines back and forth.
func (m *Manager) recordedAlive(ctx context.Context, engine string) bool {
	record, _, err := store.Read[placement.EngineRecord](ctx, m.env.Store, recordKey(engine))
	if err != nil {
		return true // without the platform there is no take-over anyway
	}
	name, incarnation, _ := strings.Cut(record.Orderer, identitySeparator)
	member, known := m.env.Tables.Members.Get(name)
	return known && name != m.env.Instance && member.State != table.Dead && formatIncarnation(member) == incarnation
}

// Orderer returns the active orderer of an engine here, or nil.
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

func (m *Manager) orders(engine string) bool { return m.Orderer(engine) != nil }

// Ordered lists the engines that this instance orders.
func (m *Manager) Ordered() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.orderers))
}

// Drain hands all engines over and takes no more.
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
