package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Shares are what one instance has been lent. They are safe for concurrent use.
type Shares struct {
	lifetime time.Duration

	mu          sync.Mutex
	byWorkspace map[string]*held // guarded by mu
}

// held is one instance's share of a workspace's limit.
type held struct {
	share Share
	keep  float64
	Bucket
	// surplus is what was saved up beyond a share that became smaller. It may not be used, and
	// goes back with the next report, while the holder still counts the larger share. Where
	// each of 100 instances has a request now and then, 19 in 100 were refused while it was
	// lost, and 12 in 100 are since (a day with some 1,350 requests on the users' platform).
	surplus float64
	// until is when the share ends without another word of the holder.
	until time.Time
	// asked and refused are since the last report; totals since the start.
	asked, refused, heaviest float64
	requests                 int
	totalAsked, totalRefused float64
	// used is when anything was last asked for.
	used time.Time
}

// NewShares returns no shares. Each that is lent lasts for a lifetime.
func NewShares(lifetime time.Duration) *Shares {
	return &Shares{lifetime: lifetime, byWorkspace: map[string]*held{}}
}

// idleAfter is how long after its last request a workspace without a share is not reported
// any more.
const idleAfter = 30 * time.Second

// Take takes what a request costs from the share of its workspace, and reports whether it was
// there. If not, the holder may be asked.
func (s *Shares) Take(workspace string, cost float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held(workspace, now)
	h.asked += cost
	h.requests++
	h.heaviest = max(h.heaviest, cost)
	h.totalAsked += cost
	h.used = now
	return h.Bucket.Take(cost)
}

// Refused notes that a request was refused for the limit.
func (s *Shares) Refused(workspace string, cost float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held(workspace, now)
	h.refused += cost
	h.totalRefused += cost
}

// GiveBack gives back what a request took that did not reach a server. What was taken longer
// ago is not given back: it may have been gained anew meanwhile, and would be let run twice in
// one window.
func (s *Shares) GiveBack(workspace string, cost float64, taken, now time.Time) {
	if now.Sub(taken) >= giveBackWithin {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held(workspace, now)
	h.level = min(h.level+cost, h.share.Saved)
}

// Report returns what to tell the holder: of all workspaces that were asked for of late, or of
// which a share is held.
func (s *Shares) Report(now time.Time) []Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	var uses []Use
	for _, name := range slices.Sorted(maps.Keys(s.byWorkspace)) {
		h := s.held(name, now)
		if h.share == (Share{}) && h.surplus == 0 && now.Sub(h.used) > idleAfter {
			delete(s.byWorkspace, name)
			continue
		}
		unneeded := max(0, h.level-h.keep)
		h.level -= unneeded
		returned := unneeded + h.surplus
		h.surplus = 0
		uses = append(uses, Use{Workspace: name, Asked: h.asked, Requests: h.requests, Refused: h.refused, Heaviest: h.heaviest, Held: h.share, Level: h.level, Returned: returned})
		h.asked, h.requests, h.refused, h.heaviest = 0, 0, 0, 0
	}
	return uses
}

// Unreported puts back what a report said that was not answered, but for what it returned: the
// holder may have heard it.
func (s *Shares) Unreported(uses []Use, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range uses {
		h := s.held(u.Workspace, now)
		h.asked += u.Asked
		h.requests += u.Requests
		h.refused += u.Refused
		h.heaviest = max(h.heaviest, u.Heaviest)
	}
}

// Apply takes over what the holder lends in answer to a report that was sent at a time. It
// says all: of a workspace that it does not name nothing is lent any more. What it grants is
// lost if the answer took long, as where the machine was suspended: the holder has gained as
// much again since.
func (s *Shares) Apply(loans []Loan, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := map[string]bool{}
	for _, loan := range loans {
		named[loan.Workspace] = true
		h := s.held(loan.Workspace, now)
		h.share, h.keep, h.until = loan.Share, loan.Keep, sent.Add(s.lifetime)
		if now.Sub(sent) <= transit {
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

// Status is what an instance tells operators of a workspace.
type Status struct {
	Workspace string
	Held      Share
	Level     float64
	// Asked and Refused are totals since the start.
	Asked, Refused float64
}

// Status returns the state of all workspaces that were asked for.
func (s *Shares) Status(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Status
	for _, name := range slices.Sorted(maps.Keys(s.byWorkspace)) {
		h := s.held(name, now)
		list = append(list, Status{Workspace: name, Held: h.share, Level: h.level, Asked: h.totalAsked, Refused: h.totalRefused})
	}
	return list
}

// held needs mu. It returns a workspace's share as of now.
func (s *Shares) held(workspace string, now time.Time) *held {
	h := s.byWorkspace[workspace]
	if h == nil {
		h = &held{used: now}
		s.byWorkspace[workspace] = h
	}
	if !now.Before(h.until) {
		h.share, h.level, h.surplus = Share{}, 0, 0
	}
	h.Settle(h.share, now)
	return h
}
