package wake

import (
	"slices"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// prospect reports whether what stood in the way is likely to pass soon by
// itself: an engine's orderer is being replaced, or models in use fall idle.
// What only operators or a healed partition can change is refused at once.
func (w *Waker) prospect(u backend.Unit, err error) bool {
	f := verdict.Of(err)
	switch {
	case f.Reason == verdict.ReasonNotOrderer || f.Reason == verdict.ReasonBackend:
		return true
	case len(f.Engines) > 0:
		return slices.ContainsFunc(f.Engines, w.withinReach)
	case u.Adapter != "" && !w.modelResident(u):
		return false // the model has to be woken first
	case f.Reason == verdict.ReasonNoReplica:
		return w.betweenOrderers(u) || w.mayFallIdle(u)
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

// withinReach reports whether instances live in the engine's failure domain,
// so that its slots can be used or given up.
func (w *Waker) withinReach(engine string) bool {
	declared, found := w.env.Tables.Config.Index().Engines[engine]
	return found && w.env.Tables.Members.Populated(declared.FailureDomain)
}

// betweenOrderers reports whether an engine that the model may use lacks a
// living orderer in a failure domain where instances live.
func (w *Waker) betweenOrderers(u backend.Unit) bool {
	index := w.env.Tables.Config.Index()
	model, found := index.Models[u.Model]
	if !found {
		return false
	}
	for _, declared := range index.Engines {
		if declared.Lost || !model.AllowedIn(declared.FailureDomain) || !w.env.Tables.Members.Populated(declared.FailureDomain) {
			continue
		}
		view, known := w.env.Tables.Engines.Get(declared.Name)
		if !known || !w.living(view.Orderer) {
			return true
		}
	}
	return false
}

func (w *Waker) living(name string) bool {
	m, found := w.env.Tables.Members.Get(name)
	return found && m.State == table.Alive
}

// mayFallIdle reports whether an engine within reach would have room if it
// held nothing else.
func (w *Waker) mayFallIdle(u backend.Unit) bool {
	index := w.env.Tables.Config.Index()
	memory, err := memoryOf(index, u)
	if err != nil {
		return false
	}
	for _, e := range w.env.Tables.Engines.All() {
		if e.Usable() && w.living(e.Orderer) && e.MemoryBytes >= memory && index.Models[u.Model].AllowedIn(e.FailureDomain) && w.slotPossible(e, u.Model) {
			return true
		}
	}
	return false
}

// slotPossible reports whether the engine holds the model's slot or an engine
// within reach could yield one.
func (w *Waker) slotPossible(e table.EngineView, model string) bool {
	if slices.Contains(e.Held, model) {
		return true
	}
	for _, holder := range w.holders(model) {
		if w.living(holder.Orderer) {
			return true
		}
	}
	return false
}
