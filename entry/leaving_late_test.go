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
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// atPhases runs a test in fleets that rely on their holder, from several moments between reports and watches on.
func atPhases(t *testing.T, test func(t *testing.T, s *simulation)) {
	for _, deployed := range []site{smallSite, largeSite} {
		for _, phase := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%s", deployed.instances, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(t, deployed)
					time.Sleep(5*time.Second + phase)
					test(t, s)
				})
			})
		}
	}
}

// checkHeardInTime has two servers leave, of which one says so and the entry of the other goes, and
// checks that all instances but one know within the bound.
func (s *simulation) checkHeardInTime(except *simulated) {
	s.t.Helper()
	time.AfterFunc(time.Millisecond, func() { s.remove("p2") })
	last := s.lastToKnow("p1", s.drain, except)
	gone := s.lastToKnow("p2", func(string) {}, except) + last
	s.t.Logf("the last of %d instances knows of one after %s, of the other after %s", len(s.all()), last, gone)
	if last = max(last, gone); last > s.site.drain {
		s.t.Errorf("the last instance knows after %s, want at most %s", last, s.site.drain)
	}
}

// TestLeavingHeardLateBySilentWatch: watches hear nothing for a second, and are never answered.
func TestLeavingHeardLateBySilentWatch(t *testing.T) {
	atPhases(t, func(_ *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(time.Second, func() { s.store.BlockWatches(false) })
		s.checkHeardInTime(nil)
	})
}

// TestLeavingUnheardWhileWatchesAreSilent: no watch is answered any more, all other calls are.
func TestLeavingUnheardWhileWatchesAreSilent(t *testing.T) {
	atPhases(t, func(_ *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(20*time.Second, func() { s.store.BlockWatches(false) })
		s.checkHeardInTime(nil)
	})
}

// TestLeavingHeardLateFromHolderCutOff: the holder does not reach the store, all others do, and of these one starts anew.
func TestLeavingHeardLateFromHolderCutOff(t *testing.T) {
	atPhases(t, func(t *testing.T, s *simulation) {
		holder := s.holder()
		holder.way.set(true)
		time.Sleep(20 * time.Millisecond)
		started := time.AfterFunc(s.site.drain/3, func() { s.add(s.site.instances) })
		defer started.Stop()
		s.checkHeardInTime(holder)
		time.Sleep(s.site.drain)
		if !s.allKnowLeaving("p1", holder) {
			t.Error("an instance that started meanwhile does not know")
		}
	})
}

// TestLeavingHeardLateBySilentConnections: watches and all open connections to the store fall silent; new ones work.
func TestLeavingHeardLateBySilentConnections(t *testing.T) {
	atPhases(t, func(_ *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(time.Second, func() { s.store.BlockWatches(false) })
		for _, i := range s.all() {
			i.way.silence()
		}
		s.checkHeardInTime(nil)
	})
}

// TestConfigurationLateBySilentWatch: a watch that is never answered keeps no instance from a new configuration.
func TestConfigurationLateBySilentWatch(t *testing.T) {
	atPhases(t, func(t *testing.T, s *simulation) {
		s.store.BlockWatches(true)
		time.AfterFunc(20*time.Second, func() { s.store.BlockWatches(false) })
		written := time.Now()
		s.configure(2)
		s.await("the configuration in force", time.Minute, func() bool {
			return !slices.ContainsFunc(s.all(), func(i *simulated) bool { return i.dir.Config().Version < 2 })
		})
		if last := time.Since(written); last > s.site.drain {
			t.Errorf("in force after %s, want at most %s", last, s.site.drain)
		}
	})
}

// TestServersLostInShortOutage: entries that lapse while watches alone notice that the store is away are waited for.
func TestServersLostInShortOutage(t *testing.T) {
	atPhases(t, func(t *testing.T, s *simulation) {
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
			if slices.ContainsFunc(s.all(), func(i *simulated) bool { return len(i.dir.IDs()) == 0 }) {
				t.Fatal("no server is known, though they are back in time")
			}
		}
	})
}

// TestGoneServerKeptByOldOutage: an entry that goes long after the store was last missed is not waited for.
func TestGoneServerKeptByOldOutage(t *testing.T) {
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
		t.Error("waited for, though the store was there all the time")
	}
}
