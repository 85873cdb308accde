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

// recordKey returns the store key of the engine's record.
func recordKey(engine string) string { return store.PrefixEngines + engine }

func formatEpoch(epoch uint64) string { return strconv.FormatUint(epoch, 10) }

// Takeover makes this instance the engine's orderer under a new epoch. It is safe whatever the
// recorded orderer is doing. Takeover does not check whether that orderer is alive; the manager
// does, so that no engine is taken from a healthy orderer.
func (o *Orderer) Takeover(ctx context.Context) error {
	if err := o.lock(ctx); err != nil {
		return err
	}
	defer o.unlock()
	o.heldSlots = map[string]bool{}
	o.unresolved = map[string]backend.Order{}
	o.ledger = placement.NewLedger(int64(o.declared.Memory))
	record, version, err := store.Read[placement.EngineRecord](ctx, o.env.Store, recordKey(o.declared.Name))
	if err != nil {
		return err
	}
	o.record, o.recordRevision = record, version
	if err := o.installEpoch(ctx); err != nil {
		return err
	}
	o.active.Store(true)
	o.recordEvent(event.KindTakeover, "", "epoch="+formatEpoch(o.record.Epoch))
	o.adoptSlots(ctx)
	o.publish()
	return nil
}

// installEpoch writes the record under a new epoch, fences the engine and rebuilds the ledger from
// the engine's report and the claims. o.mutex must be held.
func (o *Orderer) installEpoch(ctx context.Context) error {
	received, err := o.receivedOrders(ctx)
	if err != nil {
		return err
	}
	next := o.record.Takeover(o.env.Identity, received)
	if err := o.writeRecord(ctx, next); err != nil {
		return err
	}
	o.heldSlots = map[string]bool{}
	o.fenced = false
	report, err := o.fence(ctx)
	if err != nil {
		return err
	}
	o.observeIncarnation(report.Incarnation)
	o.unresolved = map[string]backend.Order{}
	o.fenced = true
	o.report = report
	o.ledger = rebuildLedger(o.ledger, report)
	o.countDoubtful()
	o.changed.wake()
	return nil
}

// observeIncarnation records the engine's incarnation. A new incarnation holds nothing of what the
// earlier ones held and no longer knows which epochs they had seen. o.mutex must be held.
func (o *Orderer) observeIncarnation(incarnation string) {
	if incarnation == o.incarnation || o.pastIncarnations[incarnation] {
		return
	}
	if o.incarnation != "" {
		o.pastIncarnations[o.incarnation] = true
		o.recordEvent(event.KindEngineRestarted, "", "incarnation="+incarnation)
	}
	o.incarnation = incarnation
	o.fenced = false
	o.ledger.DropOldIncarnations(incarnation)
	o.countDoubtful()
}

// ensureFenced makes the current incarnation of the engine reject older epochs before any order is
// sent to it: a new incarnation would still accept the orders of an orderer that was superseded
// long ago. o.mutex must be held.
func (o *Orderer) ensureFenced(ctx context.Context) error {
	if o.fenced || !o.declared.Fencing {
		return nil
	}
	if err := o.installEpoch(ctx); err != nil {
		return platformFailure(err)
	}
	o.adoptSlots(ctx)
	return nil
}

// receivedOrders returns the IDs of the orders that an engine without fencing support has received,
// so that their claims do not become doubtful.
func (o *Orderer) receivedOrders(ctx context.Context) ([]string, error) {
	if o.declared.Fencing || len(o.record.Claims) == 0 {
		return nil, nil // there are no claims to check
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
		o.stopSuperseded(ctx)
		return report, ErrNotOrderer
	}
	return report, err
}

// rebuildLedger returns a new ledger built from the report after fencing. From the old ledger it
// keeps only the usage data of units that are still on the engine.
func rebuildLedger(old *placement.Ledger, r backend.Report) *placement.Ledger {
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

// countDoubtful adds to the ledger what may still be loaded, whatever the engine reports: doubtful
// claims, and load orders of this orderer that were not answered. An unanswered order that arrives
// late may load a unit again after it was unloaded. o.mutex must be held.
func (o *Orderer) countDoubtful() {
	for _, c := range o.record.DoubtfulClaims() {
		o.ledger.AddDoubtful(c.Unit, c.MemoryBytes, c.Order)
	}
	for id, order := range o.unresolved {
		o.ledger.AddDoubtful(order.Unit, order.MemoryBytes, id)
	}
}

// isUnresolved reports whether the load order was sent but not answered.
func (o *Orderer) isUnresolved(id string) bool {
	_, found := o.unresolved[id]
	return found
}

// writeRecord writes the engine's record. A conflict means that another instance has taken over;
// the result is then ErrNotOrderer.
func (o *Orderer) writeRecord(ctx context.Context, next placement.EngineRecord) error {
	version, err := store.WriteJSON(ctx, o.env.Store, recordKey(o.declared.Name), next, o.recordRevision)
	if errors.Is(err, store.ErrConflict) {
		o.stopSuperseded(ctx)
		return ErrNotOrderer
	}
	if err != nil {
		return err
	}
	o.record, o.recordRevision = next, version
	return nil
}

// writeClaim writes the claim for a load order to an engine without fencing support. Closed claims
// of units that the engine no longer holds are removed in the same write, so that the claims
// together never exceed the engine's memory. o.mutex must be held.
func (o *Orderer) writeClaim(ctx context.Context, order backend.Order) error {
	if o.declared.Fencing {
		return nil
	}
	record, _ := o.settledRecord()
	c := placement.Claim{Unit: order.Unit, MemoryBytes: order.MemoryBytes, Order: order.ID, Epoch: o.record.Epoch}
	return platformFailure(o.writeRecord(ctx, record.AddClaim(c)))
}

// stopSuperseded stops ordering because another instance has taken over, and closes the claims that
// the new orderer does not need to wait for. o.mutex must be held.
func (o *Orderer) stopSuperseded(ctx context.Context) {
	if !o.active.Swap(false) {
		return
	}
	o.recordEvent(event.KindSuperseded, "", "epoch="+formatEpoch(o.record.Epoch))
	o.changed.wake()
	if !o.declared.Fencing {
		o.closeOwnClaims(ctx)
	}
}

// closeOwnClaims closes the claims that this orderer wrote under its epoch, except those whose
// orders were sent but not answered: a superseded orderer sends no further orders. o.mutex must be
// held, which ensures that no order is being sent.
func (o *Orderer) closeOwnClaims(ctx context.Context) {
	ownEpoch := o.record.Epoch
	record, version, err := store.Read[placement.EngineRecord](ctx, o.env.Store, recordKey(o.declared.Name))
	if err != nil {
		return
	}
	closed, changed := record.CloseClaims(func(c placement.Claim) bool {
		return c.Epoch == ownEpoch && !o.isUnresolved(c.Order)
	})
	if changed {
		_, _ = store.WriteJSON(ctx, o.env.Store, recordKey(o.declared.Name), closed, version)
	}
}

// Handover stops ordering and closes this orderer's claims in the record, so that the next orderer
// finds no doubtful claims other than those of unanswered orders.
func (o *Orderer) Handover(ctx context.Context) error {
	if err := o.lock(ctx); err != nil {
		return err
	}
	defer o.unlock()
	if !o.active.Swap(false) {
		return nil
	}
	o.changed.wake()
	if err := o.writeRecord(ctx, o.record.Handover(o.isUnresolved)); err != nil {
		return err
	}
	o.publishedResidency.Orderer = ""
	o.publishedResidency.Version++
	o.env.Tables.Engines.MergeResidency([]table.Residency{o.publishedResidency})
	o.recordEvent(event.KindHandover, "", "epoch="+formatEpoch(o.record.Epoch))
	return nil
}
