package brittle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// server is a server that rejects what exceeds its slots.
type server struct {
	slots    int
	rejected []time.Duration

	mu      sync.Mutex
	running int // guarded by mu
}

// begin reports whether there is room for a request, which then runs until end.
func (s *server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// play sends requests from instances to servers for ten seconds, each to a random server whose gate lets it pass, and returns
// the largest number of rejections of a server within a second, and how many requests ran.
func play(t *testing.T, instances, servers, slots, tolerated int, perSecond float64, work time.Duration) (most, ran int) {
	synctest.Test(t, func(t *testing.T) {
		list := make([]*server, servers)
		for i := range list {
			list[i] = &server{slots: slots}
		}
		gates := make([]*Gate, instances)
		for i := range gates {
			gates[i] = NewGate(fmt.Sprint("i", i), func() int { return instances })
		}
		random := rand.New(rand.NewPCG(1, 2))
		begun := time.Now()
		for time.Since(begun) < 10*time.Second {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			gate := gates[random.IntN(instances)]
			for _, n := range random.Perm(servers) {
				s, info := list[n], Server{ID: fmt.Sprint("s", n), Slots: slots, Others: -1, Tolerated: tolerated}
				if !gate.BeginBrittle(info, time.Now()) {
					continue
				}
				if !s.begin() {
					s.rejected = append(s.rejected, time.Since(begun))
					gate.Rejected(info, time.Now())
					gate.End(info.ID)
					break
				}
				ran++
				time.AfterFunc(work, func() {
					s.end()
					gate.Answered(info.ID)
					gate.End(info.ID)
				})
				break
			}
		}
		for _, s := range list {
			for i, from := range s.rejected {
				end, _ := slices.BinarySearch(s.rejected, from+time.Second)
				most = max(most, end-i)
			}
		}
		time.Sleep(time.Minute)
	})
	return most, ran
}

// TestRejectionsStayTolerable plays three times the load that servers have room for, in fleets of several sizes.
func TestRejectionsStayTolerable(t *testing.T) {
	for _, c := range []struct{ instances, servers, slots, tolerated int }{
		{7, 3, 6, 3}, {7, 3, 6, 0}, {6, 9, 64, 5}, {79, 10, 6, 3}, {1, 1, 4, 2},
	} {
		const work = 60 * time.Millisecond
		room := float64(c.servers*c.slots) / work.Seconds()
		most, ran := play(t, c.instances, c.servers, c.slots, c.tolerated, 3*room, work)
		share := float64(ran) / (10 * room)
		t.Logf("%+v: %d rejections in a second, %.2f of the room used", c, most, share)
		if most > c.tolerated {
			t.Errorf("%+v: %d rejections in a second", c, most)
		}
		if share < 0.4 {
			t.Errorf("%+v: %.2f of the room used", c, share)
		}
	}
}

// TestPartGrowsWithFreeRoom checks that an instance which gets most of the load may use what the others leave free.
func TestPartGrowsWithFreeRoom(t *testing.T) {
	g := NewGate("a", func() int { return 8 })
	now := time.Unix(1000, 0)
	count := func(others int) int {
		n := 0
		for g.BeginBrittle(Server{ID: "e", Slots: 64, Others: others, Tolerated: 2}, now) {
			n++
		}
		for range n {
			g.End("e")
		}
		return n
	}
	for others, want := range map[int]int{-1: 8, 0: 32, 40: 12, 64: 8, 80: 8} {
		if got := count(others); got != want {
			t.Errorf("%d requests beside %d of others, want %d", got, others, want)
		}
	}
}

// TestRejectionPauses checks that an instance sends nothing for a second after a rejection, and halves its part.
func TestRejectionPauses(t *testing.T) {
	g := NewGate("a", func() int { return 2 })
	s := Server{ID: "e", Slots: 16, Others: -1, Tolerated: 4}
	now := time.Unix(1000, 0)
	for range 6 {
		g.BeginBrittle(s, now)
	}
	g.Rejected(s, now)
	if at := g.NextSend(s, now); at.Sub(now) < minPause || at.Sub(now) > 2*minPause {
		t.Errorf("next send after %s", at.Sub(now))
	}
	later := now.Add(2 * minPause)
	for range 6 {
		g.End("e")
	}
	n := 0
	for g.BeginBrittle(s, later) {
		n++
	}
	if n != 3 {
		t.Errorf("%d requests after a rejection of one of six", n)
	}
	g.Forget("e")
	if !g.NextSend(s, later).IsZero() {
		t.Error("held back after the server is no longer brittle")
	}
}
