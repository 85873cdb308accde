package holder

import (
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// ServerLimits provides the request limits that servers have announced.
type ServerLimits interface {
	// LendableLimit returns the limit of a server that is lent to instances, for a while also after the limit has
	// ended. ok is false if there is none.
	LendableLimit(server string) (limit serving.Limit, ok bool)
	// Limited reports whether a server has a limit now. Any reports whether any server has one.
	Limited(server string) bool
	Any() bool
}

// unlimited is the ServerLimits of servers without limits.
type unlimited struct{}

func (unlimited) LendableLimit(string) (serving.Limit, bool) { return serving.Limit{}, false }
func (unlimited) Limited(string) bool                        { return false }
func (unlimited) Any() bool                                  { return false }

// Uses is the usage of limits that an instance reports, of workspaces and of servers (by server id).
type Uses struct{ Workspaces, Servers []quota.Use }

// Loans is the part of the limits that an instance may use.
type Loans struct{ Workspaces, Servers []quota.Loan }

// Lend processes an instance's report of its usage and returns what it is lent. lends is false while this instance
// may not lend; the shares of instances then stay as they are.
func (h *Holder) Lend(instance string, uses Uses) (loans Loans, lends bool) {
	h.renewForLending()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	if !h.lease.Held() {
		return loans, false
	}
	if !h.lease.MayLend(now) {
		h.lender.RecordReport(instance, uses.Workspaces, h.limitOf, now)
		h.serverLender.RecordReport(instance, uses.Servers, h.serverLimits.LendableLimit, now)
		return loans, false
	}
	loans.Workspaces = h.lender.Lend(instance, uses.Workspaces, h.limitOf, now)
	loans.Servers = h.serverLender.Lend(instance, uses.Servers, h.serverLimits.LendableLimit, now)
	return loans, true
}

// DrawTurn decides whether a request may be sent to a server with a limit when the instance has used up what it was
// lent.
func (h *Holder) DrawTurn(server string, turn quota.Turn) quota.Answer {
	h.renewForLending()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	if !h.lease.MayLend(now) {
		return quota.Answer{}
	}
	limit, ok := h.serverLimits.LendableLimit(server)
	if !ok || !h.serverLimits.Limited(server) {
		return quota.Answer{Granted: true, Known: true} // a newer response shows that the limit has ended
	}
	return h.serverLender.GrantInTurn(server, limit, turn, now)
}

// Draw decides whether a request may run when its instance has used up what it was lent of the workspace's limit.
func (h *Holder) Draw(workspace string, d quota.Draw) quota.Answer {
	h.renewForLending()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	limit, known := h.limitOf(workspace)
	if !known || !h.lease.MayLend(now) {
		return quota.Answer{}
	}
	return h.lender.GrantBooked(workspace, d, limit, now)
}

// ExpectInstances names the instances that may still have shares from an earlier holder.
func (h *Holder) ExpectInstances(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lender.ExpectReports(names)
	h.serverLender.ExpectReports(names)
}

// Limits returns the holder's totals of the limits of workspaces. held is false at instances that do not hold the
// lease.
func (h *Holder) Limits() (totals []quota.Total, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return nil, false
	}
	return h.lender.Totals(clock.Now()), true
}

// limitOf returns the limit of a workspace. h.mu must be held.
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

// renewForLending renews the lease in the background if a renewal is due and there is something to lend. Without
// orders nothing else renews it. This costs one write to the store per second in the whole deployment.
func (h *Holder) renewForLending() {
	config := h.dir.Config()
	lends := config != nil && config.Limited() || h.serverLimits.Any()
	if lends && h.Holds() && h.renewalDue() {
		h.renewInBackground()
	}
}
