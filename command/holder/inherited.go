package holder

import (
	"time"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/serving"
)

// maxClockError is the largest assumed difference between the time of day at a server and at this instance.
const maxClockError = 10 * time.Second

// inheritedOrders returns the function that tells the fleet until when orders of earlier holders may be carried out. Such a
// holder may have lost the answer to an order, or may have ended while it waited for one, so nobody knows all of these
// orders. They were sent before orderFrom, and before the process to which they were sent was replaced.
func (h *Holder) inheritedOrders(orderFrom time.Time) func(serving.Server) time.Time {
	return func(s serving.Server) (none time.Time) {
		restart, found := h.dir.Restart(s.ID)
		if !found || s.Born == 0 || restart.Assumed && startedLongAgo(s.Born) {
			return none
		}
		return earlier(orderFrom, restart.LearnedAt).Add(replicas.LateOrderWindow)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// startedLongAgo reports whether a process that started at born, in Unix milliseconds, can't be reached any more by an order
// to a process before it.
func startedLongAgo(born int64) bool {
	return time.Since(time.UnixMilli(born)) > replicas.LateOrderWindow+maxClockError
}
