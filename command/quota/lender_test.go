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

// busy has all instances be asked for a little, and report, for a time.
func (w *world) busy(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		for i := range w.names {
			w.request(i, w.limit.Rate/100, nothingLost)
			w.exchange(i, nothingLost, 0)
		}
	}
}

// free is what the holder has for questions.
func (w *world) free() Share {
	a := w.lender.account("w", w.limit, w.now)
	return w.lender.whole(a).minus(w.lender.lentTo(a, w.now))
}

// TestSuccession: a new holder has for questions what is never lent, and more only once all
// instances have reported or the shares of the holder before are over.
func TestSuccession(t *testing.T) {
	w := newWorld(4, testParams, testLimit)
	w.busy(5 * time.Second)
	for i, s := range w.shares {
		if held := s.Status(w.now)[0].Held; held.Rate <= 0 {
			t.Fatalf("instance %d has no share", i)
		}
	}
	whole := w.lender.whole(w.lender.accounts["w"])
	kept := whole.minus(w.lender.mostLent(w.lender.accounts["w"]))
	w.succeed(false)
	w.shares[1] = NewShares(testParams.Lifetime) // it has started anew, and knows nothing
	for _, i := range []int{1, 0, 2} {
		if got := w.free(); got.Rate > 1.001*kept.Rate || got.Saved > 1.001*kept.Saved {
			t.Errorf("%+v for questions while others may have shares, %+v are never lent", got, kept)
		}
		w.exchange(i, nothingLost, 0)
	}
	w.exchange(3, nothingLost, 0)
	if got := w.free(); got.Rate <= kept.Rate {
		t.Errorf("%+v for questions after all have reported", got)
	}
	w.succeed(false)
	w.exchange(0, nothingLost, 0)
	w.now = w.now.Add(testParams.Lifetime + time.Second)
	if got := w.free(); got != whole {
		t.Errorf("%+v for questions after all shares of the holder before are over", got)
	}
}

// TestCutOff: what an instance has that is cut off stays counted for as long as it may use it,
// and is lent to others then.
func TestCutOff(t *testing.T) {
	w := newWorld(2, testParams, testLimit)
	w.busy(5 * time.Second)
	before := w.lender.accounts["w"].loans["i1"].counted()
	cut := w.now
	for ; w.now.Before(cut.Add(testParams.Lifetime - time.Second)); w.now = w.now.Add(time.Second) {
		w.exchange(0, nothingLost, 0)
		if got := w.lender.accounts["w"].loans["i1"]; got == nil || got.counted() != before {
			t.Fatalf("%s after the cut %+v is counted, want %+v", w.now.Sub(cut), got, before)
		}
	}
	if s := w.shares[1].Status(w.now)[0]; s.Held.Rate <= 0 {
		t.Error("the share is over though it is counted")
	}
	w.now = cut.Add(testParams.Lifetime + time.Second)
	if s := w.shares[1].Status(w.now)[0]; s.Held != (Share{}) || s.Level != 0 {
		t.Errorf("%+v is still held", s)
	}
	w.exchange(0, nothingLost, 0)
	if w.lender.accounts["w"].loans["i1"] != nil {
		t.Error("the share is still counted")
	}
}

// TestLimitChanges: a higher limit helps at once, a lower one is kept to with the next reports, a
// workspace without a limit is not counted, and one that counts otherwise begins anew.
func TestLimitChanges(t *testing.T) {
	w := newWorld(2, testParams, testLimit)
	w.busy(5 * time.Second)
	before := w.free().Rate
	w.limit.Rate *= 4
	if got := w.free().Rate; got <= before {
		t.Errorf("%.0f a second for questions with the higher limit, %.0f before", got, before)
	}
	w.limit.Rate /= 40
	for i := range w.names {
		w.exchange(i, nothingLost, 0)
		w.exchange(i, nothingLost, 0)
	}
	if sum := w.lender.lentTo(w.lender.accounts["w"], w.now); sum.Rate > w.limit.Rate {
		t.Errorf("%.0f a second lent of a limit of %.0f", sum.Rate, w.limit.Rate)
	}
	if answer := w.lender.Ask("w", 1e9, serving.Limit{}, w.now); !answer.Granted {
		t.Error("no limit, and refused")
	}
	if answer := w.lender.Ask("w", 1e9, w.limit, w.now); answer.Granted || answer.After != 0 || !answer.Known {
		t.Errorf("%+v for what can never be granted", answer)
	}
	w.limit.Tokens = false
	w.exchange(0, nothingLost, 0)
	if got := w.lender.accounts["w"].limit.Tokens; got {
		t.Error("still counted in tokens")
	}
}

// TestGiveBack: what did not run is there again, unless it was taken long ago.
func TestGiveBack(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, true}, {2 * time.Second, false}} {
		s := NewShares(time.Minute)
		s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 100}, Grant: 100}}, epoch, epoch)
		if !s.Take("w", 100, epoch) {
			t.Fatal("not there")
		}
		now := epoch.Add(c.after)
		s.GiveBack("w", 100, epoch, now)
		if s.Take("w", 100, now) != c.want {
			t.Errorf("%s later: it is there %v, want %v", c.after, !c.want, c.want)
		}
	}
}

// TestReturned: what an instance gives up at a report is the holder's, no more and no less.
func TestReturned(t *testing.T) {
	w := newWorld(1, testParams, testLimit)
	w.busy(5 * time.Second)
	w.now = w.now.Add(2 * time.Second) // it saves up
	a, held := w.lender.accounts["w"], w.shares[0].byWorkspace["w"]
	a.own.level = 0
	before := w.shares[0].Status(w.now)[0].Level
	uses := w.shares[0].Report(w.now)
	if uses[0].Returned <= 0 || uses[0].Returned+held.level != before {
		t.Fatalf("%+v reported, %.0f kept of %.0f", uses[0], held.level, before)
	}
	a.note("i0", uses[0], testParams.Lifetime, w.now)
	if a.own.level != uses[0].Returned {
		t.Errorf("the holder has %.0f, %.0f were returned", a.own.level, uses[0].Returned)
	}
}

// TestLateGrant: what the holder grants with its answer is lost if that took long.
func TestLateGrant(t *testing.T) {
	for took, want := range map[time.Duration]float64{transit: 50, 3 * time.Second: 0} {
		s := NewShares(time.Minute)
		s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 100}, Grant: 50}}, epoch, epoch.Add(took))
		if got := s.Status(epoch.Add(took))[0].Level; got != want {
			t.Errorf("%s after the report: %.0f, want %.0f", took, got, want)
		}
	}
}

// TestSmallerShare: what was saved up beyond a share that became smaller goes back, and may not be
// used.
func TestSmallerShare(t *testing.T) {
	s := NewShares(10 * time.Second)
	s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 100}, Grant: 100, Keep: 100}}, epoch, epoch)
	s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 30}, Keep: 30}}, epoch, epoch)
	if s.Take("w", 31, epoch) {
		t.Error("more than the smaller share was let run")
	}
	if got := s.Report(epoch)[0]; got.Returned != 70 || got.Level != 30 {
		t.Errorf("%.0f returned and %.0f kept, want 70 and 30", got.Returned, got.Level)
	}
	if got := s.Report(epoch)[0].Returned; got != 0 {
		t.Errorf("%.0f returned again", got)
	}
	s.Apply([]Loan{{Workspace: "w", Share: Share{Saved: 10}, Keep: 10}}, epoch, epoch)
	if got := s.Report(epoch.Add(10 * time.Second))[0]; got.Returned != 0 || got.Held != (Share{}) {
		t.Errorf("%+v after the share's lifetime, when the holder does not count it any more", got)
	}
}
