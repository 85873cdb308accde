package entry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// forEachEra runs a test with a small fleet that relies on its holder, in the first era of the store and in the
// third one, which follows two restores from a backup.
func forEachEra(t *testing.T, test func(t *testing.T, s *simulation)) {
	for name, before := range map[string]int{"first": 0, "third": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, smallDeployment)
				for range before {
					s.restoreStore(s.store.Copy())
				}
				time.Sleep(10 * time.Second)
				s.await("all rely on a holder", 10*time.Second, s.settled)
				test(t, s)
			})
		})
	}
}

// advanceRevisions makes the store issue revisions that it issues again after it is restored from an earlier
// backup.
func (s *simulation) advanceRevisions() {
	for range 40 {
		s.announce("p1", "ready")
	}
}

// TestDrainPropagatesAfterRestore checks that all instances learn within the bound that a server is draining,
// although the restored store issues revisions for the second time.
func TestDrainPropagatesAfterRestore(t *testing.T) {
	forEachEra(t, func(t *testing.T, s *simulation) {
		backup := s.store.Copy()
		s.advanceRevisions()
		time.Sleep(2 * time.Second)
		s.restoreStore(backup)
		if last := s.timeUntilAllKnow("p1", s.drain, nil); last > s.deployment.propagationBound {
			t.Errorf("the last instance knows of the drain after %s, want at most %s", last, s.deployment.propagationBound)
		}
	})
}

// TestLeaseMissingInBackup checks that a lease that the backup lacks passes on with a higher fencing token, also if
// its holder is gone.
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
				t.Error("the next holder sends orders immediately, although the previous one may not know of it yet")
			}
		})
	}
}

// TestRestartOfAllAfterRestore checks that instances that are all restarted after a restore get a holder, which
// waits until operations of a previous holder have ended.
func TestRestartOfAllAfterRestore(t *testing.T) {
	for name, leased := range map[string]bool{"no lease in the copy": false, "lease in the copy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, smallDeployment)
				backup := s.store.Copy()
				token := s.holder().Instance.holder.Fence()
				if !leased {
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
				if last := s.timeUntilAllKnow("p1", s.drain, nil); last > s.deployment.propagationBound {
					t.Errorf("the last instance knows of the drain after %s", last)
				}
			})
		})
	}
}

// TestRemovedServerInBackup checks that a removed server is not used because of its entry in the backup, unless
// that entry stays.
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

// TestMembersMissingInBackup checks that instances that the backup lacks register again.
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

// TestServersMissingInBackup checks that servers whose entries the backup lacks remain in use until they have
// written them again.
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
