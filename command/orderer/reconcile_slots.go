package orderer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/store"
)

// slotExceedsCap reports whether this engine's slot of the model is above the cap. It reads the
// store only if more engines are known to hold a slot than the cap allows.
func (o *Orderer) slotExceedsCap(ctx context.Context, model string) bool {
	m, found := o.env.Tables.Config.Index().Models[model]
	if !found || o.countSlotHolders(model) <= m.MaxReplicas {
		return false
	}
	slots, version, err := store.Read[placement.ModelSlots](ctx, o.env.Store, slotsKey(model))
	if err != nil || version == 0 {
		return false
	}
	return o.resized(model, slots).ExceedsCap(o.declared.Name)
}

// reconcileSlots releases slots of models that may no longer be loaded on this engine, and binds
// slots for models that are on the engine without one under the current epoch. o.mutex must be
// held.
func (o *Orderer) reconcileSlots(ctx context.Context) {
	for model := range o.heldSlots {
		_, counted := o.ledger.Entries[model]
		if !counted && (!o.permitted(model) || o.slotExceedsCap(ctx, model)) {
			_ = o.releaseSlot(ctx, model)
		}
	}
	for id, e := range o.ledger.Entries {
		if e.Unit.Adapter == "" && !o.heldSlots[id] {
			o.adoptResident(ctx, e)
		}
	}
}

// adoptResident binds a slot for a model that the ledger lists without one. If no slot is free, the
// model is unloaded if it is resident. o.mutex must be held.
func (o *Orderer) adoptResident(ctx context.Context, e placement.Entry) {
	var noSlot *placement.NoSlotError
	err := o.ensureSlot(ctx, e.Unit.Model)
	if errors.As(err, &noSlot) && e.Phase == placement.Resident {
		_ = o.unload(ctx, e.Unit)
	}
}
