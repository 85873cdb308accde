// Package limits decides whether an engine may load a further replica of a model for which operators have limited the
// number of replicas. It does no I/O.
//
// The lease holder counts the copies on all engines and plans none beyond the limit. What it cannot see is a load order
// that was sent and not answered, by itself or by a previous holder: the order may be carried out much later, as long as
// the engine is still at the sequence that the order names. Therefore each load of a limited model is written to the
// model's record in the store before it is ordered. It counts as a replica until the engine's sequence has passed the
// recorded one and the engine does not hold the model.
package limits

import (
	"maps"
	"slices"
)

// Limit is the operators' limit for one model.
type Limit struct {
	// Replicas is the maximum number of replicas over all failure domains.
	Replicas int
	// Domains are the failure domains in which the model may be loaded; empty allows all.
	Domains []string
}

// AllowedIn reports whether the model may be loaded in a failure domain.
func (l Limit) AllowedIn(domain string) bool {
	return len(l.Domains) == 0 || slices.Contains(l.Domains, domain)
}

// Source provides the operators' limits to the lease holder. Its methods are called with the holder's lock held and must
// not block.
type Source interface {
	// Known reports whether the limits have been read. Until then no model is loaded, and none is unloaded because of a
	// limit.
	Known() bool
	// Limit returns the limit of a model; ok is false if it has none.
	Limit(model string) (limit Limit, ok bool)
}

// None is a Source without limits.
type None struct{}

// Known implements Source.
func (None) Known() bool { return true }

// Limit implements Source.
func (None) Limit(string) (none Limit, ok bool) { return none, false }

// Record is the object of one model in the store. Engines has the engines that may hold the model, or may get it by an
// order in progress, by ID, with the sequence on which the last load there was decided.
type Record struct {
	Model   string           `json:"model"`
	Engines map[string]int64 `json:"engines"`
}

// Engine is the known state of an engine with respect to a model.
type Engine struct {
	// Exists: the engine is announced, or was announced and may return.
	Exists bool
	// UpToDate: Holds and Sequence are known and include every order that was answered.
	UpToDate bool
	// Holds: the model occupies memory on the engine, in any state.
	Holds    bool
	Sequence int64
}

// settled reports whether the engine neither holds the model nor can get it by a load that was decided on
// loadSequence.
func (e Engine) settled(loadSequence int64) bool {
	return !e.Exists || e.UpToDate && !e.Holds && e.Sequence > loadSequence
}

// Grant decides whether an engine may be ordered to load the model on a sequence. holders are the engines known to hold
// the model, in any state. next is the record to write before the order, without settled engines; it must be written
// only if ok is true.
func (r Record) Grant(l Limit, engine string, sequence int64, holders []string, known func(id string) Engine) (next Record, ok bool) {
	next = Record{Model: r.Model, Engines: map[string]int64{}}
	counted := map[string]bool{}
	for id, loadSequence := range r.Engines {
		if !known(id).settled(loadSequence) {
			next.Engines[id] = loadSequence
			counted[id] = true
		}
	}
	for _, id := range holders {
		counted[id] = true
	}
	if !counted[engine] && len(counted) >= l.Replicas {
		return next, false
	}
	next.Engines[engine] = sequence
	return next, true
}

// Equal reports whether two records are equal, so that a write can be skipped.
func (r Record) Equal(other Record) bool {
	return r.Model == other.Model && maps.Equal(r.Engines, other.Engines)
}
