package placement

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
)

// Errors returned by Ledger and Policy.
var (
	// ErrNoMemory is returned when the unit does not fit even if every evictable unit is unloaded.
	ErrNoMemory = errors.New("placement: not enough accelerator memory")
	// ErrBusy is returned when the state of the unit in the ledger does not allow the order: Reserve
	// returns it if the unit has an entry in any phase, StartUnload if the unit has none or its entry
	// is ordered or doubtful.
	ErrBusy = errors.New("placement: unit has an order in progress")
)

// Phase is the state of one unit on its engine as known to the orderer.
type Phase int

// Phases of a unit. The unit's memory is counted in every phase.
const (
	// Ordered: the load order has been reserved and may have been sent, and the engine has not
	// reported the unit yet.
	Ordered Phase = iota + 1
	// Loading and Resident are as reported by the engine.
	Loading
	Resident
	// Unloading: an unload order was sent and the engine has not yet reported that the unit is
	// gone.
	Unloading
	// Doubtful: a load order may still be in flight, because an earlier orderer sent it or because
	// it was not answered, and the engine has not reported the unit. This includes the units of
	// doubtful claims (EngineRecord.Doubtful). The phase ends when the engine reports the unit, or
	// when the orderer rebuilds the doubtful entries after it has closed claims or moved
	// to a new epoch.
	Doubtful
)

// Entry is the ledger record of one unit that occupies memory or may occupy it later.
type Entry struct {
	Unit        backend.Unit
	MemoryBytes int64
	Phase       Phase
	// Order is the ID of the last order that this orderer reserved or sent for the unit. For an entry
	// that AddDoubtful added, it is the ID of the order in flight.
	Order string
	// Incarnation is the incarnation of the engine that accepted the last order or reported the unit.
	// It is empty until one of these has happened, and StartUnload empties it again.
	Incarnation string
	// Served is the number of requests served, from the last report.
	Served uint64
	// Running is the number of requests in progress, from the last report.
	Running int
	// LastUsed is the time of the last use by a request, or the time at which the unit became ready
	// if that is later.
	LastUsed time.Time
	// ReadyAt is when the unit was first reported resident.
	ReadyAt time.Time
}

// Ledger tracks the memory of one engine and is kept by the engine's orderer. Reserve never takes
// the sum over the entries past Capacity. It is not safe for concurrent use.
type Ledger struct {
	Capacity int64
	// Entries is keyed by Unit.ID, which is the model's name for a model without an adapter.
	Entries map[string]Entry
}

// NewLedger returns an empty ledger for an engine with capacity bytes of memory.
func NewLedger(capacity int64) *Ledger {
	return &Ledger{Capacity: capacity, Entries: map[string]Entry{}}
}

// Used returns the number of bytes held by all entries.
func (l *Ledger) Used() int64 {
	var sum int64
	for _, e := range l.Entries {
		sum += e.MemoryBytes
	}
	return sum
}

// Free returns the number of bytes not held by any entry. It is negative if doubtful entries exceed
// the capacity.
func (l *Ledger) Free() int64 { return l.Capacity - l.Used() }

// Reserve adds an entry for u before its load order is sent. It returns ErrBusy if there already is
// an entry for the unit and ErrNoMemory if memory bytes are not free.
func (l *Ledger) Reserve(u backend.Unit, memory int64, order string, now time.Time) error {
	if _, found := l.Entries[u.ID()]; found {
		return ErrBusy
	}
	if memory > l.Free() {
		return ErrNoMemory
	}
	l.Entries[u.ID()] = Entry{Unit: u, MemoryBytes: memory, Phase: Ordered, Order: order, LastUsed: now}
	return nil
}

// Cancel removes the reservation of an order that is certain to be neither sent nor carried out.
func (l *Ledger) Cancel(unitID string) {
	if e, found := l.Entries[unitID]; found && e.Phase == Ordered {
		delete(l.Entries, unitID)
	}
}

// Ack records the engine incarnation that accepted the last order for the unit.
func (l *Ledger) Ack(unitID, incarnation string) {
	if e, found := l.Entries[unitID]; found {
		e.Incarnation = incarnation
		l.Entries[unitID] = e
	}
}

// DropOldIncarnations removes the entries that earlier incarnations of the engine held or were
// ordered to load. Orders that no incarnation has accepted yet keep their entries, and so do
// doubtful ones.
func (l *Ledger) DropOldIncarnations(incarnation string) {
	for id, e := range l.Entries {
		if e.Incarnation != "" && e.Incarnation != incarnation && e.Phase != Doubtful {
			delete(l.Entries, id)
		}
	}
}

// StartUnload marks the unit as being unloaded by the given order. It returns ErrBusy if the unit
// is unknown, ordered or doubtful.
func (l *Ledger) StartUnload(unitID, order string) error {
	e, found := l.Entries[unitID]
	if !found || e.Phase == Doubtful || e.Phase == Ordered {
		return ErrBusy
	}
	e.Phase = Unloading
	e.Order = order
	e.Incarnation = ""
	l.Entries[unitID] = e
	return nil
}

// ApplyReport updates the ledger from a report. A unit that is missing from the report is removed
// only if the engine has received the last order for it, or if no order for it is outstanding.
// Doubtful entries of units that are missing from the report remain. The report must come from the
// engine's current incarnation, and DropOldIncarnations must have been called if that incarnation is
// new.
func (l *Ledger) ApplyReport(r backend.Report, now time.Time) {
	reported := map[string]bool{}
	for _, u := range r.Units {
		reported[u.ID()] = true
		l.applyUnit(u, r, now)
	}
	for id, e := range l.Entries {
		if reported[id] || e.Phase == Doubtful {
			continue
		}
		orderOpen := e.Phase == Ordered || e.Phase == Unloading
		if orderOpen && !slices.Contains(r.Orders, e.Order) {
			continue
		}
		delete(l.Entries, id)
	}
}

func (l *Ledger) applyUnit(u backend.UnitReport, r backend.Report, now time.Time) {
	e, found := l.Entries[u.ID()]
	if !found {
		e = Entry{LastUsed: now}
	}
	e.Unit = u.Unit
	e.MemoryBytes = max(e.MemoryBytes, u.MemoryBytes)
	if u.Served != e.Served || u.Running > 0 {
		e.LastUsed = now
	}
	e.Served, e.Running = u.Served, u.Running
	if e.Phase == Unloading && !slices.Contains(r.Orders, e.Order) {
		// The report was made before the engine received the unload order.
		l.Entries[u.ID()] = e
		return
	}
	e.Phase = phaseOf(u.State)
	e.Incarnation = r.Incarnation
	if e.Phase == Resident && e.ReadyAt.IsZero() {
		e.ReadyAt, e.LastUsed = now, now
	}
	l.Entries[u.ID()] = e
	l.touchModel(u.Unit, e.LastUsed)
}

// touchModel counts the use of an adapter as a use of its base model, whose Unit.ID is the model's name.
func (l *Ledger) touchModel(u backend.Unit, at time.Time) {
	m, found := l.Entries[u.Model]
	if u.Adapter != "" && found && at.After(m.LastUsed) {
		m.LastUsed = at
		l.Entries[u.Model] = m
	}
}

func phaseOf(s backend.State) Phase {
	switch s {
	case backend.Resident:
		return Resident
	case backend.Unloading:
		return Unloading
	default:
		return Loading
	}
}

// AddDoubtful counts the memory of a unit that an order in flight may still load, whether or not
// the engine reports the unit now.
func (l *Ledger) AddDoubtful(u backend.Unit, memory int64, order string) {
	e, found := l.Entries[u.ID()]
	if !found {
		e = Entry{Unit: u, Phase: Doubtful, Order: order}
	}
	e.MemoryBytes = max(e.MemoryBytes, memory)
	l.Entries[u.ID()] = e
}
