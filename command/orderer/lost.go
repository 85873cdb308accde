package orderer

import (
	"context"
	"math"

	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/store"
)

// freeLost frees the slots of an engine that operators declared lost: their
// word that it is off takes the place of the proof that nothing can arrive.
// What fails is tried again at the next tick.
func (m *Manager) freeLost(ctx context.Context, engine string) {
	generation := m.env.Tables.Config.Index().Generation
	err := eachSlots(ctx, m.env.Store, func(obj store.Object, slots placement.ModelSlots) error {
		next, err := slots.Release(engine, math.MaxUint64)
		if err != nil {
			return nil // none of its slots
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
	m.freed[engine] = generation
}
