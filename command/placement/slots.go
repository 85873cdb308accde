// Package placement decides which replicas are loaded on which engines. It is pure: state and time
// are passed in, and decisions are returned.
//
// # Why the cap holds
//
// A model has as many slots as its declared maximum number of replicas. A slot is either free or
// bound to one engine and to one epoch of that engine's orderer. The slots of a model are kept in
// one platform object and change only by conditional update, so their number is the cap and no two
// engines share a slot. A load order is sent only by an orderer whose epoch the slot names. Only
// the engine's own orderer releases the slot, after it has confirmed the unload. Nothing expires: a
// bound slot is a permission without time limit, which is why a failure domain that is cut off may
// continue to load within the slots that it holds.
package placement

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors returned by slot transitions.
var (
	// ErrNotBound is returned when no slot of the model is bound to the engine.
	ErrNotBound = errors.New("placement: slot not bound to this engine")
	// ErrSuperseded is returned when the slot is held by a newer epoch of the engine's orderer.
	ErrSuperseded = errors.New("placement: slot held by a newer epoch")
	// ErrOldGeneration is returned when a newer declaration has already set the number of slots.
	ErrOldGeneration = errors.New("placement: declaration older than the slots")
)

// NoSlotError is returned when every slot of the model is bound to another engine.
type NoSlotError struct {
	Model string
	// Engines are the engines that hold the slots. It is empty if the cap is 0.
	Engines []string
}

// Error implements error. The text lists the engines that hold the slots.
func (e *NoSlotError) Error() string {
	return "placement: no free slot of " + e.Model + ", bound to: " + strings.Join(e.Engines, ", ")
}

// Slot is the permission to hold one replica of a model.
type Slot struct {
	// Engine is the engine to which the slot is bound, empty if the slot is free.
	Engine string `json:"engine,omitempty"`
	// Epoch is the epoch of the engine's orderer that bound or adopted the slot.
	Epoch uint64 `json:"epoch,omitempty"`
}

// ModelSlots is the platform object that holds the slots of one model.
type ModelSlots struct {
	Model string `json:"model"`
	// Generation is the generation of the declaration that set the number of slots. Older
	// declarations cannot change it any more, so that an instance with an outdated declaration
	// cannot raise a lowered cap.
	Generation int64  `json:"generation"`
	Cap        int    `json:"cap"`
	Slots      []Slot `json:"slots"`
}

// Resize returns m with the cap of the given declaration. When the cap is lowered, free slots are
// removed; bound slots remain, and count, until their orderers release them.
func (m ModelSlots) Resize(generation int64, maxReplicas int) (ModelSlots, error) {
	if generation < m.Generation {
		return m, ErrOldGeneration
	}
	m.Generation = generation
	m.Cap = maxReplicas
	m.Slots = trim(m.Slots, maxReplicas)
	for len(m.Slots) < maxReplicas {
		m.Slots = append(m.Slots, Slot{})
	}
	return m, nil
}

// trim removes free slots while there are more than maxReplicas slots.
func trim(slots []Slot, maxReplicas int) []Slot {
	out := make([]Slot, 0, len(slots))
	surplus := len(slots) - maxReplicas
	for _, s := range slots {
		if s.Engine == "" && surplus > 0 {
			surplus--
			continue
		}
		out = append(out, s)
	}
	return out
}

// Bind binds a slot to the engine under epoch: the slot that the engine already holds, or else a
// free one. It returns a NoSlotError if there is neither, and ErrSuperseded if the engine's slot
// has a newer epoch.
func (m ModelSlots) Bind(engine string, epoch uint64) (ModelSlots, error) {
	i := m.find(engine)
	if i < 0 {
		i = m.find("")
	}
	if i < 0 {
		return m, &NoSlotError{Model: m.Model, Engines: m.Engines()}
	}
	if m.Slots[i].Engine == engine && m.Slots[i].Epoch > epoch {
		return m, ErrSuperseded
	}
	m.Slots = slices.Clone(m.Slots)
	m.Slots[i] = Slot{Engine: engine, Epoch: epoch}
	return m, nil
}

// Release frees the engine's slot, or removes it if the number of slots is above the cap. The
// caller must have confirmed that the engine neither holds the model nor can still receive an order
// to load it.
func (m ModelSlots) Release(engine string, epoch uint64) (ModelSlots, error) {
	i := m.find(engine)
	if i < 0 {
		return m, ErrNotBound
	}
	if m.Slots[i].Epoch > epoch {
		return m, ErrSuperseded
	}
	m.Slots = slices.Clone(m.Slots)
	m.Slots[i] = Slot{}
	m.Slots = trim(m.Slots, m.Cap)
	return m, nil
}

// ExceedsCap reports whether the engine's slot is above the cap and must be released. Slots later
// in the list are released first.
func (m ModelSlots) ExceedsCap(engine string) bool {
	i := m.find(engine)
	return i >= m.Cap && i >= 0
}

// SlotOf returns the slot bound to the engine.
func (m ModelSlots) SlotOf(engine string) (Slot, bool) {
	if i := m.find(engine); i >= 0 {
		return m.Slots[i], true
	}
	return Slot{}, false
}

// Engines returns the engines that hold slots.
func (m ModelSlots) Engines() []string {
	var out []string
	for _, s := range m.Slots {
		if s.Engine != "" {
			out = append(out, s.Engine)
		}
	}
	return out
}

func (m ModelSlots) find(engine string) int {
	return slices.IndexFunc(m.Slots, func(s Slot) bool { return s.Engine == engine })
}
