package table

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/backend"
)

// Residency is the part of an engine's state that changes rarely. It is published by the engine's
// orderer and relayed to all instances.
type Residency struct {
	Engine        string
	FailureDomain string
	// Orderer is the name of the instance that orders the engine; it is empty after a handover.
	Orderer string
	Epoch   uint64
	// Version increases with each publication within an epoch.
	Version uint64
	Units   []UnitState
	// Held lists the models of which the engine holds a slot.
	Held []string
	// Doubtful lists the units for which an order of an earlier orderer may still arrive.
	Doubtful []string
	Leaving  bool
	// Unreachable means that the engine does not answer its orderer. Unlike Leaving, it can be
	// temporary.
	Unreachable bool
	Incarnation string
	MemoryBytes int64
	UsedBytes   int64
	// IdleBytes is the memory that unloading idle units would free.
	IdleBytes int64
	// Cached maps unit IDs to the tier that caches the checkpoint; checkpoints that are only in the
	// weight store are omitted.
	Cached map[string]backend.Tier
}

// UnitState is the state of one unit on an engine.
type UnitState struct {
	backend.Unit
	State backend.State
}

// Load is the part of an engine's state that changes often. It is relayed within the engine's
// failure domain only.
type Load struct {
	Engine  string
	Epoch   uint64
	Version uint64
	Queue   int
	Running int
}

// EngineView is the state of one engine as known to this instance.
type EngineView struct {
	Residency
	Load Load
	// UpdatedAt is when this instance last received a change, by its own clock.
	UpdatedAt time.Time
}

// Resident reports whether the unit is resident in the given version.
func (v EngineView) Resident(u backend.Unit) bool {
	return slices.Contains(v.Units, UnitState{Unit: u, State: backend.Resident})
}

// Usable reports whether new work may be sent to the engine.
func (v EngineView) Usable() bool { return !v.Leaving && !v.Unreachable }

// Find returns the state of the unit in any version.
func (v EngineView) Find(unitID string) (UnitState, bool) {
	i := slices.IndexFunc(v.Units, func(u UnitState) bool { return u.Unit.ID() == unitID })
	if i < 0 {
		return UnitState{}, false
	}
	return v.Units[i], true
}

type engineEntry struct {
	EngineView
	residencySequence, loadSequence uint64
	leavingIncarnation              string
}

// Engines is the table of engines. It is safe for concurrent use.
type Engines struct {
	log *changeLog

	mu      sync.Mutex
	engines map[string]*engineEntry // guarded by mu
}

func newEngines(log *changeLog) *Engines {
	return &Engines{log: log, engines: map[string]*engineEntry{}}
}

// Changes returns the sequence number of the last change to any table and a channel that is closed
// at the next change.
func (t *Engines) Changes() (uint64, <-chan struct{}) { return t.log.Changes() }

// entryLocked returns the entry of the engine, which it adds if there is none. t.mu must be held.
func (t *Engines) entryLocked(name string) *engineEntry {
	e, found := t.engines[name]
	if !found {
		e = &engineEntry{}
		t.engines[name] = e
	}
	return e
}

// MergeResidency merges the residencies that are newer than the known ones and returns them. An
// engine incarnation that was once reported as leaving remains leaving.
func (t *Engines) MergeResidency(list []Residency) []Residency {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Residency
	for _, r := range list {
		e := t.entryLocked(r.Engine)
		if r.Leaving && r.Incarnation == e.Incarnation {
			t.markLeavingLocked(e)
		}
		if cmp.Or(cmp.Compare(r.Epoch, e.Epoch), cmp.Compare(r.Version, e.Residency.Version)) <= 0 {
			continue
		}
		if r.Leaving {
			e.leavingIncarnation = r.Incarnation
		}
		r.Leaving = r.Leaving || (r.Incarnation != "" && r.Incarnation == e.leavingIncarnation)
		e.Residency = r
		e.UpdatedAt = time.Now()
		e.residencySequence = t.log.advance()
		out = append(out, r)
	}
	return out
}

// MergeLoad merges the loads that are newer than the known ones.
func (t *Engines) MergeLoad(list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range list {
		e := t.entryLocked(l.Engine)
		if cmp.Or(cmp.Compare(l.Epoch, e.Load.Epoch), cmp.Compare(l.Version, e.Load.Version)) <= 0 {
			continue
		}
		e.Load = l
		e.UpdatedAt = time.Now()
		e.loadSequence = t.log.advance()
	}
}

// MarkLeaving records that the engine itself reported that it is leaving, before its orderer's next
// publication. It reports whether this was new.
func (t *Engines) MarkLeaving(engine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryLocked(engine)
	return t.markLeavingLocked(e)
}

// markLeavingLocked marks the engine's current incarnation as leaving and reports whether this was
// new. t.mu must be held.
func (t *Engines) markLeavingLocked(e *engineEntry) bool {
	if e.Leaving {
		return false
	}
	e.Leaving = true
	e.leavingIncarnation = e.Incarnation
	e.residencySequence = t.log.advance()
	return true
}

// Get returns the state of an engine and whether it is known.
func (t *Engines) Get(name string) (EngineView, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.engines[name]
	if !found {
		return EngineView{}, false
	}
	return e.EngineView, true
}

// All returns all engines, sorted by name.
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

// Delta contains the changes to the tables after a sequence number.
type Delta struct {
	Sequence    uint64
	Members     []Member
	Residencies []Residency
	Loads       []Load
}

// DeltaSince returns the changes after sequence number n. It includes loads only if loads is true.
func (t *Tables) DeltaSince(n uint64, loads bool) Delta {
	sequence, _ := t.Engines.Changes()
	d := Delta{Sequence: sequence, Members: t.Members.changedSince(n)}
	t.Engines.mu.Lock()
	defer t.Engines.mu.Unlock()
	for _, e := range t.Engines.engines {
		if e.residencySequence > n {
			d.Residencies = append(d.Residencies, e.Residency)
		}
		if loads && e.loadSequence > n {
			d.Loads = append(d.Loads, e.Load)
		}
	}
	return d
}

// Empty reports whether the delta contains no changes.
func (d Delta) Empty() bool {
	return len(d.Members) == 0 && len(d.Residencies) == 0 && len(d.Loads) == 0
}
