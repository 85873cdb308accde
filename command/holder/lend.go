package holder

import (
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// Lend takes over what an instance reports of workspaces' limits, and returns what it is lent.
// lends is false while this instance may not lend: shares stay as they are then.
func (h *Holder) Lend(instance string, uses []quota.Use) (loans []quota.Loan, lends bool) {
	h.renewToLend()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	if !h.lease.Held() {
		return nil, false
	}
	if !h.lease.GoodToLend(now) {
		h.lender.Heard(instance, uses, h.limitOf, now)
		return nil, false
	}
	return h.lender.Lend(instance, uses, h.limitOf, now), true
}

// Draw answers whether a request that goes beyond what its instance was lent may run.
func (h *Holder) Draw(workspace string, cost float64) quota.Answer {
	h.renewToLend()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	limit, known := h.limitOf(workspace)
	if !known || !h.lease.GoodToLend(now) {
		return quota.Answer{}
	}
	return h.lender.Ask(workspace, cost, limit, now)
}

// ExpectInstances says which instances may have shares of the holder before.
func (h *Holder) ExpectInstances(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lender.Expect(names)
}

// Limits returns what the holder knows of the limits of workspaces; held is false at other
// instances.
func (h *Holder) Limits() (totals []quota.Total, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return nil, false
	}
	return h.lender.Totals(clock.Now()), true
}

// limitOf needs mu.
func (h *Holder) limitOf(workspace string) (serving.Limit, bool) {
	config := h.dir.Config()
	if config == nil {
		return serving.Limit{}, false
	}
	w := config.Workspace(workspace)
	if w == nil {
		return serving.Limit{}, false
	}
	return w.Limit, true
}

// renewToLend has the lease be renewed if that is due and there is something to lend: while there
// are no orders nothing else renews it. It costs a write a second in the whole deployment.
func (h *Holder) renewToLend() {
	if config := h.dir.Config(); config != nil && config.Limited() && h.Holds() && h.renewalDue() {
		h.renewBeside()
	}
}
