package replicas

import (
	"maps"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// LateOrderWindow is how long after its answer was lost an order may still be carried out.
const LateOrderWindow = 12 * time.Second

// ordersPerOperation is the number of orders that an operation usually sends at most.
const ordersPerOperation = 3

// lateOrder is an order whose answer was lost. It names the engine by its ID and a sequence. A process that restarts
// under the same ID carries it out too if it reaches that sequence in time, although it may lack the room by then.
type lateOrder struct {
	// born is the start time of the process to which the order was sent.
	born, sequence int64
	until          time.Time
}

// lateOrders are the late orders by engine.
type lateOrders map[string][]lateOrder

// add records that the answer to an order was lost, and forgets orders that can't be carried out any more.
func (l lateOrders) add(o serving.Order, now time.Time) {
	for id, orders := range l {
		l[id] = slices.DeleteFunc(orders, func(late lateOrder) bool { return now.After(late.until) })
	}
	maps.DeleteFunc(l, func(_ string, orders []lateOrder) bool { return len(orders) == 0 })
	l[o.Server.ID] = append(l[o.Server.ID], lateOrder{born: o.Server.Born, sequence: o.Expect, until: now.Add(LateOrderWindow)})
}

// mayArrive reports whether an order to another process of the server may be carried out at a sequence from first to
// last.
func (l lateOrders) mayArrive(s serving.Server, first, last int64, now time.Time) bool {
	return slices.ContainsFunc(l[s.ID], func(o lateOrder) bool {
		return !s.MayBeSameProcess(o.born) && first <= o.sequence && o.sequence <= last && now.Before(o.until)
	})
}

// SetInheritedOrders sets the function that returns until when an order that an earlier holder sent to an earlier process
// under a server's ID may be carried out, the zero time if there is none. The sequences of such orders are not known, so
// the engine gets no order before.
func (f *Fleet) SetInheritedOrders(until func(serving.Server) time.Time) {
	f.inheritedOrdersEnd = until
}

// AwaitsLateOrder reports whether the engine is about to reach the sequence of an order that was sent to an earlier
// process under its ID and may still arrive. No order may be sent that lets the engine reach it. An engine that has
// reached it may get orders: whichever arrives first, the other one is refused.
func (f *Fleet) AwaitsLateOrder(id string, now time.Time) bool {
	e := f.engines[id]
	return e != nil && (e.awaitsInherited(now) || e.late.mayArrive(e.Server, e.Sequence+1, e.Sequence+1, now))
}

// awaitsInherited reports whether an order of an earlier holder to an earlier process may still be carried out.
func (e *Engine) awaitsInherited(now time.Time) bool { return now.Before(e.inheritedUntil) }

// CountAwaitingInherited returns the number of engines that get no orders because one of an earlier holder may still be
// carried out there.
func (f *Fleet) CountAwaitingInherited(now time.Time) int {
	n := 0
	for _, e := range f.engines {
		if e.awaitsInherited(now) {
			n++
		}
	}
	return n
}

// nearLateOrder reports whether an operation might have to stop because of AwaitsLateOrder.
func (e *Engine) nearLateOrder(now time.Time) bool {
	return e.awaitsInherited(now) || e.late.mayArrive(e.Server, e.Sequence+1, e.Sequence+ordersPerOperation, now)
}
