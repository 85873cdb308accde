package entry

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/platform"
)

// TestPeerCountAfterTakeover checks that a new holder that reaches fewer instances does not increase the shares of
// these while the others may only be cut off from it.
func TestPeerCountAfterTakeover(t *testing.T) {
	var p peerCount
	now := time.Unix(1000, 0)
	for _, report := range []struct {
		after time.Duration
		n     int
		want  int
	}{
		{0, 0, 0}, // no count reported yet
		{time.Second, 6, 6},
		{time.Second, 0, 6}, // a new holder
		{time.Second, 4, 6}, // two do not reach it
		{time.Second, 7, 7}, // one was added
		{peerCountRetention - 5*time.Second, 4, 7},
		{peerCountRetention, 4, 7},
		{peerCountRetention, 4, 4}, // the others are gone
	} {
		now = now.Add(report.after)
		if got := p.update(report.n, now); got != report.want {
			t.Errorf("%d after a report of %d, want %d", got, report.n, report.want)
		}
	}
}

// TestBudgetUsesHighestPeerCount checks that the budget uses the highest number of instances that holders have
// reported, not the latest.
func TestBudgetUsesHighestPeerCount(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.budget = forward.NewBudget(forward.BudgetParams{})
	f.watcher = newTestWatcher(nil, f.dir, discardLog())
	for _, n := range []int{6, 0, 4} {
		f.applyUpdate(lease.Record{Holder: "h"}, &ExchangeReply{Held: true, News: holder.Update{Peers: n}}, time.Now(), time.Now())
		if got := f.budget.State("s", time.Now()).Instances; got != 6 {
			t.Errorf("the budget is shared by %d after the holder reported %d, want 6", got, n)
		}
	}
}

// TestBudgetDomains checks that an instance reports its failure domain, and that the budget is divided by the
// number of domains in its settings, but by no fewer than at its start, since it keeps reporting the domain of its
// start.
func TestBudgetDomains(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	three := map[string]string{"a": "r", "b": "r", "c": "r"}
	i := New(platform.Settings{NodeName: "n", Zone: "b", Zones: three, InternalPorts: []int{1, 2}}, "", Options{}, log)
	if _, args := i.follower.buildReport(); args.Domain != "b" {
		t.Errorf("reported domain %q, want b", args.Domain)
	}
	for _, c := range []struct{ listed, want int }{{3, 3}, {2, 3}, {4, 4}} {
		s := platform.Settings{Zone: "b", Zones: map[string]string{}}
		for _, name := range []string{"b", "a", "c", "d"}[:c.listed] {
			s.Zones[name] = "r"
		}
		if got := i.budgetParams(&s).Domains; got != c.want {
			t.Errorf("%d parts when the settings list %d domains, want %d", got, c.listed, c.want)
		}
	}
}

// TestReportedInstances checks that the number of instances is not known before a holder has reported it, and that
// the last one is kept while there is no holder.
func TestReportedInstances(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.budget = forward.NewBudget(forward.BudgetParams{})
	f.watcher = newTestWatcher(nil, f.dir, discardLog())
	if n := f.reportedInstances(); n != 0 {
		t.Errorf("%d instances are reported before any update", n)
	}
	f.applyUpdate(lease.Record{Holder: "h"}, &ExchangeReply{Held: true, News: holder.Update{Fence: 1, Instances: 83}}, time.Now(), time.Now())
	f.recordUnanswered(lease.Record{Holder: "h"}, nil)
	if n := f.reportedInstances(); n != 83 {
		t.Errorf("%d instances are reported, want 83", n)
	}
}

// TestChoiceBesideReport: a report takes what the balancer has learnt, under the follower's lock. A choice of a server
// beside it, under the balancer's lock, must not wait for the follower.
func TestChoiceBesideReport(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.balancer = balance.New(balance.DefaultParams())
	f.balancer.SetSubset(balance.Subset{Instance: "a", Instances: f.reportedInstances})
	f.reported.Store(83)
	candidates := make([]balance.Candidate, 12)
	for i := range candidates {
		candidates[i] = balance.Candidate{ID: string(rune('a' + i)), Slots: 12}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.balancer.Pick(candidates, time.Now()) < 0 {
		t.Error("no server is chosen")
	}
}
