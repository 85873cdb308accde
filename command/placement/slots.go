// Package placement decides which replicas are loaded where. It is pure: state
// and time come in, verdicts and orders come out.
//
// # Why the cap holds
//
// A model has as many slots as its declared maximum of replicas. A slot is
// free, or bound to one engine and one epoch of that engine's orderer. Slots
// are kept in one platform object a model and change by conditional update
// only, so their number is the cap and no two engines share one. An order to
// load is sent only by an orderer whose epoch the slot names. A slot leaves an
// engine only by its orderer's own write, after the unload is proved. Nothing
// in this expires: a bound slot is a standing permission, which is why a
// failure domain that is cut off may go on loading within the slots it holds.
package placement

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of slot transitions.
var (
	// ErrNotBound: the model has no slot bound to the engine.
	ErrNotBound = errors.New("placement: slot not bound to this engine")
	// ErrSuperseded: a newer epoch of the engine's orderer holds the slot.
	ErrSuperseded = errors.New("placement: slot held by a newer epoch")
	// ErrOldGeneration: the slots were sized by a newer declaration.
	ErrOldGeneration = errors.New("placement: declaration older than the slots")
)

// NoSlotError says that every slot of the model is bound to another engine.
type NoSlotError struct {
	Model string
	// Engines hold the slots; there are none if the cap is 0.
	Engines []string
}

// Error names the engines that hold the slots.
func (e *NoSlotError) Error() string {
	return "placement: no free slot of " + e.Model + ", bound to: " + strings.Join(e.Engines, ", ")
}

// Slot is the right to hold one replica of a model.
type Slot struct {
	// Engine that the slot is bound to, empty when it is free.
	Engine string `json:"engine,omitempty"`
	// Epoch of the engine's orderer that bound or adopted it.
	Epoch uint64 `json:"epoch,omitempty"`
}

// ModelSlots is the platform object of one model.
type ModelSlots struct {
	Model string `json:"model"`
	// Generation of the declaration that sized the slots. Older ones never
	// size them again, so that a late instance cannot raise a lowered cap.
	Generation int64  `json:"generation"`
	Cap        int    `json:"cap"`
	Slots      []Slot `json:"slots"`
}

// Resize returns m sized by a declaration. Free slots go first when the cap is
// lowered; bound ones stay, counted, until their orderers release them.
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

// trim removes free slots while there are more than maxReplicas in all.
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

// Bind gives a slot to the engine at epoch: the engine's own one if it has
// one, else a free one.
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

// Release frees the engine's slot, or removes it when the cap was lowered.
// The caller has proved that the engine neither holds nor can get the model.
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

// Excess reports whether the engine's slot is above the cap and must go. The
// slots bound last go first.
func (m ModelSlots) Excess(engine string) bool {
	i := m.find(engine)
	return i >= m.Cap && i >= 0
}

// Bound returns the slot of the engine.
func (m ModelSlots) Bound(engine string) (Slot, bool) {
	if i := m.find(engine); i >= 0 {
		return m.Slots[i], true
	}
	return Slot{}, false
}

// Engines lists the engines that hold slots.
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
