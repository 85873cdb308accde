package placement

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
)

// Errors of the ledger.
var (
	// ErrNoMemory: the unit does not fit beside what must stay.
	ErrNoMemory = errors.New("placement: not enough accelerator memory")
	// ErrBusy: the unit is being unloaded or its order is unresolved.
	ErrBusy = errors.New("placement: unit has an order in progress")
)

// Phase is the orderer's knowledge of one unit on its engine.
type Phase int

// The phases. In each of them the unit's memory is counted.
const (
	// Ordered: an order to load may be sent or was sent, and the engine has
	// not reported it.
	Ordered Phase = iota + 1
	// Loading and Resident are reported by the engine.
	Loading
	Resident
	// Unloading: an order to unload was sent and the engine has not reported
	// the unit gone.
	Unloading
	// Doubtful: an order to load may be under way, sent by an earlier orderer
	// or without an answer, and the engine has not reported the unit.
	Doubtful
)

// Entry is one unit that occupies or may come to occupy memory.
type Entry struct {
	Unit        backend.Unit
	MemoryBytes int64
	Phase       Phase
	// Order is the id of the last order sent for the unit by this orderer.
	Order string
	// Incarnation of the engine that has taken that order or reported the
	// unit; empty while neither has happened.
	Incarnation string
	// Served is the engine's count of requests when last seen.
	Served uint64
	// Running is the engine's count of requests in progress when last seen.
	Running int
	// LastUsed is when a request last used the unit, or when it became ready.
	LastUsed time.Time
	// ReadyAt is when it was first reported resident.
	ReadyAt time.Time
}

// Ledger is the memory account of one engine, kept by its orderer. Sum over
// entries never passes Capacity. It is not safe for concurrent use.
type Ledger struct {
	Capacity int64
	Entries  map[string]Entry
}

// NewLedger returns an empty ledger.
func NewLedger(capacity int64) *Ledger {
	return &Ledger{Capacity: capacity, Entries: map[string]Entry{}}
}

// Used returns the bytes counted.
func (l *Ledger) Used() int64 {
	var sum int64
	for _, e := range l.Entries {
		sum += e.MemoryBytes
	}
	return sum
}

// Free returns the bytes not counted.
func (l *Ledger) Free() int64 { return l.Capacity - l.Used() }

// Reserve counts u before its order is sent.
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

// Cancel drops a reservation whose order certainly was and will not be sent.
func (l *Ledger) Cancel(unitID string) {
	if e, found := l.Entries[unitID]; found && e.Phase == Ordered {
		delete(l.Entries, unitID)
	}
}

// Ack notes which incarnation of the engine has taken the last order for the
// unit.
func (l *Ledger) Ack(unitID, incarnation string) {
	if e, found := l.Entries[unitID]; found {
		e.Incarnation = incarnation
		l.Entries[unitID] = e
	}
}

// Restarted drops what an earlier incarnation of the engine held or was
// ordered to load. Orders that no incarnation has taken yet stay counted.
func (l *Ledger) Restarted(incarnation string) {
	for id, e := range l.Entries {
		if e.Incarnation != "" && e.Incarnation != incarnation && e.Phase != Doubtful {
			delete(l.Entries, id)
		}
	}
}

// StartUnload marks the unit as ordered to unload.
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

// Apply brings the ledger up to a report. A unit that the report lacks is
// dropped only if the engine has received the last order for it, or if no
// order is open. The report is of the engine's current incarnation, and
// Restarted was called if that is a new one.
func (l *Ledger) Apply(r backend.Report, now time.Time) {
	reported := map[string]bool{}
	for _, u := range r.Units {
		reported[u.ID()] = true
		l.see(u, r, now)
	}
	for id, e := range l.Entries {
		if reported[id] || e.Phase == Doubtful {
			continue
		}
		open := e.Phase == Ordered || e.Phase == Unloading
		if open && !slices.Contains(r.Orders, e.Order) {
			continue
		}
		delete(l.Entries, id)
	}
}

func (l *Ledger) see(u backend.UnitReport, r backend.Report, now time.Time) {
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
		l.Entries[u.ID()] = e
		return
	}
	e.Phase = phaseOf(u.State)
	e.Incarnation = r.Incarnation
	if e.Phase == Resident && e.ReadyAt.IsZero() {
		e.ReadyAt, e.LastUsed = now, now
	}
	l.Entries[u.ID()] = e
	l.useModel(u.Unit, e.LastUsed)
}

// useModel counts the use of an adapter as one of its model.
func (l *Ledger) useModel(u backend.Unit, at time.Time) {
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

// AddDoubtful counts a unit that may come to be loaded by an order that is
// under way, whether or not the engine reports it now.
func (l *Ledger) AddDoubtful(u backend.Unit, memory int64, order string) {
	e, found := l.Entries[u.ID()]
	if !found {
		e = Entry{Unit: u, Phase: Doubtful, Order: order}
	}
	e.MemoryBytes = max(e.MemoryBytes, memory)
	l.Entries[u.ID()] = e
}
