package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// The methods in this file record the progress of operations, as observed by the lease holder that carries them out, and
// what instances report about engines.

// failureBackoff is how long an engine is skipped after a failed operation; it doubles with each further failure, up to
// maxFailureBackoff.
const (
	failureBackoff    = 500 * time.Millisecond
	maxFailureBackoff = 8 * time.Second
)

// Ordered records that the engine has accepted an order.
func (f *Fleet) Ordered(id string) {
	if e := f.engines[id]; e != nil {
		e.Sequence++
	}
}

// Unanswered records that the response to an order was lost. The engine may still carry out the order until it accepts
// another one that names the same sequence.
func (f *Fleet) Unanswered(o serving.Order, now time.Time) {
	f.late.add(o, now)
	if e := f.engines[o.Server.ID]; e != nil && e.Server.MayBeSameProcess(o.Server.Born) {
		e.orderUnanswered, e.unansweredSequence = true, o.Expect
	}
}

// Unloaded records that a unit of an operation was unloaded from its engine. An adapter is ignored: it was removed from
// the record when the operation was planned, since the new adapter takes its slot, and by now it may have been planned
// again for another request.
func (f *Fleet) Unloaded(op Operation, unit serving.Unit) {
	e := f.engines[op.Engine]
	if e != nil && e.generation == op.generation && unit.Adapter == "" {
		delete(e.Copies, unit.Model)
		f.copyRemoved(e, unit.Model)
	}
}

// Expect sets the time at which an operation's load is expected to be ready.
func (f *Fleet) Expect(op Operation, ready time.Time) {
	e := f.engines[op.Engine]
	if e == nil || e.generation != op.generation || e.Copies[op.Load.Model] == nil {
		return
	}
	c := e.Copies[op.Load.Model]
	if op.Load.Adapter != "" {
		if a := c.Adapters[op.Load.Adapter]; a != nil {
			a.Ready, a.OriginalReady = ready, ready
		}
		return
	}
	c.Ready, c.OriginalReady = ready, ready
	e.FreeAt = later(e.FreeAt, ready)
}

// Current reports whether the record on which an operation was planned is still valid. No order may be sent for an
// operation that is not current. An adapter's operation is no longer current once the copy of its model is
// unloaded: a copy that is loaded later has no slot reserved for the adapter.
func (f *Fleet) Current(op Operation) bool {
	e := f.engines[op.Engine]
	if e == nil || e.MustBeRead || e.generation != op.generation {
		return false
	}
	return op.copy == nil || e.Copies[op.Load.Model] == op.copy && op.copy.State != Unloading
}

// Done records that an operation has been carried out.
func (f *Fleet) Done(op Operation, now time.Time) {
	e := f.engines[op.Engine]
	if e == nil || e.generation != op.generation {
		return
	}
	e.failures = 0
	f.observeLateness(op, now)
	if op.Load.Adapter == "" {
		e.Busy = false
		f.remoteLoadEnded(op, e, now)
	}
	c := e.Copies[op.Load.Model]
	if e.sequenceDoubtful && op.Load.Adapter == "" {
		e.MustBeRead = true
		e.generation++
	}
	if c == nil {
		return
	}
	if op.Load.Adapter == "" {
		c.State = Resident
	} else if a := c.Adapters[op.Load.Adapter]; a != nil {
		a.loading = false
	}
}

// Failed records that an operation could not be carried out: the engine must be read again and is skipped for a while.
// The failure of an operation that is not current is ignored, since it does not show that the engine has failed.
func (f *Fleet) Failed(op Operation, now time.Time) {
	if f.Current(op) {
		f.engines[op.Engine].fail(now)
	}
}

// OrderPending reports whether an order whose response was lost may still be carried out: the engine has accepted no other
// order since that names the same sequence.
func (f *Fleet) OrderPending(id string) bool {
	e := f.engines[id]
	return e != nil && e.orderUnanswered && e.unansweredSequence == e.Sequence
}

// HeldAlready records that an engine already had what an order for a model asked for. If the response to an earlier send
// was lost, that was probably carried out, and the engine's sequence is one higher than recorded: it reports true, and the
// engine is read at the end of the operation.
func (f *Fleet) HeldAlready(id string) bool {
	if !f.OrderPending(id) {
		return false
	}
	f.engines[id].sequenceDoubtful = true
	return true
}

// Uncertain records that an operation ended because an order may or may not have been carried out, which does not show
// that the engine has failed: it is read again, and its other copies serve meanwhile.
func (f *Fleet) Uncertain(op Operation) {
	if f.Current(op) {
		e := f.engines[op.Engine]
		e.MustBeRead = true
		e.generation++
	}
}

// Withdrawn records that an operation ended because an order could not be sent, which does not show that the engine has
// failed. The engine's state is still known, and copies whose unload was not ordered continue to serve. But the engine
// must be read again if it may still carry out an order whose response was lost.
func (f *Fleet) Withdrawn(op Operation) {
	e := f.engines[op.Engine]
	if !f.Current(op) {
		return
	}
	if f.OrderPending(op.Engine) || op.Load.Adapter != "" { // the record does not show whether the evicted adapter is still loaded
		e.MustBeRead = true
		e.generation++
		return
	}
	for _, unit := range op.Unload {
		if c := e.Copies[unit.Model]; c != nil {
			c.State = Resident
		}
	}
	if c := e.Copies[op.Load.Model]; c != nil && c.State == Loading {
		delete(e.Copies, op.Load.Model)
		f.copyRemoved(e, op.Load.Model)
	}
	e.Busy = false
}

// OutOfReach records that an operation ended because the lease holder does not reach an engine that runs: its copies continue
// to serve, and nothing is planned on it for a while.
func (f *Fleet) OutOfReach(op Operation, now time.Time) {
	e := f.engines[op.Engine]
	if !f.Current(op) {
		return
	}
	f.Withdrawn(op)
	e.outOfReachUntil = now.Add(min(maxFailureBackoff, failureBackoff<<min(e.failures, 8)))
	e.failures++
}

// Suspend stops or resumes the planning of operations. While no order can be sent, planned operations would only be
// withdrawn.
func (f *Fleet) Suspend(suspended bool) { f.suspended = suspended }

// fail marks the engine to be read again and to be skipped for a while.
func (e *Engine) fail(now time.Time) {
	e.generation++
	e.MustBeRead = true
	e.FailingUntil = now.Add(min(maxFailureBackoff, failureBackoff<<min(e.failures, 8)))
	e.failures++
}

// unreachableBackoff is how long an engine is skipped after an instance could not connect to it.
const unreachableBackoff = time.Second

// Unreachable records that an instance could not connect to an engine.
func (f *Fleet) Unreachable(id string, now time.Time) {
	if e := f.engines[id]; e != nil {
		e.FailingUntil = later(e.FailingUntil, now.Add(unreachableBackoff))
	}
}

// holdBackDuration is how long an engine counts as held back after an instance reported it. While that lasts, each
// request that finds no other copy reports it again.
const holdBackDuration = 500 * time.Millisecond

// HoldBack records that an engine accepts no additional requests, or no requests at all for a while, and that a request
// found no other copy of a unit that the engine has. For holdBackDuration, the engine's copies do not count, so that the
// unit is loaded on another engine, and nothing is loaded on this one.
func (f *Fleet) HoldBack(id string, now time.Time) {
	if e := f.engines[id]; e != nil {
		e.heldBackUntil = later(e.heldBackUntil, now.Add(holdBackDuration))
	}
}

// A load that is not done at its expected time is postponed by postponeInterval. An adapter load that is late by more
// than maxAdapterLateness is no longer postponed, see Postpone.
const (
	postponeInterval   = 100 * time.Millisecond
	maxAdapterLateness = 2 * time.Second
)

// loadGrace is how much longer than expected a load may take. An engine that has dropped weights from its host memory
// loads them from its disk instead, which takes at most half a second longer here. Reading the engine again would block
// its loads for a third of a second.
const loadGrace = 500 * time.Millisecond

// Postpone moves the expected ready time of a unit if its load is still in progress or was expected to end only a
// moment ago, and reports whether it did. If not, the load may have failed.
func (f *Fleet) Postpone(id string, unit serving.Unit, now time.Time) bool {
	e := f.engines[id]
	if e == nil || e.Copies[unit.Model] == nil {
		return false
	}
	c := e.Copies[unit.Model]
	if c.State == Loading || unit.Adapter == "" && now.Sub(c.OriginalReady) < loadGrace {
		if c.State == Resident && c.fromHostMemory {
			c.fromHostMemory = false
			f.hostMemory.recordSlow()
		}
		c.Ready = later(c.Ready, now.Add(postponeInterval))
		return true
	}
	a := c.Adapters[unit.Adapter]
	if a == nil || now.Sub(a.OriginalReady) > maxAdapterLateness {
		return false
	}
	a.Ready = later(a.Ready, now.Add(postponeInterval))
	return true
}

// MarkForRead marks an engine to be read again because it lacks a unit that it should have. Until then the unit gets no
// requests, but its memory still counts as used.
func (f *Fleet) MarkForRead(id string, unit serving.Unit) {
	e := f.engines[id]
	if e == nil {
		return
	}
	e.MustBeRead = true
	e.generation++
	c := e.Copies[unit.Model]
	if c == nil {
		return
	}
	if unit.Adapter == "" {
		c.State = Unloading
		return
	}
	if a := c.Adapters[unit.Adapter]; a != nil {
		a.missing = true
	}
}
