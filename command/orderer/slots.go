package orderer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/verdict"
)

// slotTries bounds repeats of a slot write that met another's.
const slotTries = 4

func slotsKey(model string) string { return store.PrefixSlots + model }

// platformFailure turns an error of the platform into a refusal: nothing was
// sent to the engine.
func platformFailure(err error) error {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) {
		return verdict.Refuse(verdict.ReasonPlatform, "%v", err)
	}
	return err
}

// ensureSlot has the model's slot bound to this engine under this epoch. It
// makes no call when it is so already.
func (o *Orderer) ensureSlot(ctx context.Context, model string) error {
	if o.held[model] {
		return nil
	}
	err := o.changeSlots(ctx, model, func(m placement.ModelSlots) (placement.ModelSlots, error) {
		return m.Bind(o.declared.Name, o.record.Epoch)
	})
	if err != nil {
		return platformFailure(err)
	}
	o.held[model] = true
	o.event(event.KindSlotBind, model, "epoch="+formatEpoch(o.record.Epoch))
	return nil
}

// releaseSlot frees the model's slot. The model is not in the ledger, so that
// the engine neither holds it nor can get it. From here on the slot counts as
// gone, also when the answer to the write is lost.
func (o *Orderer) releaseSlot(ctx context.Context, model string) error {
	delete(o.held, model)
	err := o.changeSlots(ctx, model, func(m placement.ModelSlots) (placement.ModelSlots, error) {
		return m.Release(o.declared.Name, o.record.Epoch)
	})
	if errors.Is(err, placement.ErrNotBound) {
		return nil
	}
	if err != nil {
		return platformFailure(err)
	}
	o.publish()
	o.event(event.KindSlotRelease, model, "epoch="+formatEpoch(o.record.Epoch))
	return nil
}

// changeSlots reads, sizes, changes and writes the slots of a model.
func (o *Orderer) changeSlots(ctx context.Context, model string, change func(placement.ModelSlots) (placement.ModelSlots, error)) error {
	for range slotTries {
		slots, version, err := store.Read[placement.ModelSlots](ctx, o.env.Store, slotsKey(model))
		if err != nil {
			return err
		}
		next, err := change(o.sized(model, slots))
		if err != nil {
			return err
		}
		_, err = store.WriteJSON(ctx, o.env.Store, slotsKey(model), next, version)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}

// sized applies the declared cap, if the declaration here is not the older one.
func (o *Orderer) sized(model string, slots placement.ModelSlots) placement.ModelSlots {
	index := o.env.Tables.Config.Index()
	maxReplicas := 0
	if m, found := index.Models[model]; found {
		maxReplicas = m.MaxReplicas
	}
	slots.Model = model
	sized, err := slots.Resize(index.Generation, maxReplicas)
	if err != nil {
		return slots
	}
	return sized
}

// adoptSlots takes over the slots that an earlier epoch left bound to this
// engine, so that they can be used also when the platform is gone later. What
// fails is tried again by tidy.
func (o *Orderer) adoptSlots(ctx context.Context) {
	_ = eachSlots(ctx, o.env.Store, func(_ store.Object, slots placement.ModelSlots) error {
		if _, bound := slots.SlotOf(o.declared.Name); bound {
			_ = o.ensureSlot(ctx, slots.Model)
		}
		return nil
	})
}

// eachSlots calls f with the slots of every model until f fails. Values that
// cannot be read are passed over.
func eachSlots(ctx context.Context, s store.Store, f func(store.Object, placement.ModelSlots) error) error {
	snap, err := s.List(ctx, store.PrefixSlots)
	if err != nil {
		return err
	}
	for _, obj := range snap.Objects {
		var slots placement.ModelSlots
		if json.Unmarshal(obj.Value, &slots) != nil {
			continue
		}
		if err := f(obj, slots); err != nil {
			return err
		}
	}
	return nil
}
