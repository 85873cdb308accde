package orderer

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
)

// reconcile does the periodic work on the engine: it unloads units that are idle, no longer
// declared or above the cap, settles claims, and releases or adopts slots.
func (o *Orderer) reconcile(ctx context.Context) {
	if o.lock(ctx) != nil {
		return
	}
	defer o.unlock()
	if !o.Active() {
		return
	}
	if len(o.unresolved) > 0 && o.advanceEpoch(ctx) != nil {
		return
	}
	if o.ensureFenced(ctx) != nil {
		return
	}
	o.settleClaims(ctx)
	if o.reconcileRole(ctx) != nil {
		return
	}
	for _, e := range o.unitsToUnload(ctx) {
		if o.unload(ctx, e) != nil {
			return
		}
	}
	o.reconcileSlots(ctx)
}

// reconcileRole orders the declared role if the engine reports a different one. The report may
// predate the last role order, which is then not repeated: without that check, two reconciliations
// between two reports ordered a role twice in 4 of 1,440 runs of a fleet test. o.mutex must be
// held.
func (o *Orderer) reconcileRole(ctx context.Context) error {
	declared, found := o.env.Tables.Config.Index().Engines[o.declared.Name]
	if !found || declared.Role == "" || declared.Role == o.report.Role || o.roleOrderPending(declared.Role) {
		return nil
	}
	order := backend.Order{ID: uuid.NewString(), Role: declared.Role}
	o.recordEvent(event.KindRoleOrder, "", "role="+declared.Role+" epoch="+formatEpoch(o.record.Epoch))
	if err := o.send(ctx, order, o.engine.SetRole); err != nil {
		return err
	}
	o.lastRoleOrder = acceptedRoleOrder{order: order.ID, role: declared.Role, incarnation: o.incarnation, at: time.Now()}
	return nil
}

// acceptedRoleOrder is a role order that the engine has accepted.
type acceptedRoleOrder struct {
	order       string
	role        string
	incarnation string
	at          time.Time
}

// roleOrderTimeout is how long a role order that no report lists counts as pending. An engine
// answers a request for a report within reportTimeout and lists only its latest orders.
const roleOrderTimeout = 3 * reportTimeout

// roleOrderPending reports whether the current incarnation of the engine has accepted an order to
// change to the role and no report lists that order yet.
func (o *Orderer) roleOrderPending(role string) bool {
	last := o.lastRoleOrder
	accepted := last.role == role && last.incarnation == o.incarnation && time.Since(last.at) < roleOrderTimeout
	return accepted && !slices.Contains(o.report.Orders, last.order)
}

// settledRecord returns the record after closing the claims whose orders cannot arrive any more and
// removing the closed claims of units that the engine does not hold. It reports whether the record
// changed.
func (o *Orderer) settledRecord() (placement.EngineRecord, bool) {
	next, closed := o.record.CloseClaims(func(c placement.Claim) bool {
		concluded := c.Epoch == o.record.Epoch && !o.isUnresolved(c.Order)
		return concluded || slices.Contains(o.report.Orders, c.Order)
	})
	next, pruned := next.PruneClaims(func(unitID string) bool {
		e, found := o.ledger.Entries[unitID]
		return found && e.Phase != placement.Doubtful
	})
	return next, closed || pruned
}

// settleClaims writes the settled record if it differs from the current one. o.mutex must be held.
func (o *Orderer) settleClaims(ctx context.Context) {
	if o.declared.Fencing || len(o.record.Claims) == 0 {
		return
	}
	next, changed := o.settledRecord()
	if changed && o.writeRecord(ctx, next) == nil {
		o.recountDoubtful()
	}
}

// recountDoubtful rebuilds the doubtful entries of the ledger after claims were settled. o.mutex
// must be held.
func (o *Orderer) recountDoubtful() {
	for id, e := range o.ledger.Entries {
		if e.Phase == placement.Doubtful {
			delete(o.ledger.Entries, id)
		}
	}
	o.countDoubtful()
	o.publish()
	o.changed.wake()
}

// unitsToUnload returns the resident units that are obsolete, above the cap or idle for longer than
// their keep-alive.
func (o *Orderer) unitsToUnload(ctx context.Context) []backend.Unit {
	var out []backend.Unit
	for _, e := range o.ledger.Entries {
		if e.Phase == placement.Resident && (o.obsolete(e) || o.exceedsCap(ctx, e.Unit) || o.idleExpired(e)) {
			out = append(out, e.Unit)
		}
	}
	return out
}

// obsolete reports whether the model may not be loaded here any more, or its declared version
// differs from the loaded one.
func (o *Orderer) obsolete(e placement.Entry) bool {
	if !o.permitted(e.Unit.Model) {
		return true
	}
	m, found := o.env.Tables.Config.Index().Models[e.Unit.Model]
	return found && e.Unit.Adapter == "" && m.Version != e.Unit.Version
}

// permitted reports whether the declaration allows the model on this engine. Everything is allowed
// until the first declaration is known.
func (o *Orderer) permitted(model string) bool {
	index := o.env.Tables.Config.Index()
	if index.Generation == 0 {
		return true
	}
	m, found := index.Models[model]
	return found && m.MaxReplicas > 0 && m.AllowedIn(o.declared.FailureDomain)
}

func (o *Orderer) idleExpired(e placement.Entry) bool {
	return o.env.Policy.IdleExpired(e, o.engineContext(), o.env.Tables.Config.Index().Declaration.TailWeight, time.Now())
}

// exceedsCap reports whether the unit is a model whose slot is above a lowered cap.
func (o *Orderer) exceedsCap(ctx context.Context, u backend.Unit) bool {
	return u.Adapter == "" && o.slotExceedsCap(ctx, u.Model)
}

// countSlotHolders returns the number of engines known to hold a slot of the model.
func (o *Orderer) countSlotHolders(model string) int {
	n := 0
	for _, e := range o.env.Tables.Engines.All() {
		for _, held := range e.Held {
			if held == model {
				n++
			}
		}
	}
	return n
}
