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

// simulation runs several instances that send to one rate-limited server, in virtual time.
type simulation struct {
	rate       float64
	now        time.Time
	names      []string
	shares     []*quota.Shares
	holderless []*HolderlessLimiter
	// lent is when the holder last lent shares to each instance.
	lent []time.Time
	// lender is nil while there is no holder.
	lender *quota.Lender
	sent   []time.Time
	rand   *rand.Rand
}

// newSimulation returns a simulation with n instances and a holder that had no predecessor.
func newSimulation(n int, rate float64, seed uint64) *simulation {
	s := &simulation{rate: rate, now: epoch, lender: quota.NewLender(QuotaParams(), true, nil, epoch), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		s.names = append(s.names, name)
		s.shares = append(s.shares, quota.NewShares(QuotaParams().Lifetime))
		s.holderless = append(s.holderless, NewHolderlessLimiter(name))
		s.lent = append(s.lent, epoch)
	}
	return s
}

func (s *simulation) limits(string) (serving.Limit, bool) { return LentLimit(s.rate), true }

// report has an instance report to the holder, if there is one. One report in 20 is lost.
func (s *simulation) report(i int) {
	uses := s.shares[i].Report(s.now)
	if s.lender == nil || s.rand.IntN(20) == 0 {
		s.shares[i].RestoreReport(uses, s.now)
		return
	}
	s.shares[i].Apply(s.lender.Lend(s.names[i], uses, s.limits, s.now), s.now, s.now)
	s.lent[i] = s.now
	s.holderless[i].Reset()
}

// ask has a request at an instance ask whether it may be sent. If there is a holder, after is the time
// after which to ask again, otherwise the one that HolderlessLimiter returns.
func (s *simulation) ask(i int, turn quota.Turn) (sent bool, after time.Duration) {
	sent = s.shares[i].Take("e", 1, s.now)
	switch {
	case sent:
	case s.lender != nil:
		answer := s.lender.GrantInTurn("e", LentLimit(s.rate), turn, s.now)
		sent, after = answer.Granted, answer.After
	default:
		sent, after = s.holderless[i].Take("e", s.rate, s.names, s.lent[i], s.now)
	}
	if sent {
		s.sent = append(s.sent, s.now)
	}
	return sent, after
}

// maxInWindow returns the largest number of requests that was sent in a window.
func (s *simulation) maxInWindow() int {
	largest, from := 0, 0
	for i, at := range s.sent {
		for at.Sub(s.sent[from]) > window {
			from++
		}
		largest = max(largest, i-from+1)
	}
	return largest
}

// allowed returns how many requests the deployment allows in a window.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds() + 5) }

// step is the time between the events of a simulation.
const step = 25 * time.Millisecond

// TestTotalRateWithHolderFailures guards against sending more to a server than is allowed, from all
// instances together, while the holder is lost, replaced or unable to lend.
func TestTotalRateWithHolderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.3, 1, 1.5, 4, 20}).Draw(t, "rate")
		sim := newSimulation(rapid.IntRange(1, 40).Draw(t, "instances"), rate, rapid.Uint64().Draw(t, "seed"))
		for range 40 * 40 {
			i := sim.rand.IntN(len(sim.names))
			for range 3 {
				sim.ask(sim.rand.IntN(len(sim.names)), quota.Turn{Spare: sim.rand.IntN(3) == 0, Waited: sim.rand.IntN(3) == 0})
			}
			sim.report(i)
			switch sim.rand.IntN(400) {
			case 0:
				sim.lender = nil
			case 1, 2, 3:
				sim.lender = quota.NewLender(QuotaParams(), false, nil, sim.now)
				sim.lender.ExpectReports(sim.names)
			case 4: // the instance restarts
				sim.shares[i], sim.holderless[i], sim.lent[i] = quota.NewShares(QuotaParams().Lifetime), NewHolderlessLimiter(sim.names[i]), sim.now
			}
			sim.now = sim.now.Add(step)
		}
		if got := sim.maxInWindow(); got > allowed(rate) {
			t.Fatalf("%d sent in %s, %d allowed", got, window, allowed(rate))
		}
	})
}

// TestHolderLostWithUnusedShares guards against exceeding the limit when demand jumps after the holder
// is lost: either at once, while instances have unused shares, or after a long idle time without a
// holder, in which they save up.
func TestHolderLostWithUnusedShares(t *testing.T) {
	const rate = 20
	for name, idle := range map[string]time.Duration{"at once": 0, "after long": time.Minute} {
		sim := newSimulation(2, rate, 1)
		for end := sim.now.Add(5 * time.Second); sim.now.Before(end); sim.now = sim.now.Add(4 * step) { // half of the rate
			sim.ask(sim.rand.IntN(2), quota.Turn{})
			sim.report(0)
			sim.report(1)
		}
		if held := sim.shares[0].Status(sim.now); len(held) == 0 || held[0].Held.Rate == 0 {
			t.Fatal("nothing was lent")
		}
		sim.lender = nil
		sim.now = sim.now.Add(idle)
		for end := sim.now.Add(3 * window); sim.now.Before(end); sim.now = sim.now.Add(step) {
			for range 10 {
				sim.ask(sim.rand.IntN(2), quota.Turn{})
			}
		}
		if got := sim.maxInWindow(); got > allowed(rate) {
			t.Errorf("%s: %d sent in %s, %d allowed", name, got, window, allowed(rate))
		}
	}
}

// TestLimitIsUsed: under overload, at least 80% of a server's rate is used, and at least 50% without a
// holder once the shares of the last one have expired.
func TestLimitIsUsed(t *testing.T) {
	for _, rate := range []float64{0.5, 1.5, 4, 20} {
		for _, instances := range []int{1, 6, 40} {
			sim := newSimulation(instances, rate, 1)
			run := func(length time.Duration) (sent float64) {
				before := len(sim.sent)
				for end := sim.now.Add(length); sim.now.Before(end); sim.now = sim.now.Add(step) {
					for range 5 {
						sim.ask(sim.rand.IntN(instances), quota.Turn{})
					}
					sim.ask(sim.rand.IntN(instances), quota.Turn{Spare: true})
					sim.report(sim.rand.IntN(instances))
				}
				return float64(len(sim.sent) - before)
			}
			run(4 * time.Second)
			const length = 20 * time.Second
			if got := run(length); got < 0.8*rate*length.Seconds() {
				t.Errorf("%v/s, %d instances: %.0f sent in %s", rate, instances, got, length)
			}
			sim.lender = nil
			run(shareLifetime + 4*time.Second)
			if got := run(length); got < 0.5*rate*length.Seconds() {
				t.Errorf("%v/s, %d instances: %.0f sent in %s without a holder", rate, instances, got, length)
			}
		}
	}
}

// TestSpareQueryRate: the rate of queries for spare requests depends on the server's rate, not on the
// number of instances.
func TestSpareQueryRate(t *testing.T) {
	for _, instances := range []int{1, 7, 71, 330} {
		for _, rate := range []float64{0, 1.5, 20} {
			asks := float64(instances) / SpareRetryDelay(rate, instances, 100*time.Millisecond).Seconds()
			if limit := max(spareAsksPerGrant*LentLimit(rate).Rate, float64(instances)/maxSpareDelay.Seconds()); asks > 1.001*limit {
				t.Errorf("%d instances, %v/s: %.1f queries/s, want at most %.1f", instances, rate, asks, limit)
			}
		}
	}
}

// TestQueryRateIsBounded guards against more queries than a holder can answer under any demand. A
// single instance may use most of the total rate.
func TestQueryRateIsBounded(t *testing.T) {
	for _, instances := range []int{1, 7, 330} {
		asked, seconds := 0, 10
		q := &QueryLimiter{}
		for ms := range 1000 * seconds {
			for range 5 {
				if q.Take(instances, at(ms)) {
					asked++
				}
			}
		}
		total := asked * instances / seconds
		if limit := int(1.1*totalQueryRate) + minQueryBurst*instances/seconds; total > limit || total < totalQueryRate/2 {
			t.Errorf("%d instances: %d queries/s, want at most %d and at least half of totalQueryRate", instances, total, limit)
		}
	}
}

// TestTurnsAreSpread: requests without an alternative server are given turns to ask again, one after
// the other. At their turns they are granted what is available, before requests that arrive later.
func TestTurnsAreSpread(t *testing.T) {
	l := quota.NewLender(QuotaParams(), true, nil, epoch)
	now := epoch
	var turns []time.Time
	for len(turns) < 5 {
		if answer := l.GrantInTurn("e", LentLimit(2), quota.Turn{}, now); !answer.Granted {
			turns = append(turns, now.Add(answer.After))
		}
	}
	for i, turn := range turns {
		if i > 0 && turn.Sub(turns[i-1]) < 400*time.Millisecond {
			t.Errorf("turn %d is %s after the previous one, want about 500 ms", i, turn.Sub(turns[i-1]))
		}
		if l.GrantInTurn("e", LentLimit(2), quota.Turn{Spare: true}, turn).Granted {
			t.Error("a spare request was granted what was promised to others")
		}
		if !l.GrantInTurn("e", LentLimit(2), quota.Turn{Waited: true}, turn).Granted {
			t.Errorf("turn %d was not granted", i)
		}
	}
}
