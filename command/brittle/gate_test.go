package brittle

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeServer rejects what exceeds its room, and ends if it rejects too many requests in a second.
type fakeServer struct {
	room, tolerated int
	away            time.Duration

	mu       sync.Mutex
	start    int         // guarded by mu
	running  int         // guarded by mu
	down     bool        // guarded by mu
	rejected []time.Time // guarded by mu
	most     int         // the largest number of rejections in a second; guarded by mu
	falls    int         // guarded by mu
}

// begin reports whether there is room for a request, which then runs until end.
func (s *fakeServer) begin() (start int, ok, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, false, true
	case s.running < s.room:
		s.running++
		return s.start, true, false
	}
	now := time.Now()
	for len(s.rejected) > 0 && now.Sub(s.rejected[0]) >= time.Second {
		s.rejected = s.rejected[1:]
	}
	s.rejected = append(s.rejected, now)
	s.most = max(s.most, len(s.rejected))
	if len(s.rejected) > s.tolerated {
		s.falls++
		s.down, s.rejected = true, nil
		time.AfterFunc(s.away, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.start, s.running, s.down = s.start+1, 0, false
		})
		return 0, false, true
	}
	return 0, false, false
}

// end ends a request of a start of the server.
func (s *fakeServer) end(start int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if start == s.start && !s.down {
		s.running--
	}
}

// id returns the ID of the server's current start.
func (s *fakeServer) id(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("s%d-%d", n, s.start)
}

// fakeKeepers keeps semaphores, at a distance of hop.
type fakeKeepers struct {
	hop time.Duration

	mu         sync.Mutex
	gone       bool                  // no instance answers; guarded by mu
	lost       bool                  // semaphores were lost; guarded by mu
	semaphores map[string]*Semaphore // guarded by mu
}

func newFakeKeepers() *fakeKeepers {
	return &fakeKeepers{hop: time.Millisecond, semaphores: map[string]*Semaphore{}}
}

func (k *fakeKeepers) semaphore(server Server) *Semaphore {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		return nil
	}
	if k.semaphores[server.ID] == nil {
		k.semaphores[server.ID] = NewSemaphore(server, !k.lost)
	}
	return k.semaphores[server.ID]
}

// restart makes all semaphores start anew, as if the instances that keep them had failed.
func (k *fakeKeepers) restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.semaphores)
	k.lost = true
}

func (k *fakeKeepers) setGone(gone bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gone = gone
}

// Acquire implements Permits.
func (k *fakeKeepers) Acquire(ctx context.Context, r Request) Answer {
	s := k.semaphore(r.Server)
	if s == nil {
		return Answer{}
	}
	time.Sleep(k.hop)
	grant := s.Acquire(ctx, r)
	time.Sleep(k.hop)
	return Answer{Answered: true, Grant: grant}
}

// Accept implements Permits.
func (k *fakeKeepers) Accept(s Server, p Permit) {
	time.AfterFunc(k.hop, func() {
		if semaphore := k.semaphore(s); semaphore != nil {
			semaphore.Accept(p)
		}
	})
}

// Release implements Permits.
func (k *fakeKeepers) Release(s Server, p Permit, o Outcome) {
	time.AfterFunc(k.hop, func() {
		if semaphore := k.semaphore(s); semaphore != nil {
			semaphore.Release(p, o)
		}
	})
}

// scenario is a load on brittle servers.
type scenario struct {
	instances, servers, slots, tolerated int
	// room is how many requests a server has room for; slots if 0.
	room      int
	perSecond float64
	work      time.Duration
	// gone is set if no instance answers that keeps semaphores.
	gone bool
	// disturb is called each second with the number of seconds since the beginning.
	disturb func(second int, k *fakeKeepers, servers []*fakeServer)
}

// outcome is what came of a scenario.
type outcome struct {
	sent, ran, falls, most int
	// unserved is the number of instances that served nobody.
	unserved int
	// used is ran as a part of what was sent, or of the room if that is less.
	used float64
}

const (
	scenarioLength = 10 * time.Second
	renewInterval  = 400 * time.Millisecond
	scenarioWait   = 100 * time.Millisecond
	// firstEventTime is the time until a server begins to answer.
	firstEventTime = 80 * time.Millisecond
)

// play plays a scenario. Each request goes to a random instance, which asks two random servers without waiting and then waits for a
// third. Fixed parts are looked at for all servers.
func (c scenario) play(t *testing.T) (o outcome) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := c.newPlay()
		go p.renew(ctx)
		go p.disturb(ctx)
		random := rand.New(rand.NewPCG(1, 2))
		var requests sync.WaitGroup
		for begun := time.Now(); time.Since(begun) < scenarioLength; o.sent++ {
			time.Sleep(time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second)))
			instance, order := random.IntN(c.instances), random.Perm(c.servers)
			requests.Go(func() { p.request(ctx, instance, order) })
		}
		requests.Wait()
		cancel()
		time.Sleep(time.Minute) // until all goroutines have ended
		for _, s := range p.servers {
			o.falls += s.falls
			o.most = max(o.most, s.most)
		}
		for _, n := range p.served {
			o.ran += n
			if n == 0 {
				o.unserved++
			}
		}
		room := float64(c.servers*c.serverRoom()) / c.work.Seconds() * scenarioLength.Seconds()
		o.used = float64(o.ran) / min(room, float64(o.sent))
	})
	return o
}

func (c scenario) serverRoom() int {
	if c.room == 0 {
		return c.slots
	}
	return c.room
}

// play is the state of a scenario that is played.
type play struct {
	scenario
	keepers *fakeKeepers
	servers []*fakeServer
	gates   []*Gate

	mu     sync.Mutex
	served []int // by instance; guarded by mu
}

func (c scenario) newPlay() *play {
	p := &play{scenario: c, keepers: newFakeKeepers(), served: make([]int, c.instances)}
	p.keepers.setGone(c.gone)
	for range c.servers {
		p.servers = append(p.servers, &fakeServer{room: c.serverRoom(), tolerated: c.tolerated, away: 3 * time.Second})
	}
	for i := range c.instances {
		p.gates = append(p.gates, NewGate(fmt.Sprint("i", i), p.keepers, func() int { return c.instances }))
	}
	return p
}

// renew renews the permits of all instances until ctx ends.
func (p *play) renew(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(renewInterval)
		for _, g := range p.gates {
			for id, r := range g.Renewals(time.Now()) {
				r.Server = Server{ID: id, Slots: p.slots, Tolerated: p.tolerated}
				time.AfterFunc(3*p.keepers.hop, func() { // later than releases that are sent after it
					if s := p.keepers.semaphore(r.Server); s != nil {
						s.Renew(r)
					}
				})
			}
		}
	}
}

func (p *play) disturb(ctx context.Context) {
	for second := 1; ctx.Err() == nil && p.scenario.disturb != nil; second++ {
		time.Sleep(time.Second)
		p.scenario.disturb(second, p.keepers, p.servers)
	}
}

// request sends a request of an instance to the first server that has room for it.
func (p *play) request(ctx context.Context, instance int, order []int) {
	if !p.gone {
		order = order[:min(3, len(order))]
	}
	for i, n := range order {
		wait := time.Duration(0)
		if i == len(order)-1 {
			wait = scenarioWait
		}
		s := p.servers[n]
		server := Server{ID: s.id(n), Slots: p.slots, Tolerated: p.tolerated}
		a, _, ok := p.gates[instance].BeginBrittle(ctx, server, 0, wait, time.Now())
		if !ok {
			continue
		}
		if p.send(s, a) {
			p.mu.Lock()
			p.served[instance]++
			p.mu.Unlock()
		}
		return
	}
}

// send sends an admitted request, and reports whether it was answered.
func (p *play) send(s *fakeServer, a Admission) bool {
	time.Sleep(p.keepers.hop)
	start, ok, down := s.begin()
	switch {
	case down:
		a.End(Unknown, time.Now())
		return false
	case !ok:
		time.Sleep(p.keepers.hop)
		a.End(Rejected, time.Now())
		return false
	}
	begins := min(p.work, firstEventTime)
	time.Sleep(begins)
	a.Accepted()
	time.Sleep(p.work - begins)
	s.end(start)
	time.Sleep(p.keepers.hop)
	a.End(Accepted, time.Now())
	return start == s.started()
}

// started returns the number of the server's current start.
func (s *fakeServer) started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start
}

// TestBrittleServersEndOneAfterTheOther guards against servers that end since nobody counts their room over all instances, and
// against instances that serve nobody.
func TestBrittleServersEndOneAfterTheOther(t *testing.T) {
	t.Parallel()
	const short, long = 30 * time.Millisecond, 600 * time.Millisecond
	for name, c := range map[string]scenario{
		"plain":                     {instances: 79, servers: 4, slots: 6, tolerated: 2, perSecond: 70, work: short},
		"plain, all room":           {instances: 79, servers: 4, slots: 6, tolerated: 2, perSecond: 700, work: short},
		"plain, twice the room":     {instances: 79, servers: 4, slots: 6, tolerated: 2, perSecond: 1600, work: short},
		"plain, none tolerated":     {instances: 79, servers: 4, slots: 6, tolerated: 0, perSecond: 400, work: short},
		"plain, 300 instances":      {instances: 300, servers: 4, slots: 6, tolerated: 2, perSecond: 700, work: short},
		"engines":                   {instances: 79, servers: 8, slots: 16, tolerated: 4, perSecond: 200, work: long},
		"engines, thrice the room":  {instances: 79, servers: 8, slots: 16, tolerated: 4, perSecond: 600, work: long},
		"engines, half the slots":   {instances: 79, servers: 8, slots: 16, room: 8, tolerated: 4, perSecond: 200, work: long},
		"engines, few instances":    {instances: 7, servers: 8, slots: 16, tolerated: 4, perSecond: 200, work: long},
		"few servers and instances": {instances: 7, servers: 3, slots: 8, tolerated: 4, perSecond: 170, work: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			o := c.play(t)
			t.Logf("%+v", o)
			if o.falls > 0 {
				t.Errorf("%d servers ended", o.falls)
			}
			if o.used < 0.8 {
				t.Errorf("%.2f of the room used", o.used)
			}
			if o.unserved > 0 {
				t.Errorf("%d instances served nobody", o.unserved)
			}
		})
	}
}

// TestBrittleServersEndWhenRoomIsUnknown guards against servers that end where what is known of their room is lost or wrong.
func TestBrittleServersEndWhenRoomIsUnknown(t *testing.T) {
	t.Parallel()
	plain := scenario{instances: 79, servers: 4, slots: 6, tolerated: 2, perSecond: 1600, work: 30 * time.Millisecond}
	engines := scenario{instances: 79, servers: 8, slots: 16, tolerated: 4, perSecond: 400, work: 600 * time.Millisecond}
	for name, c := range map[string]struct {
		scenario
		disturb func(second int, k *fakeKeepers, servers []*fakeServer)
		used    float64
	}{
		"semaphores lost each second":   {plain, func(_ int, k *fakeKeepers, _ []*fakeServer) { k.restart() }, 0.25},
		"semaphores of engines lost":    {engines, func(second int, k *fakeKeepers, _ []*fakeServer) { lostAt(second, k) }, 0.7},
		"no semaphores for two seconds": {plain, goneFor, 0.5},
		"no semaphores of engines":      {engines, goneFor, 0.5},
		"room becomes less":             {engines, func(second int, _ *fakeKeepers, s []*fakeServer) { roomFrom(second, s, 10) }, 0.55},
		"room becomes less than half":   {engines, func(second int, _ *fakeKeepers, s []*fakeServer) { roomFrom(second, s, 6) }, 0.35},
	} {
		t.Run(name, func(t *testing.T) {
			c.scenario.disturb = c.disturb
			o := c.play(t)
			t.Logf("%+v", o)
			if 10*o.falls > 20+c.servers {
				t.Errorf("%d of %d servers ended", o.falls, c.servers)
			}
			if o.used < c.used {
				t.Errorf("%.2f of the room used, want %.2f", o.used, c.used)
			}
		})
	}
}

func lostAt(second int, k *fakeKeepers) {
	if second == 3 {
		k.restart()
	}
}

func goneFor(second int, k *fakeKeepers, _ []*fakeServer) {
	if second == 3 || second == 5 {
		k.setGone(second == 3)
	}
}

// roomFrom makes the servers' room less from the third second on.
func roomFrom(second int, servers []*fakeServer, room int) {
	for _, s := range servers {
		s.mu.Lock()
		if second >= 3 {
			s.room = room
		}
		s.mu.Unlock()
	}
}

// TestRejectionsStayTolerable plays three times the load that servers have room for, in fleets of several sizes, while no
// instance answers that keeps semaphores.
func TestRejectionsStayTolerable(t *testing.T) {
	t.Parallel()
	for _, c := range []scenario{
		{instances: 7, servers: 3, slots: 6, tolerated: 3}, {instances: 7, servers: 3, slots: 6, tolerated: 0},
		{instances: 6, servers: 9, slots: 64, tolerated: 5}, {instances: 79, servers: 10, slots: 6, tolerated: 3}, {instances: 1, servers: 1, slots: 4, tolerated: 2},
	} {
		c.work = 60 * time.Millisecond
		c.perSecond = 3 * float64(c.servers*c.slots) / c.work.Seconds()
		c.gone = true
		o := c.play(t)
		t.Logf("%+v: %+v", c, o)
		if o.most > c.tolerated {
			t.Errorf("%+v: %d rejections in a second", c, o.most)
		}
		if o.used < 0.4 {
			t.Errorf("%+v: %.2f of the room used", c, o.used)
		}
	}
}

// TestRejectionPauses checks that an instance with a fixed part sends nothing for a second after a rejection, and halves its
// part.
func TestRejectionPauses(t *testing.T) {
	keepers := newFakeKeepers()
	keepers.setGone(true)
	keepers.hop = 0
	g := NewGate("a", keepers, func() int { return 2 })
	s := Server{ID: "e", Slots: 16, Tolerated: 4}
	now := time.Unix(1000, 0)
	begin := func(now time.Time) (Admission, time.Duration, bool) { return g.BeginBrittle(t.Context(), s, 0, 0, now) }
	var running []Admission
	for range 6 {
		a, _, _ := begin(now)
		running = append(running, a)
	}
	rejected, _, _ := begin(now)
	rejected.End(Rejected, now)
	if _, after, ok := begin(now); ok || after < minPause || after > 2*minPause {
		t.Errorf("next send after %s", after)
	}
	later := now.Add(2 * minPause)
	for _, a := range running {
		a.End(Unknown, now)
	}
	n := 0
	for ; ; n++ {
		if _, _, ok := begin(later); !ok {
			break
		}
	}
	if n != 3 {
		t.Errorf("%d requests after a rejection of one of seven", n)
	}
	g.Forget(func(string) bool { return false })
	if _, _, ok := begin(now); !ok {
		t.Error("held back after the server is gone")
	}
}

// TestOneInstanceUsesAllRoom checks that an instance which gets all of the load may use all slots.
func TestOneInstanceUsesAllRoom(t *testing.T) {
	o := scenario{instances: 1, servers: 1, slots: 64, tolerated: 2, perSecond: 400, work: 200 * time.Millisecond}.play(t)
	if o.used < 0.8 || o.falls > 0 {
		t.Errorf("%+v", o)
	}
}
