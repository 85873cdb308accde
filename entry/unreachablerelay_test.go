package entry

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
)

// peerPaths are the paths between instances.
type peerPaths struct {
	mu    sync.Mutex
	paths map[peerPath]*serverLink // guarded by mu
	cut   string                   // address of the instance that is cut off, "" for none; guarded by mu
	named string                   // its node name; guarded by mu
}

// peerPath is the path from an instance, by its node name, to the address of another one.
type peerPath struct{ from, to string }

// dial opens a connection from an instance to another one.
func (p *peerPaths) dial(ctx context.Context, from, to string) (net.Conn, error) {
	p.mu.Lock()
	link, known := p.paths[peerPath{from, to}]
	if !known {
		link = newServerLink()
		p.paths[peerPath{from, to}] = link
		if p.cut != "" && (from == p.named || to == p.cut) {
			link.set(cutRefused)
		}
	}
	p.mu.Unlock()
	return link.dial(ctx, "tcp", to)
}

// cutOff cuts an instance off from all others.
func (p *peerPaths) cutOff(m member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.named = m.Address, m.Name
	for path, link := range p.paths {
		if path.from == m.Name || path.to == m.Address {
			link.set(cutRefused)
		}
	}
}

// newPeerFleet starts instances whose paths to one another can be cut, with an engine of version v1.
func newPeerFleet(t *testing.T, instances int) (*versionFleet, *peerPaths) {
	t.Helper()
	paths, lines := &peerPaths{paths: map[peerPath]*serverLink{}}, &syncBuffer{}
	f := &versionFleet{lines: lines, fleet: &fleet{t: t, logOutput: lines, network: func(machine int) network {
		return network{peers: func(ctx context.Context, address string) (net.Conn, error) {
			return paths.dial(ctx, "node-"+strconv.Itoa(machine), address)
		}}
	}}}
	f.start(instances)
	f.begin("v1")
	f.await("instances known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			names, ok := r.members.refreshNames(t.Context())
			return !ok || len(names) != instances || !r.marks.certain()
		})
	})
	return f, paths
}

// heal restores all paths.
func (p *peerPaths) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.named = "", ""
	for _, link := range p.paths {
		link.set(notCut)
	}
}

// beginUnreached cuts the holder off from the other instances, and begins a stream at the new version v2 there. The instance
// taker does not ask the holder for its origin.
func (f *versionFleet) beginUnreached(paths *peerPaths) (begun attempt, taker *running) {
	f.t.Helper()
	holder := f.holder()
	taker = f.instances[slices.IndexFunc(f.instances, func(r *running) bool { return r != holder })]
	asked := func(id string) bool {
		candidates, _ := taker.origins.keepers(f.t.Context(), id)
		return slices.Contains(slices.Concat(candidates...), holder.members.self.Address)
	}
	paths.cutOff(holder.members.self)
	f.addVersion("v2", "v2", "m1")
	f.await("a stream of v2", func() bool {
		begun = attempt{id: newAttemptID(), leaveAfter: 3}
		for asked(begun.id) {
			begun.id = newAttemptID()
		}
		return slices.Contains(f.send(holder, begun).versions, "v2")
	})
	return begun, taker
}

// TestOriginThatReachesNobodyJoinsVersions guards against instances that take the answers of others for the knowledge that there
// is one version, while the one that relayed the first event of a newer one reaches none of them.
func TestOriginThatReachesNobodyJoinsVersions(t *testing.T) {
	f, paths := newPeerFleet(t, 6)
	begun, taker := f.beginUnreached(paths)
	if got := f.send(taker, attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id}); slices.Contains(got.versions, "v1") {
		t.Errorf("%+v, began at v2", got)
	}
}

// TestOriginIsSentWhenOthersAreBack guards against streams that are refused for good since the instance that relayed their first
// event reached no other one at that time.
func TestOriginIsSentWhenOthersAreBack(t *testing.T) {
	f, paths := newPeerFleet(t, 6)
	begun, taker := f.beginUnreached(paths)
	paths.heal()
	f.await("the rest of the stream", func() bool {
		got := f.send(taker, attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id})
		if slices.Contains(got.versions, "v1") {
			t.Fatalf("%+v, began at v2", got)
		}
		return got.lastID == standin.StreamEvents
	})
}

// TestOriginIsSentToReplacements guards against streams that are refused for good since all other instances were replaced before
// the one that relayed their first event had read the list of instances again.
func TestOriginIsSentToReplacements(t *testing.T) {
	f := newVersionFleet(t, 2, "v1", "v2")
	relay, replaced := f.instances[0], f.instances[1]
	replaced.stop()
	<-replaced.done
	f.instances = f.instances[:1]
	for machine := 10; machine < 15; machine++ {
		f.addInstance(machine)
	}
	f.awaitServers(2)
	taker := f.instances[1]
	f.await("instances known", func() bool {
		names, ok := taker.members.refreshNames(t.Context())
		return ok && len(names) == 6
	})
	relay.members.mu.Lock()
	relay.members.known, relay.members.readAt = []member{replaced.members.self}, clock.Now()
	relay.members.mu.Unlock()
	begun := attempt{id: newAttemptID(), leaveAfter: 3}
	for candidates, _ := taker.origins.keepers(t.Context(), begun.id); slices.Contains(slices.Concat(candidates...), relay.members.self.Address); {
		begun.id = newAttemptID()
		candidates, _ = taker.origins.keepers(t.Context(), begun.id)
	}
	versions := f.send(relay, begun).versions
	f.await("the rest of the stream", func() bool {
		got := f.send(taker, attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id})
		return got.lastID == standin.StreamEvents && slices.Equal(slices.Compact(got.versions), versions[:1])
	})
}

// TestSlowStoreRefusesTakenUpStreams guards against streams of the only version that are refused while the store is slow.
func TestSlowStoreRefusesTakenUpStreams(t *testing.T) {
	f, _ := newPeerFleet(t, 6)
	relay, taker := f.instances[0], f.instances[1]
	f.store.SetDelay(400 * time.Millisecond)
	time.Sleep(2 * time.Second)
	for range 10 {
		begun := attempt{id: newAttemptID(), leaveAfter: 3}
		f.send(relay, begun)
		if got := f.send(taker, attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id}); got.lastID != standin.StreamEvents {
			t.Errorf("%+v, want the rest of the stream", got)
		}
	}
}
