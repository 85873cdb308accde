package entry

import (
	"context"
	"net"
	"slices"
	"testing"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// aloneFleet is a versionFleet with an instance that can be cut off from all others, but not from the store and the engines.
type aloneFleet struct {
	*versionFleet
	alone *running
	// from and to are the paths from the lone instance to the others and back.
	from, to *serverLink
}

// aloneWatcher is the address from which the lone instance calls the store.
const aloneWatcher = "127.0.9.9"

// newAloneFleet starts instances with an engine of version v1. The last instance can be cut off.
func newAloneFleet(t *testing.T, instances int) *aloneFleet {
	t.Helper()
	f := &aloneFleet{from: newServerLink(), to: newServerLink()}
	peers := &domainPaths{domains: map[string]string{}, links: map[int]map[string]*serverLink{}}
	dialPeer := func(machine int) func(ctx context.Context, address string) (net.Conn, error) {
		return func(ctx context.Context, address string) (net.Conn, error) {
			link := newServerLink()
			switch {
			case machine == instances-1:
				link = f.from
			case peers.isIn(address, "alone"):
				link = f.to
			}
			return link.dial(ctx, "tcp", address)
		}
	}
	lines := &syncBuffer{}
	f.versionFleet = &versionFleet{lines: lines, fleet: &fleet{t: t, logOutput: lines, network: func(machine int) network {
		n := network{peers: dialPeer(machine)}
		if machine == instances-1 {
			n.store = (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(aloneWatcher)}}).DialContext
		}
		return n
	}}}
	f.start(instances - 1)
	f.await("a holder", func() bool { return f.holder() != nil })
	f.alone = f.addInstance(instances - 1)
	peers.setDomain(f.alone.members.self.Address, "alone")
	f.begin("v1")
	f.await("instances known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			names, ok := r.members.refreshNames(t.Context())
			return !ok || len(names) != instances || !r.marks.certain()
		})
	})
	return f
}

// isIn reports whether an address is in a failure domain.
func (p *domainPaths) isIn(address, domain string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.domains[address] == domain
}

// isolate cuts the instance off from the others, and waits until it reads the store itself.
func (f *aloneFleet) isolate() {
	f.t.Helper()
	f.from.set(cutRefused)
	f.to.set(cutRefused)
	f.await("the lone instance on its own", func() bool {
		w := f.alone.watcher
		return !w.holderUpdateFresh(clock.Now()) && w.serversAge(clock.Now()) < holderWatchWait && f.alone.marks.certain()
	})
}

// TestLateWatchJoinsVersions guards against an instance that is cut off from the others and takes a watch that ended without a
// new engine for the knowledge that there is none.
func TestLateWatchJoinsVersions(t *testing.T) {
	f := newAloneFleet(t, 3)
	f.isolate()
	f.store.DelayWatches(standin.LateWatches{Prefix: platform.PrefixServers, Watcher: aloneWatcher, Delay: store.MaxWatchDelay})
	f.addVersion("v2", "v2", "m1")
	f.await("the engine's entry", func() bool {
		_, err := f.store.Get(t.Context(), platform.PrefixServers+"v2")
		return err == nil
	})
	if got := f.send(f.alone, attempt{id: newAttemptID(), lastEvent: 3, resumes: "began at v2"}); len(got.versions) > 0 {
		t.Errorf("%+v, began at v2", got)
	}
}
