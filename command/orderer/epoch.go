package orderer

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
)

// recordKey is the platform object of an engine.
func recordKey(engine string) string { return store.PrefixEngines + engine }

func formatEpoch(epoch uint64) string { return strconv.FormatUint(epoch, 10) }

// Takeover makes this instance the engine's orderer under a new epoch. It is
// safe whatever the recorded orderer is doing; that nobody takes over from one
// that is well is left to the manager.
func (o *Orderer) Takeover(ctx context.Context) error {
	if err := o.take(ctx); err != nil {
		return err
	}
	defer o.give()
	o.held = map[string]bool{}
	o.unresolved = map[string]backend.Order{}
	o.ledger = placement.NewLedger(int64(o.declared.Memory))
	record, version, err := store.Read[placement.EngineRecord](ctx, o.env.Store, recordKey(o.declared.Name))
	if err != nil {
		return err
	}
	o.record, o.version = record, version
	if err := o.install(ctx); err != nil {
		return err
	}
	o.active.Store(true)
	o.event(event.KindTakeover, "", "epoch="+formatEpoch(o.record.Epoch))
	o.adoptSlots(ctx)
	o.publish()
	return nil
}

// install writes the record under a new epoch, fences the engine and rebuilds
// the ledger from the engine's report and the claims.
func (o *Orderer) install(ctx context.Context) error {
	received, err := o.receivedBefore(ctx)
	if err != nil {
		return err
	}
	next := o.record.Takeover(o.env.Identity, received)
	if err := o.writeRecord(ctx, next); err != nil {
		return err
	}
	o.held = map[string]bool{}
	o.fenced = false
	report, err := o.fence(ctx)
	if err != nil {
		return err
	}
	o.meet(report.Incarnation)
	o.unresolved = map[string]backend.Order{}
	o.fenced = true
	o.report = report
	o.ledger = rebuild(o.ledger, report)
	o.countDoubtful()
	o.changed.wake()
	return nil
}

// meet notes the engine's incarnation. A new one holds nothing of what the
// earlier ones did, and has forgotten which epochs it had seen.
func (o *Orderer) meet(incarnation string) {
	if incarnation == o.incarnation || o.past[incarnation] {
		return
	}
	if o.incarnation != "" {
		o.past[o.incarnation] = true
		o.event(event.KindReclaimed, "", "incarnation="+incarnation)
	}
	o.incarnation = incarnation
	o.fenced = false
	o.ledger.DropOldIncarnations(incarnation)
	o.countDoubtful()
}

// ensureFenced has this incarnation of the engine refuse older epochs before
// it is ordered anything: a new incarnation would still take the orders of an
// orderer that was superseded long ago.
func (o *Orderer) ensureFenced(ctx context.Context) error {
	if o.fenced || !o.declared.Fencing {
		return nil
	}
	if err := o.install(ctx); err != nil {
		return platformFailure(err)
	}
	o.adoptSlots(ctx)
	return nil
}

// receivedBefore asks an engine that ignores fencing which orders it has
// received, so that their claims are not taken as doubtful.
func (o *Orderer) receivedBefore(ctx context.Context) ([]string, error) {
	if o.declared.Fencing || len(o.record.Claims) == 0 {
		return nil, nil // no claims to prove
	}
	report, err := o.engine.Report(ctx, 0)
	return report.Orders, err
}

func (o *Orderer) fence(ctx context.Context) (backend.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !o.declared.Fencing {
		return o.engine.Report(ctx, 0)
	}
	report, err := o.engine.Fence(ctx, o.record.Epoch)
	if errors.Is(err, backend.ErrStaleEpoch) {
		o.supersede(ctx)
		return report, ErrNotOrderer
	}
	return report, err
}

// rebuild makes the ledger anew after fencing; only the history of use of the
// units that are still there is kept from the old one.
func rebuild(old *placement.Ledger, r backend.Report) *placement.Ledger {
	next := placement.NewLedger(old.Capacity)
	for _, u := range r.Units {
		if e, found := old.Entries[u.ID()]; found && e.Unit == u.Unit {
			e.Phase, e.Order, e.Incarnation = placement.Loading, "", r.Incarnation
			next.Entries[u.ID()] = e
		}
	}
	next.ApplyReport(r, time.Now())
	return next
}

// countDoubtful puts what may still be loaded into the ledger, whatever the
// engine reports: doubtful claims, and own orders without an answer. A unit
// that was unloaded while such an order is under way may come back.
func (o *Orderer) countDoubtful() {
	for _, c := range o.record.DoubtfulClaims() {
		o.ledger.AddDoubtful(c.Unit, c.MemoryBytes, c.Order)
	}
	for id, order := range o.unresolved {
		o.ledger.AddDoubtful(order.Unit, order.MemoryBytes, id)
	}
}

// isUnresolved reports whether an order was sent and not answered.
func (o *Orderer) isUnresolved(id string) bool {
	_, found := o.unresolved[id]
	return found
}

// writeRecord writes the engine's record. A conflict means that another
// instance has taken over.
func (o *Orderer) writeRecord(ctx context.Context, next placement.EngineRecord) error {
	version, err := store.WriteJSON(ctx, o.env.Store, recordKey(o.declared.Name), next, o.version)
	if errors.Is(err, store.ErrConflict) {
		o.supersede(ctx)
		return ErrNotOrderer
	}
	if err != nil {
		return err
	}
	o.record, o.version = next, version
	return nil
}

// claim writes the claim of an order to an engine that ignores fencing. What
// the engine does not hold any more is struck out in the same write, so that
// the claims together never pass its memory.
func (o *Orderer) claim(ctx context.Context, order backend.Order) error {
	if o.declared.Fencing {
		return nil
	}
	record, _ := o.settled()
	c := placement.Claim{Unit: order.Unit, MemoryBytes: order.MemoryBytes, Order: order.ID, Epoch: o.record.Epoch}
	return platformFailure(o.writeRecord(ctx, record.AddClaim(c)))
}

// supersede stops ordering because another instance has taken over, and tells
// it which orders it need not wait for.
func (o *Orderer) supersede(ctx context.Context) {
	if !o.active.Swap(false) {
		return
	}
	o.event(event.KindSuperseded, "", "epoch="+formatEpoch(o.record.Epoch))
	o.changed.wake()
	if !o.declared.Fencing {
		o.withdraw(ctx)
	}
}

// withdraw closes the claims that this orderer wrote under its epoch: being
// superseded, it will not send what it has not sent. It holds its turn: none is being sent.
func (o *Orderer) withdraw(ctx context.Context) {
	mine := o.record.Epoch
	record, version, err := store.Read[placement.EngineRecord](ctx, o.env.Store, recordKey(o.declared.Name))
	if err != nil {
		return
	}
	closed, changed := record.CloseClaims(func(c placement.Claim) bool {
		return c.Epoch == mine && !o.isUnresolved(c.Order)
	})
	if changed {
		_, _ = store.WriteJSON(ctx, o.env.Store, recordKey(o.declared.Name), closed, version)
	}
}

// Handover stops ordering in good order, so that the next orderer need doubt
// nothing.
func (o *Orderer) Handover(ctx context.Context) error {
	if err := o.take(ctx); err != nil {
		return err
	}
	defer o.give()
	if !o.active.Swap(false) {
		return nil
	}
	o.changed.wake()
	if err := o.writeRecord(ctx, o.record.Handover(o.isUnresolved)); err != nil {
		return err
	}
	o.published.Orderer = ""
	o.published.Version++
	o.env.Tables.Engines.MergeResidency([]table.Residency{o.published})
	o.event(event.KindHandover, "", "epoch="+formatEpoch(o.record.Epoch))
	return nil
}
