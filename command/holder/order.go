package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// How a worker sends the orders of an operation.

// anySequence has an order name whatever the engine's sequence is.
const anySequence = -1

// order has the engine take one order, again while another is under way, less and
// less often. pinned is the sequence that it must name, or anySequence. refused
// counts the answers that another was under way.
func (w *worker) order(op replicas.Operation, unit serving.Unit, unload bool, pinned int64) (refused int, err error) {
	unsure := false
	began := clock.Now()
	for clock.Since(began) < w.h.params.OrderPatience {
		answer, err := w.send(op, unit, unload, pinned)
		switch {
		case errors.Is(err, serving.ErrOrderUnknown):
			unsure = true
		case err != nil:
			return refused, err
		case answer == serving.OrderAccepted, answer == serving.OrderHolds:
			return refused, nil
		case answer == serving.OrderConflict && !unsure:
			refused++
		default:
			return refused, errors.Wrapf(errEngine, "%s of %s: %s", operationName(unload), unit, answer)
		}
		if err := w.confirm(began); err != nil {
			return refused, err
		}
		wait := min(maxOrderPause, max(w.h.params.OrderPause, clock.Since(began)))
		if !unload {
			w.h.mu.Lock()
			w.h.fleet.Delayed(op, wait, clock.Now())
			w.h.mu.Unlock()
		}
		if !pause.For(w.ctx, wait) {
			return refused, w.ctx.Err()
		}
	}
	return refused, errors.Wrapf(errEngine, "%s of %s: another order stayed under way", operationName(unload), unit)
}

// maxOrderPause bounds the pause between two sends of an order, which is as long as it
// has been tried for: an unload that waits for running requests may take seconds, and
// shorter pauses change nothing but the number of refused orders.
const maxOrderPause = 300 * time.Millisecond

// confirmAfter is how long an order is refused before the engine is asked whether
// another is under way at all: the account's sequence may be wrong instead. It is
// asked again each confirmAfter.
const confirmAfter = time.Second

// confirm fails if the engine is not busy and has counted other orders than the
// account. began is when the order was first sent.
func (w *worker) confirm(began time.Time) error {
	if clock.Since(began) < confirmAfter || !w.mayConfirm() {
		return nil
	}
	report, err := w.report()
	if err != nil || report.Busy {
		return nil // without a report the order's own tries tell, and they are logged
	}
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	if e := w.h.fleet.Engine(w.engine); e != nil && report.Sequence != e.Sequence {
		return errors.Wrapf(errEngine, "the engine is not busy and has accepted %d orders, not %d", report.Sequence, e.Sequence)
	}
	return nil
}

// mayConfirm reports whether a report would tell something new: the last one was
// long ago, and the last accepted order is old enough to be in it.
func (w *worker) mayConfirm() bool {
	w.ordering.Lock()
	defer w.ordering.Unlock()
	now := clock.Now()
	if now.Sub(w.confirmed) < confirmAfter || now.Sub(w.accepted) < confirmAfter {
		return false
	}
	w.confirmed = now
	return true
}

func operationName(unload bool) string {
	if unload {
		return "unload"
	}
	return "load"
}

// send sends one order with the engine's sequence as known now. The lease is
// checked immediately before.
func (w *worker) send(op replicas.Operation, unit serving.Unit, unload bool, pinned int64) (serving.OrderAnswer, error) {
	w.ordering.Lock()
	defer w.ordering.Unlock()
	fence, err := w.h.fence(w.ctx, w.engine)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.h.params.Lease.Transit)
	defer cancel()
	w.h.mu.Lock()
	if !w.h.fleet.Current(op) {
		w.h.mu.Unlock()
		return 0, errors.Wrap(errEngine, "what is known of the engine has changed since the operation was planned")
	}
	e := w.h.fleet.Engine(w.engine)
	if pinned != anySequence && e.Sequence != pinned {
		w.h.mu.Unlock()
		return 0, errMoved
	}
	o := serving.Order{Server: e.Server, Unit: unit, Unload: unload, Expect: e.Sequence, Holder: w.h.params.Name, Fence: fence}
	w.h.mu.Unlock()
	answer, err := w.h.engines.Order(ctx, o)
	w.lastOrder = clock.Now()
	w.noteAnswer(o, answer, err)
	if err != nil {
		err = errors.Mark(err, errEngine)
	}
	return answer, err
}

// noteAnswer counts an accepted order, and notes one whose answer was lost. An engine that already held what was
// ordered has counted nothing, but for an adapter that it unloaded at once.
func (w *worker) noteAnswer(o serving.Order, answer serving.OrderAnswer, err error) {
	w.h.counts.order(answer)
	counted := answer == serving.OrderAccepted || answer == serving.OrderHolds && o.Unload && o.Unit.Adapter != ""
	w.h.mu.Lock()
	switch {
	case errors.Is(err, serving.ErrOrderUnknown):
		w.h.fleet.Unanswered(w.engine, w.lastOrder)
	case err == nil && counted:
		w.accepted = w.lastOrder
		w.h.fleet.Ordered(w.engine)
	}
	w.h.mu.Unlock()
	w.h.log.WithFields(logrus.Fields{
		"engine": w.engine, "unit": o.Unit.String(), "operation": operationName(o.Unload), "expect": o.Expect, "fence": o.Fence,
		"answer": answer, "error": err,
	}).Info("order sent")
}
