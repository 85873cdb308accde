package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// The progress of an operation, as the instance that carries it out notes it.

// failingFor is how long an engine is passed over after a failed operation; it
// doubles with each further one up to maxFailingFor.
const (
	failingFor    = 500 * time.Millisecond
	maxFailingFor = 8 * time.Second
)

// Ordered notes that the engine has accepted an order.
func (f *Fleet) Ordered(id string) {
	if e := f.engines[id]; e != nil {
		e.Sequence++
	}
}

// Unanswered notes that the answer to an order was lost, which named the sequence that
// is known. It may be carried out until the engine accepts another one on that.
func (f *Fleet) Unanswered(id string, now time.Time) {
	if e := f.engines[id]; e != nil {
		e.unanswered, e.unansweredOn, e.unansweredAt = true, e.Sequence, now
	}
}

// Unloaded notes that a unit is gone from an operation's engine. An adapter left
// the account when the operation was planned: its place is the new one's, and by
// now it may have been planned anew for another request.
func (f *Fleet) Unloaded(op Operation, unit serving.Unit) {
	e := f.engines[op.Engine]
	if e != nil && e.generation == op.generation && unit.Adapter == "" {
		delete(e.Copies, unit.Model)
		f.copyRemoved(e, unit.Model)
	}
}

// Expect moves the time at which an operation's load will be ready.
func (f *Fleet) Expect(op Operation, ready time.Time) {
	e := f.engines[op.Engine]
	if e == nil || e.generation != op.generation || e.Copies[op.Load.Model] == nil {
		return
	}
	c := e.Copies[op.Load.Model]
	if op.Load.Adapter != "" {
		if a := c.Adapters[op.Load.Adapter]; a != nil {
			a.Ready, a.Due = ready, ready
		}
		return
	}
	c.Ready, c.Due = ready, ready
	e.Free = later(e.Free, ready)
}

// Current reports whether the account that an operation was planned on still
// stands. No order may be sent for one that is not. An adapter's operation ends with
// the copy of its model: loaded again, that one has no place counted for it.
func (f *Fleet) Current(op Operation) bool {
	e := f.engines[op.Engine]
	if e == nil || e.Unsure || e.generation != op.generation {
		return false
	}
	return op.copy == nil || e.Copies[op.Load.Model] == op.copy && op.copy.State != Leaving
}

// Done notes that an operation has been carried out.
func (f *Fleet) Done(op Operation, now time.Time) {
	e := f.engines[op.Engine]
	if e == nil || e.generation != op.generation {
		return
	}
	e.failures = 0
	if op.Load.Adapter == "" {
		e.Busy = false
		f.remoteEnded(op, e, now)
	}
	c := e.Copies[op.Load.Model]
	if c == nil {
		return
	}
	if op.Load.Adapter == "" {
		c.State = Resident
	} else if a := c.Adapters[op.Load.Adapter]; a != nil {
		a.arriving = false
	}
}

// Failed notes that an operation could not be carried out: the engine has to
// be read anew, and is passed over for a while. It says nothing of the engine if the
// operation was void.
func (f *Fleet) Failed(op Operation, now time.Time) {
	if f.Current(op) {
		f.engines[op.Engine].fail(now)
	}
}

// Withdrawn notes that an operation ended because an order could not be sent, which
// says nothing of the engine. What it holds is known, and the copies whose unload was
// not ordered serve on; but it has to be read anew if an order whose answer was lost may
// still be carried out.
func (f *Fleet) Withdrawn(op Operation) {
	e := f.engines[op.Engine]
	if !f.Current(op) {
		return
	}
	lost := e.unanswered && e.unansweredOn == e.Sequence
	if lost || op.Load.Adapter != "" { // of an adapter it is not noted whether its victim is still there
		e.Unsure = true
		e.generation++
		return
	}
	for _, unit := range op.Unload {
		if c := e.Copies[unit.Model]; c != nil {
			c.State = Resident
		}
	}
	if c := e.Copies[op.Load.Model]; c != nil && c.State == Arriving {
		delete(e.Copies, op.Load.Model)
		f.copyRemoved(e, op.Load.Model)
	}
	e.Busy = false
}

// Suspend has the fleet plan nothing, or go on: while no order can be sent, what is
// planned would only be withdrawn.
func (f *Fleet) Suspend(suspended bool) { f.suspended = suspended }

func (e *Engine) fail(now time.Time) {
	e.generation++
	e.Unsure = true
	e.Failing = now.Add(min(maxFailingFor, failingFor<<min(e.failures, 8)))
	e.failures++
}

// unreachableFor is how long an engine that an instance could not connect to is
// passed over.
const unreachableFor = time.Second

// Unreachable notes that an instance could not connect to an engine.
func (f *Fleet) Unreachable(id string, now time.Time) {
	if e := f.engines[id]; e != nil {
		e.Failing = later(e.Failing, now.Add(unreachableFor))
	}
}

// heldBackFor is how long an engine counts as taking no more after an instance said so: requests
// that find no other copy say so again.
const heldBackFor = 500 * time.Millisecond

// HoldBack notes that an engine takes no more requests than it gets, or rests, and that a request
// that needs what it has finds no other copy. Until that is over, its copies count as none, so that
// another engine loads what is asked for, and nothing is loaded there.
func (f *Fleet) HoldBack(id string, now time.Time) {
	if e := f.engines[id]; e != nil {
		e.heldBack = later(e.heldBack, now.Add(heldBackFor))
	}
}

// A load that is not done when it was expected to be is looked for again after
// postponement, and in doubt when it is later than latest.
const (
	postponement = 100 * time.Millisecond
	latest       = 2 * time.Second
)

// loadGrace is how much longer than expected a load may take: an engine that has
// dropped weights from its host memory takes them from its disk, half a second at
// most here. To read the engine anew for that would stop its loads for a third of a
// second.
const loadGrace = 500 * time.Millisecond

// Postpone moves the time at which a unit is ready if its load is still under
// way or has just been due, and reports whether it is.
func (f *Fleet) Postpone(id string, unit serving.Unit, now time.Time) bool {
	e := f.engines[id]
	if e == nil || e.Copies[unit.Model] == nil {
		return false
	}
	c := e.Copies[unit.Model]
	if c.State == Arriving || unit.Adapter == "" && now.Sub(c.Due) < loadGrace {
		if c.State == Resident && c.hostMemory {
			c.hostMemory = false
			f.hostMemory.late()
		}
		c.Ready = later(c.Ready, now.Add(postponement))
		return true
	}
	a := c.Adapters[unit.Adapter]
	if a == nil || now.Sub(a.Due) > latest {
		return false
	}
	a.Ready = later(a.Ready, now.Add(postponement))
	return true
}

// Doubt marks an engine to be read anew, since it does not have a unit that it should.
// Until then the unit gets no requests; its memory stays counted.
func (f *Fleet) Doubt(id string, unit serving.Unit) {
	e := f.engines[id]
	if e == nil {
		return
	}
	e.Unsure = true
	e.generation++
	c := e.Copies[unit.Model]
	if c == nil {
		return
	}
	if unit.Adapter == "" {
		c.State = Leaving
		return
	}
	if a := c.Adapters[unit.Adapter]; a != nil {
		a.missing = true
	}
}
