package holder

import (
	"time"

	"github.com/martenport/martenport/command/overload"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
)

const (
	// dispatchPauseFactor leaves four fifths of the holder's time to its answers: callers wait for those, while a
	// decision about loads only has to be made before the load is missed.
	dispatchPauseFactor = 4
	// maxDispatchPause is the longest delay of a decision about loads. It is a small part of the shortest load, some
	// hundreds of milliseconds, and no longer than the interval at which a waiting request looks for its model.
	maxDispatchPause = 50 * time.Millisecond
)

// dispatchPacing decides when loads are decided on behalf of requests and ended operations.
type dispatchPacing struct {
	pacer *overload.Pacer
	// timerSet reports whether runPendingDispatch will be called.
	timerSet bool
	// elapsed returns the time since a run began. Tests replace it, since work takes no virtual time.
	elapsed func(began time.Time) time.Duration
}

func newDispatchPacing() dispatchPacing {
	return dispatchPacing{
		pacer:   overload.NewPacer(overload.PacerParams{PauseFactor: dispatchPauseFactor, MaxPause: maxDispatchPause}),
		elapsed: time.Since,
	}
}

// requestDispatch decides loads now, or has them decided soon. ran reports whether they have been decided. h.mu must
// be held.
func (h *Holder) requestDispatch(now time.Time) (operations []replicas.Operation, ran bool) {
	if h.pacing.pacer.Request(now) {
		return h.runDispatch(now), true
	}
	h.metrics.coalescedDispatches.Inc()
	h.schedulePendingDispatch(now)
	return nil, false
}

// runDispatch decides loads. h.mu must be held.
func (h *Holder) runDispatch(now time.Time) []replicas.Operation {
	began := time.Now()
	operations := h.fleet.Dispatch(now)
	took := h.pacing.elapsed(began)
	ended := now.Add(took)
	if current := clock.Now(); current.After(ended) { // the caller has waited for h.mu since now
		ended = current
	}
	h.pacing.pacer.Ran(ended, took)
	h.metrics.dispatches.Inc()
	h.metrics.dispatchSeconds.Update(took.Seconds())
	return operations
}

// schedulePendingDispatch has runPendingDispatch called when the pending run is due. h.mu must be held.
func (h *Holder) schedulePendingDispatch(now time.Time) {
	due, pending := h.pacing.pacer.Due()
	if !pending || h.pacing.timerSet {
		return
	}
	h.pacing.timerSet = true
	time.AfterFunc(due.Sub(now), h.runPendingDispatch)
}

// runPendingDispatch decides loads if a request for that is pending.
func (h *Holder) runPendingDispatch() {
	h.mu.Lock()
	h.pacing.timerSet = false
	_, pending := h.pacing.pacer.Due()
	h.mu.Unlock()
	if pending {
		h.dispatch(clock.Now())
	}
}
