package replicas

import (
	"time"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/serving"
)

// SetComplete sets whether engines that are not in the Fleet are known not to exist. Until then no model with a replica
// limit is loaded, since an unknown engine may hold a replica. Otherwise an instance that starts while the entry of an
// engine is missing would load a second replica of a model that is limited to one (3 of 3 runs of its test).
func (f *Fleet) SetComplete(complete bool) { f.complete = complete }

// permitted reports whether the operators' limits allow one more copy of a model, on this engine. Copies count in every
// state, also those on failing or draining engines.
func (f *Fleet) permitted(e *Engine, model string) bool {
	limit, limited := f.limits.Limit(model)
	switch {
	case !f.limits.Known():
		return false
	case !limited:
		return true
	}
	return f.complete && limit.AllowedIn(e.Server.FailureDomain) && len(f.holding(model)) < limit.Replicas
}

// Holders returns the IDs of the engines, except one, with a copy of the model in any state, including planned copies.
func (f *Fleet) Holders(model, except string) []string {
	var ids []string
	for _, e := range f.holding(model) {
		if e.Server.ID != except {
			ids = append(ids, e.Server.ID)
		}
	}
	return ids
}

// LimitState returns what is known of a model on an engine.
func (f *Fleet) LimitState(id, model string) limits.Engine {
	e := f.engines[id]
	if e == nil {
		return limits.Engine{Exists: !f.complete}
	}
	return limits.Engine{Exists: true, UpToDate: !e.MustBeRead, Holds: e.Copies[model] != nil, Sequence: e.Sequence}
}

// Trim plans the unloads that the operators' limits require: copies beyond a lowered number, and copies in failure
// domains that are not allowed. It plans at most one operation per free engine.
func (f *Fleet) Trim(now time.Time) []Operation {
	if f.suspended {
		return nil
	}
	var operations []Operation
	for _, e := range f.freeEngines(now) {
		for model, c := range e.Copies {
			if c.State == Resident && f.surplus(e, model) {
				operations = append(operations, f.startUnload(e, model, now))
				break
			}
		}
	}
	return operations
}

// surplus reports whether the operators' limits do not allow a copy. If there are too many copies, those on the engines
// with the highest IDs are surplus.
func (f *Fleet) surplus(e *Engine, model string) bool {
	limit, limited := f.limits.Limit(model)
	if !limited || !f.limits.Known() {
		return false
	}
	if !limit.AllowedIn(e.Server.FailureDomain) {
		return true
	}
	for i, holder := range f.holding(model) {
		if holder == e {
			return i >= limit.Replicas
		}
	}
	return false
}

// startUnload records and returns an operation that only unloads.
func (f *Fleet) startUnload(e *Engine, model string, now time.Time) Operation {
	e.Copies[model].State = Unloading
	e.Busy, e.FreeAt, e.remote = true, now.Add(f.unloadTimes.inUse), false
	return Operation{Engine: e.Server.ID, Unload: []serving.Unit{{Model: model}}, From: now, Ready: e.FreeAt, generation: e.generation}
}
