package orderer

import (
	"context"
	"math"

	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/store"
)

// freeLostSlots frees the slots of an engine that operators declared lost. That declaration
// replaces the confirmation that no order can arrive at the engine any more. A failure is retried
// at the next tick.
func (m *Manager) freeLostSlots(ctx context.Context, engine string) {
	generation := m.env.Tables.Config.Index().Generation
	err := forEachModelSlots(ctx, m.env.Store, func(obj store.Object, slots placement.ModelSlots) error {
		next, err := slots.Release(engine, math.MaxUint64)
		if err != nil {
			return nil // the engine holds no slot of this model
		}
		if _, err := store.WriteJSON(ctx, m.env.Store, obj.Key, next, obj.Version); err != nil {
			return err
		}
		m.env.Events.Record(event.Event{Kind: event.KindSlotRelease, Engine: engine, Model: slots.Model, Detail: "engine declared lost"})
		return nil
	})
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freedAtGeneration[engine] = generation
}
