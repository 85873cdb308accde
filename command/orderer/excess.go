package orderer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/platform"
)

// confirmExcess reads the model's slots and reports whether this engine's is
// above the cap.
func (o *Orderer) confirmExcess(ctx context.Context, model string) bool {
	slots, version, err := platform.Read[placement.ModelSlots](ctx, o.env.Store, slotsKey(model))
	if err != nil || version == 0 {
		return false
	}
	return o.sized(model, slots).Excess(o.declared.Name)
}

// tidySlots frees slots that are held for models that may not be loaded here
// any more, and takes those that the engine needs but are not adopted yet.
func (o *Orderer) tidySlots(ctx context.Context) {
	index := o.env.Tables.Config.Index()
	for model := range o.held {
		_, counted := o.ledger.Entries[model]
		m, found := index.Models[model]
		surplus := !found || m.MaxReplicas == 0 || !m.AllowedIn(o.declared.FailureDomain) ||
			(o.holders(model) > m.MaxReplicas && o.confirmExcess(ctx, model))
		if !counted && surplus && index.Generation > 0 {
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
