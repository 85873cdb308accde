package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/serving"
)

// world is instances before one server that limits what it takes, in virtual time.
type world struct {
	rate   float64
	now    time.Time
	names  []string
	shares []*quota.Shares
	alone  []*Alone
	// lent is when each instance last heard the holder lend.
	lent []time.Time
	// lender is nil while there is no holder.
	lender *quota.Lender
	sent   []time.Time
	rand   *rand.Rand
}

func newWorld(n int, rate float64, seed uint64) *world {
	w := &world{rate: rate, now: epoch, lender: quota.NewLender(QuotaParams(), true, nil, epoch), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		w.names = append(w.names, name)
		w.shares = append(w.shares, quota.NewShares(QuotaParams().Lifetime))
		w.alone = append(w.alone, NewAlone(name))
		w.lent = append(w.lent, epoch)
	}
	return w
}

func (w *world) limits(string) (serving.Limit, bool) { return LimitAt(w.rate), true }

// report has an instance report to the holder, if there is one.
func (w *world) report(i int) {
	uses := w.shares[i].Report(w.now)
	if w.lender == nil || w.rand.IntN(20) == 0 {
		w.shares[i].Unreported(uses, w.now)
		return
	}
	w.shares[i].Apply(w.lender.Lend(w.names[i], uses, w.limits, w.now), w.now, w.now)
	w.lent[i] = w.now
	w.alone[i].Lent()
}

// ask has a request at an instance ask whether it may be sent.
func (w *world) ask(i int, turn quota.Turn) (sent bool, after time.Duration) {
	sent = w.shares[i].Take("e", 1, w.now)
	switch {
	case sent:
	case w.lender != nil:
		answer := w.lender.AskInTurn("e", LimitAt(w.rate), turn, w.now)
		sent, after = answer.Granted, answer.After
	default:
		sent, after = w.alone[i].Take("e", w.rate, w.names, w.lent[i], w.now)
	}
	if sent {
		w.sent = append(w.sent, w.now)
	}
	return sent, after
}

// worst returns the most that was sent in a window.
func (w *world) worst() int {
	most, from := 0, 0
	for i, at := range w.sent {
		for at.Sub(w.sent[from]) > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// allowed is what the deployment allows in a window.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds() + 5) }

const step = 25 * time.Millisecond

// TestSumHoldsWithoutHolder: whatever is asked for, and while the holder is lost, is succeeded or
// cannot lend, the server gets no more than it is allowed to from all instances together.
func TestSumHoldsWithoutHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.3, 1, 1.5, 4, 20}).Draw(t, "rate")
		w := newWorld(rapid.IntRange(1, 40).Draw(t, "instances"), rate, rapid.Uint64().Draw(t, "seed"))
		for range 40 * 40 {
			i := w.rand.IntN(len(w.names))
			for range 3 {
				w.ask(w.rand.IntN(len(w.names)), quota.Turn{Spare: w.rand.IntN(3) == 0, Waited: w.rand.IntN(3) == 0})
			}
			w.report(i)
			switch w.rand.IntN(400) {
			case 0:
				w.lender = nil
			case 1, 2, 3:
				w.lender = quota.NewLender(QuotaParams(), false, nil, w.now)
				w.lender.Expect(w.names)
			case 4: // it starts anew
				w.shares[i], w.alone[i], w.lent[i] = quota.NewShares(QuotaParams().Lifetime), NewAlone(w.names[i]), w.now
			}
			w.now = w.now.Add(step)
		}
		if got := w.worst(); got > allowed(rate) {
			t.Fatalf("%d sent in %s, %d allowed", got, window, allowed(rate))
		}
	})
}

// TestHolderLostAtTheWorstMoment: instances have shares that they do not use when the holder is lost,
// and then ask for all that there is; or nothing is asked for in a long time without a holder, and
// then all at once.
func TestHolderLostAtTheWorstMoment(t *testing.T) {
	const rate = 20
	for name, idle := range map[string]time.Duration{"at once": 0, "after long": time.Minute} {
		w := newWorld(2, rate, 1)
		for end := w.now.Add(5 * time.Second); w.now.Before(end); w.now = w.now.Add(4 * step) { // half of the rate
			w.ask(w.rand.IntN(2), quota.Turn{})
			w.report(0)
			w.report(1)
		}
		if held := w.shares[0].Status(w.now); len(held) == 0 || held[0].Held.Rate == 0 {
			t.Fatal("nothing was lent")
		}
		w.lender = nil
		w.now = w.now.Add(idle)
		for end := w.now.Add(3 * window); w.now.Before(end); w.now = w.now.Add(step) {
			for range 10 {
				w.ask(w.rand.IntN(2), quota.Turn{})
			}
		}
		if got := w.worst(); got > allowed(rate) {
			t.Errorf("%s: %d sent in %s, %d allowed", name, got, window, allowed(rate))
		}
	}
}

// TestLimitIsUsed: of what a server takes at least four fifths is used while more is asked for,
// and with no holder at least a half once the shares of the last one are over.
func TestLimitIsUsed(t *testing.T) {
	for _, rate := range []float64{0.5, 1.5, 4, 20} {
		for _, instances := range []int{1, 6, 40} {
			w := newWorld(instances, rate, 1)
			run := func(length time.Duration) (sent float64) {
				before := len(w.sent)
				for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(step) {
					for range 5 {
						w.ask(w.rand.IntN(instances), quota.Turn{})
					}
					w.ask(w.rand.IntN(instances), quota.Turn{Spare: true})
					w.report(w.rand.IntN(instances))
				}
				return float64(len(w.sent) - before)
			}
			run(4 * time.Second)
			const length = 20 * time.Second
			if got := run(length); got < 0.8*rate*length.Seconds() {
				t.Errorf("%v a second, %d instances: %.0f sent in %s", rate, instances, got, length)
			}
			w.lender = nil
			run(lifetime + 4*time.Second)
			if got := run(length); got < 0.5*rate*length.Seconds() {
				t.Errorf("%v a second, %d instances: %.0f sent in %s without a holder", rate, instances, got, length)
			}
		}
	}
}

// TestSpareQuestionsAreFew: how often a holder is asked for spare requests follows from what the
// server takes, and not from how many instances there are.
func TestSpareQuestionsAreFew(t *testing.T) {
	for _, instances := range []int{1, 7, 71, 330} {
		for _, rate := range []float64{0, 1.5, 20} {
			asks := float64(instances) / SpareAgain(rate, instances, 100*time.Millisecond).Seconds()
			if most := max(spareAsks*LimitAt(rate).Rate, float64(instances)/longestSpare.Seconds()); asks > 1.001*most {
				t.Errorf("%d instances, %v a second: asked %.1f times a second, want at most %.1f", instances, rate, asks, most)
			}
		}
	}
}

// TestQuestionsAreBounded: however much is asked for, a holder gets no more questions than it can
// answer, and one instance alone may ask for much.
func TestQuestionsAreBounded(t *testing.T) {
	for _, instances := range []int{1, 7, 330} {
		asked, seconds := 0, 10
		q := &Questions{}
		for ms := range 1000 * seconds {
			for range 5 {
				if q.Take(instances, at(ms)) {
					asked++
				}
			}
		}
		all := asked * instances / seconds
		if most := int(1.1*allQuestions) + leastQuestions*instances/seconds; all > most || all < allQuestions/2 {
			t.Errorf("%d instances: %d questions a second, want %d at the most and half of that at least", instances, all, most)
		}
	}
}

// TestTurnsAreSpread: requests that have no other server are told to come back one after the
// other, and get what is let through then, before those that come later.
func TestTurnsAreSpread(t *testing.T) {
	l := quota.NewLender(QuotaParams(), true, nil, epoch)
	now := epoch
	var turns []time.Time
	for len(turns) < 5 {
		if answer := l.AskInTurn("e", LimitAt(2), quota.Turn{}, now); !answer.Granted {
			turns = append(turns, now.Add(answer.After))
		}
	}
	for i, turn := range turns {
		if i > 0 && turn.Sub(turns[i-1]) < 400*time.Millisecond {
			t.Errorf("turn %d comes %s after the one before, want about half a second", i, turn.Sub(turns[i-1]))
		}
		if l.AskInTurn("e", LimitAt(2), quota.Turn{Spare: true}, turn).Granted {
			t.Error("a spare request got what was promised")
		}
		if !l.AskInTurn("e", LimitAt(2), quota.Turn{Waited: true}, turn).Granted {
			t.Errorf("turn %d: nothing there", i)
		}
	}
}
