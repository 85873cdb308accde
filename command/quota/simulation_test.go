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

// admission is an admitted request.
type admission struct {
	at   time.Time
	cost float64
}

// simulation runs several instances, one of which is the holder, in virtual time.
type simulation struct {
	params   Params
	limit    serving.Limit
	now      time.Time
	names    []string
	shares   []*Shares
	lender   *Lender
	admitted []admission
	// asked is the number of queries.
	asked uint64
}

// newSimulation returns a simulation without any demand so far, with a holder that had no predecessor.
func newSimulation(instances int, p Params, limit serving.Limit) *simulation {
	s := &simulation{params: p, limit: limit, now: epoch}
	for i := range instances {
		s.names = append(s.names, fmt.Sprintf("i%d", i))
		s.shares = append(s.shares, NewShares(p.Lifetime))
	}
	s.lender = NewLender(p, true, nil, s.now)
	return s
}

// replaceHolder starts a new holder. handOver decides whether it gets the previous holder's reserve.
func (s *simulation) replaceHolder(handOver bool) {
	var left map[string]float64
	if handOver {
		left = s.lender.Reserves(s.now)
	}
	s.lender = NewLender(s.params, false, left, s.now)
	s.lender.ExpectReports(s.names)
}

func (s *simulation) limits(name string) (serving.Limit, bool) { return s.limit, name == "w" }

// Which message of an exchange is lost.
const (
	nothingLost = iota
	reportLost
	replyLost
)

// exchange has an instance report to the holder and apply the reply. Each message takes the time
// transit.
func (s *simulation) exchange(i, lost int, transit time.Duration) {
	sent := s.now
	uses := s.shares[i].Report(s.now)
	s.now = s.now.Add(transit)
	if lost == reportLost {
		s.shares[i].RestoreReport(uses, s.now)
		return
	}
	loans := s.lender.Lend(s.names[i], uses, s.limits, s.now)
	s.now = s.now.Add(transit)
	if lost == replyLost {
		s.shares[i].RestoreReport(uses, s.now)
		return
	}
	s.shares[i].Apply(loans, sent, s.now)
}

// request has a request arrive at an instance, and reports whether it was admitted.
func (s *simulation) request(i int, cost float64, lost int) bool {
	admitted := s.shares[i].Take("w", cost, s.now)
	if !admitted && lost != reportLost {
		answer := s.lender.GrantBooked("w", s.draw(cost), s.limit, s.now)
		admitted = answer.Granted && lost == nothingLost
		if answer.Known && !answer.Granted {
			s.shares[i].RecordRefusal("w", cost, s.now)
		}
	}
	if admitted {
		s.admitted = append(s.admitted, admission{s.now, cost})
	}
	return admitted
}

// draw returns a request for the given cost. Every second one is known and may be booked, and returns later.
func (s *simulation) draw(cost float64) Draw {
	s.asked++
	d := Draw{Cost: cost, Within: 5 * time.Second, Left: 5 * time.Second}
	if s.asked%2 == 0 {
		d.Request = s.asked % 100
	}
	return d
}

// maxInWindow returns the largest cost that was admitted in a window.
func (s *simulation) maxInWindow() float64 {
	largest, sum, from := 0.0, 0.0, 0
	for _, a := range s.admitted {
		sum += a.cost
		for s.admitted[from].at.Before(a.at.Add(-s.params.Window)) {
			sum -= s.admitted[from].cost
			from++
		}
		largest = max(largest, sum)
	}
	return largest
}

// bound returns what the deployment allows in a window.
func (p Params) bound(l serving.Limit) float64 {
	return (l.Rate*p.Window.Seconds()+l.Burst)*(1+p.Overage) + p.Slack
}

// requestUntilRefused sends requests of the given cost at an instance until one is refused. cut is set
// if the instance cannot reach the holder.
func (s *simulation) requestUntilRefused(i int, cost float64, cut bool) {
	lost := nothingLost
	if cut {
		lost = reportLost
	}
	for s.request(i, cost, lost) {
	}
}

// faultSimulation is a simulation with random faults.
type faultSimulation struct {
	*simulation
	rand *rand.Rand
	// cut instances cannot reach the holder, and idle ones receive no requests.
	cut, idle []bool
	cost      float64
}

// step advances the time by 100 ms. Instances request as much as they are granted; messages may be
// lost, instances may be cut off, suspended or restarted, and the holder may be replaced.
func (h *faultSimulation) step() {
	for i := range h.names {
		if !h.idle[i] {
			h.requestUntilRefused(i, h.cost, h.cut[i])
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
		for range h.rand.IntN(50) { // no holder answers
			for i := range h.names {
				if !h.idle[i] {
					h.requestUntilRefused(i, h.cost, true)
				}
			}
			h.now = h.now.Add(100 * time.Millisecond)
		}
		h.replaceHolder(h.rand.IntN(2) == 0)
	}
}

// TestAdmittedWithinBound guards against admitting more in any window than the deployment's bound,
// while demand exceeds the limit and random faults occur.
func TestAdmittedWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{
			Window: 8 * time.Second, Overage: 0.1, Slack: rapid.SampledFrom([]float64{0, 17000}).Draw(t, "slack"),
			Lifetime: rapid.SampledFrom([]time.Duration{7 * time.Second, 30 * time.Second}).Draw(t, "lifetime"),
		}
		limit := serving.Limit{Tokens: true, Rate: rapid.Float64Range(1000, 50000).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.5, 3).Draw(t, "burst")
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		h := &faultSimulation{
			simulation: newSimulation(n, p, limit), rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			cut: make([]bool, n), idle: make([]bool, n), cost: limit.Rate / float64(rapid.IntRange(10, 100).Draw(t, "requests")),
		}
		for range 400 {
			h.step()
		}
		if got, bound := h.maxInWindow(), p.bound(limit); got > bound {
			t.Fatalf("%.0f admitted in a window, the bound is %.0f (rate %.0f, burst %.0f)", got, bound, limit.Rate, limit.Burst)
		}
	})
}
