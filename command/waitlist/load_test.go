package waitlist

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// caller is a request with its returns, each at another instance.
type caller struct {
	kind       string
	id         uint64
	class      serving.TrafficClass
	first, at  time.Time
	giveUp     time.Time
	tries      int
	impatience time.Duration // of callers that ignore Retry-After
}

type callers []*caller

func (q callers) Len() int           { return len(q) }
func (q callers) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q callers) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callers) Push(c any)        { *q = append(*q, c.(*caller)) }
func (q *callers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// got is what callers of one kind got.
type got struct{ requests, onTime, late, tries, refusedAgain int }

func (g got) String() string {
	return fmt.Sprintf("%d on time, %d late of %d, %.2f tries each, %d refused again", g.onTime, g.late, g.requests, float64(g.tries)/float64(max(1, g.requests)), g.refusedAgain)
}

const (
	playInstances = 10
	playCapacity  = 40.0 // requests that the model's engines serve per second
	reportEvery   = 500 * time.Millisecond
	overlong      = 1500 * time.Millisecond // the fixed Retry-After of before
	maxTries      = 5
)

// play is a model with more requests than its engines serve, seen by several instances.
type play struct {
	random *rand.Rand
	list   *List // nil without a list
	desks  []*Desk
	// backlog is the work of the engines in requests, as of now.
	backlog float64
	now     time.Time
	// share is the share of newcomers to admit by class, and asked what they asked for in the last interval.
	share, asked map[serving.TrafficClass]float64
	// first is what they asked for without returns, smoothed.
	first map[serving.TrafficClass]float64
	// cut is the time from which the holder is lost for two seconds.
	cut time.Time
}

// holderLost reports whether there is no holder. Its successor begins with an empty list.
func (p *play) holderLost() bool {
	since := p.now.Sub(p.cut)
	if p.cut.IsZero() || since < 0 || since >= 2*time.Second {
		return false
	}
	p.list = NewList()
	return true
}

// exchange has all instances report, and computes the share of newcomers to admit.
func (p *play) exchange() {
	if p.list != nil && !p.holderLost() {
		for _, d := range p.desks {
			p.list.Record(d.Report(p.now), p.now)
		}
		p.list.Advance(func(string) float64 { return playCapacity }, p.now)
		for _, d := range p.desks {
			d.Apply(p.list.Update(), p.now)
		}
	}
	booked := map[serving.TrafficClass]float64{}
	if p.list != nil {
		booked = p.list.Booked("m")
	}
	sum, sumFirst := 0.0, 0.0
	for class := range p.asked {
		p.asked[class] /= reportEvery.Seconds()
		sum += p.asked[class]
		sumFirst += p.first[class]
	}
	free := playCapacity - (p.backlog-0.1*playCapacity)*2 // keeps the backlog short
	for class, asked := range p.asked {
		part := free * asked / max(1, sum) // the same share for all
		if p.list != nil {
			part = free * p.first[class] / max(1, sumFirst)
		}
		p.share[class] = min(1, max(0.05, (part-booked[class])/max(1, asked)))
	}
	clear(p.asked)
	for class := range p.first {
		p.first[class] *= 0.8
	}
}

// admit decides about a try at an instance, and returns the Retry-After if it is refused.
func (p *play) admit(c *caller) (bool, time.Duration) {
	desk := p.desks[(c.id+uint64(c.tries))%playInstances]
	due := p.list != nil && desk.Begin(c.id, p.now)
	if !due {
		p.asked[c.class]++
		if share, known := p.share[c.class]; known && p.random.Float64() >= share {
			if p.list == nil {
				return false, overlong
			}
			within := min(c.class.Objective/2, c.giveUp.Sub(p.now)/3)
			wait, known := desk.Refuse(Refused{Request: c.id, Model: "m", Class: c.class}, within, p.random.Float64(), p.now)
			if !known || wait > within {
				wait = overlong
			}
			return false, wait
		}
	}
	p.backlog++
	return true, 0
}

// run plays the callers and returns what each kind got.
func (p *play) run(list callers) map[string]*got {
	result := map[string]*got{}
	queue := callers{}
	for _, c := range list {
		copied := *c
		queue = append(queue, &copied)
	}
	heap.Init(&queue)
	p.now, p.share, p.asked = epoch, map[serving.TrafficClass]float64{}, map[serving.TrafficClass]float64{}
	p.first = map[serving.TrafficClass]float64{}
	next := epoch
	for len(queue) > 0 {
		c := heap.Pop(&queue).(*caller)
		for !next.After(c.at) {
			p.advance(next)
			p.exchange()
			next = next.Add(reportEvery)
		}
		p.advance(c.at)
		g := result[c.kind]
		if g == nil {
			g = &got{}
			result[c.kind] = g
		}
		c.tries++
		g.tries++
		if c.tries == 1 {
			g.requests++
			p.first[c.class]++
		}
		admitted, after := p.admit(c)
		if admitted {
			took := p.now.Sub(c.first) + time.Duration((p.backlog/playCapacity+0.05)*float64(time.Second))
			if took <= c.class.Objective {
				g.onTime++
			} else {
				g.late++
			}
			continue
		}
		if c.tries > 1 {
			g.refusedAgain++
		}
		if c.impatience > 0 {
			after = c.impatience
		} else if c.tries >= maxTries {
			continue
		}
		after = min(after, c.giveUp.Sub(p.now)/3)
		if c.at = p.now.Add(after + 5*time.Millisecond); c.at.Before(c.giveUp) {
			heap.Push(&queue, c)
		}
	}
	return result
}

func (p *play) advance(now time.Time) {
	p.backlog = max(0, p.backlog-playCapacity*now.Sub(p.now).Seconds())
	p.now = now
}

func newPlay(withList bool, seed uint64) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 5))}
	for range playInstances {
		p.desks = append(p.desks, NewDesk())
	}
	if withList {
		p.list = NewList()
	}
	return p
}

// burst returns callers of a model: usually at eight tenths of what its engines serve, three times that for
// six seconds.
func burst(seed uint64) callers {
	random := rand.New(rand.NewPCG(seed, 6))
	var list callers
	for at := 0.0; at < 20; {
		rate := 0.8 * playCapacity
		if at > 4 && at < 10 {
			rate *= 3
		}
		at += random.ExpFloat64() / rate
		first := epoch.Add(time.Duration(at * float64(time.Second)))
		c := &caller{kind: "urgent", id: random.Uint64() | 1, class: serving.TrafficClass{Priority: 1, Objective: 1500 * time.Millisecond}, first: first, at: first, giveUp: first.Add(8 * time.Second)}
		if random.IntN(2) == 0 {
			c.kind, c.class, c.giveUp = "patient", serving.TrafficClass{Priority: 2, Objective: 5 * time.Second}, first.Add(15*time.Second)
		}
		if random.IntN(10) == 0 {
			c.kind, c.impatience = c.kind+" ignoring", 50*time.Millisecond
		}
		list = append(list, c)
	}
	return list
}

// TestReturnInOrder plays a burst for one model, with the list and with random admission and a fixed Retry-After.
// With the list, more are on time, urgent and patient ones, and fewer are refused again; those who ignore
// Retry-After gain nothing.
func TestReturnInOrder(t *testing.T) {
	sum := map[bool]map[string]*got{false: {}, true: {}}
	for seed := range uint64(10) {
		list := burst(seed)
		for _, withList := range []bool{false, true} {
			for kind, g := range newPlay(withList, seed).run(list) {
				s := sum[withList][kind]
				if s == nil {
					s = &got{}
					sum[withList][kind] = s
				}
				s.requests, s.onTime, s.late = s.requests+g.requests, s.onTime+g.onTime, s.late+g.late
				s.tries, s.refusedAgain = s.tries+g.tries, s.refusedAgain+g.refusedAgain
			}
		}
	}
	for _, kind := range []string{"urgent", "patient", "urgent ignoring", "patient ignoring"} {
		t.Logf("%s:\n  random %s\n  listed %s", kind, sum[false][kind], sum[true][kind])
	}
	for _, kind := range []string{"urgent", "patient"} {
		if b, a := sum[false][kind], sum[true][kind]; a.onTime < b.onTime || a.refusedAgain > b.refusedAgain {
			t.Errorf("%s: %s, before %s", kind, a, b)
		}
		if b, a := sum[false][kind+" ignoring"], sum[true][kind+" ignoring"]; a.onTime > b.onTime {
			t.Errorf("%s, ignoring Retry-After: %s, before %s", kind, a, b)
		}
	}
}

// TestHolderLost plays the burst with a holder that is lost for two seconds, and its list for good: callers still
// get more than without a list.
func TestHolderLost(t *testing.T) {
	before, after := 0, 0
	for seed := range uint64(10) {
		list := burst(seed)
		for _, g := range newPlay(false, seed).run(list) {
			before += g.onTime
		}
		p := newPlay(true, seed)
		p.cut = epoch.Add(6 * time.Second)
		for _, g := range p.run(list) {
			after += g.onTime
		}
	}
	t.Logf("%d on time with the list lost, %d without a list", after, before)
	if after < before {
		t.Errorf("%d on time, want at least %d", after, before)
	}
}
