package entry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// inEras runs a test in a small fleet that relies on its holder, before a store that has come back from a copy
// as often as is said.
func inEras(t *testing.T, test func(t *testing.T, s *simulation)) {
	for name, before := range map[string]int{"first": 0, "third": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, smallSite)
				for range before {
					s.comeBack(s.store.Copy())
				}
				time.Sleep(10 * time.Second)
				s.await("all rely on a holder", 10*time.Second, s.settled)
				test(t, s)
			})
		})
	}
}

// change has the store give out revisions that it will give out again.
func (s *simulation) change() {
	for range 40 {
		s.announce("p1", "ready")
	}
}

// TestLeavingUnheardAfterStoreCameBack: revisions that are given out again keep nobody from hearing that a server leaves.
func TestLeavingUnheardAfterStoreCameBack(t *testing.T) {
	inEras(t, func(t *testing.T, s *simulation) {
		copied := s.store.Copy()
		s.change()
		time.Sleep(2 * time.Second)
		s.comeBack(copied)
		if last := s.lastToKnow("p1", s.drain, nil); last > s.site.drain {
			t.Errorf("the last instance knows after %s, want at most %s", last, s.site.drain)
		}
	})
}

// TestLeaseLostToCopy: a lease that a copy lacks passes on, with a higher token, also if its holder is gone.
func TestLeaseLostToCopy(t *testing.T) {
	for _, killed := range []bool{false, true} {
		inEras(t, func(t *testing.T, s *simulation) {
			copied := s.store.Copy()
			s.takeOut(s.holder())
			s.await("another holder", 30*time.Second, func() bool { return s.holder() != nil })
			lost := s.holder()
			token := lost.Instance.holder.Fence()
			if killed {
				s.takeOut(lost)
			}
			s.comeBack(copied)
			s.await("a holder by the store's new record", 30*time.Second, func() bool {
				h := s.holder()
				return h != nil && h.Instance.holder.Fence() != token && s.settled()
			})
			if next := s.holder().Instance.holder.Fence(); next <= token {
				t.Errorf("token %d after %d", next, token)
			}
			if from := s.holder().Instance.holder; from.PriorOperationsEnded(time.Now()) {
				t.Error("the next holder orders at once, though the one before may not know yet")
			}
		})
	}
}

// TestStartOfAllAfterCopy: instances that all start anew after a return find a holder, which waits for one of before.
func TestStartOfAllAfterCopy(t *testing.T) {
	for name, leased := range map[string]bool{"no lease in the copy": false, "lease in the copy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, smallSite)
				copied := s.store.Copy()
				token := s.holder().Instance.holder.Fence()
				if !leased {
					copied = s.emptyCopy
				}
				s.takeOut(s.all()...)
				s.restarted = true
				s.comeBack(copied)
				for i := range s.site.instances {
					s.add(i)
				}
				s.await("all rely on a holder", 30*time.Second, s.settled)
				if next := s.holder().Instance.holder; next.Fence() <= token || next.PriorOperationsEnded(time.Now()) {
					t.Errorf("token %d after %d, earlier operations ended at once: %t", next.Fence(), token, next.PriorOperationsEnded(time.Now()))
				}
				if last := s.lastToKnow("p1", s.drain, nil); last > s.site.drain {
					t.Errorf("a leaving server is known after %s", last)
				}
			})
		})
	}
}

// TestGoneServerIsUsedByCopy: a server that is gone is not used by an entry that came back, unless that stays.
func TestGoneServerIsUsedByCopy(t *testing.T) {
	inEras(t, func(t *testing.T, s *simulation) {
		copied := s.store.Copy()
		s.remove("p2")
		used := func() bool {
			return slices.ContainsFunc(s.all(), func(i *simulated) bool { _, known := i.dir.Server("p2"); return known })
		}
		s.await("the server is gone", 10*time.Second, func() bool { return !used() })
		s.store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		s.store.Restore(copied)
		s.store.SetDown(false)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if used() {
				t.Fatal("used by an entry of before")
			}
		}
		s.await("the server is there again", 30*time.Second, func() bool {
			return !slices.ContainsFunc(s.all(), func(i *simulated) bool { _, known := i.dir.Server("p2"); return !known })
		})
	})
}

// TestMembersLostToCopy: instances that a copy lacks are registered again.
func TestMembersLostToCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, site{instances: 2, drain: 2 * time.Second})
		copied := s.store.Copy()
		s.add(2)
		s.await("all rely on a holder", 10*time.Second, s.settled)
		s.comeBack(copied)
		s.await("all are registered", 10*time.Second, func() bool {
			snap, err := s.store.List(context.Background(), prefixMembers)
			return err == nil && len(snap.Objects) == len(s.all())
		})
	})
}

// TestServersLostToCopy: servers whose entries the copy lacks are used on until they have written them again.
func TestServersLostToCopy(t *testing.T) {
	inEras(t, func(t *testing.T, s *simulation) {
		copied := s.store.Copy()
		s.announce("p3", "ready")
		known := func() bool {
			return !slices.ContainsFunc(s.all(), func(i *simulated) bool { _, known := i.dir.Server("p3"); return !known })
		}
		s.await("the server is known", 10*time.Second, known)
		s.store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		s.store.Restore(copied)
		s.store.SetDown(false)
		time.AfterFunc(1900*time.Millisecond, func() { s.announce("p3", "ready") })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if !known() {
				t.Fatal("a server is not used, though its entry was to be written again")
			}
		}
	})
}
