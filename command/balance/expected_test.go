package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// unevenFleet plays urgent and patient requests of many instances, with reports that are 500 to 660 ms old, on engines
// of which every fourth is slow. An engine runs unevenSlots requests at a time, at its speed, and queues the rest;
// answers vary in length, and now and then an engine is slowed down for some hundred milliseconds.
type unevenFleet struct {
	choose  func(f *unevenFleet, b *Balancer, candidates []Candidate, t time.Time) int
	random  *rand.Rand
	noise   *rand.Rand // of the lengths of answers
	stalls  *rand.Rand // of slowed-down engines, the same with each decision
	engines []*unevenEngine
	inst    []*unevenInstance
	pending []unevenEnd
	result  unevenResult
}

type unevenEngine struct {
	id      string
	speed   float64
	running int
	queue   []unevenRequest
	// slowUntil is until when the engine is slowed down.
	slowUntil time.Time
	busy      float64 // sum of the load over the steps
}

type unevenInstance struct {
	balancer *Balancer
	reported map[string]int
	at, next time.Time
	own      map[string]int
}

type unevenRequest struct {
	sent      time.Time
	instance  *unevenInstance
	objective time.Duration
	done      func(Outcome, time.Time)
}

type unevenEnd struct {
	at      time.Time
	engine  *unevenEngine
	request unevenRequest
}

// unevenResult is what callers got, by class: the requests, those on time, and the ratio of the busiest engine's load,
// for its speed, to the mean.
type unevenResult struct {
	all, onTime map[time.Duration]int
	busiest     float64
	slowShare   float64
}

func (r unevenResult) share(objective time.Duration) float64 {
	return float64(r.onTime[objective]) / float64(max(1, r.all[objective]))
}

const (
	unevenInstances = 69
	unevenSlots     = 24
	unevenStep      = 2 * time.Millisecond
	unevenRun       = 350 * time.Millisecond
	unevenFirst     = 60 * time.Millisecond
	urgentObjective = 400 * time.Millisecond
	patientLimit    = 3 * time.Second
)

func newUnevenFleet(engines int, choose func(*unevenFleet, *Balancer, []Candidate, time.Time) int, slow float64, seed uint64) *unevenFleet {
	f := &unevenFleet{choose: choose, random: rand.New(rand.NewPCG(seed, 2)), noise: rand.New(rand.NewPCG(seed, 4)), stalls: rand.New(rand.NewPCG(seed, 6))}
	f.result = unevenResult{all: map[time.Duration]int{}, onTime: map[time.Duration]int{}}
	for i := range engines {
		e := &unevenEngine{id: fmt.Sprint(i), speed: 1}
		if i%4 == 0 {
			e.speed = slow
		}
		f.engines = append(f.engines, e)
	}
	for range unevenInstances {
		f.inst = append(f.inst, &unevenInstance{balancer: New(DefaultParams()), reported: map[string]int{}, own: map[string]int{}, at: now, next: now.Add(time.Duration(f.random.IntN(600)) * time.Millisecond)})
	}
	return f
}

// run plays the given load, relative to what the engines can serve, for a time.
func (f *unevenFleet) run(load float64, length time.Duration) unevenResult {
	capacity, backlog := 0.0, 0.0
	for _, e := range f.engines {
		capacity += e.speed * unevenSlots / unevenRun.Seconds()
	}
	for at := time.Duration(0); at < length; at += unevenStep {
		t := now.Add(at)
		f.step(t)
		for backlog += load * capacity * unevenStep.Seconds(); backlog >= 1; backlog-- {
			f.send(t)
		}
	}
	total, most, slow := 0.0, 0.0, 0.0
	for _, e := range f.engines {
		total += e.busy
		most = max(most, e.busy/e.speed)
		if e.speed < 1 {
			slow += e.busy
		}
	}
	speeds := 0.0
	for _, e := range f.engines {
		speeds += e.speed
	}
	f.result.busiest, f.result.slowShare = most*speeds/total, slow/total
	return f.result
}

// step ends requests, starts queued ones and distributes reports.
func (f *unevenFleet) step(t time.Time) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if t.Before(p.at) {
			kept = append(kept, p)
			continue
		}
		p.engine.running--
		p.request.instance.own[p.engine.id]--
		p.request.done(Succeeded, t)
	}
	f.pending = kept
	for _, e := range f.engines {
		if f.stalls.Float64() < 0.15*unevenStep.Seconds()/0.6 {
			e.slowUntil = t.Add(600 * time.Millisecond)
		}
		for ; e.running < unevenSlots && len(e.queue) > 0; e.queue = e.queue[1:] {
			f.start(e, e.queue[0], t)
		}
		e.busy += float64(e.running + len(e.queue))
	}
	for _, i := range f.inst {
		if t.Before(i.next) {
			continue
		}
		i.at, i.next = t, t.Add(500*time.Millisecond+time.Duration(f.random.IntN(160))*time.Millisecond)
		for _, e := range f.engines {
			i.reported[e.id] = e.running + len(e.queue) - i.own[e.id]
		}
	}
}

func (f *unevenFleet) start(e *unevenEngine, r unevenRequest, t time.Time) {
	e.running++
	factor := 1 / e.speed
	if t.Before(e.slowUntil) {
		factor *= 2.5
	}
	first := t.Add(time.Duration(factor * float64(unevenFirst)))
	if first.Sub(r.sent) <= r.objective {
		f.result.onTime[r.objective]++
	}
	length := factor * float64(unevenRun) * (0.5 + f.noise.Float64())
	f.pending = append(f.pending, unevenEnd{t.Add(time.Duration(length)), e, r})
}

func (f *unevenFleet) send(t time.Time) {
	i := f.inst[f.random.IntN(len(f.inst))]
	objective := urgentObjective
	if f.random.IntN(4) == 0 {
		objective = patientLimit
	}
	var candidates []Candidate
	for _, e := range f.engines {
		candidates = append(candidates, Candidate{ID: e.id, SameDomain: true, Slots: unevenSlots, OthersInFlight: max(0, i.reported[e.id]), ReportAge: t.Sub(i.at), Speed: e.speed, Urgent: objective == urgentObjective})
	}
	e := f.engines[f.choose(f, i.balancer, candidates, t)]
	i.own[e.id]++
	f.result.all[objective]++
	e.queue = append(e.queue, unevenRequest{sent: t, instance: i, objective: objective, done: i.balancer.Start(e.id, "")})
}

// chooseWithoutSpeed is the decision of before: engines count as equally fast.
func chooseWithoutSpeed(f *unevenFleet, b *Balancer, candidates []Candidate, _ time.Time) int {
	for i := range candidates {
		candidates[i].Speed = 0
	}
	return draw(b.scores(candidates), b.unseenRequests(candidates, allOf(candidates)), f.random.Float64())
}

// allOf returns the indices of all candidates.
func allOf(candidates []Candidate) []int {
	var indices []int
	for i := range candidates {
		indices = append(indices, i)
	}
	return indices
}

// chooseExpectedTime takes the one with the least expected time of all.
func chooseExpectedTime(_ *unevenFleet, b *Balancer, candidates []Candidate, _ time.Time) int {
	best := 0
	for i, c := range candidates {
		if b.score(c) < b.score(candidates[best]) {
			best = i
		}
	}
	return best
}

// chooseOfTwo is the decision in use: the better of two.
func chooseOfTwo(f *unevenFleet, b *Balancer, candidates []Candidate, _ time.Time) int {
	return b.pickOfTwo(candidates, allOf(candidates), [2]float64{f.random.Float64(), f.random.Float64()})
}

// unevenPlays is the number of plays over which results are averaged: which engine is slowed down when decides single
// ones.
const unevenPlays = 10

// play returns the mean result of a decision.
func play(engines int, load float64, choose func(*unevenFleet, *Balancer, []Candidate, time.Time) int) unevenResult {
	sum := unevenResult{all: map[time.Duration]int{}, onTime: map[time.Duration]int{}}
	for seed := range uint64(unevenPlays) {
		r := newUnevenFleet(engines, choose, 0.55/1.2, seed).run(load, 8*time.Second)
		for objective := range r.all {
			sum.all[objective] += r.all[objective]
			sum.onTime[objective] += r.onTime[objective]
		}
		sum.busiest += r.busiest / unevenPlays
		sum.slowShare += r.slowShare / unevenPlays
	}
	return sum
}

// TestUnevenEngines compares the decisions with engines of .55 and 1.2 of the same speed, for models with few and many
// copies. At each load, the one in use serves urgent requests on time as often as both others or more, and patient ones
// nearly so; no engine has much more than its part, and slow ones are used.
func TestUnevenEngines(t *testing.T) {
	const urgentTolerance, patientTolerance = 0.01, 0.02
	for _, engines := range []int{2, 4, 12} {
		for _, load := range []float64{0.3, 0.6, 0.75} {
			chosen := play(engines, load, chooseOfTwo)
			for name, r := range map[string]unevenResult{
				"two choices": chosen, "without speed": play(engines, load, chooseWithoutSpeed), "expected time": play(engines, load, chooseExpectedTime),
			} {
				t.Logf("%d engines, load %.2f, %s: urgent on time %.4f, patient %.4f, busiest for its speed %.2f times the mean, %.2f of the load on slow engines",
					engines, load, name, r.share(urgentObjective), r.share(patientLimit), r.busiest, r.slowShare)
				if chosen.share(urgentObjective) < r.share(urgentObjective)-urgentTolerance || chosen.share(patientLimit) < r.share(patientLimit)-patientTolerance {
					t.Errorf("%d engines, load %.2f: %s serves more on time", engines, load, name)
				}
			}
			if chosen.busiest > 1.6 || chosen.slowShare < 0.05 {
				t.Errorf("%d engines, load %.2f: the busiest one has %.2f times the mean for its speed, the slow ones %.2f of the load", engines, load, chosen.busiest, chosen.slowShare)
			}
		}
	}
}

// TestEqualSpeedsChooseAsBefore: with equal engines, known or not, scores are those without any speed and the choice is
// the draw, whatever the request's patience.
func TestEqualSpeedsChooseAsBefore(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 9))
	b := New(DefaultParams())
	for range 2000 {
		var before, equal []Candidate
		var indices []int
		for i := range 1 + random.IntN(8) {
			c := Candidate{ID: fmt.Sprint(i), OthersInFlight: random.IntN(30), Slots: random.IntN(40), SameDomain: random.IntN(2) == 0, Affine: i == 3}
			before, indices = append(before, c), append(indices, i)
			c.Speed, c.Urgent = float64(random.IntN(2)), random.IntN(2) == 0
			equal = append(equal, c)
		}
		if speedsDiffer(equal, indices) {
			t.Fatalf("%+v differ", equal)
		}
		unseen, share := b.unseenRequests(before, indices), random.Float64()
		if got, want := draw(b.scores(equal), b.unseenRequests(equal, indices), share), draw(b.scores(before), unseen, share); got != want {
			t.Fatalf("%+v: drew %d, before %d", equal, got, want)
		}
	}
}

// scores returns the scores of the candidates.
func (b *Balancer) scores(candidates []Candidate) []float64 {
	var scores []float64
	for _, c := range candidates {
		scores = append(scores, b.score(c))
	}
	return scores
}

// TestPickOfTwoKeepsPreferences: among servers of different speeds, one that can serve now is preferred to one that
// loads, an ejected one is left out, and the prompt's prefix still counts. An urgent request avoids an idle slow server
// while a patient one takes it.
func TestPickOfTwoKeepsPreferences(t *testing.T) {
	b := New(DefaultParams())
	for range 2 {
		b.Start("ejected", "")(Failed, now)
	}
	fast := Candidate{ID: "fast", SameDomain: true, Slots: 16, OthersInFlight: 8}
	slow := Candidate{ID: "slow", SameDomain: true, Slots: 16, Speed: 0.5}
	loading := Candidate{ID: "loading", SameDomain: true, Slots: 16, Wait: time.Second}
	cached := Candidate{ID: "cached", SameDomain: true, Slots: 16, OthersInFlight: 8, Affine: true}
	share := func(candidates ...Candidate) map[string]float64 {
		n := map[string]float64{}
		for range 4000 {
			n[candidates[b.Pick(candidates, now)].ID] += 1.0 / 4000
		}
		return n
	}
	if n := share(fast, slow, loading, Candidate{ID: "ejected", SameDomain: true, Slots: 16}); n["loading"] > 0 || n["ejected"] > 0 {
		t.Errorf("%v", n)
	}
	if n := share(slow, fast); n["slow"] < 0.7 {
		t.Errorf("patient requests: %v, want most on the idle slow server", n)
	}
	slow.Urgent, fast.Urgent, cached.Urgent = true, true, true
	if n := share(slow, fast); n["fast"] < 0.7 {
		t.Errorf("urgent requests: %v, want most on the fast server", n)
	}
	if n := share(slow, fast, cached); n["cached"] < 0.99 {
		t.Errorf("%v, want the server with the prefix", n)
	}
}
