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

// tidy does what is due on the engine without anybody asking: unloads what is
// idle, removed or above the cap, settles claims, and frees or adopts slots.
func (o *Orderer) tidy(ctx context.Context) {
	if o.take(ctx) != nil {
		return
	}
	defer o.give()
	if !o.Active() {
		return
	}
	if len(o.unresolved) > 0 && o.refence(ctx) != nil {
		return
	}
	if o.ensureFenced(ctx) != nil {
		return
	}
	o.settleClaims(ctx)
	if o.tidyRole(ctx) != nil {
		return
	}
	for _, e := range o.dueForUnload(ctx) {
		if o.unload(ctx, e) != nil {
			return
		}
	}
	o.tidySlots(ctx)
}

// tidyRole orders the declared role if the engine reports another one. The
// report may be of before the last order, which is not repeated then: two
// rounds of tidying between two reports ordered a role twice in 4 of 1,440
// runs of a test of the fleet.
func (o *Orderer) tidyRole(ctx context.Context) error {
	declared, found := o.env.Tables.Config.Index().Engines[o.declared.Name]
	if !found || declared.Role == "" || declared.Role == o.report.Role || o.roleUnderWay(declared.Role) {
		return nil
	}
	order := backend.Order{ID: uuid.NewString(), Role: declared.Role}
	o.event(event.KindRoleOrder, "", "role="+declared.Role+" epoch="+formatEpoch(o.record.Epoch))
	if err := o.send(ctx, order, o.engine.SetRole); err != nil {
		return err
	}
	o.roleOrder = sentRole{order: order.ID, role: declared.Role, incarnation: o.incarnation, at: time.Now()}
	return nil
}

// sentRole is an order to change to a role that an engine has taken.
type sentRole struct {
	order       string
	role        string
	incarnation string
	at          time.Time
}

// roleSettles is how long an order that no report names counts as under way.
// An engine answers for a report within reportTimeout, and names its last orders
// only.
const roleSettles = 3 * reportTimeout

// roleUnderWay reports whether this incarnation of the engine has taken an
// order to change to the role and no report tells of that order yet.
func (o *Orderer) roleUnderWay(role string) bool {
	last := o.roleOrder
	taken := last.role == role && last.incarnation == o.incarnation && time.Since(last.at) < roleSettles
	return taken && !slices.Contains(o.report.Orders, last.order)
}

// settled returns the record with all claims closed that are proved to be, and
// those struck out of which the engine holds nothing.
func (o *Orderer) settled() (placement.EngineRecord, bool) {
	next, closed := o.record.CloseClaims(func(c placement.Claim) bool {
		sent := c.Epoch == o.record.Epoch && !o.isUnresolved(c.Order)
		return sent || slices.Contains(o.report.Orders, c.Order)
	})
	next, struck := next.PruneClaims(func(unitID string) bool {
		e, found := o.ledger.Entries[unitID]
		return found && e.Phase != placement.Doubtful
	})
	return next, closed || struck
}

// settleClaims writes the settled record.
func (o *Orderer) settleClaims(ctx context.Context) {
	if o.declared.Fencing || len(o.record.Claims) == 0 {
		return
	}
	next, changed := o.settled()
	if changed && o.writeRecord(ctx, next) == nil {
		o.dropSettled()
	}
}

// dropSettled counts what is doubtful anew, after some of the doubt has gone.
func (o *Orderer) dropSettled() {
	for id, e := range o.ledger.Entries {
		if e.Phase == placement.Doubtful {
			delete(o.ledger.Entries, id)
		}
	}
	o.countDoubtful()
	o.publish()
	o.changed.wake()
}

// dueForUnload lists the resident units that have no right or reason to stay.
func (o *Orderer) dueForUnload(ctx context.Context) []backend.Unit {
	var out []backend.Unit
	for _, e := range o.ledger.Entries {
		if e.Phase == placement.Resident && (o.unwanted(e) || o.excess(ctx, e.Unit) || o.idle(e)) {
			out = append(out, e.Unit)
		}
	}
	return out
}

// unwanted reports whether operators removed the unit, or changed its version
// and nothing uses the old one.
func (o *Orderer) unwanted(e placement.Entry) bool {
	if !o.permitted(e.Unit.Model) {
		return true
	}
	m, found := o.env.Tables.Config.Index().Models[e.Unit.Model]
	return found && e.Unit.Adapter == "" && m.Version != e.Unit.Version
}

// permitted reports whether operators allow the model here at all. Before the
// first declaration is known nothing is forbidden.
func (o *Orderer) permitted(model string) bool {
	index := o.env.Tables.Config.Index()
	if index.Generation == 0 {
		return true
	}
	m, found := index.Models[model]
	return found && m.MaxReplicas > 0 && m.AllowedIn(o.declared.FailureDomain)
}

func (o *Orderer) idle(e placement.Entry) bool {
	return o.env.Policy.IdleExpired(e, o.costs(), o.env.Tables.Config.Index().Declaration.TailWeight, time.Now())
}

// excess reports whether the model's cap was lowered below this unit's slot.
func (o *Orderer) excess(ctx context.Context, u backend.Unit) bool {
	return u.Adapter == "" && o.slotExcess(ctx, u.Model)
}

// holders counts the engines known to hold a slot of the model.
func (o *Orderer) holders(model string) int {
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
