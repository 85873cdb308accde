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
	// Doubtful means that an earlier orderer may still send it. The slot and
	// the memory stay bound to this engine and unit until that is excluded.
	Doubtful bool `json:"doubtful,omitempty"`
}

// Takeover returns the record under a new orderer. Claims of an orderer that
// did not hand over become doubtful unless the engine has received them.
func (r EngineRecord) Takeover(orderer string, received []string) EngineRecord {
	died := r.Orderer != ""
	out := EngineRecord{Orderer: orderer, Epoch: r.Epoch + 1}
	for _, c := range r.Claims {
		if slices.Contains(received, c.Order) {
			c.Doubtful = false
		} else if died {
			c.Doubtful = true
		}
		out.Claims = append(out.Claims, c)
	}
	return out
}

// Handover returns the record without an orderer. The one that writes it sends
// no order any more; the claims whose order it sent without an answer, listed
// in unresolved, become doubtful.
func (r EngineRecord) Handover(unresolved map[string]bool) EngineRecord {
	r.Orderer = ""
	r.Claims = slices.Clone(r.Claims)
	for i := range r.Claims {
		if unresolved[r.Claims[i].Order] {
			r.Claims[i].Doubtful = true
		}
	}
	return r
}

// Claimed returns the record with c added, in place of a settled claim of the
// same unit.
func (r EngineRecord) Claimed(c Claim) EngineRecord {
	r.Claims = slices.Clone(r.without(c.Unit.ID()).Claims)
	r.Claims = append(r.Claims, c)
	return r
}

// Unclaimed returns the record without the settled claim of the unit. Doubtful
// claims stay.
func (r EngineRecord) Unclaimed(unitID string) EngineRecord {
	return r.without(unitID)
}

func (r EngineRecord) without(unitID string) EngineRecord {
	r.Claims = slices.DeleteFunc(slices.Clone(r.Claims), func(c Claim) bool {
		return c.Unit.ID() == unitID && !c.Doubtful
	})
	return r
}

// Settle clears the doubt of the claims for which proved holds: the engine has
// received the order, or the orderer that wrote it says it will not send it.
func (r EngineRecord) Settle(proved func(Claim) bool) (EngineRecord, bool) {
	changed := false
	r.Claims = slices.Clone(r.Claims)
	for i := range r.Claims {
		c := &r.Claims[i]
		if c.Doubtful && proved(*c) {
			c.Doubtful = false
			changed = true
		}
	}
	return r, changed
}

// DoubtfulUnits lists the units with doubtful claims.
func (r EngineRecord) DoubtfulUnits() []string {
	var out []string
	for _, c := range r.Claims {
		if c.Doubtful {
			out = append(out, c.Unit.ID())
		}
	}
	return out
}
