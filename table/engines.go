package table

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/backend"
)

// Residency is what changes seldom on an engine, published by its orderer and
// relayed to all instances.
type Residency struct {
	Engine        string
	FailureDomain string
	// Orderer is the name of the instance that orders the engine; empty when
	// it handed over.
	Orderer string
	Epoch   uint64
	// Version grows with each publication in one epoch.
	Version uint64
	Units   []UnitState
	// Held lists the models for which the engine holds a slot.
	Held []string
	// Doubtful lists units that an earlier orderer may still load.
	Doubtful []string
	Leaving  bool
	// Unreachable says that the engine does not answer its orderer; unlike
	// Leaving it may pass.
	Unreachable bool
	Incarnation string
	MemoryBytes int64
	UsedBytes   int64
	// IdleBytes could be freed by unloading what serves nothing.
	IdleBytes int64
	// Cached lists where checkpoints are cached, remote ones left out.
	Cached map[string]backend.Tier
}

// UnitState is one unit on an engine.
type UnitState struct {
	backend.Unit
	State backend.State
}

// Load is what changes often on an engine, relayed within its failure domain.
type Load struct {
	Engine  string
	Epoch   uint64
	Version uint64
	Queue   int
	Running int
}

// EngineView is all that is known of one engine.
type EngineView struct {
	Residency
	Load Load
	// SeenAt is when this instance last heard of a change, by its own clock.
	SeenAt time.Time
}

// Resident reports whether the unit is ready in that version.
func (v EngineView) Resident(u backend.Unit) bool {
	return slices.Contains(v.Units, UnitState{Unit: u, State: backend.Resident})
}

// Usable reports whether new work may go to the engine.
func (v EngineView) Usable() bool { return !v.Leaving && !v.Unreachable }

// Find returns the state of the unit, whatever its version.
func (v EngineView) Find(unitID string) (UnitState, bool) {
	i := slices.IndexFunc(v.Units, func(u UnitState) bool { return u.Unit.ID() == unitID })
	if i < 0 {
		return UnitState{}, false
	}
	return v.Units[i], true
}

type engineEntry struct {
	EngineView
	residencyChange, loadChange uint64
	leftIncarnation             string
}

// Engines is the table of engines.
type Engines struct {
	log *changeLog

	mu      sync.Mutex
	engines map[string]*engineEntry // guarded by mu
}

func newEngines(log *changeLog) *Engines {
	return &Engines{log: log, engines: map[string]*engineEntry{}}
}

// Mark returns the number of the last change to any table and a channel that
// is closed at the next one.
func (t *Engines) Mark() (uint64, <-chan struct{}) { return t.log.Mark() }

// entry needs mu.
func (t *Engines) entry(name string) *engineEntry {
	e, found := t.engines[name]
	if !found {
		e = &engineEntry{}
		t.engines[name] = e
	}
	return e
}

// MergeResidency takes in newer residencies and returns those that are new. An
// incarnation of an engine that was once leaving stays leaving.
func (t *Engines) MergeResidency(list []Residency) []Residency {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Residency
	for _, r := range list {
		e := t.entry(r.Engine)
		if r.Leaving && r.Incarnation == e.Incarnation {
			t.leave(e)
		}
		if cmp.Or(cmp.Compare(r.Epoch, e.Epoch), cmp.Compare(r.Version, e.Residency.Version)) <= 0 {
			continue
		}
		if r.Leaving {
			e.leftIncarnation = r.Incarnation
		}
		r.Leaving = r.Leaving || (r.Incarnation != "" && r.Incarnation == e.leftIncarnation)
		e.Residency = r
		e.SeenAt = time.Now()
		e.residencyChange = t.log.next()
		out = append(out, r)
	}
	return out
}

// MergeLoad takes in newer load figures.
func (t *Engines) MergeLoad(list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range list {
		e := t.entry(l.Engine)
		if cmp.Or(cmp.Compare(l.Epoch, e.Load.Epoch), cmp.Compare(l.Version, e.Load.Version)) <= 0 {
			continue
		}
		e.Load = l
		e.SeenAt = time.Now()
		e.loadChange = t.log.next()
	}
}

// MarkLeaving notes the engine's own word that it is leaving, ahead of its
// orderer's next publication.
func (t *Engines) MarkLeaving(engine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(engine)
	return t.leave(e)
}

// leave needs mu.
func (t *Engines) leave(e *engineEntry) bool {
	if e.Leaving {
		return false
	}
	e.Leaving = true
	e.leftIncarnation = e.Incarnation
	e.residencyChange = t.log.next()
	return true
}

// Get returns what is known of an engine.
func (t *Engines) Get(name string) (EngineView, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.engines[name]
	if !found {
		return EngineView{}, false
	}
	return e.EngineView, true
}

// All returns all engines by name.
func (t *Engines) All() []EngineView {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]EngineView, 0, len(t.engines))
	for _, e := range t.engines {
		if e.Engine != "" {
			out = append(out, e.EngineView)
		}
	}
	slices.SortFunc(out, func(a, b EngineView) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

// Delta is what changed in the tables after a number.
type Delta struct {
	Sequence    uint64
	Members     []Member
	Residencies []Residency
	Loads       []Load
}

// Since returns what changed after number n; load figures only if loads is set.
func (t *Tables) Since(n uint64, loads bool) Delta {
	sequence, _ := t.Engines.Mark()
	d := Delta{Sequence: sequence, Members: t.Members.since(n)}
	t.Engines.mu.Lock()
	defer t.Engines.mu.Unlock()
	for _, e := range t.Engines.engines {
		if e.residencyChange > n {
			d.Residencies = append(d.Residencies, e.Residency)
		}
		if loads && e.loadChange > n {
			d.Loads = append(d.Loads, e.Load)
		}
	}
	return d
}

// Empty reports whether nothing changed.
func (d Delta) Empty() bool {
	return len(d.Members) == 0 && len(d.Residencies) == 0 && len(d.Loads) == 0
}
