package quota

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

var (
	testParams = Params{Window: 8 * time.Second, Overage: 0.1, Slack: 17000, Lifetime: 7 * time.Second}
	testLimit  = serving.Limit{Tokens: true, Rate: 10000, Burst: 10000, Plain: 200}
)

// runLoad sends few requests to every instance, and lets all instances report, for the given time.
func (s *simulation) runLoad(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for i := range s.names {
			s.request(i, s.limit.Rate/100, nothingLost)
			s.exchange(i, nothingLost, 0)
		}
	}
}

// unlent returns what the holder has for queries.
func (s *simulation) unlent() Share {
	a := s.lender.account("w", s.limit, s.now)
	return s.lender.total(a).minus(s.lender.totalOutstanding(a, s.now))
}

// TestHolderChange: a new holder grants queries only from the part that is never lent until all instances
// have reported or the previous holder's shares have expired. Guards against lending the same amount
// twice.
func TestHolderChange(t *testing.T) {
	sim := newSimulation(4, testParams, testLimit)
	sim.runLoad(5 * time.Second)
	for i, s := range sim.shares {
		if held := s.Status(sim.now)[0].Held; held.Rate <= 0 {
			t.Fatalf("instance %d has no share", i)
		}
	}
	total := sim.lender.total(sim.lender.accounts["w"])
	reserved := total.minus(sim.lender.maxLent(sim.lender.accounts["w"]))
	sim.replaceHolder(false)
	sim.shares[1] = NewShares(testParams.Lifetime) // restarted without state
	for _, i := range []int{1, 0, 2} {
		if got := sim.unlent(); got.Rate > 1.001*reserved.Rate || got.Saved > 1.001*reserved.Saved {
			t.Errorf("%+v for queries while other instances may have shares, want at most %+v", got, reserved)
		}
		sim.exchange(i, nothingLost, 0)
	}
	sim.exchange(3, nothingLost, 0)
	if got := sim.unlent(); got.Rate <= reserved.Rate {
		t.Errorf("%+v for queries after all instances have reported, want more than before", got)
	}
	sim.replaceHolder(false)
	sim.exchange(0, nothingLost, 0)
	sim.now = sim.now.Add(testParams.Lifetime + time.Second)
	if got := sim.unlent(); got != total {
		t.Errorf("%+v for queries after all shares of the previous holder have expired, want everything", got)
	}
}

// TestUnreachableInstance: the share of an instance that is cut off remains counted for as long as the
// instance may use it, and becomes available to others afterwards.
func TestUnreachableInstance(t *testing.T) {
	sim := newSimulation(2, testParams, testLimit)
	sim.runLoad(5 * time.Second)
	before := sim.lender.accounts["w"].loans["i1"].outstanding()
	cut := sim.now
	for ; sim.now.Before(cut.Add(testParams.Lifetime - time.Second)); sim.now = sim.now.Add(time.Second) {
		sim.exchange(0, nothingLost, 0)
		if got := sim.lender.accounts["w"].loans["i1"]; got == nil || got.outstanding() != before {
			t.Fatalf("%s after the connection was lost, %+v is counted, want %+v", sim.now.Sub(cut), got, before)
		}
	}
	if s := sim.shares[1].Status(sim.now)[0]; s.Held.Rate <= 0 {
		t.Error("the share has expired at the instance while the holder still counts it")
	}
	sim.now = cut.Add(testParams.Lifetime + time.Second)
	if s := sim.shares[1].Status(sim.now)[0]; s.Held != (Share{}) || s.Level != 0 {
		t.Errorf("%+v is still held after its lifetime", s)
	}
	sim.exchange(0, nothingLost, 0)
	if sim.lender.accounts["w"].loans["i1"] != nil {
		t.Error("the holder still counts the expired share")
	}
}

// TestLimitChanges: a raised limit takes effect at once, and a lowered one with the next reports. A
// workspace without a limit is not counted, and a change of the unit resets the account.
func TestLimitChanges(t *testing.T) {
	sim := newSimulation(2, testParams, testLimit)
	sim.runLoad(5 * time.Second)
	before := sim.unlent().Rate
	sim.limit.Rate *= 4
	if got := sim.unlent().Rate; got <= before {
		t.Errorf("%.0f/s for queries with the raised limit, %.0f/s before", got, before)
	}
	sim.limit.Rate /= 40
	for i := range sim.names {
		sim.exchange(i, nothingLost, 0)
		sim.exchange(i, nothingLost, 0)
	}
	if sum := sim.lender.totalOutstanding(sim.lender.accounts["w"], sim.now); sum.Rate > sim.limit.Rate {
		t.Errorf("%.0f/s lent of a limit of %.0f/s", sum.Rate, sim.limit.Rate)
	}
	if answer := sim.lender.Grant("w", 1e9, serving.Limit{}, sim.now); !answer.Granted {
		t.Error("a request of a workspace without a limit was refused")
	}
	if answer := sim.lender.Grant("w", 1e9, sim.limit, sim.now); answer.Granted || answer.After != 0 || !answer.Known {
		t.Errorf("%+v for a request that can never be granted", answer)
	}
	sim.limit.Tokens = false
	sim.exchange(0, nothingLost, 0)
	if got := sim.lender.accounts["w"].limit.Tokens; got {
		t.Error("requests are still counted in tokens")
	}
}

// TestGiveBack: the cost of a request that did not run becomes available again unless it was taken too
// long ago.
func TestGiveBack(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, true}, {2 * time.Second, false}} {
		s := NewShares(time.Minute)
		s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 100}, Grant: 100}}, epoch, epoch)
		if !s.Take("w", 100, epoch) {
			t.Fatal("the share was not sufficient")
		}
		now := epoch.Add(c.after)
		s.Refund("w", 100, epoch, now)
		if s.Take("w", 100, now) != c.want {
			t.Errorf("given back after %s: available %v, want %v", c.after, !c.want, c.want)
		}
	}
}

// TestReturned: the holder gains exactly what an instance returns with a report.
func TestReturned(t *testing.T) {
	sim := newSimulation(1, testParams, testLimit)
	sim.runLoad(5 * time.Second)
	sim.now = sim.now.Add(2 * time.Second) // the share saves up
	a, share := sim.lender.accounts["w"], sim.shares[0].byWorkspace["w"]
	a.reserve.level = 0
	before := sim.shares[0].Status(sim.now)[0].Level
	uses := sim.shares[0].Report(sim.now)
	if uses[0].Returned <= 0 || uses[0].Returned+share.level != before {
		t.Fatalf("%+v reported, %.0f kept of %.0f", uses[0], share.level, before)
	}
	a.recordReport("i0", uses[0], testParams.Lifetime, sim.now)
	if a.reserve.level != uses[0].Returned {
		t.Errorf("the holder has %.0f, want the %.0f that were returned", a.reserve.level, uses[0].Returned)
	}
}

// TestLateGrant: a grant is discarded if the holder's answer took too long.
func TestLateGrant(t *testing.T) {
	for duration, want := range map[time.Duration]float64{maxTransit: 50, 3 * time.Second: 0} {
		s := NewShares(time.Minute)
		s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 100}, Grant: 50}}, epoch, epoch.Add(duration))
		if got := s.Status(epoch.Add(duration))[0].Level; got != want {
			t.Errorf("answer %s after the report: level %.0f, want %.0f", duration, got, want)
		}
	}
}

// TestSmallerShare: what was saved up beyond a share that has become smaller is returned, and may not
// be used.
func TestSmallerShare(t *testing.T) {
	s := NewShares(10 * time.Second)
	s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 100}, Grant: 100, Keep: 100}}, epoch, epoch)
	s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 30}, Keep: 30}}, epoch, epoch)
	if s.Take("w", 31, epoch) {
		t.Error("more than the smaller share was admitted")
	}
	if got := s.Report(epoch)[0]; got.Returned != 70 || got.Level != 30 {
		t.Errorf("%.0f returned and %.0f kept, want 70 and 30", got.Returned, got.Level)
	}
	if got := s.Report(epoch)[0].Returned; got != 0 {
		t.Errorf("%.0f returned again", got)
	}
	s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 10}, Keep: 10}}, epoch, epoch)
	if got := s.Report(epoch.Add(10 * time.Second))[0]; got.Returned != 0 || got.Held != (Share{}) {
		t.Errorf("%+v after the share's lifetime, when the holder no longer counts it", got)
	}
}
