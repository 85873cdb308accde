package holder

import (
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// ServerLimits is what servers say of how much they take.
type ServerLimits interface {
	// Lent returns the limit of which a server's requests are lent, also for a while after it has
	// ended; ok is false if there is none.
	Lent(server string) (limit serving.Limit, ok bool)
	// Limited reports whether a server has one now, and Any whether any has.
	Limited(server string) bool
	Any() bool
}

// unlimited are servers that take what comes.
type unlimited struct{}

func (unlimited) Lent(string) (serving.Limit, bool) { return serving.Limit{}, false }
func (unlimited) Limited(string) bool               { return false }
func (unlimited) Any() bool                         { return false }

// Uses is what an instance reports of limits: those of workspaces, and those of servers by their
// ids.
type Uses struct{ Workspaces, Servers []quota.Use }

// Loans is what it is lent of them.
type Loans struct{ Workspaces, Servers []quota.Loan }

// Lend takes over what an instance reports of limits, and returns what it is lent. lends is false
// while this instance may not lend: shares stay as they are then.
func (h *Holder) Lend(instance string, uses Uses) (loans Loans, lends bool) {
	h.renewToLend()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	if !h.lease.Held() {
		return loans, false
	}
	if !h.lease.MayLend(now) {
		h.lender.Heard(instance, uses.Workspaces, h.limitOf, now)
		h.serverLender.Heard(instance, uses.Servers, h.serverLimits.Lent, now)
		return loans, false
	}
	loans.Workspaces = h.lender.Lend(instance, uses.Workspaces, h.limitOf, now)
	loans.Servers = h.serverLender.Lend(instance, uses.Servers, h.serverLimits.Lent, now)
	return loans, true
}

// DrawTurn answers whether a request may be sent to a server that limits what it takes, beyond
// what its instance was lent.
func (h *Holder) DrawTurn(server string, turn quota.Turn) quota.Answer {
	h.renewToLend()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	if !h.lease.MayLend(now) {
		return quota.Answer{}
	}
	limit, ok := h.serverLimits.Lent(server)
	if !ok || !h.serverLimits.Limited(server) {
		return quota.Answer{Granted: true, Known: true} // a newer answer says that it is over
	}
	return h.serverLender.AskInTurn(server, limit, turn, now)
}

// Draw answers whether a request that goes beyond what its instance was lent may run.
func (h *Holder) Draw(workspace string, cost float64) quota.Answer {
	h.renewToLend()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	limit, known := h.limitOf(workspace)
	if !known || !h.lease.MayLend(now) {
		return quota.Answer{}
	}
	return h.lender.Ask(workspace, cost, limit, now)
}

// ExpectInstances says which instances may have shares of the holder before.
func (h *Holder) ExpectInstances(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lender.Expect(names)
	h.serverLender.Expect(names)
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
	config := h.dir.Config()
	lends := config != nil && config.Limited() || h.serverLimits.Any()
	if lends && h.Holds() && h.renewalDue() {
		h.renewBeside()
	}
}
