package placement

import (
	"slices"

	"github.com/martenport/martenport/backend"
)

// EngineRecord is the platform object of one engine: who orders it, under
// which epoch, and, for an engine that ignores epochs, every order to load
// that may still arrive.
type EngineRecord struct {
	// Orderer is the identity (name and incarnation) of the instance that
	// sends this engine its orders; empty after a handover.
	Orderer string `json:"orderer"`
	Epoch   uint64 `json:"epoch"`
	// Claims count loads on an engine that ignores epochs. Engines that
	// honour them need none: the engine itself keeps late orders out.
	Claims []Claim `json:"claims,omitempty"`
}

// Claim is one order to load, written before it is sent and sent at most once.
type Claim struct {
	backend.Unit
	MemoryBytes int64 `json:"memory_bytes"`
	// Order is the id under which the engine reports it as received.
	Order string `json:"order"`
	// Epoch of the orderer that wrote the claim and alone may send the order.
	Epoch uint64 `json:"epoch"`
	// Closed says that the order has arrived or never will: it cannot arrive
	// from now on.
	Closed bool `json:"closed,omitempty"`
}

// Doubtful reports whether an earlier orderer may still send the claim's
// order. The slot and the memory then stay bound to this engine and unit.
func (r EngineRecord) Doubtful(c Claim) bool {
	return !c.Closed && c.Epoch != r.Epoch
}

// DoubtfulClaims lists the doubtful claims.
func (r EngineRecord) DoubtfulClaims() []Claim {
	var out []Claim
	for _, c := range r.Claims {
		if r.Doubtful(c) {
			out = append(out, c)
		}
	}
	return out
}

// Takeover returns the record under a new orderer. Open claims become doubtful
// by it unless the engine has received them.
func (r EngineRecord) Takeover(orderer string, received []string) EngineRecord {
	r, _ = r.Close(func(c Claim) bool { return slices.Contains(received, c.Order) })
	r.Orderer = orderer
	r.Epoch++
	return r
}

// Handover returns the record without an orderer. The one that writes it sends
// no order any more, so that its claims are closed, but for those whose order
// it sent without an answer.
func (r EngineRecord) Handover(unresolved func(order string) bool) EngineRecord {
	r, _ = r.Close(func(c Claim) bool { return c.Epoch == r.Epoch && !unresolved(c.Order) })
	r.Orderer = ""
	return r
}

// Close closes the claims for which proved holds and reports whether there
// were any.
func (r EngineRecord) Close(proved func(Claim) bool) (EngineRecord, bool) {
	changed := false
	r.Claims = slices.Clone(r.Claims)
	for i := range r.Claims {
		c := &r.Claims[i]
		if !c.Closed && proved(*c) {
			c.Closed = true
			changed = true
		}
	}
	return r, changed
}

// Add returns the record with c.
func (r EngineRecord) Add(c Claim) EngineRecord {
	r.Claims = append(slices.Clone(r.Claims), c)
	return r
}

// Strike removes the closed claims of which the engine holds nothing, and the
// older of two closed claims of one unit. It reports whether there were any.
func (r EngineRecord) Strike(holds func(unitID string) bool) (EngineRecord, bool) {
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
