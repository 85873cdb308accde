// Package orderer sends engines their orders. Each engine has one orderer: an
// instance of the engine's own failure domain, recorded in the platform with
// an epoch, the fencing number. The orderer keeps the engine's memory ledger,
// holds its slots, and polls its reports for everyone else.
//
// The rule behind everything here: whatever could still arrive at the engine
// is counted before it may be sent, and stays counted until it is proved that
// it cannot arrive any more. An order whose answer was lost is such a thing,
// and so is every order of an earlier orderer, which may be only paused.
//
//   - An engine that honours fencing proves it itself: take-over fences the
//     engine at the new epoch before anything is decided, and a lost answer
//     ends the orderer's own epoch in the same way.
//   - On an engine that ignores fencing each load is first written into the
//     engine's record as a claim, sent once, and struck out only after the
//     engine reported the order, or the orderer that wrote it withdrew it.
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

// Errors of an orderer.
var (
	// ErrNotOrderer: this instance does not order the engine, or not any more.
	ErrNotOrderer = errors.New("orderer: not the orderer of this engine")
	// ErrInUse: the model serves requests and is not unloaded for others.
	ErrInUse = errors.New("orderer: model is in use")
)

// Environment is what all orderers of an instance share.
type Environment struct {
	// Instance is the instance's name, Identity its name and incarnation.
	Instance string
	Identity string
	Store    store.Store
	Tables   *table.Tables
	Events   *event.Recorder
	// Policy decides what is unloaded, and when.
	Policy placement.Policy
}

// Orderer orders one engine.
type Orderer struct {
	env    *Environment
	engine backend.Engine
	// declared is the engine as the operators declared it at take-over.
	declared declaration.Engine

	// turn is held by whoever changes the fields below or sends an order, so
	// that there is one order in flight for the engine.
	turn chan struct{}

	record  placement.EngineRecord // guarded by turn
	version store.Revision         // guarded by turn; of the record's object
	ledger  *placement.Ledger      // guarded by turn
	report  backend.Report         // guarded by turn; the newest
	// incarnation of the engine, and those it had before; guarded by turn.
	incarnation string
	past        map[string]bool
	// fenced says that this incarnation of the engine refuses older epochs;
	// guarded by turn.
	fenced bool

	held       map[string]bool           // guarded by turn; models whose slot names this epoch
	unresolved map[string]backend.Order  // guarded by turn; by id, orders to load sent without an answer
	roleOrder  sentRole                  // guarded by turn; the last one
	published  table.Residency           // guarded by turn
	loads      uint64                    // guarded by turn; version of published load figures
	loadAt     time.Time                 // guarded by turn; of the last publication of load figures
	misses     int                       // guarded by turn; reports that failed in a row
	history    *placement.UsageHistories // guarded by turn

	active  atomic.Bool
	changed *broadcast
}

// newOrderer returns an orderer that orders nothing before Takeover.
func newOrderer(env *Environment, declared declaration.Engine, engine backend.Engine) *Orderer {
	return &Orderer{
		env: env, engine: engine, declared: declared,
		turn:    make(chan struct{}, 1),
		changed: newBroadcast(),
		past:    map[string]bool{},
		history: placement.NewUsageHistories(),
	}
}

// Active reports whether this instance believes that it orders the engine.
func (o *Orderer) Active() bool { return o.active.Load() }

func (o *Orderer) take(ctx context.Context) error {
	select {
	case o.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(verdict.ReasonDeadline, "engine %s is busy with another order", o.declared.Name)
	}
}

func (o *Orderer) give() { <-o.turn }

func (o *Orderer) event(kind event.Kind, model, detail string) {
	o.env.Events.Record(event.Event{Kind: kind, Engine: o.declared.Name, Model: model, Detail: detail})
}

// Load makes the unit resident and returns once the engine reports it so.
func (o *Orderer) Load(ctx context.Context, u backend.Unit, memory int64) error {
	for {
		changed := o.changed.wait()
		done, err := o.advance(ctx, u, memory)
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

// advance takes the next step towards having the unit resident.
func (o *Orderer) advance(ctx context.Context, u backend.Unit, memory int64) (bool, error) {
	if err := o.take(ctx); err != nil {
		return false, err
	}
	defer o.give()
	if !o.Active() {
		return false, ErrNotOrderer
	}
	e, found := o.ledger.Entries[u.ID()]
	switch {
	case found && o.misses >= maxMissed:
		return false, verdict.Refuse(verdict.ReasonNoReplica, "engine %s does not answer", o.declared.Name)
	case !found:
		return false, o.begin(ctx, u, memory)
	case e.Unit.Version != u.Version && e.Phase == placement.Resident:
		return false, o.unload(ctx, e.Unit)
	case e.Phase == placement.Resident:
		return true, nil
	case e.Phase == placement.Doubtful && e.Unit == u:
		return false, o.adopt(ctx, u, memory)
	default:
		return false, nil
	}
}

// begin makes room, takes the slot, counts the unit and sends the order. When
// room must be made first it only orders the unloads; the caller comes back.
func (o *Orderer) begin(ctx context.Context, u backend.Unit, memory int64) error {
	if o.report.Leaving || o.misses >= maxMissed {
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
	order, err := o.prepare(ctx, u, memory)
	if err != nil {
		return err
	}
	if err := o.ledger.Reserve(u, memory, order.ID, time.Now()); err != nil {
		return err
	}
	return o.sendLoad(ctx, order)
}

// prepare takes the slot and writes the claim that an order to load needs.
func (o *Orderer) prepare(ctx context.Context, u backend.Unit, memory int64) (backend.Order, error) {
	order := backend.Order{Unit: u, ID: uuid.NewString(), MemoryBytes: memory}
	if u.Adapter == "" {
		if err := o.ensureSlot(ctx, u.Model); err != nil {
			return order, err
		}
	}
	return order, o.claim(ctx, order)
}

// adopt orders again what an earlier orderer may or may not have ordered. The
// same unit on the same engine is one replica however often it is ordered.
func (o *Orderer) adopt(ctx context.Context, u backend.Unit, memory int64) error {
	if o.ledger.Free() < 0 {
		return verdict.Refuse(verdict.ReasonNoReplica, "doubtful claims on %s together pass its memory", o.declared.Name)
	}
	order, err := o.prepare(ctx, u, memory)
	if err != nil {
		return err
	}
	entry := o.ledger.Entries[u.ID()]
	entry.Phase, entry.Order = placement.Ordered, order.ID
	o.ledger.Entries[u.ID()] = entry
	return o.sendLoad(ctx, order)
}

// makeRoom reports whether memory bytes are free, and if not, orders unloads.
func (o *Orderer) makeRoom(ctx context.Context, u backend.Unit, memory int64) (bool, error) {
	if memory <= o.ledger.Free() {
		return true, nil
	}
	victims, err := o.env.Policy.Victims(o.ledger, u, memory, o.costs(), time.Now())
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

func (o *Orderer) costs() placement.EngineContext {
	return placement.EngineContext{Tiers: o.report.Tiers, Histories: o.history, Capacity: int64(o.declared.Memory)}
}

// sendLoad sends an order that is counted already.
func (o *Orderer) sendLoad(ctx context.Context, order backend.Order) error {
	o.event(event.KindLoadOrder, order.Unit.ID(), "epoch="+formatEpoch(o.record.Epoch)+" order="+order.ID)
	err := o.send(ctx, order, o.engine.Load)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, backend.ErrRefused):
		o.ledger.Cancel(order.Unit.ID())
		o.event(event.KindLoadFail, order.Unit.ID(), err.Error())
		return verdict.Refuse(verdict.ReasonBackend, "engine %s: %v", o.declared.Name, err)
	default:
		return err
	}
}

// unload orders the unit away; running requests finish first.
func (o *Orderer) unload(ctx context.Context, u backend.Unit) error {
	order := backend.Order{Unit: u, ID: uuid.NewString()}
	if err := o.ledger.StartUnload(u.ID(), order.ID); err != nil {
		return nil // an order is under way already
	}
	o.publish()
	o.event(event.KindUnloadOrder, u.ID(), "epoch="+formatEpoch(o.record.Epoch)+" order="+order.ID)
	return o.send(ctx, order, o.engine.Unload)
}

// orderTimeout bounds one order's way to the engine and back. The order itself
// is only accepted in that time, not carried out.
const orderTimeout = 3 * time.Second

// send stamps and sends an order once. A lost answer leaves the order counted
// and, on an engine that honours fencing, ends the epoch.
func (o *Orderer) send(ctx context.Context, order backend.Order, call func(context.Context, backend.Order) (backend.Ack, error)) error {
	order.Epoch = o.record.Epoch
	order.Incarnation = o.incarnation
	// The order must not be cut off halfway because a waiter gave up.
	ctx = context.WithoutCancel(ctx)
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ack, err := call(callCtx, order)
	switch {
	case err == nil:
		o.meet(ack.Incarnation)
		o.ledger.Ack(order.Unit.ID(), ack.Incarnation)
	case errors.Is(err, backend.ErrStaleEpoch):
		o.supersede(ctx)
		return ErrNotOrderer
	case errors.Is(err, backend.ErrUnknown):
		if order.MemoryBytes > 0 {
			o.unresolved[order.ID] = order
		}
		return o.refence(ctx)
	}
	return err
}

// refence makes a late arrival of an unanswered order impossible by moving to
// the next epoch. Where that cannot be had now, the order stays counted.
func (o *Orderer) refence(ctx context.Context) error {
	if !o.declared.Fencing {
		return nil
	}
	err := o.install(ctx)
	if errors.Is(err, ErrNotOrderer) {
		return err
	}
	if err == nil {
		o.adoptSlots(ctx)
	}
	return nil
}

// Yield gives up the slot of a model, so that another engine can have it. A
// model that is idle is unloaded first.
func (o *Orderer) Yield(ctx context.Context, model string) error {
	for {
		changed := o.changed.wait()
		done, err := o.yield(ctx, model)
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

func (o *Orderer) yield(ctx context.Context, model string) (bool, error) {
	if err := o.take(ctx); err != nil {
		return false, err
	}
	defer o.give()
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
