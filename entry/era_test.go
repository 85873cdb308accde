package entry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
)

// forEachEra runs a test with a small simulation whose instances rely on a holder, in the first era of the store and in
// the third. A new era begins whenever the store is restored from a backup.
func forEachEra(t *testing.T, test func(t *testing.T, s *simulation)) {
	for name, restores := range map[string]int{"first": 0, "third": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, smallDeployment)
				for range restores {
					s.restoreStore(s.store.Copy())
				}
				time.Sleep(10 * time.Second)
				s.await("all rely on a holder", 10*time.Second, s.settled)
				test(t, s)
			})
		})
	}
}

// advanceRevisions makes the store issue revisions. A store that is restored from an earlier backup issues the same
// numbers again.
func (s *simulation) advanceRevisions() {
	for range 40 {
		s.announce("p1", "ready")
	}
}

// TestDrainPropagatesAfterRestore checks that all instances learn within the bound that a server is draining,
// although the restored store issues the same revision numbers again.
func TestDrainPropagatesAfterRestore(t *testing.T) {
	forEachEra(t, func(t *testing.T, s *simulation) {
		backup := s.store.Copy()
		s.advanceRevisions()
		time.Sleep(2 * time.Second)
		s.restoreStore(backup)
		if delay := s.timeUntilAllKnow("p1", s.drain, nil); delay > s.deployment.propagationBound {
			t.Errorf("the last instance knows of the drain after %s, want at most %s", delay, s.deployment.propagationBound)
		}
	})
}

// TestLeaseMissingInBackup checks that after a restore from a backup older than the current lease there is a holder
// with a higher fencing token, also if the last holder was stopped, and that it does not assume at once that earlier
// holders' operations have ended: the previous holder may not know of the next one yet.
func TestLeaseMissingInBackup(t *testing.T) {
	for _, killed := range []bool{false, true} {
		forEachEra(t, func(t *testing.T, s *simulation) {
			backup := s.store.Copy()
			s.stopInstances(s.holder())
			s.await("another holder", 30*time.Second, func() bool { return s.holder() != nil })
			previous := s.holder()
			token := previous.Instance.holder.Fence()
			if killed {
				s.stopInstances(previous)
			}
			s.restoreStore(backup)
			s.await("a holder with a new record in the store", 30*time.Second, func() bool {
				h := s.holder()
				return h != nil && h.Instance.holder.Fence() != token && s.settled()
			})
			if next := s.holder().Instance.holder.Fence(); next <= token {
				t.Errorf("token %d after %d", next, token)
			}
			if holder := s.holder().Instance.holder; holder.PriorOperationsEnded(time.Now()) {
				t.Error("the next holder assumes immediately that operations of earlier holders have ended")
			}
		})
	}
}

// TestRestartOfAllAfterRestore checks that after a restore and a restart of all instances there is a holder with a
// higher fencing token, which waits until operations of earlier holders have ended, whether or not the backup contains
// a lease.
func TestRestartOfAllAfterRestore(t *testing.T) {
	for name, leaseInBackup := range map[string]bool{"no lease in the copy": false, "lease in the copy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, smallDeployment)
				backup := s.store.Copy()
				token := s.holder().Instance.holder.Fence()
				if !leaseInBackup {
					backup = s.initialCopy
				}
				s.stopInstances(s.all()...)
				s.restarted = true
				s.restoreStore(backup)
				for i := range s.deployment.instances {
					s.add(i)
				}
				s.await("all rely on a holder", 30*time.Second, s.settled)
				if next := s.holder().Instance.holder; next.Fence() <= token || next.PriorOperationsEnded(time.Now()) {
					t.Errorf("token %d after %d, earlier operations ended immediately: %t",
						next.Fence(), token, next.PriorOperationsEnded(time.Now()))
				}
				if delay := s.timeUntilAllKnow("p1", s.drain, nil); delay > s.deployment.propagationBound {
					t.Errorf("the last instance knows of the drain after %s", delay)
				}
			})
		})
	}
}

// TestRemovedServerInBackup checks that a removed server whose entry is restored from a backup is not used for 4 s after
// the restore, and is known again if the entry stays.
func TestRemovedServerInBackup(t *testing.T) {
	forEachEra(t, func(t *testing.T, s *simulation) {
		backup := s.store.Copy()
		s.remove("p2")
		used := func() bool {
			return slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool { _, known := i.dir.Server("p2"); return known })
		}
		s.await("the server is removed", 10*time.Second, func() bool { return !used() })
		s.store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		s.store.Restore(backup)
		s.store.SetDown(false)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if used() {
				t.Fatal("used because of its entry in the backup")
			}
		}
		s.await("the server is known again", 30*time.Second, func() bool {
			return !slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool { _, known := i.dir.Server("p2"); return !known })
		})
	})
}

// TestMembersMissingInBackup checks that an instance that registered after the backup registers again after the
// restore.
func TestMembersMissingInBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, deployment{instances: 2, propagationBound: 2 * time.Second})
		backup := s.store.Copy()
		s.add(2)
		s.await("all rely on a holder", 10*time.Second, s.settled)
		s.restoreStore(backup)
		s.await("all are registered", 10*time.Second, func() bool {
			snap, err := s.store.List(context.Background(), prefixMembers)
			return err == nil && len(snap.Objects) == len(s.all())
		})
	})
}

// TestServersMissingInBackup checks that a server whose entry is missing in the backup remains in use until it has
// written the entry again, 1.9 s after the restore.
func TestServersMissingInBackup(t *testing.T) {
	forEachEra(t, func(t *testing.T, s *simulation) {
		backup := s.store.Copy()
		s.announce("p3", "ready")
		known := func() bool {
			return !slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool { _, known := i.dir.Server("p3"); return !known })
		}
		s.await("the server is known", 10*time.Second, known)
		s.store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		s.store.Restore(backup)
		s.store.SetDown(false)
		time.AfterFunc(1900*time.Millisecond, func() { s.announce("p3", "ready") })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if !known() {
				t.Fatal("a server is not used before it has written its entry again")
			}
		}
	})
}

// TestRecordReplacedByEarlierEra: a renewal from before a restore replaces the record of the next holder.
func TestRecordReplacedByEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, smallDeployment)
		old, err := s.store.Get(t.Context(), holder.KeyLease)
		if err != nil {
			t.Fatal(err)
		}
		s.restoreStore(s.store.Copy())
		s.await("a holder in the new era", 30*time.Second, func() bool {
			h := s.holder()
			return h != nil && h.Instance.holder.Fence() > lease.FenceBase(1) && s.settled()
		})
		token := s.holder().Instance.holder.Fence()
		current, err := s.store.Get(t.Context(), holder.KeyLease)
		if err == nil {
			_, err = s.store.Put(t.Context(), holder.KeyLease, old.Value, current.Version)
		}
		if err != nil {
			t.Fatal(err)
		}
		s.await("all rely on a holder with a new token", 30*time.Second, func() bool {
			h := s.holder()
			return h != nil && h.Instance.holder.Fence() > token && s.settled()
		})
	})
}

// TestStartWithConfigurationOfCopy: an instance starts while the store has an older configuration than the others know.
func TestStartWithConfigurationOfCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, smallDeployment)
		backup := s.store.Copy()
		s.configure(2)
		s.await("all have the new configuration", 10*time.Second, func() bool {
			return !slices.ContainsFunc(s.all(), func(i *simulatedInstance) bool { return i.dir.Config().Version != 2 })
		})
		s.store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		s.store.Restore(backup, platform.PrefixServers)
		s.store.SetDown(false)
		s.restarted = true
		started := s.add(s.deployment.instances)
		for range 80 {
			time.Sleep(50 * time.Millisecond)
			if config, known := started.access.Current(); config != nil && known.Age < time.Minute {
				t.Fatalf("version %d of the copy is confirmed", config.Version)
			}
		}
		s.configure(2)
		s.await("the new configuration is confirmed", 10*time.Second, func() bool {
			config, known := started.access.Current()
			return config.Version == 2 && known.Age < time.Minute
		})
	})
}

// TestFirstConfigurationConfirmed checks when an instance that starts may confirm the configuration by itself.
func TestFirstConfigurationConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		era        int64
		firstStart bool
		after      time.Duration
		known      int64
		want       bool
	}{
		"store never restored":             {want: true},
		"era may have just begun":          {era: 1},
		"whole system starts":              {era: 1, firstStart: true, want: true},
		"time for the operator has passed": {era: 1, after: directory.LapseGrace, want: true},
		"holder knows a newer one":         {era: 1, after: time.Minute, known: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestWatcher(nil, directory.New(), discardLog())
				w.firstStart = c.firstStart
				w.recordEra(c.era, true)
				w.dir.ApplyConfig(&serving.Config{Version: 1})
				time.Sleep(c.after)
				now := clock.Now()
				w.applyHolderUpdate(holder.Update{Config: access.ConfigStatus{Version: c.known}}, now, now)
				w.confirmConfig(now)
				if _, confirmedAt := w.dir.Current(); confirmedAt.Equal(now) != c.want {
					t.Errorf("confirmed: %t", !c.want)
				}
			})
		})
	}
}
