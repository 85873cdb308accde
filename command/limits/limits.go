// Package limits decides whether an engine may get a further replica of a model
// for which operators have set how many there may be. It is pure.
//
// The holder of the lease counts the copies on all engines, and plans none beyond
// the number. What it cannot see is a load that was ordered and not answered, by
// itself or by a holder before it: the order may be carried out much later, as
// long as the engine's sequence is the one that it was decided on. So each load of
// a limited model is written into the model's record in the store before it is
// ordered, and counts until the engine's sequence has passed that number and the
// engine does not hold the model.
package limits

import (
	"maps"
	"slices"
)

// Limit is what operators decided for one model.
type Limit struct {
	// Replicas is how many there may be over all failure domains.
	Replicas int
	// Domains are the failure domains in which it may be loaded; empty allows all.
	Domains []string
}

// AllowedIn reports whether the model may be loaded in a failure domain.
func (l Limit) AllowedIn(domain string) bool {
	return len(l.Domains) == 0 || slices.Contains(l.Domains, domain)
}

// Source is where the holder learns what operators decided. Its methods are called
// under the holder's lock and must not block.
type Source interface {
	// Known reports whether the operators' decisions have been read. Until then
	// nothing is loaded, and nothing unloaded for them.
	Known() bool
	// Limit returns what was decided for a model; ok is false if nothing was.
	Limit(model string) (limit Limit, ok bool)
}

// None is a Source without any limit.
type None struct{}

// Known implements Source.
func (None) Known() bool { return true }

// Limit implements Source.
func (None) Limit(string) (none Limit, ok bool) { return none, false }

// Record is the store's object of one model: the engines that may hold it or get
// it by an order under way, by id, with the sequence on which the last load there
// was decided.
type Record struct {
	Model   string           `json:"model"`
	Engines map[string]int64 `json:"engines"`
}

// Engine is what is known of an engine.
type Engine struct {
	// Exists: the engine is announced, or was and may be back.
	Exists bool
	// Sure: what follows is known, and no order that was answered is missing.
	Sure bool
	// Holds: the model occupies memory there, in any state.
	Holds    bool
	Sequence int64
}

// settled reports whether the engine neither holds the model nor can get it by a
// load that was decided on a sequence.
func (e Engine) settled(decided int64) bool {
	return !e.Exists || e.Sure && !e.Holds && e.Sequence > decided
}

// Grant decides whether an engine may be ordered to load the model on a sequence.
// holders are the engines known to hold it, in any state. next is the record to
// write before the order, without what has been settled; it is to be written only
// if ok.
func (r Record) Grant(l Limit, engine string, sequence int64, holders []string, known func(id string) Engine) (next Record, ok bool) {
	next = Record{Model: r.Model, Engines: map[string]int64{}}
	counted := map[string]bool{}
	for id, decided := range r.Engines {
		if !known(id).settled(decided) {
			next.Engines[id] = decided
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

// Equal reports whether two records say the same, so that nothing need be written.
func (r Record) Equal(o Record) bool { return r.Model == o.Model && maps.Equal(r.Engines, o.Engines) }
