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

// simulation runs the control plane of many instances with a stand-in of the store, in virtual time; it must run in
// a synctest bubble. The store contains entries of backend servers, but no servers run.
type simulation struct {
	t             *testing.T
	store         *standin.Platform
	storeHTTP     *http.Server
	storeListener *memoryListener
	deployment    deployment
	// initialCopy is a backup of the store from before the start of the instances, without a lease.
	initialCopy standin.Copy
	// restarted is set before all instances are started again: they then start without the setting Bootstrap.
	restarted bool
	// sequence is the number of server entries written.
	sequence int

	mu        sync.Mutex
	instances []*simulatedInstance       // guarded by mu
	peers     map[string]*memoryListener // by address; guarded by mu
}

// all returns the instances that have not been stopped.
func (s *simulation) all() []*simulatedInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances)
}

// stopInstances stops instances and removes them from the list.
func (s *simulation) stopInstances(stopped ...*simulatedInstance) {
	for _, i := range stopped {
		i.stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.DeleteFunc(s.instances, func(i *simulatedInstance) bool { return slices.Contains(stopped, i) })
}

// simulatedInstance is an instance of a simulation.
type simulatedInstance struct {
	*Instance
	address string
	// storeLink is the link that carries the instance's connections to the store.
	storeLink *memoryLink
	stop      func()
}

// deployment is the size and the bounds of a deployment.
type deployment struct {
	instances int
	// propagationBound is the maximum time for which a server may get requests after it reported that it is
	// draining, and the maximum time until a new configuration is in force.
	propagationBound time.Duration
}

// Deployments in use.
var (
	smallDeployment = deployment{instances: 7, propagationBound: 2 * time.Second}
	largeDeployment = deployment{instances: 79, propagationBound: 3 * time.Second}
)

const (
	simulatedLease = 3 * time.Second
	// shutdownWait is the time after which all pending calls have timed out.
	shutdownWait = 10 * time.Second
)

// testMaxUpdateAge is the maximum age of an update from the holder in unit tests.
const testMaxUpdateAge = 1500 * time.Millisecond

// newTestWatcher returns a watcher of a store for an instance that never holds the lease.
func newTestWatcher(s store.Store, dir *directory.Directory, log logrus.FieldLogger) *watcher {
	holdsLease, maxAge := func() bool { return false }, func() time.Duration { return testMaxUpdateAge }
	w := newWatcher(s, dir, platform.NewBackends(), balance.New(balance.DefaultParams()), holdsLease, maxAge, log)
	w.crashes = &crashDetector{}
	return w
}

// newSimulation starts a store with a configuration and two server entries, and the instances, and waits until all
// instances rely on a holder.
func newSimulation(t *testing.T, d deployment) *simulation {
	s := &simulation{t: t, deployment: d, store: standin.NewPlatform(), storeListener: newMemoryListener(), peers: map[string]*memoryListener{}}
	s.storeHTTP = &http.Server{Handler: s.store.Handler()}
	go func() { _ = s.storeHTTP.Serve(s.storeListener) }()
	t.Cleanup(s.end)
	s.configure(1)
	s.announce("p1", "ready")
	s.announce("p2", "ready")
	s.initialCopy = s.store.Copy()
	for i := range d.instances {
		s.add(i)
	}
	s.await("all rely on a holder", 30*time.Second, s.settled)
	return s
}

// settled reports whether there is a holder, and all other instances rely on it: its last
// update to them has not expired.
func (s *simulation) settled() bool {
	now := time.Now()
	return s.holder() != nil && !slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool {
		return !i.Instance.holder.Holds() && !i.watcher.holderUpdateFresh(now)
	})
}

// add starts an instance whose node name and address are derived from the number machine.
func (s *simulation) add(machine int) *simulatedInstance {
	link := &memoryLink{}
	settings := platform.Settings{NodeName: fmt.Sprintf("node-%d", machine), IP: fmt.Sprintf("10.0.%d.%d", machine/200, 1+machine%200), Zone: string(rune('a' + machine%3)), InternalPorts: []int{7380, 7390}}
	settings.Bounds.DrainMS, settings.Bounds.LeaseMS, settings.Bounds.GraceS = int(s.deployment.propagationBound.Milliseconds()), int(simulatedLease.Milliseconds()), 8
	settings.Platform.Address, settings.Limits.CPUShare = "10.8.0.1:80", 1
	settings.Bootstrap, settings.Bounds.ConfigApplyMS = !s.restarted, settings.Bounds.DrainMS
	log := logrus.New()
	log.SetOutput(io.Discard)
	network := network{
		store: func(ctx context.Context, _, _ string) (net.Conn, error) { return s.storeListener.dial(ctx, link) },
		peers: func(ctx context.Context, address string) (net.Conn, error) { return s.dialPeer(ctx, address) },
	}
	i := &simulatedInstance{Instance: newInstance(settings, "", Options{}, network, log), address: settings.PeerAddress(), storeLink: link}
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
		l.closeAll()
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
	return l.dial(ctx, &memoryLink{})
}

// end stops everything, so that the synctest bubble can end.
func (s *simulation) end() {
	instances := s.all()
	s.stopInstances(instances...)
	for _, i := range instances {
		i.follower.pool.Close()
	}
	_ = s.storeHTTP.Close()
	s.storeListener.closeAll()
	time.Sleep(shutdownWait)
}

// holder returns the instance that holds the lease, nil if none does.
func (s *simulation) holder() *simulatedInstance {
	instances := s.all()
	i := slices.IndexFunc(instances, func(i *simulatedInstance) bool { return i.Instance.holder.Holds() })
	if i < 0 {
		return nil
	}
	return instances[i]
}

// await lets virtual time pass until condition holds, and fails the test after timeout.
func (s *simulation) await(what string, timeout time.Duration, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition not met within %s: %s", timeout, what)
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

// announce writes a server's entry with the given state.
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

// timeUntilAllKnow calls leave and returns the time until all instances know that the server is leaving. It ignores
// the instance except, which may be nil.
func (s *simulation) timeUntilAllKnow(id string, leave func(id string), except *simulatedInstance) time.Duration {
	leftAt := time.Now()
	leave(id)
	s.await("all know that the server is leaving", time.Minute, func() bool { return s.allKnowLeaving(id, except) })
	return time.Since(leftAt)
}

// drain writes an entry in which a server reports that it is draining.
func (s *simulation) drain(id string) { s.announce(id, "draining") }

// allKnowLeaving reports whether all instances know that a server is draining or no longer know the server. It
// ignores the instance except, which may be nil.
func (s *simulation) allKnowLeaving(id string, except *simulatedInstance) bool {
	return !slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool {
		server, known := i.dir.Server(id)
		return i != except && known && !server.Draining
	})
}

// restoreStore makes the store unavailable for 300 ms and restores it from a backup. Server entries and configurations
// that were written after the backup are written again, as servers and operators would do.
func (s *simulation) restoreStore(c standin.Copy) {
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
