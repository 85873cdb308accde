package entry

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/platform"
)

// TestPeersOfNewHolder: a new holder that hears from fewer does not make the shares of
// those it hears from larger, as long as the others may only be cut off from it.
func TestPeersOfNewHolder(t *testing.T) {
	var p peerCount
	now := time.Unix(1000, 0)
	for _, told := range []struct {
		after time.Duration
		n     int
		want  int
	}{
		{0, 0, 0}, // nobody has said how many
		{time.Second, 6, 6},
		{time.Second, 0, 6}, // a holder that has just taken over
		{time.Second, 4, 6}, // it does not hear from two
		{time.Second, 7, 7}, // one was added
		{peerCountRetention - 5*time.Second, 4, 7},
		{peerCountRetention, 4, 7},
		{peerCountRetention, 4, 4}, // the others are gone
	} {
		now = now.Add(told.after)
		if got := p.update(told.n, now); got != told.want {
			t.Errorf("%d after being told %d, want %d", got, told.n, told.want)
		}
	}
}

// TestBudgetToldOfPeers: the budget goes by the highest count that holders have told,
// not by the last one.
func TestBudgetToldOfPeers(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.budget = forward.NewBudget(forward.BudgetParams{})
	f.watcher = newTestWatcher(nil, f.dir, discardLog())
	for _, n := range []int{6, 0, 4} {
		f.applyUpdate(lease.Record{Holder: "h"}, &ExchangeReply{Held: true, News: holder.Update{Peers: n}}, time.Now(), time.Now())
		if got := f.budget.State("s", time.Now()).Instances; got != 6 {
			t.Errorf("the budget is shared by %d after the holder told %d, want 6", got, n)
		}
	}
}

// TestInstanceSharesItsDomainsPart: an instance reports its failure domain, and has the
// budget divided by all domains of its settings; by no fewer than when it started, as
// it goes on reporting the domain of its start.
func TestInstanceSharesItsDomainsPart(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	three := map[string]string{"a": "r", "b": "r", "c": "r"}
	i := New(platform.Settings{NodeName: "n", Zone: "b", Zones: three, InternalPorts: []int{1, 2}}, "", Options{}, log)
	if _, args := i.follower.buildReport(); args.Domain != "b" {
		t.Errorf("domain %q is reported, want b", args.Domain)
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
