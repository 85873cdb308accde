package placement

import (
	"slices"

	"github.com/martenport/martenport/backend"
)

// EngineRecord is the stored record of one engine: its orderer, the orderer's epoch and, for an engine
// that does not support fencing, every load order that may still arrive. In a fleet whose instances
// order loads through the backend.Engine interface, each engine has one orderer, an instance that takes
// the engine over under a new epoch (see package orderer), independent of the lease holder of the entry
// instances. The epoch is the fencing token of the orderer's orders.
type EngineRecord struct {
	// Orderer is the identity (name and incarnation) of the instance that sends orders to this
	// engine. It is empty after a handover.
	Orderer string `json:"orderer"`
	Epoch   uint64 `json:"epoch"`
	// Claims lists the load orders of an engine that does not check epochs. An engine that does
	// needs none, since it rejects late orders itself.
	Claims []Claim `json:"claims,omitempty"`
}

// Claim is one load order. It is written before the order is sent, and the order is sent at most
// once.
type Claim struct {
	backend.Unit
	MemoryBytes int64 `json:"memory_bytes"`
	// Order is the ID under which the engine reports the order as received.
	Order string `json:"order"`
	// Epoch is the epoch of the orderer that wrote the claim. Only that orderer may send the order.
	Epoch uint64 `json:"epoch"`
	// Closed means that the order has already arrived or will never be sent, so that it cannot
	// arrive from now on.
	Closed bool `json:"closed,omitempty"`
}

// Doubtful reports whether an earlier orderer may still send the claim's order. Until that is ruled
// out, the model's Slot and the memory stay reserved for this unit on this engine.
func (r EngineRecord) Doubtful(c Claim) bool {
	return !c.Closed && c.Epoch != r.Epoch
}

// DoubtfulClaims returns the claims for which Doubtful holds.
func (r EngineRecord) DoubtfulClaims() []Claim {
	var out []Claim
	for _, c := range r.Claims {
		if r.Doubtful(c) {
			out = append(out, c)
		}
	}
	return out
}

// Takeover returns the record for a new orderer under the next epoch. received holds the IDs of the
// orders that the engine reports as received. It closes the claims of these; the claims that
// remain open become doubtful.
func (r EngineRecord) Takeover(orderer string, received []string) EngineRecord {
	r, _ = r.CloseClaims(func(c Claim) bool { return slices.Contains(received, c.Order) })
	r.Orderer = orderer
	r.Epoch++
	return r
}

// Handover returns the record without an orderer. The instance that writes it sends no further
// orders, so it closes its own claims, except those whose orders were sent but not answered.
func (r EngineRecord) Handover(unresolved func(order string) bool) EngineRecord {
	r, _ = r.CloseClaims(func(c Claim) bool { return c.Epoch == r.Epoch && !unresolved(c.Order) })
	r.Orderer = ""
	return r
}

// CloseClaims closes the open claims for which canClose returns true and reports whether there were
// any.
func (r EngineRecord) CloseClaims(canClose func(Claim) bool) (EngineRecord, bool) {
	changed := false
	r.Claims = slices.Clone(r.Claims)
	for i := range r.Claims {
		c := &r.Claims[i]
		if !c.Closed && canClose(*c) {
			c.Closed = true
			changed = true
		}
	}
	return r, changed
}

// AddClaim returns the record with c appended.
func (r EngineRecord) AddClaim(c Claim) EngineRecord {
	r.Claims = append(slices.Clone(r.Claims), c)
	return r
}

// PruneClaims removes closed claims of units that the engine does not hold and, where a unit has
// several closed claims, all but the newest. A closed claim reserves nothing; the newest of a unit stays
// in the record until the engine no longer holds the unit. It reports whether it removed any.
func (r EngineRecord) PruneClaims(holds func(unitID string) bool) (EngineRecord, bool) {
	before := len(r.Claims)
	kept := map[string]bool{}
	claims := slices.Clone(r.Claims)
	slices.Reverse(claims)
	claims = slices.DeleteFunc(claims, func(c Claim) bool {
		id := c.Unit.ID()
		drop := c.Closed && (!holds(id) || kept[id])
		kept[id] = kept[id] || c.Closed
		return drop
	})
	slices.Reverse(claims)
	r.Claims = claims
	return r, len(claims) != before
}
