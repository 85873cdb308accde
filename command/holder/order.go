package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// This file implements sending the orders of an operation.

// anySequence lets an order name the engine's current sequence number, whatever it is.
const anySequence = -1

// orderWithRetries sends one order and repeats it with growing pauses while another order is in progress. pinned is
// the sequence number that the order must name, or anySequence. refused is the number of responses that another
// order was in progress. watch follows the requests that the unload before the order waits for, nil if there was none.
func (w *worker) orderWithRetries(op replicas.Operation, unit serving.Unit, unload bool, pinned int64, watch *runWatch) (refused int, err error) {
	unanswered := false
	startedAt := clock.Now()
	for clock.Since(startedAt) < w.h.params.OrderRetryTimeout {
		answer, err := w.sendOrder(op, unit, unload, pinned)
		switch {
		case errors.Is(err, serving.ErrOrderUnknown):
			unanswered = true
		case err != nil:
			return refused, err
		case answer == serving.OrderAlreadyDone && unit.Adapter == "" && unanswered && w.heldAlready() && unload:
			return refused, errors.Wrapf(errUncertain, "%s of %s", operationName(unload), unit) // no order can follow it
		case answer == serving.OrderAccepted, answer == serving.OrderAlreadyDone:
			return refused, nil
		case answer == serving.OrderConflict && unanswered && w.orderPending():
			return refused, errors.Wrapf(errUncertain, "%s of %s", operationName(unload), unit)
		case answer == serving.OrderConflict:
			refused++
			state := watch.state()
			w.h.metrics.countRefused(operationName(unload), state.cause())
		default:
			return refused, errors.Wrapf(errEngine, "%s of %s: %s", operationName(unload), unit, answer)
		}
		if err := w.checkSequence(startedAt); err != nil {
			return refused, err
		}
		wait := min(maxOrderPause, max(w.h.params.OrderRetryPause, clock.Since(startedAt)))
		if err != nil { // there was enough time for an answer
			wait = w.h.params.OrderRetryPause
		}
		if !unload {
			w.h.mu.Lock()
			w.h.fleet.Delayed(op, wait, clock.Now())
			w.h.mu.Unlock()
		}
		if !w.pauseRefused(watch, wait) {
			return refused, w.ctx.Err()
		}
	}
	return refused, errors.Wrapf(errEngine, "%s of %s: another order was still in progress at the end of the retries", operationName(unload), unit)
}

// errUncertain is returned when an order was refused after the response to it was lost: the engine may be carrying it
// out, or have done so.
var errUncertain = errors.New("holder: the order may have been carried out")

// errLateOrder is returned when the engine would reach the sequence of an order to its previous process.
var errLateOrder = errors.New("holder: a late order may be carried out after this one")

// heldAlready records that the engine already had what an order asked for, and reports whether an earlier send of the
// order was probably carried out.
func (w *worker) heldAlready() bool {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	return w.h.fleet.HeldAlready(w.engine)
}

// orderPending reports whether an order whose response was lost may still be carried out.
func (w *worker) orderPending() bool {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	return w.h.fleet.OrderPending(w.engine)
}

// maxOrderPause bounds the pause between two sends of an order. The pause is as long as the order has been tried
// for: an unload that waits for running requests may take seconds, and shorter pauses would only increase the number
// of refused orders.
const maxOrderPause = 300 * time.Millisecond

// sequenceCheckInterval is how long an order is refused before the engine is asked whether another order is in
// progress at all; the recorded sequence number may be wrong instead. The check is repeated at this interval.
const sequenceCheckInterval = time.Second

// checkSequence fails if the engine is idle and its sequence number differs from the recorded one. startedAt is when
// the order was first sent.
func (w *worker) checkSequence(startedAt time.Time) error {
	if clock.Since(startedAt) < sequenceCheckInterval || !w.sequenceCheckDue() {
		return nil
	}
	report, err := w.report()
	if err != nil || report.Busy {
		return nil // without a report the retries of the order decide; they are logged
	}
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	if e := w.h.fleet.Engine(w.engine); e != nil && report.Sequence != e.Sequence {
		return errors.Wrapf(errEngine, "the engine is idle at sequence %d, expected %d", report.Sequence, e.Sequence)
	}
	return nil
}

// sequenceCheckDue reports whether a report of the engine would be new information: the last one was long ago, and
// the last accepted order is old enough to be included.
func (w *worker) sequenceCheckDue() bool {
	w.orderMu.Lock()
	defer w.orderMu.Unlock()
	now := clock.Now()
	if now.Sub(w.sequenceCheckedAt) < sequenceCheckInterval || now.Sub(w.lastAccepted) < sequenceCheckInterval {
		return false
	}
	w.sequenceCheckedAt = now
	return true
}

func operationName(unload bool) string {
	if unload {
		return "unload"
	}
	return "load"
}

// sendOrder sends one order that names the engine's recorded sequence number. It checks the lease immediately before
// sending.
func (w *worker) sendOrder(op replicas.Operation, unit serving.Unit, unload bool, pinned int64) (serving.OrderAnswer, error) {
	w.orderMu.Lock()
	defer w.orderMu.Unlock()
	fence, err := w.h.orderFence(w.ctx, w.engine)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.h.params.Lease.Transit)
	defer cancel()
	w.h.mu.Lock()
	if !w.h.fleet.Current(op) {
		w.h.mu.Unlock()
		return 0, errors.Wrap(errEngine, "the engine's state has changed since the operation was planned")
	}
	e := w.h.fleet.Engine(w.engine)
	if pinned != anySequence && e.Sequence != pinned {
		w.h.mu.Unlock()
		return 0, errSequenceChanged
	}
	if w.h.fleet.AwaitsLateOrder(w.engine, clock.Now()) {
		w.h.mu.Unlock()
		return 0, errLateOrder
	}
	o := serving.Order{Server: e.Server, Unit: unit, Unload: unload, Expect: e.Sequence, Holder: w.h.params.Name, Fence: fence}
	w.h.mu.Unlock()
	answer, err := w.h.engines.Order(ctx, o)
	w.lastOrder = clock.Now()
	w.recordAnswer(o, answer, err)
	if err != nil {
		err = errors.Mark(err, errEngine)
	}
	return answer, err
}

// recordAnswer counts an accepted order and records one whose response was lost. An engine that already had what was
// ordered has not incremented its sequence number, except for an adapter that it unloaded at once.
func (w *worker) recordAnswer(o serving.Order, answer serving.OrderAnswer, err error) {
	w.h.metrics.countOrder(answer)
	incremented := answer == serving.OrderAccepted || answer == serving.OrderAlreadyDone && o.Unload && o.Unit.Adapter != ""
	w.h.mu.Lock()
	switch {
	case errors.Is(err, serving.ErrOrderUnknown):
		w.h.fleet.Unanswered(o, w.lastOrder)
	case err == nil && incremented:
		w.lastAccepted = w.lastOrder
		w.h.fleet.Ordered(w.engine)
	}
	w.h.mu.Unlock()
	w.h.log.WithFields(logrus.Fields{
		"engine": w.engine, "unit": o.Unit.String(), "operation": operationName(o.Unload), "expect": o.Expect, "fence": o.Fence,
		"answer": answer, "error": err,
	}).Info("order sent")
}
