package holder

import (
	"context"
	"time"
)

// A holder that reaches the store keeps the lease, whether it reaches engines or not. It gives the lease up if it reaches
// few engines and another instance reaches many more, so that loads are ordered by an instance that can.

const (
	// fewReached is the fraction of engines in reach up to which a holder gives up the lease, if another instance
	// reaches handOverGain more. A holder that reaches all but those of one failure domain keeps it.
	fewReached   = 0.5
	handOverGain = 0.5
	// handOverAfter is how long that has to last: longer than a connection that is lost for once.
	handOverAfter = 400 * time.Millisecond
)

// yields reports whether a holder that reaches the fraction own of the engines gives up the lease if another instance
// reaches the fraction best.
func yields(own, best float64) bool { return own <= fewReached && best >= own+handOverGain }

// SetReach sets the function that returns the fraction of the engines that this instance reaches. It must be called
// before Run.
func (h *Holder) SetReach(reached func() float64) { h.reached = reached }

// SetReachCheck sets the function that tries whether engines are in reach, by connecting to some; what it finds is part of what the
// function of SetReach returns afterwards. It must be called before Run.
func (h *Holder) SetReachCheck(check func(context.Context)) { h.checkReach = check }

// handOverDue reports whether the lease should be given up because other instances reach more engines.
func (h *Holder) handOverDue(now time.Time) bool {
	own := h.reached()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() || !yields(own, h.reports.bestReach(h.params.Name)) {
		h.fewReachedSince = time.Time{}
		return false
	}
	if h.fewReachedSince.IsZero() {
		h.fewReachedSince = now
	}
	return now.Sub(h.fewReachedSince) >= handOverAfter
}

// bestReach returns the largest fraction of the engines that an instance other than the named one reaches.
func (ir *instanceReports) bestReach(except string) float64 {
	best := 0.0
	for name, i := range ir.instances {
		if name != except {
			best = max(best, i.reached)
		}
	}
	return best
}

// handOverTimeout bounds the write of the released record.
const handOverTimeout = time.Second

// handOver gives up the lease.
func (h *Holder) handOver(ctx context.Context) {
	h.log.WithField("reached", h.reached()).Warn("lease given up: this instance reaches few engines, another reaches more")
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	h.Release(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fewReachedSince = time.Time{}
}
