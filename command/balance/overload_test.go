package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queueServer runs a number of requests at once, in the order in which they come; clients
// that have waited too long leave.
type queueServer struct {
	running []time.Time // when they end
	queue   []time.Time // when they came
}

// Times of the load that TestOverload plays.
const (
	overloadStep      = 10 * time.Millisecond
	overloadObjective = 400 * time.Millisecond
	overloadPatience  = 2400 * time.Millisecond
	overloadWordEach  = time.Second
)

// step ends and begins requests, and counts those that begin on time and late.
func (q *queueServer) step(t time.Time, random *rand.Rand) (onTime, late int) {
	var left []time.Time
	for _, end := range q.running {
		if t.Before(end) {
			left = append(left, end)
		}
	}
	q.running = left
	for len(q.running) < staleSlots && len(q.queue) > 0 {
		waited := t.Sub(q.queue[0])
		q.queue = q.queue[1:]
		switch {
		case waited > overloadPatience:
			continue
		case waited > overloadObjective:
			late++
		default:
			onTime++
		}
		length := time.Duration(random.ExpFloat64() * float64(staleRequest))
		q.running = append(q.running, t.Add(length))
	}
	return onTime, late
}

// playOverload sends a multiple of what five servers serve, from instances that hear of
// the load once a second, and returns which shares of the requests were on time, late and
// refused.
func playOverload(times float64, refuse bool) (onTime, late, refused float64) {
	random := rand.New(rand.NewPCG(3, 4))
	servers := make([]queueServer, staleServers)
	b := New(DefaultParams())
	heard, heardAt := make([]int, staleServers), now
	sent, due := 0, 0.0
	perStep := times * staleServers * staleSlots / staleRequest.Seconds() * overloadStep.Seconds()
	for at := time.Duration(0); at < 60*time.Second; at += overloadStep {
		t := now.Add(at)
		if at%overloadWordEach == 0 {
			heardAt = t
			for i, s := range servers {
				heard[i] = len(s.running) + len(s.queue)
			}
		}
		for due += perStep; due >= 1; due-- {
			sent++
			var candidates []Candidate
			for i := range servers {
				candidates = append(candidates, Candidate{ID: staleServer(i), Near: true, Slots: staleSlots, Others: heard[i], Age: t.Sub(heardAt)})
			}
			if refuse && random.Float64() < b.Overload(candidates, overloadObjective).Refuse {
				refused++
				continue
			}
			i := b.Pick(candidates, t)
			servers[i].queue = append(servers[i].queue, t)
		}
		for i := range servers {
			o, l := servers[i].step(t, random)
			onTime += float64(o)
			late += float64(l)
		}
	}
	return onTime / float64(sent), late / float64(sent), refused / float64(sent)
}

// TestOverload: where more is asked for than can be served, most requests are served on
// time and the rest refused; where less is, none are. The shares without refusing stand
// beside the load.
func TestOverload(t *testing.T) {
	for _, c := range []struct {
		times                    float64 // of what can be served
		without, with, refusedAt float64 // on time at least; refused at most
	}{
		{0.8, 0.93, 0.88, 0.02},
		{1.1, 0.12, 0.5, 0.2},
		{1.25, 0.06, 0.42, 0.3},
		{1.5, 0.03, 0.33, 0.42},
	} {
		without, _, _ := playOverload(c.times, false)
		with, late, refused := playOverload(c.times, true)
		if with < c.with || refused > c.refusedAt {
			t.Errorf("%.2f of what can be served: %.2f on time, %.2f late, %.2f refused, want %.2f on time and %.2f refused",
				c.times, with, late, refused, c.with, c.refusedAt)
		}
		if without > c.without+0.1 || c.times > 1 && with < without+0.2 {
			t.Errorf("%.2f of what can be served: %.2f on time without refusing, %.2f with", c.times, without, with)
		}
	}
}

// TestOverloadNeedsFreshWord: nothing is refused by word that is too old, nor where the
// size of a server is not known.
func TestOverloadNeedsFreshWord(t *testing.T) {
	b := New(DefaultParams())
	full := Candidate{ID: "a", Slots: staleSlots, Others: 4 * staleSlots}
	if o := b.Overload([]Candidate{full}, overloadObjective); o.Refuse != 1 || o.After != 3*typicalRequest {
		t.Errorf("%+v of a server with three times its places queued", o)
	}
	old, unknown := full, full
	old.Age, unknown.Slots = 2*maxOverloadAge, 0
	for _, c := range []Candidate{old, unknown} {
		if o := b.Overload([]Candidate{c}, overloadObjective); o.Refuse != 0 {
			t.Errorf("%+v: refuses by %+v", o, c)
		}
	}
}
