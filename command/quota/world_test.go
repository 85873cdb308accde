package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// let is a request that was let run.
type let struct {
	at   time.Time
	cost float64
}

// world is a few instances, one of which lends, in virtual time.
type world struct {
	params Params
	limit  serving.Limit
	now    time.Time
	names  []string
	shares []*Shares
	lender *Lender
	lets   []let
}

func newWorld(instances int, p Params, limit serving.Limit) *world {
	w := &world{params: p, limit: limit, now: epoch}
	for i := range instances {
		w.names = append(w.names, fmt.Sprintf("i%d", i))
		w.shares = append(w.shares, NewShares(p.Lifetime))
	}
	w.lender = NewLender(p, true, nil, w.now)
	return w
}

// succeed has another holder begin, which is told what the one before has left or not.
func (w *world) succeed(told bool) {
	var left map[string]float64
	if told {
		left = w.lender.Left(w.now)
	}
	w.lender = NewLender(w.params, false, left, w.now)
	w.lender.Expect(w.names)
}

func (w *world) limits(name string) (serving.Limit, bool) { return w.limit, name == "w" }

// Ways in which messages are lost.
const (
	nothingLost = iota
	reportLost
	replyLost
)

// exchange has an instance report, and take the answer over some time later.
func (w *world) exchange(i, lost int, way time.Duration) {
	sent := w.now
	uses := w.shares[i].Report(w.now)
	w.now = w.now.Add(way)
	if lost == reportLost {
		w.shares[i].Unreported(uses, w.now)
		return
	}
	loans := w.lender.Lend(w.names[i], uses, w.limits, w.now)
	w.now = w.now.Add(way)
	if lost == replyLost {
		w.shares[i].Unreported(uses, w.now)
		return
	}
	w.shares[i].Apply(loans, sent, w.now)
}

// request has a request arrive at an instance, and reports whether it was let run.
func (w *world) request(i int, cost float64, lost int) bool {
	taken := w.shares[i].Take("w", cost, w.now)
	if !taken && lost != reportLost {
		answer := w.lender.Ask("w", cost, w.limit, w.now)
		taken = answer.Granted && lost == nothingLost
		if answer.Known && !answer.Granted {
			w.shares[i].Refused("w", cost, w.now)
		}
	}
	if taken {
		w.lets = append(w.lets, let{w.now, cost})
	}
	return taken
}

// worst returns the most that was let run in a window.
func (w *world) worst() float64 {
	worst, sum, from := 0.0, 0.0, 0
	for _, l := range w.lets {
		sum += l.cost
		for w.lets[from].at.Before(l.at.Add(-w.params.Window)) {
			sum -= w.lets[from].cost
			from++
		}
		worst = max(worst, sum)
	}
	return worst
}

// bound is what the deployment allows in a window.
func (p Params) bound(l serving.Limit) float64 {
	return (l.Rate*p.Window.Seconds()+l.Burst)*(1+p.Overage) + p.Slack
}

// hungry has an instance ask for as much as it is let run, in requests of a size.
func (w *world) hungry(i int, cost float64, cut bool) {
	lost := nothingLost
	if cut {
		lost = reportLost
	}
	for w.request(i, cost, lost) {
	}
}

// history is a walk through trouble, by a source of chance.
type history struct {
	*world
	rand *rand.Rand
	// cut instances are out of the holder's reach, idle ones are asked for nothing.
	cut, idle []bool
	cost      float64
}

// step lets a tenth of a second pass in which anything may happen: instances ask for all that
// they get, messages are lost, instances are cut off, are suspended and start anew, and another
// one becomes the holder.
func (h *history) step() {
	for i := range h.names {
		if !h.idle[i] {
			h.hungry(i, h.cost, h.cut[i])
		}
		if !h.cut[i] && h.rand.IntN(5) == 0 {
			h.exchange(i, []int{nothingLost, nothingLost, reportLost, replyLost}[h.rand.IntN(4)], time.Duration(h.rand.IntN(20))*time.Millisecond)
		}
	}
	h.now = h.now.Add(100 * time.Millisecond)
	i := h.rand.IntN(len(h.names))
	switch h.rand.IntN(60) {
	case 0, 1:
		h.cut[i] = !h.cut[i]
	case 2, 3, 4, 5, 6, 7:
		h.idle[i] = !h.idle[i]
	case 8:
		h.shares[i] = NewShares(h.params.Lifetime)
	case 9:
		h.now = h.now.Add(time.Duration(h.rand.IntN(10)) * time.Second)
	case 10:
		for range h.rand.IntN(50) { // nobody answers
			for i := range h.names {
				if !h.idle[i] {
					h.hungry(i, h.cost, true)
				}
			}
			h.now = h.now.Add(100 * time.Millisecond)
		}
		h.succeed(h.rand.IntN(2) == 0)
	}
}

// TestBoundHolds walks through trouble while more is asked for than the limit: what is let run
// in any window stays within the deployment's bound.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{
			Window: 8 * time.Second, Overage: 0.1, Slack: rapid.SampledFrom([]float64{0, 17000}).Draw(t, "slack"),
			Lifetime: rapid.SampledFrom([]time.Duration{7 * time.Second, 30 * time.Second}).Draw(t, "lifetime"),
		}
		limit := serving.Limit{Tokens: true, Rate: rapid.Float64Range(1000, 50000).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.5, 3).Draw(t, "burst")
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		h := &history{
			world: newWorld(n, p, limit), rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			cut: make([]bool, n), idle: make([]bool, n), cost: limit.Rate / float64(rapid.IntRange(10, 100).Draw(t, "requests")),
		}
		for range 400 {
			h.step()
		}
		if got, most := h.worst(), p.bound(limit); got > most {
			t.Fatalf("%.0f let run in a window, the bound is %.0f (rate %.0f, burst %.0f)", got, most, limit.Rate, limit.Burst)
		}
	})
}
