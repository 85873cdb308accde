package replicas

import (
	"time"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/serving"
)

// Complete has the fleet take engines that it does not know for gone, or not. Until
// then no model is loaded whose replicas are limited: such an engine may hold one. An
// instance that starts while the entry of an engine is missing would load a second replica
// of a model that may have one (3 of 3 runs of its test).
func (f *Fleet) Complete(complete bool) { f.complete = complete }

// permitted reports whether operators allow one more copy of a model, on this
// engine. Copies count in every state, also on engines that fail or leave.
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

// Holders returns the engines but one with a copy of the model in any state, planned
// ones included.
func (f *Fleet) Holders(model, except string) []string {
	var ids []string
	for _, e := range f.holding(model) {
		if e.Server.ID != except {
			ids = append(ids, e.Server.ID)
		}
	}
	return ids
}

// Known returns what the account says of a model on an engine.
func (f *Fleet) Known(id, model string) limits.Engine {
	e := f.engines[id]
	if e == nil {
		return limits.Engine{Exists: !f.complete}
	}
	return limits.Engine{Exists: true, Sure: !e.Unsure, Holds: e.Copies[model] != nil, Sequence: e.Sequence}
}

// Trim plans to unload what operators do not allow any more: copies beyond a
// lowered number, and those in failure domains that are not allowed. One operation
// for each engine that is free is planned.
func (f *Fleet) Trim(now time.Time) []Operation {
	if f.suspended {
		return nil
	}
	var operations []Operation
	for _, e := range f.free(now) {
		for model, c := range e.Copies {
			if c.State == Resident && f.surplus(e, model) {
				operations = append(operations, f.startUnload(e, model, now))
				break
			}
		}
	}
	return operations
}

// surplus reports whether a copy is one that operators do not allow. Of too many
// copies, those on the engines that come last go.
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

// startUnload books an operation that only unloads.
func (f *Fleet) startUnload(e *Engine, model string, now time.Time) Operation {
	e.Copies[model].State = Leaving
	e.Busy, e.Free, e.remote = true, now.Add(f.pace.running), false
	return Operation{Engine: e.Server.ID, Unload: []serving.Unit{{Model: model}}, From: now, Ready: e.Free, generation: e.generation}
}
