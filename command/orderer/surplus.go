package orderer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/store"
)

// slotExcess reports whether this engine's slot of the model is above the cap.
// The platform is asked only when the slots that are known may be too many.
func (o *Orderer) slotExcess(ctx context.Context, model string) bool {
	m, found := o.env.Tables.Config.Index().Models[model]
	if !found || o.holders(model) <= m.MaxReplicas {
		return false
	}
	slots, version, err := store.Read[placement.ModelSlots](ctx, o.env.Store, slotsKey(model))
	if err != nil || version == 0 {
		return false
	}
	return o.sized(model, slots).ExceedsCap(o.declared.Name)
}

// tidySlots frees slots that are held for models that may not be loaded here
// any more, and takes those that the engine needs but are not adopted yet.
func (o *Orderer) tidySlots(ctx context.Context) {
	for model := range o.held {
		_, counted := o.ledger.Entries[model]
		if !counted && (!o.permitted(model) || o.slotExcess(ctx, model)) {
			_ = o.releaseSlot(ctx, model)
		}
	}
	for id, e := range o.ledger.Entries {
		if e.Unit.Adapter == "" && !o.held[id] {
			o.adoptResident(ctx, e)
		}
	}
}

// adoptResident takes the slot of a model found on the engine. Where there is
// none, the model has no right to be there and goes.
func (o *Orderer) adoptResident(ctx context.Context, e placement.Entry) {
	var none *placement.NoSlotError
	err := o.ensureSlot(ctx, e.Unit.Model)
	if errors.As(err, &none) && e.Phase == placement.Resident {
		_ = o.unload(ctx, e.Unit)
	}
}
