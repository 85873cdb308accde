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

// maxSlotWrites bounds the attempts to write the slots of a model when writes conflict.
const maxSlotWrites = 4

func slotsKey(model string) string { return store.PrefixSlots + model }

// platformFailure converts store.ErrUnavailable and store.ErrUnknown into a refusal, since nothing
// was sent to the engine, and returns other errors unchanged.
func platformFailure(err error) error {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) {
		return verdict.Refuse(verdict.ReasonPlatform, "%v", err)
	}
	return err
}

// ensureSlot binds a slot of the model to this engine under the current epoch. It makes no call if
// the slot is already bound. o.mutex must be held.
func (o *Orderer) ensureSlot(ctx context.Context, model string) error {
	if o.heldSlots[model] {
		return nil
	}
	err := o.changeSlots(ctx, model, func(m placement.ModelSlots) (placement.ModelSlots, error) {
		return m.Bind(o.declared.Name, o.record.Epoch)
	})
	if err != nil {
		return platformFailure(err)
	}
	o.heldSlots[model] = true
	o.recordEvent(event.KindSlotBind, model, "epoch="+formatEpoch(o.record.Epoch))
	return nil
}

// releaseSlot frees the model's slot. The model must not be in the ledger, so that the engine
// neither holds it nor can still receive an order for it. The slot counts as released from the
// start of the call, even if the answer to the write is lost. o.mutex must be held.
func (o *Orderer) releaseSlot(ctx context.Context, model string) error {
	delete(o.heldSlots, model)
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
	o.recordEvent(event.KindSlotRelease, model, "epoch="+formatEpoch(o.record.Epoch))
	return nil
}

// changeSlots reads the slots of a model, applies the declared cap and change, and writes the
// result. A conflicting write is retried.
func (o *Orderer) changeSlots(ctx context.Context, model string, change func(placement.ModelSlots) (placement.ModelSlots, error)) error {
	for range maxSlotWrites {
		slots, version, err := store.Read[placement.ModelSlots](ctx, o.env.Store, slotsKey(model))
		if err != nil {
			return err
		}
		next, err := change(o.resized(model, slots))
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

// resized applies the declared cap, unless the slots were already sized by a newer declaration.
func (o *Orderer) resized(model string, slots placement.ModelSlots) placement.ModelSlots {
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

// adoptSlots binds under the current epoch the slots that an earlier epoch left bound to this
// engine, so that they can be used even if the platform becomes unavailable later. Failures are
// retried by reconcile. o.mutex must be held.
func (o *Orderer) adoptSlots(ctx context.Context) {
	_ = forEachModelSlots(ctx, o.env.Store, func(_ store.Object, slots placement.ModelSlots) error {
		if _, bound := slots.SlotOf(o.declared.Name); bound {
			_ = o.ensureSlot(ctx, slots.Model)
		}
		return nil
	})
}

// forEachModelSlots calls f with the slots of each model until f fails. It skips values that cannot
// be decoded.
func forEachModelSlots(ctx context.Context, s store.Store, f func(store.Object, placement.ModelSlots) error) error {
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
