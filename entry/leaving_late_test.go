package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// atPhases runs a test in a fleet that relies on its holder, from several moments between its reports and watches on.
func atPhases(t *testing.T, test func(t *testing.T, s *simulation)) {
	for _, phase := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond} {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, simulatedLarge)
				time.Sleep(5*time.Second + phase)
				test(t, s)
			})
		})
	}
}

// checkHeardInTime has a server leave, and checks that all instances but one know within the bound.
func (s *simulation) checkHeardInTime(except *simulated) {
	s.t.Helper()
	last := s.lastToKnow("p1", except)
	s.t.Logf("the last of %d instances knows after %s", len(s.instances), last)
	if last > simulatedDrain {
		s.t.Errorf("the last instance knows after %s, want at most %s", last, simulatedDrain)
	}
}

// TestLeavingHeardLateBySilentWatch: watches hear nothing for a second, and are never answered.
func TestLeavingHeardLateBySilentWatch(t *testing.T) {
	atPhases(t, func(_ *testing.T, s *simulation) {
		s.store.DeafenWatches(true)
		time.AfterFunc(time.Second, func() { s.store.DeafenWatches(false) })
		s.checkHeardInTime(nil)
	})
}

// TestLeavingUnheardWhileWatchesAreSilent: no watch is answered any more, all other calls are.
func TestLeavingUnheardWhileWatchesAreSilent(t *testing.T) {
	atPhases(t, func(_ *testing.T, s *simulation) {
		s.store.DeafenWatches(true)
		time.AfterFunc(20*time.Second, func() { s.store.DeafenWatches(false) })
		s.checkHeardInTime(nil)
	})
}

// TestLeavingHeardLateFromHolderCutOff: the holder does not reach the store, all others do, and of these one starts anew.
func TestLeavingHeardLateFromHolderCutOff(t *testing.T) {
	atPhases(t, func(_ *testing.T, s *simulation) {
		holder := s.holder()
		holder.way.set(true)
		time.Sleep(20 * time.Millisecond)
		time.AfterFunc(1200*time.Millisecond, func() { s.add(len(s.instances)) })
		s.checkHeardInTime(holder)
	})
}
