package orderer

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/table"
)

// recordKey is the platform object of an engine.
func recordKey(engine string) string { return platform.PrefixEngines + engine }

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
	o.unresolved = map[string]bool{}
	o.ledger = placement.NewLedger(int64(o.declared.Memory))
	version, err := platform.Read(ctx, o.env.Store, recordKey(o.declared.Name), &o.record)
	if err != nil {
		return err
	}
	o.version = version
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
	report, err := o.fence(ctx)
	if err != nil {
		return err
	}
	o.unresolved = map[string]bool{}
	o.report = report
	o.ledger = rebuild(o.ledger, report, o.record.Claims)
	o.changed.wake()
	return nil
}

// receivedBefore asks an engine that ignores fencing which orders it has
// received, so that their claims are not taken as doubtful.
func (o *Orderer) receivedBefore(ctx context.Context) ([]string, error) {
	if o.declared.Fencing || len(o.record.Claims) == 0 {
		return nil, nil
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
func rebuild(old *placement.Ledger, r backend.Report, claims []placement.Claim) *placement.Ledger {
	next := placement.NewLedger(old.Capacity)
	for _, u := range r.Units {
		if e, found := old.Entries[u.ID()]; found && e.Unit == u.Unit {
			e.Phase, e.Order, e.Acked = placement.Loading, "", true
			next.Entries[u.ID()] = e
		}
	}
	next.Apply(r, false, time.Now())
	addClaims(next, claims)
	return next
}

func addClaims(l *placement.Ledger, claims []placement.Claim) {
	for _, c := range claims {
		if c.Doubtful {
			l.AddDoubtful(c)
		}
	}
}

// writeRecord writes the engine's record. A conflict means that another
// instance has taken over.
func (o *Orderer) writeRecord(ctx context.Context, next placement.EngineRecord) error {
	version, err := platform.WriteJSON(ctx, o.env.Store, recordKey(o.declared.Name), next, o.version)
	if errors.Is(err, platform.ErrConflict) {
		o.supersede(ctx)
		return ErrNotOrderer
	}
	if err != nil {
		return err
	}
	o.record, o.version = next, version
	return nil
}

// claim writes the claim of an order to an engine that ignores fencing.
func (o *Orderer) claim(ctx context.Context, order backend.Order) error {
	if o.declared.Fencing {
		return nil
	}
	c := placement.Claim{Unit: order.Unit, MemoryBytes: order.MemoryBytes, Order: order.ID, Epoch: o.record.Epoch}
	return platformFailure(o.writeRecord(ctx, o.record.Claimed(c)))
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

// withdraw clears the doubt of claims that this orderer wrote under its epoch
// and, being superseded, will not send. It holds its turn: none is being sent.
func (o *Orderer) withdraw(ctx context.Context) {
	mine := o.record.Epoch
	var record placement.EngineRecord
	version, err := platform.Read(ctx, o.env.Store, recordKey(o.declared.Name), &record)
	if err != nil {
		return
	}
	settled, changed := record.Settle(func(c placement.Claim) bool {
		return c.Epoch == mine && !o.unresolved[c.Order]
	})
	if changed {
		_, _ = platform.WriteJSON(ctx, o.env.Store, recordKey(o.declared.Name), settled, version)
	}
}

// Handover ends the stewardship in good order, so that the next orderer need
// doubt nothing.
func (o *Orderer) Handover(ctx context.Context) error {
	if err := o.take(ctx); err != nil {
		return err
	}
	defer o.give()
	if !o.active.Swap(false) {
		return nil
	}
	o.changed.wake()
	if err := o.writeRecord(ctx, o.record.Handover(o.unresolved)); err != nil {
		return err
	}
	o.published.Orderer = ""
	o.published.Version++
	o.env.Tables.Engines.MergeResidency([]table.Residency{o.published})
	o.event(event.KindHandover, "", "epoch="+formatEpoch(o.record.Epoch))
	return nil
}
