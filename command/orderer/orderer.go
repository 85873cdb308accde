// Package orderer sends load and unload orders to engines. Each engine has one orderer: an instance
// in the engine's own failure domain, recorded in the store together with an epoch, which serves as
// the fencing token. The orderer keeps the engine's memory ledger, holds its slots, and polls
// its reports on behalf of all instances.
//
// The invariant of this package: an order that could still arrive at the engine is counted before
// it may be sent, and remains counted until it is certain that it cannot arrive any more. This
// applies to orders that were not answered, and to every order of an earlier orderer, which may
// merely be paused.
//
//   - For an engine that supports fencing, the engine ensures this itself: a take-over fences the
//     engine at the new epoch before any decision is made, and an orderer whose order was not
//     answered moves to a new epoch in the same way.
//   - For an engine without fencing support, each load is first written into the engine's record as
//     a claim and is sent once. The claim is removed only after the engine reported the order as
//     received, or the orderer that wrote the claim closed it.
package orderer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// Errors returned by Orderer.
var (
	// ErrNotOrderer is returned when this instance is not, or is no longer, the orderer of the
	// engine.
	ErrNotOrderer = errors.New("orderer: not the orderer of this engine")
	// ErrInUse is returned when the model is in use and therefore is not unloaded to free its slot.
	ErrInUse = errors.New("orderer: model is in use")
)

// Environment is the state shared by all orderers of an instance.
type Environment struct {
	// Instance is the name of the instance, and Identity its name and incarnation.
	Instance string
	Identity string
	Store    store.Store
	Tables   *table.Tables
	Events   *event.Recorder
	// Policy decides which units are unloaded, and when.
	Policy placement.Policy
}

// Orderer sends the orders to one engine.
type Orderer struct {
	env    *Environment
	engine backend.Engine
	// declared is the engine's declaration at the time of the take-over.
	declared declaration.Engine

	// mutex is a lock that can be acquired with a context. It must be held to access the fields
	// below or to send an order, so that at most one order is in flight for the engine.
	mutex chan struct{}

	record         placement.EngineRecord // guarded by mutex
	recordRevision store.Revision         // guarded by mutex; store revision of record
	ledger         *placement.Ledger      // guarded by mutex
	report         backend.Report         // guarded by mutex; latest report
	// incarnation is the engine's current incarnation, and pastIncarnations are the earlier ones
	// that this orderer has seen; both are guarded by mutex.
	incarnation      string
	pastIncarnations map[string]bool
	// fenced means that the current incarnation of the engine rejects older epochs; guarded by
	// mutex.
	fenced bool

	heldSlots          map[string]bool           // guarded by mutex; models whose slot is bound under the current epoch
	unresolved         map[string]backend.Order  // guarded by mutex; load orders that were sent but not answered, by ID
	lastRoleOrder      acceptedRoleOrder         // guarded by mutex; last role order that the engine accepted
	publishedResidency table.Residency           // guarded by mutex
	loadVersion        uint64                    // guarded by mutex; version of the published load
	loadPublishedAt    time.Time                 // guarded by mutex; time of the last publication of the load
	failedReports      int                       // guarded by mutex; consecutive polls that failed
	history            *placement.UsageHistories // guarded by mutex

	active  atomic.Bool
	changed *broadcast
}

// newOrderer returns an orderer that is inactive until Takeover succeeds.
func newOrderer(env *Environment, declared declaration.Engine, engine backend.Engine) *Orderer {
	return &Orderer{
		env: env, engine: engine, declared: declared,
		mutex:            make(chan struct{}, 1),
		changed:          newBroadcast(),
		pastIncarnations: map[string]bool{},
		history:          placement.NewUsageHistories(),
	}
}

// Active reports whether this instance believes that it is the orderer of the engine.
func (o *Orderer) Active() bool { return o.active.Load() }

func (o *Orderer) lock(ctx context.Context) error {
	select {
	case o.mutex <- struct{}{}:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(verdict.ReasonDeadline, "engine %s is busy with another order", o.declared.Name)
	}
}

func (o *Orderer) unlock() { <-o.mutex }

func (o *Orderer) recordEvent(kind event.Kind, model, detail string) {
	o.env.Events.Record(event.Event{Kind: kind, Engine: o.declared.Name, Model: model, Detail: detail})
}

// Load makes the unit resident and returns once the engine reports it as such. It returns
// ErrNotOrderer if this instance is not the orderer, and a refusal if the unit cannot be loaded or
// ctx ends first.
func (o *Orderer) Load(ctx context.Context, u backend.Unit, memory int64) error {
	for {
		changed := o.changed.wait()
		done, err := o.loadStep(ctx, u, memory)
		if done || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict.Refuse(verdict.ReasonDeadline, "load of %s on %s is not finished", u.ID(), o.declared.Name)
		}
	}
}

// loadStep performs the next step towards making the unit resident and reports whether it is
// resident.
func (o *Orderer) loadStep(ctx context.Context, u backend.Unit, memory int64) (bool, error) {
	if err := o.lock(ctx); err != nil {
		return false, err
	}
	defer o.unlock()
	if !o.Active() {
		return false, ErrNotOrderer
	}
	e, found := o.ledger.Entries[u.ID()]
	switch {
	case found && o.failedReports >= maxFailedReports:
		return false, verdict.Refuse(verdict.ReasonNoReplica, "engine %s does not answer", o.declared.Name)
	case !found:
		return false, o.startLoad(ctx, u, memory)
	case e.Unit.Version != u.Version && e.Phase == placement.Resident:
		return false, o.unload(ctx, e.Unit)
	case e.Phase == placement.Resident:
		return true, nil
	case e.Phase == placement.Doubtful && e.Unit == u:
		return false, o.reissueLoad(ctx, u, memory)
	default:
		return false, nil
	}
}

// startLoad makes room, binds the slot, reserves memory and sends the load order. If units have to
// be unloaded first, it only orders the unloads; the caller tries again after the next change.
// o.mutex must be held.
func (o *Orderer) startLoad(ctx context.Context, u backend.Unit, memory int64) error {
	if o.report.Leaving || o.failedReports >= maxFailedReports {
		return verdict.Refuse(verdict.ReasonNoReplica, "engine %s is leaving or does not answer", o.declared.Name)
	}
	if err := o.ensureFenced(ctx); err != nil {
		return err
	}
	if u.Adapter != "" && o.ledger.Entries[u.Model].Phase != placement.Resident {
		return verdict.Refuse(verdict.ReasonNoReplica, "model %s is not resident on %s", u.Model, o.declared.Name)
	}
	ready, err := o.makeRoom(ctx, u, memory)
	if !ready || err != nil {
		return err
	}
	order, err := o.prepareLoad(ctx, u, memory)
	if err != nil {
		return err
	}
	if err := o.ledger.Reserve(u, memory, order.ID, time.Now()); err != nil {
		return err
	}
	return o.sendLoad(ctx, order)
}

// prepareLoad binds the slot and writes the claim that a load order requires. o.mutex must be held.
func (o *Orderer) prepareLoad(ctx context.Context, u backend.Unit, memory int64) (backend.Order, error) {
	order := backend.Order{Unit: u, ID: uuid.NewString(), MemoryBytes: memory}
	if u.Adapter == "" {
		if err := o.ensureSlot(ctx, u.Model); err != nil {
			return order, err
		}
	}
	return order, o.writeClaim(ctx, order)
}

// reissueLoad orders a unit again that an earlier orderer may have ordered. Repeated orders of the
// same unit on the same engine result in one replica. o.mutex must be held.
func (o *Orderer) reissueLoad(ctx context.Context, u backend.Unit, memory int64) error {
	if o.ledger.Free() < 0 {
		return verdict.Refuse(verdict.ReasonNoReplica, "doubtful claims on %s together pass its memory", o.declared.Name)
	}
	order, err := o.prepareLoad(ctx, u, memory)
	if err != nil {
		return err
	}
	entry := o.ledger.Entries[u.ID()]
	entry.Phase, entry.Order = placement.Ordered, order.ID
	o.ledger.Entries[u.ID()] = entry
	return o.sendLoad(ctx, order)
}

// makeRoom reports whether memory bytes are free; if not, it orders unloads. o.mutex must be held.
func (o *Orderer) makeRoom(ctx context.Context, u backend.Unit, memory int64) (bool, error) {
	if memory <= o.ledger.Free() {
		return true, nil
	}
	victims, err := o.env.Policy.Victims(o.ledger, u, memory, o.engineContext(), time.Now())
	if err != nil {
		return false, verdict.Refuse(verdict.ReasonNoReplica, "%s on %s: %v", u.ID(), o.declared.Name, err)
	}
	for _, v := range victims {
		if err := o.unload(ctx, v); err != nil {
			return false, err
		}
	}
	return false, nil
}

func (o *Orderer) engineContext() placement.EngineContext {
	return placement.EngineContext{Tiers: o.report.Tiers, Histories: o.history, Capacity: int64(o.declared.Memory)}
}

// sendLoad sends a load order for which the ledger already has an entry. o.mutex must be held.
func (o *Orderer) sendLoad(ctx context.Context, order backend.Order) error {
	o.recordEvent(event.KindLoadOrder, order.Unit.ID(), "epoch="+formatEpoch(o.record.Epoch)+" order="+order.ID)
	err := o.send(ctx, order, o.engine.Load)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, backend.ErrRefused):
		o.ledger.Cancel(order.Unit.ID())
		o.recordEvent(event.KindLoadFail, order.Unit.ID(), err.Error())
		return verdict.Refuse(verdict.ReasonBackend, "engine %s: %v", o.declared.Name, err)
	default:
		return err
	}
}

// unload orders the engine to unload the unit; the engine lets running requests finish first.
// o.mutex must be held.
func (o *Orderer) unload(ctx context.Context, u backend.Unit) error {
	order := backend.Order{Unit: u, ID: uuid.NewString()}
	if err := o.ledger.StartUnload(u.ID(), order.ID); err != nil {
		return nil // an order for the unit is already outstanding
	}
	o.publish()
	o.recordEvent(event.KindUnloadOrder, u.ID(), "epoch="+formatEpoch(o.record.Epoch)+" order="+order.ID)
	return o.send(ctx, order, o.engine.Unload)
}

// orderTimeout bounds the call that delivers one order. Within that time the engine only has to
// accept the order; it carries the order out later.
const orderTimeout = 3 * time.Second

// send adds the epoch and the engine's incarnation to the order and sends it once. If there is no
// answer, a load order remains counted and, on an engine that supports fencing, the orderer moves
// to a new epoch. o.mutex must be held.
func (o *Orderer) send(ctx context.Context, order backend.Order, call func(context.Context, backend.Order) (backend.Ack, error)) error {
	order.Epoch = o.record.Epoch
	order.Incarnation = o.incarnation
	// The call must not be aborted when the waiting request gives up.
	ctx = context.WithoutCancel(ctx)
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ack, err := call(callCtx, order)
	switch {
	case err == nil:
		o.observeIncarnation(ack.Incarnation)
		o.ledger.Ack(order.Unit.ID(), ack.Incarnation)
	case errors.Is(err, backend.ErrStaleEpoch):
		o.stopSuperseded(ctx)
		return ErrNotOrderer
	case errors.Is(err, backend.ErrUnknown):
		if order.MemoryBytes > 0 {
			o.unresolved[order.ID] = order
		}
		return o.advanceEpoch(ctx)
	}
	return err
}

// advanceEpoch moves to the next epoch, so that an engine that supports fencing rejects an
// unanswered order that arrives late. If this fails, the order remains counted. It returns only
// ErrNotOrderer. o.mutex must be held.
func (o *Orderer) advanceEpoch(ctx context.Context) error {
	if !o.declared.Fencing {
		return nil
	}
	err := o.installEpoch(ctx)
	if errors.Is(err, ErrNotOrderer) {
		return err
	}
	if err == nil {
		o.adoptSlots(ctx)
	}
	return nil
}

// Yield releases the slot of a model so that another engine can bind it. A resident model that is
// idle is unloaded first. ErrInUse is returned if the model is in use, is being loaded or may still
// be loaded by an unanswered order.
func (o *Orderer) Yield(ctx context.Context, model string) error {
	for {
		changed := o.changed.wait()
		done, err := o.yieldStep(ctx, model)
		if done || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict.Refuse(verdict.ReasonDeadline, "slot of %s on %s is not free yet", model, o.declared.Name)
		}
	}
}

func (o *Orderer) yieldStep(ctx context.Context, model string) (bool, error) {
	if err := o.lock(ctx); err != nil {
		return false, err
	}
	defer o.unlock()
	if !o.Active() {
		return false, ErrNotOrderer
	}
	e, found := o.ledger.Entries[model]
	if !found {
		return true, o.releaseSlot(ctx, model)
	}
	switch e.Phase {
	case placement.Resident:
		if !o.env.Policy.Evictable(e, time.Now()) {
			return false, ErrInUse
		}
		return false, o.unload(ctx, e.Unit)
	case placement.Unloading:
		return false, nil
	default:
		return false, ErrInUse
	}
}
