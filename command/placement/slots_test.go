package placement

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// slotsMachine is a state machine test of one model's slots under random sequences of binds,
// releases and cap changes.
type slotsMachine struct {
	slots ModelSlots
	// bound is the expected binding: epoch by engine.
	bound map[string]uint64
	cap   int
}

func TestSlotsNeverExceedCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &slotsMachine{bound: map[string]uint64{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func (m *slotsMachine) Bind(t *rapid.T) {
	engine, epoch := drawEngineAndEpoch(t)
	next, err := m.slots.Bind(engine, epoch)
	held, had := m.bound[engine]
	switch {
	case err == nil:
		if had && held > epoch {
			t.Fatalf("epoch %d bound the slot of newer epoch %d", epoch, held)
		}
		m.slots, m.bound[engine] = next, epoch
	case had && held <= epoch:
		t.Fatalf("an engine failed to bind its own slot again: %v", err)
	}
}

func (m *slotsMachine) Release(t *rapid.T) {
	engine, epoch := drawEngineAndEpoch(t)
	next, err := m.slots.Release(engine, epoch)
	held, had := m.bound[engine]
	switch {
	case err == nil && (!had || held > epoch):
		t.Fatalf("epoch %d released a slot that is not its own (held by epoch %d)", epoch, held)
	case err == nil:
		m.slots = next
		delete(m.bound, engine)
	case had && held <= epoch:
		t.Fatalf("the holder failed to release its slot: %v", err)
	}
}

func (m *slotsMachine) Resize(t *rapid.T) {
	generation := rapid.Int64Range(0, 20).Draw(t, "generation")
	limit := rapid.IntRange(0, 4).Draw(t, "cap")
	next, err := m.slots.Resize(generation, limit)
	if generation < m.slots.Generation {
		if !errors.Is(err, ErrOldGeneration) {
			t.Fatalf("generation %d resized generation %d", generation, m.slots.Generation)
		}
		return
	}
	m.slots, m.cap = next, limit
}

func drawEngineAndEpoch(t *rapid.T) (string, uint64) {
	return fmt.Sprintf("e%d", rapid.IntRange(1, 5).Draw(t, "engine")), rapid.Uint64Range(1, 4).Draw(t, "epoch")
}

// Check implements rapid.StateMachine. Slots above a lowered cap are only those that were bound
// before it was lowered, and none of them is free.
func (m *slotsMachine) Check(t *rapid.T) {
	if len(m.slots.Engines()) != len(m.bound) {
		t.Fatalf("bound %v, slots %v", m.bound, m.slots.Slots)
	}
	if free := len(m.slots.Slots) - len(m.bound); len(m.slots.Slots) > m.cap && free > 0 {
		t.Fatalf("%d free slots above the cap %d", free, m.cap)
	}
	for engine, epoch := range m.bound {
		if s, found := m.slots.SlotOf(engine); !found || s.Epoch != epoch {
			t.Fatalf("%s: slot %v, want epoch %d", engine, s, epoch)
		}
	}
}
