package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/table"
)

// Candidate is an engine on which a unit could be loaded, with the time that
// this is expected to take.
type Candidate struct {
	Engine  string
	Orderer string
	Wait    time.Duration
}

// The parts of a candidate's expected wait that are not its own load.
const (
	// evictionWait is added when something must be unloaded first.
	evictionWait = 500 * time.Millisecond
	// slotWait is added when the engine does not hold the model's slot yet.
	slotWait = 100 * time.Millisecond
	// farWait is added for an engine of another failure domain.
	farWait = 200 * time.Millisecond
	// queueWait is added for each request waiting or running there.
	queueWait = 20 * time.Millisecond
)

// Need is a unit that should be loaded, and where it is wanted.
type Need struct {
	Unit          backend.Unit
	MemoryBytes   int64
	FailureDomain string
}

// Rank returns the engines that could take the unit, the soonest first.
// Engines without a known orderer, leaving ones, and those on which even
// unloading everything idle would not make room are left out.
func (p Policy) Rank(need Need, index *declaration.Index, engines []table.EngineView) []Candidate {
	model, found := index.Models[need.Unit.Model]
	if !found {
		return nil
	}
	var out []Candidate
	for _, e := range engines {
		declared, known := index.Engines[e.Engine]
		if !known || declared.Lost || !e.Usable() || e.Orderer == "" || !model.AllowedIn(e.FailureDomain) {
			continue
		}
		if wait, possible := p.wait(need, e); possible {
			out = append(out, Candidate{Engine: e.Engine, Orderer: e.Orderer, Wait: wait})
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.Engine, b.Engine))
	})
	return out
}

func (p Policy) wait(need Need, e table.EngineView) (time.Duration, bool) {
	if u, found := e.Find(need.Unit.ID()); found {
		return p.waitForSame(need, u, e)
	}
	if need.Unit.Adapter != "" && !slices.ContainsFunc(e.Units, func(u table.UnitState) bool {
		return u.Unit.ID() == need.Unit.Model && u.State == backend.Resident
	}) {
		return 0, false
	}
	free := e.MemoryBytes - e.UsedBytes
	if free+e.IdleBytes < need.MemoryBytes {
		return 0, false
	}
	wait := p.LoadTime(e.Cached[need.Unit.ID()], need.MemoryBytes) * time.Duration(1+loading(e))
	if free < need.MemoryBytes {
		wait += evictionWait
	}
	if need.Unit.Adapter == "" && !slices.Contains(e.Held, need.Unit.Model) {
		wait += slotWait
	}
	if e.FailureDomain != need.FailureDomain {
		wait += farWait
	}
	return wait + queueWait*time.Duration(e.Load.Queue+e.Load.Running), true
}

// waitForSame is the wait where the unit is in some state on the engine
// already: joining a load is soonest, another version must be unloaded first.
func (p Policy) waitForSame(need Need, u table.UnitState, e table.EngineView) (time.Duration, bool) {
	whole := p.LoadTime(e.Cached[need.Unit.ID()], need.MemoryBytes)
	switch {
	case u.Unit != need.Unit || u.State == backend.Unloading:
		return whole + evictionWait, true
	case u.State == backend.Resident:
		return 0, true
	default:
		return whole / 2, true
	}
}

func loading(e table.EngineView) int {
	n := 0
	for _, u := range e.Units {
		if u.State == backend.Loading {
			n++
		}
	}
	return n
}
