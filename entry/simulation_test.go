package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// simulation is the control of many instances before a stand-in of the store, in virtual time:
// it must run in a synctest bubble. There are entries of backend servers and no servers.
type simulation struct {
	t         *testing.T
	store     *standin.Platform
	storeHTTP *http.Server
	stored    *memoryListener
	site      site
	// emptyCopy is of the store before the instances.
	emptyCopy standin.Copy
	// restarted: the system was started before.
	restarted bool
	// sequence counts the entries written.
	sequence int

	mu        sync.Mutex
	instances []*simulated               // guarded by mu
	peers     map[string]*memoryListener // by address; guarded by mu
}

// all returns the instances that were not taken out.
func (s *simulation) all() []*simulated {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances)
}

// takeOut stops instances.
func (s *simulation) takeOut(out ...*simulated) {
	for _, i := range out {
		i.stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.DeleteFunc(s.instances, func(i *simulated) bool { return slices.Contains(out, i) })
}

// simulated is one instance.
type simulated struct {
	*Instance
	address string
	// way is the instance's way to the store.
	way  *memoryWay
	stop func()
}

// site is what a deployment asks for.
type site struct {
	instances int
	// drain is how long after its word a server may get requests, and until when a configuration
	// has to be in force.
	drain time.Duration
}

// The users' deployments.
var (
	smallSite = site{instances: 7, drain: 2 * time.Second}
	largeSite = site{instances: 79, drain: 3 * time.Second}
)

const (
	simulatedLease = 3 * time.Second
	// simulatedEnd lets the last calls give up.
	simulatedEnd = 10 * time.Second
)

// testBound is how old the word of a holder may become in tests of single parts.
const testBound = 1500 * time.Millisecond

// newTestWatcher returns a watcher of a store at an instance that never holds the lease.
func newTestWatcher(s store.Store, dir *directory.Directory, log logrus.FieldLogger) *watcher {
	never, bound := func() bool { return false }, func() time.Duration { return testBound }
	w := newWatcher(s, dir, platform.NewBackends(), balance.New(balance.DefaultParams()), never, bound, log)
	w.crashes = &crashDetector{}
	return w
}

// newSimulation starts a store with a configuration and two entries of servers, and the instances,
// and waits until all rely on a holder.
func newSimulation(t *testing.T, deployed site) *simulation {
	s := &simulation{t: t, site: deployed, store: standin.NewPlatform(), stored: newMemoryListener(), peers: map[string]*memoryListener{}}
	s.storeHTTP = &http.Server{Handler: s.store.Handler()}
	go func() { _ = s.storeHTTP.Serve(s.stored) }()
	t.Cleanup(s.end)
	s.configure(1)
	s.announce("p1", "ready")
	s.announce("p2", "ready")
	s.emptyCopy = s.store.Copy()
	for i := range deployed.instances {
		s.add(i)
	}
	s.await("all rely on a holder", 30*time.Second, s.settled)
	return s
}

// settled reports whether there is one holder, and all others rely on it.
func (s *simulation) settled() bool {
	now := time.Now()
	return s.holder() != nil && !slices.ContainsFunc(s.all(), func(i *simulated) bool {
		return !i.Instance.holder.Holds() && !i.watcher.holderUpdateFresh(now)
	})
}

// add starts the instance of a machine.
func (s *simulation) add(machine int) *simulated {
	way := &memoryWay{}
	settings := platform.Settings{NodeName: fmt.Sprintf("node-%d", machine), IP: fmt.Sprintf("10.0.%d.%d", machine/200, 1+machine%200), Zone: string(rune('a' + machine%3)), InternalPorts: []int{7380, 7390}}
	settings.Bounds.DrainMS, settings.Bounds.LeaseMS, settings.Bounds.GraceS = int(s.site.drain.Milliseconds()), int(simulatedLease.Milliseconds()), 8
	settings.Platform.Address, settings.Limits.CPUShare = "10.8.0.1:80", 1
	settings.Bootstrap, settings.Bounds.ConfigApplyMS = !s.restarted, settings.Bounds.DrainMS
	log := logrus.New()
	log.SetOutput(io.Discard)
	network := network{
		store: func(ctx context.Context, _, _ string) (net.Conn, error) { return s.stored.dial(ctx, way) },
		peers: func(ctx context.Context, address string) (net.Conn, error) { return s.dialPeer(ctx, address) },
	}
	i := &simulated{Instance: newInstance(settings, "", Options{}, network, log), address: settings.PeerAddress(), way: way}
	l := newMemoryListener()
	s.mu.Lock()
	s.peers[i.address] = l
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, run := range i.backgroundTasks() {
		work.Go(func() { run(ctx) })
	}
	go i.service.serve(l)
	i.stop = func() {
		cancel()
		l.end()
		work.Wait()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, i)
	return i
}

func (s *simulation) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	l := s.peers[address]
	s.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	return l.dial(ctx, &memoryWay{})
}

// end stops everything, so that the bubble can end.
func (s *simulation) end() {
	instances := s.all()
	s.takeOut(instances...)
	for _, i := range instances {
		i.follower.pool.Close()
	}
	_ = s.storeHTTP.Close()
	s.stored.end()
	time.Sleep(simulatedEnd)
}

// holder returns the instance that holds the lease, nil if none does.
func (s *simulation) holder() *simulated {
	instances := s.all()
	i := slices.IndexFunc(instances, func(i *simulated) bool { return i.Instance.holder.Holds() })
	if i < 0 {
		return nil
	}
	return instances[i]
}

// await lets virtual time pass until something holds.
func (s *simulation) await(what string, within time.Duration, holds func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(within); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			s.t.Fatalf("not in %s: %s", within, what)
		}
	}
}

// configure writes a version of the configuration.
func (s *simulation) configure(version int64) {
	c := standin.Config{Version: version, PlainServices: []string{"plain"}, EngineService: "llm"}
	if err := c.Write(context.Background(), s.store); err != nil {
		s.t.Fatal(err)
	}
}

// announce writes a server's entry.
func (s *simulation) announce(id, state string) {
	ctx, key := context.Background(), platform.PrefixServers+id
	version := store.Revision(0)
	if obj, err := s.store.Get(ctx, key); err == nil {
		version = obj.Version
	}
	s.sequence++
	entry := fmt.Sprintf(`{"service":"plain","address":"10.9.0.1:80","zone":"a","version":"v1","slots":6,"state":%q,"coldLeftMs":0,"sequence":%d,"born":1}`, state, s.sequence)
	if _, err := s.store.Put(ctx, key, []byte(entry), version); err != nil {
		s.t.Fatal(err)
	}
}

// lastToKnow has a server leave, and returns how long after that the last instance knows, but for one.
func (s *simulation) lastToKnow(id string, leave func(id string), except *simulated) time.Duration {
	left := time.Now()
	leave(id)
	s.await("all know that the server leaves", time.Minute, func() bool { return s.allKnowLeaving(id, except) })
	return time.Since(left)
}

// drain has a server say in its entry that it leaves.
func (s *simulation) drain(id string) { s.announce(id, "draining") }

// allKnowLeaving reports whether no instance but one would send requests to a server.
func (s *simulation) allKnowLeaving(id string, except *simulated) bool {
	return !slices.ContainsFunc(s.all(), func(i *simulated) bool {
		server, known := i.dir.Server(id)
		return i != except && known && !server.Draining
	})
}

// comeBack has the store be away for a moment and come back from a copy. Servers and operators
// write again what it lacks.
func (s *simulation) comeBack(c standin.Copy) {
	s.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c, platform.PrefixServers, "config/")
	s.store.SetDown(false)
}

// remove removes a server's entry.
func (s *simulation) remove(id string) {
	ctx, key := context.Background(), platform.PrefixServers+id
	obj, err := s.store.Get(ctx, key)
	if err == nil {
		err = s.store.Delete(ctx, key, obj.Version)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}
