package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/table"
)

// Candidate is an engine on which a unit could be loaded, with the expected time until it is
// resident.
type Candidate struct {
	Engine  string
	Orderer string
	Wait    time.Duration
}

// Components of a candidate's expected wait other than the load itself.
const (
	// evictionWait is added when another unit must be unloaded first.
	evictionWait = 500 * time.Millisecond
	// slotWait is added when the engine does not yet hold a slot of the model.
	slotWait = 100 * time.Millisecond
	// remoteDomainWait is added for an engine in another failure domain.
	remoteDomainWait = 200 * time.Millisecond
	// queueWait is added for each request that is queued or running on the engine.
	queueWait = 20 * time.Millisecond
)

// LoadRequest is a unit to load and the failure domain of the instance that needs it.
type LoadRequest struct {
	Unit          backend.Unit
	MemoryBytes   int64
	FailureDomain string
}

// Rank returns the engines on which the unit could be loaded, in ascending order of expected wait.
// It omits engines that have no known orderer, are not usable, or could not make room even by
// unloading every idle unit.
func (p Policy) Rank(req LoadRequest, index *declaration.Index, engines []table.EngineView) []Candidate {
	model, found := index.Models[req.Unit.Model]
	if !found {
		return nil
	}
	var out []Candidate
	for _, e := range engines {
		declared, known := index.Engines[e.Engine]
		if !known || declared.Lost || !e.Usable() || e.Orderer == "" || !model.AllowedIn(e.FailureDomain) {
			continue
		}
		if wait, possible := p.expectedWait(req, e); possible {
			out = append(out, Candidate{Engine: e.Engine, Orderer: e.Orderer, Wait: wait})
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(a.Engine, b.Engine))
	})
	return out
}

func (p Policy) expectedWait(req LoadRequest, e table.EngineView) (time.Duration, bool) {
	if u, found := e.Find(req.Unit.ID()); found {
		return p.expectedWaitIfPresent(req, u, e)
	}
	if req.Unit.Adapter != "" && !slices.ContainsFunc(e.Units, func(u table.UnitState) bool {
		return u.Unit.ID() == req.Unit.Model && u.State == backend.Resident
	}) {
		return 0, false
	}
	free := e.MemoryBytes - e.UsedBytes
	if free+e.IdleBytes < req.MemoryBytes {
		return 0, false
	}
	wait := p.LoadTime(e.Cached[req.Unit.ID()], req.MemoryBytes) * time.Duration(1+countLoading(e))
	if free < req.MemoryBytes {
		wait += evictionWait
	}
	if req.Unit.Adapter == "" && !slices.Contains(e.Held, req.Unit.Model) {
		wait += slotWait
	}
	if e.FailureDomain != req.FailureDomain {
		wait += remoteDomainWait
	}
	return wait + queueWait*time.Duration(e.Load.Queue+e.Load.Running), true
}

// expectedWaitIfPresent returns the expected wait on an engine that already has the unit in some
// state. Joining a load in progress is assumed to take half a load; a different version has to be
// unloaded first.
func (p Policy) expectedWaitIfPresent(req LoadRequest, u table.UnitState, e table.EngineView) (time.Duration, bool) {
	loadTime := p.LoadTime(e.Cached[req.Unit.ID()], req.MemoryBytes)
	switch {
	case u.Unit != req.Unit || u.State == backend.Unloading:
		return loadTime + evictionWait, true
	case u.State == backend.Resident:
		return 0, true
	default:
		return loadTime / 2, true
	}
}

func countLoading(e table.EngineView) int {
	n := 0
	for _, u := range e.Units {
		if u.State == backend.Loading {
			n++
		}
	}
	return n
}
