package orderer

import (
	"context"
	"encoding/json"
	"math"

	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/platform"
)

// freeLost frees the slots of an engine that operators declared lost: their
// word that it is off takes the place of the proof that nothing can arrive.
func (m *Manager) freeLost(ctx context.Context, engine string) {
	generation := m.env.Tables.Config.Index().Generation
	snap, err := m.env.Store.List(ctx, platform.PrefixSlots)
	if err != nil {
		return
	}
	for _, obj := range snap.Objects {
		var slots placement.ModelSlots
		if json.Unmarshal(obj.Value, &slots) != nil {
			continue
		}
		next, err := slots.Release(engine, math.MaxUint64)
		if err != nil {
			continue
		}
		if _, err := platform.WriteJSON(ctx, m.env.Store, obj.Key, next, obj.Version); err == nil {
			m.env.Events.Record(event.Event{Kind: event.KindSlotRelease, Engine: engine, Model: slots.Model, Detail: "engine declared lost"})
		} else {
			return // again at the next tick
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freed[engine] = generation
}
