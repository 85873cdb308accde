package entry

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/rpcpool"
)

// permitFleet are instances that ask each other for permits, over connections in memory.
type permitFleet struct {
	t        *testing.T
	services map[string]*service // by address, which is the name
	list     []member

	mu  sync.Mutex
	cut map[[2]string]bool // by caller and callee; guarded by mu
}

// newPermitFleet returns instances in failure domains: the first letter of each name.
func newPermitFleet(t *testing.T, names ...string) *permitFleet {
	f := &permitFleet{t: t, services: map[string]*service{}, cut: map[[2]string]bool{}}
	for _, name := range names {
		f.list = append(f.list, member{Name: name, Address: name, Domain: name[:1]})
	}
	for _, m := range f.list {
		f.services[m.Name] = f.newService(m)
	}
	return f
}

func (f *permitFleet) newService(self member) *service {
	set, dir := metrics.NewSet(), directory.New()
	pool := rpcpool.New(func(_ context.Context, address string) (net.Conn, error) { return f.dial(self.Name, address) })
	f.t.Cleanup(pool.Close)
	m := &members{self: self, known: f.list, readAt: clock.Now()}
	s := &service{semaphores: newSemaphores(set, discardLog()), follower: newFollower(self.Name, nil, dir, pool, m, discardLog())}
	s.semaphores.trustedFrom = time.Time{}
	s.limiter = newServerLimiter(self.Name, dir, m, set, discardLog())
	s.limiter.permits = newPermits(self.Name, dir, m, pool, set)
	s.limiter.permits.local, s.limiter.permits.reachesHolder = s, func() bool { return false }
	return s
}

func (f *permitFleet) dial(from, to string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[[2]string{from, to}] {
		return nil, errors.New("cut")
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Entry", f.services[to]); err != nil {
		return nil, err
	}
	client, conn := net.Pipe()
	go server.ServeConn(conn)
	return client, nil
}

// setCut cuts or restores the path from one instance to another.
func (f *permitFleet) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
	f.services[from].limiter.permits.pool.Disconnect(to)
}

// ranked returns the names of the instances in the order in which they keep the semaphore of a server.
func (f *permitFleet) ranked(s brittle.Server) (names []string) {
	for _, m := range f.services[f.list[0].Name].limiter.members.ranked(f.t.Context(), s.ID, s.FailureDomain) {
		names = append(names, m.Name)
	}
	return names
}

// acquire asks for n permits as an instance, and returns how many are granted.
func (f *permitFleet) acquire(name string, s brittle.Server, n int) (granted int) {
	p := f.services[name].limiter.permits
	for i := range n {
		a := p.Acquire(f.t.Context(), brittle.Request{Permit: brittle.Permit{Instance: name, Number: uint64(1 + i)}, Server: s})
		if a.Granted {
			granted++
		}
	}
	return granted
}

// inFlight returns what the instances that keep a semaphore for a server count there, by name.
func (f *permitFleet) inFlight(s brittle.Server) map[string]int {
	counts := map[string]int{}
	for name, service := range f.services {
		service.semaphores.mu.Lock()
		if semaphore := service.semaphores.byServer[s.ID]; semaphore != nil {
			counts[name] = semaphore.State().InFlight
		}
		service.semaphores.mu.Unlock()
	}
	return counts
}

// TestPermitsOfOneServerAreCountedTwice guards against two instances that grant permits for the same server, since some callers
// cannot reach one of them.
func TestPermitsOfOneServerAreCountedTwice(t *testing.T) {
	f := newPermitFleet(t, "a1", "a2", "a3", "b1", "b2", "c1")
	s := brittle.Server{ID: "e", FailureDomain: "a", Slots: 8, Tolerated: 2}
	ranked := f.ranked(s)
	first, second := ranked[0], ranked[1]
	if first[:1] != "a" || second[:1] != "a" {
		t.Fatalf("ranked %v, want those in the server's domain first", ranked)
	}
	granted := f.acquire("c1", s, 3)
	f.setCut("b1", first, true)
	granted += f.acquire("b1", s, 8)
	if counts := f.inFlight(s); len(counts) != 1 || counts[first] != granted {
		t.Errorf("%d granted; counted by instance: %v, want all by %s", granted, counts, first)
	}
	if granted == 0 || granted > 4+1 {
		t.Errorf("%d granted, want half of the slots and one that is in doubt", granted)
	}
}

// TestIsolatedInstanceGrantsItselfPermits guards against an instance without a path to others that grants itself what they use.
func TestIsolatedInstanceGrantsItselfPermits(t *testing.T) {
	f := newPermitFleet(t, "a1", "a2", "a3", "a4")
	s := brittle.Server{ID: "e", FailureDomain: "a", Slots: 8, Tolerated: 2}
	isolated := f.ranked(s)[2]
	for _, m := range f.list {
		if m.Name != isolated {
			f.setCut(isolated, m.Name, true)
		}
	}
	p := f.services[isolated].limiter.permits
	for range 2 {
		if a := p.Acquire(t.Context(), brittle.Request{Permit: brittle.Permit{Instance: isolated, Number: 1}, Server: s}); a.Answered {
			t.Errorf("%+v, want no answer", a)
		}
	}
	if counts := f.inFlight(s); len(counts) > 0 {
		t.Errorf("permits counted by %v", counts)
	}
	p.recordHeard() // another instance calls: the ones that rank first have failed
	if a := p.Acquire(t.Context(), brittle.Request{Permit: brittle.Permit{Instance: isolated, Number: 2}, Server: s}); !a.Granted {
		t.Errorf("%+v, want a permit of its own semaphore", a)
	}
}

// TestSuspendedKeeperTrustsWhatItKnew guards against an instance that was suspended and grants permits by what it knew before.
func TestSuspendedKeeperTrustsWhatItKnew(t *testing.T) {
	f := newPermitFleet(t, "a1")
	s := brittle.Server{ID: "e", FailureDomain: "a", Slots: 8, Tolerated: 2}
	keeper := f.services["a1"].semaphores
	if n := f.acquire("a1", s, 8); n != 5 {
		t.Errorf("%d permits, want half of the slots and one that is in doubt", n)
	}
	for i := range 5 {
		f.services["a1"].limiter.permits.Release(s, brittle.Permit{Instance: "a1", Number: uint64(1 + i)}, brittle.Unknown)
	}
	for f.inFlight(s)["a1"] > 0 {
		time.Sleep(time.Millisecond)
	}
	keeper.mu.Lock()
	keeper.lastTick = clock.Now().Add(-2 * maxTickGap)
	keeper.mu.Unlock()
	if n := f.acquire("a1", s, 8); n != 1 {
		t.Errorf("%d permits after a suspension, want one", n)
	}
}
