package entry

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// forEachPhase runs a test with a small and a large simulation whose instances rely on a holder. It starts the test at
// several points in time relative to the instances' periodic reports and watches.
func forEachPhase(t *testing.T, test func(t *testing.T, s *simulation)) {
	for _, d := range []deployment{smallDeployment, largeDeployment} {
		for _, phase := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%s", d.instances, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(t, d)
					time.Sleep(5*time.Second + phase)
					test(t, s)
				})
			})
		}
	}
}

// checkLeavingPropagates makes one server announce that it is draining and removes the entry of another one, and checks
// that all instances know of both within propagationBound. It ignores the instance except, which may be nil.
func (s *simulation) checkLeavingPropagates(except *simulatedInstance) {
	s.t.Helper()
	time.AfterFunc(time.Millisecond, func() { s.remove("p2") })
	last := s.timeUntilAllKnow("p1", s.drain, except)
	removed := s.timeUntilAllKnow("p2", func(string) {}, except) + last
	s.t.Logf("the last of %d instances knows of the draining server after %s, of the removed one after %s",
		len(s.all()), last, removed)
	if last = max(last, removed); last > s.deployment.propagationBound {
		s.t.Errorf("the last instance knows after %s, want at most %s", last, s.deployment.propagationBound)
	}
}

// TestLeavingWithDelayedWatches checks that leaving servers are known in time if watches are blocked for a second
// and the pending ones are never answered.
func TestLeavingWithDelayedWatches(t *testing.T) {
	forEachPhase(t, func(_ *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(time.Second, func() { s.store.BlockWatches(false) })
		s.checkLeavingPropagates(nil)
	})
}

// TestLeavingWithBlockedWatches checks that leaving servers are known in time if no watch is answered any more,
// while all other calls are.
func TestLeavingWithBlockedWatches(t *testing.T) {
	forEachPhase(t, func(_ *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(20*time.Second, func() { s.store.BlockWatches(false) })
		s.checkLeavingPropagates(nil)
	})
}

// TestLeavingWithLateWatches guards against leaving servers that are known too late since all watches are as late as they may
// be, and the holder passes on what it has as current.
func TestLeavingWithLateWatches(t *testing.T) {
	forEachPhase(t, func(_ *testing.T, s *simulation) {
		s.store.DelayWatches(standin.LateWatches{Prefix: platform.PrefixServers, Delay: store.MaxWatchDelay})
		time.Sleep(2 * store.MaxWatchDelay)
		s.checkLeavingPropagates(nil)
	})
}

// TestLeavingWithLateWatchAndLostHolder guards against the same if the holder is lost just before it has the change.
func TestLeavingWithLateWatchAndLostHolder(t *testing.T) {
	const phases = 80
	for n := range phases {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, smallDeployment)
			s.store.DelayWatches(standin.LateWatches{Prefix: platform.PrefixServers, Delay: store.MaxWatchDelay})
			time.Sleep(5*time.Second + time.Duration(n)*holderWatchWait/phases)
			holder := s.holder()
			time.AfterFunc(store.MaxWatchDelay-5*time.Millisecond, func() { s.stopInstances(holder) })
			s.checkLeavingPropagates(holder)
		})
	}
}

// TestLeavingWithHolderCutOff checks that leaving servers are known in time, also to an instance that starts
// meanwhile, if only the holder is cut off from the store.
func TestLeavingWithHolderCutOff(t *testing.T) {
	forEachPhase(t, func(t *testing.T, s *simulation) {
		holder := s.holder()
		holder.storeLink.setCut(true)
		time.Sleep(20 * time.Millisecond)
		started := time.AfterFunc(s.deployment.propagationBound/3, func() { s.add(s.deployment.instances) })
		defer started.Stop()
		s.checkLeavingPropagates(holder)
		time.Sleep(s.deployment.propagationBound)
		if !s.allKnowLeaving("p1", holder) {
			t.Error("an instance that started meanwhile does not know of the drain")
		}
	})
}

// TestLeavingWithSilentConnections checks that leaving servers are known in time if watches are blocked and all
// open connections to the store lose all data, while new connections work.
func TestLeavingWithSilentConnections(t *testing.T) {
	forEachPhase(t, func(_ *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(time.Second, func() { s.store.BlockWatches(false) })
		for _, i := range s.all() {
			i.storeLink.dropOpenConns()
		}
		s.checkLeavingPropagates(nil)
	})
}

// TestConfigurationWithBlockedWatches checks that watches that are never answered do not delay a new configuration
// beyond the bound.
func TestConfigurationWithBlockedWatches(t *testing.T) {
	forEachPhase(t, func(t *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(20*time.Second, func() { s.store.BlockWatches(false) })
		written := time.Now()
		s.configure(2)
		s.await("the configuration in force", time.Minute, func() bool {
			return !slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool { return i.dir.Config().Version < 2 })
		})
		if delay := time.Since(written); delay > s.deployment.propagationBound {
			t.Errorf("in force after %s, want at most %s", delay, s.deployment.propagationBound)
		}
	})
}

// TestEntriesExpiredInShortOutage checks that servers stay known if their entries expire during a short outage in which
// only watches get no answer, and are written again 2 s after its start.
func TestEntriesExpiredInShortOutage(t *testing.T) {
	forEachPhase(t, func(t *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		s.remove("p1")
		s.remove("p2")
		time.AfterFunc(500*time.Millisecond, func() { s.store.BlockWatches(false) })
		time.AfterFunc(2*time.Second, func() {
			s.announce("p1", "ready")
			s.announce("p2", "ready")
		})
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool { return len(i.dir.IDs()) == 0 }) {
				t.Fatal("no server is known, although the entries are restored in time")
			}
		}
	})
}

// TestEntryRemovedAfterOldOutage checks that a server whose entry is removed long after the last outage of the store is
// removed at once, without the grace period that applies after an outage (LapseGrace).
func TestEntryRemovedAfterOldOutage(t *testing.T) {
	w := newTestWatcher(nil, directory.New(), discardLog())
	now := clock.Now()
	failed := now.Add(-2 * directory.LapseGrace)
	for _, id := range []string{"p1", "p2", "p3"} {
		w.applyServer(serving.Server{ID: id, Service: "plain", Revision: 1})
	}
	w.recordCall(platform.PrefixServers, failed, false, store.ErrUnavailable)
	w.applyHolderUpdate(holder.Update{Servers: directory.Delta{Revision: 1, Digest: w.dir.Digest()}}, failed.Add(time.Millisecond), now)
	w.recordCall(platform.PrefixServers, now, false, nil)
	w.applyServers(store.Snapshot{Revision: 2, Objects: []store.Object{{Key: platform.PrefixServers + "p1", Version: 2, Deleted: true}}}, false)
	if _, known := w.dir.Server("p1"); known {
		t.Error("the server is kept, although the store was available")
	}
}
