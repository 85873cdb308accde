package wake

import (
	"slices"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// mayRecover reports whether the cause of err is likely to go away soon without intervention,
// because an engine's orderer is being replaced or models in use may become idle. Causes that only
// operators or the end of a network partition can remove are not retried.
func (w *Waker) mayRecover(u backend.Unit, err error) bool {
	f := verdict.FromError(err)
	switch {
	case f.Reason == verdict.ReasonNotOrderer || f.Reason == verdict.ReasonBackend:
		return true
	case len(f.Engines) > 0:
		return slices.ContainsFunc(f.Engines, w.domainReachable)
	case u.Adapter != "" && !w.modelResident(u):
		return false // the base model has to be loaded first
	case f.Reason == verdict.ReasonNoReplica:
		return w.awaitsOrderer(u) || w.mayBecomeIdle(u)
	default:
		return false
	}
}

func (w *Waker) modelResident(u backend.Unit) bool {
	return slices.ContainsFunc(w.env.Tables.Engines.All(), func(e table.EngineView) bool {
		state, found := e.Find(u.Model)
		return found && state.State == backend.Resident
	})
}

// domainReachable reports whether instances are alive in the engine's failure domain, so that the
// engine's slots can be used or released.
func (w *Waker) domainReachable(engine string) bool {
	declared, found := w.env.Tables.Config.Index().Engines[engine]
	return found && w.env.Tables.Members.HasAlive(declared.FailureDomain)
}

// awaitsOrderer reports whether an engine on which the model is allowed has no live orderer
// although instances are alive in its failure domain.
func (w *Waker) awaitsOrderer(u backend.Unit) bool {
	index := w.env.Tables.Config.Index()
	model, found := index.Models[u.Model]
	if !found {
		return false
	}
	for _, declared := range index.Engines {
		if declared.Lost || !model.AllowedIn(declared.FailureDomain) || !w.env.Tables.Members.HasAlive(declared.FailureDomain) {
			continue
		}
		view, known := w.env.Tables.Engines.Get(declared.Name)
		if !known || !w.isAlive(view.Orderer) {
			return true
		}
	}
	return false
}

func (w *Waker) isAlive(name string) bool {
	m, found := w.env.Tables.Members.Get(name)
	return found && m.State == table.Alive
}

// mayBecomeIdle reports whether a reachable engine on which the model is allowed, and which holds or
// could obtain a slot of it, would have room for the unit if it held nothing else.
func (w *Waker) mayBecomeIdle(u backend.Unit) bool {
	index := w.env.Tables.Config.Index()
	memory, err := memoryOf(index, u)
	if err != nil {
		return false
	}
	for _, e := range w.env.Tables.Engines.All() {
		if e.Usable() && w.isAlive(e.Orderer) && e.MemoryBytes >= memory && index.Models[u.Model].AllowedIn(e.FailureDomain) && w.slotObtainable(e, u.Model) {
			return true
		}
	}
	return false
}

// slotObtainable reports whether the engine holds a slot of the model, or a reachable engine could
// release one.
func (w *Waker) slotObtainable(e table.EngineView, model string) bool {
	if slices.Contains(e.Held, model) {
		return true
	}
	for _, holder := range w.slotHolders(model) {
		if w.isAlive(holder.Orderer) {
			return true
		}
	}
	return false
}
