package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Shares are the shares that one instance has been lent. It is safe for concurrent use.
type Shares struct {
	lifetime time.Duration

	mu          sync.Mutex
	byWorkspace map[string]*workspaceShare // guarded by mu
}

// workspaceShare is one instance's share of a workspace's limit.
type workspaceShare struct {
	share Share
	keep  float64
	Bucket
	// surplus is what was saved up beyond the capacity of a share that has become smaller. It must not
	// be used, and is returned with the next report; until then the holder counts the larger share. When
	// the surplus was discarded instead, 19 in 100 requests were refused where each of 100 instances has
	// a request only occasionally; now it is 12 in 100 (a run with about 1,350 requests on the users'
	// platform).
	surplus float64
	// expiresAt is when the share ends unless the holder confirms it.
	expiresAt time.Time
	// asked, refused, heaviest and requests cover the time since the last report; the totals cover the
	// time since the start.
	asked, refused, heaviest float64
	requests                 int
	totalAsked, totalRefused float64
	// lastRequest is the time of the last request.
	lastRequest time.Time
}

// NewShares returns an empty set of shares. Each share expires after lifetime unless it is confirmed.
func NewShares(lifetime time.Duration) *Shares {
	return &Shares{lifetime: lifetime, byWorkspace: map[string]*workspaceShare{}}
}

// idleTimeout is the time after its last request from which a workspace without a share is no longer
// reported.
const idleTimeout = 30 * time.Second

// Take takes the cost of a request from the workspace's share, and reports whether the share was
// sufficient. If it was not, the holder may be queried.
func (s *Shares) Take(workspace string, cost float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.refreshed(workspace, now)
	h.asked += cost
	h.requests++
	h.heaviest = max(h.heaviest, cost)
	h.totalAsked += cost
	h.lastRequest = now
	return h.Bucket.Take(cost)
}

// RecordRefusal records that a request was refused because of the limit.
func (s *Shares) RecordRefusal(workspace string, cost float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.refreshed(workspace, now)
	h.refused += cost
	h.totalRefused += cost
}

// Refund returns the cost of a request that did not reach a server. It does nothing if the cost was
// taken longer than refundWindow ago: the amount may have been gained again since, and would be
// admitted twice in one window.
func (s *Shares) Refund(workspace string, cost float64, taken, now time.Time) {
	if now.Sub(taken) >= refundWindow {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.refreshed(workspace, now)
	h.level = min(h.level+cost, h.share.Saved)
}

// Report returns the report for the holder. It covers all workspaces with recent requests or with a
// share.
func (s *Shares) Report(now time.Time) []Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	var uses []Use
	for _, name := range slices.Sorted(maps.Keys(s.byWorkspace)) {
		h := s.refreshed(name, now)
		if h.share == (Share{}) && h.surplus == 0 && now.Sub(h.lastRequest) > idleTimeout {
			delete(s.byWorkspace, name)
			continue
		}
		unneeded := max(0, h.level-h.keep)
		h.level -= unneeded
		returned := unneeded + h.surplus
		h.surplus = 0
		uses = append(uses, Use{
			Workspace: name, Asked: h.asked, Requests: h.requests, Refused: h.refused,
			Heaviest: h.heaviest, Held: h.share, Level: h.level, Returned: returned,
		})
		h.asked, h.requests, h.refused, h.heaviest = 0, 0, 0, 0
	}
	return uses
}

// RestoreReport restores the counts of a report that was not answered, except for the returned amounts,
// since the holder may have received the report.
func (s *Shares) RestoreReport(uses []Use, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range uses {
		h := s.refreshed(u.Workspace, now)
		h.asked += u.Asked
		h.requests += u.Requests
		h.refused += u.Refused
		h.heaviest = max(h.heaviest, u.Heaviest)
	}
}

// Apply sets the shares to the loans in the holder's answer to a report that was sent at the given
// time. The loans are complete: shares of workspaces that are not among them end. Grants are discarded
// if the answer took longer than maxTransit, as after a suspension of the machine, because the holder
// has gained the same amount again since.
func (s *Shares) Apply(loans []Loan, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := map[string]bool{}
	for _, loan := range loans {
		named[loan.Workspace] = true
		h := s.refreshed(loan.Workspace, now)
		h.share, h.keep, h.expiresAt = loan.Share, loan.Keep, sent.Add(s.lifetime)
		if now.Sub(sent) <= maxTransit {
			h.level += loan.Grant
		}
		excess := max(0, h.level-loan.Share.Saved)
		h.level -= excess
		h.surplus += excess
	}
	for name, h := range s.byWorkspace {
		if !named[name] {
			h.share, h.level, h.surplus = Share{}, 0, 0
		}
	}
}

// Status is the state of one workspace for operators.
type Status struct {
	Workspace string
	Held      Share
	Level     float64
	// Asked and Refused are totals since the start.
	Asked, Refused float64
}

// Status returns the state of all workspaces that have had requests.
func (s *Shares) Status(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Status
	for _, name := range slices.Sorted(maps.Keys(s.byWorkspace)) {
		h := s.refreshed(name, now)
		list = append(list, Status{
			Workspace: name, Held: h.share, Level: h.level, Asked: h.totalAsked, Refused: h.totalRefused,
		})
	}
	return list
}

// refreshed returns the workspace's share, expired or refilled as of now. s.mu must be held.
func (s *Shares) refreshed(workspace string, now time.Time) *workspaceShare {
	h := s.byWorkspace[workspace]
	if h == nil {
		h = &workspaceShare{lastRequest: now}
		s.byWorkspace[workspace] = h
	}
	if !now.Before(h.expiresAt) {
		h.share, h.level, h.surplus = Share{}, 0, 0
	}
	h.Refill(h.share, now)
	return h
}
