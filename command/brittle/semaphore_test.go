package brittle

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

var testServer = Server{ID: "s", Slots: 8, Tolerated: 4}

// acquireAll acquires permits of an instance without waiting until none is granted, and returns their number.
func acquireAll(t *testing.T, s *Semaphore, instance string, from uint64) (n int) {
	for s.Acquire(t.Context(), Request{Permit: Permit{Instance: instance, Number: from + uint64(n)}, Server: testServer}).Granted {
		n++
	}
	return n
}

// TestLateRenewalTakesRoom guards against room that stays taken since a renewal arrives after the releases of its permits.
func TestLateRenewalTakesRoom(t *testing.T) {
	s := NewSemaphore(testServer, true)
	n := acquireAll(t, s, "a", 1)
	late := Renewal{Instance: "a", Server: testServer}
	for i := range n {
		late.Permits = append(late.Permits, uint64(1+i))
		s.Release(Permit{Instance: "a", Number: uint64(1 + i)}, Unknown)
	}
	s.Renew(late)
	if inFlight := s.State().InFlight; inFlight != 0 {
		t.Errorf("%d requests in flight after all have ended", inFlight)
	}
}

// TestRoomOfAbandonedRequests guards against permits for the room of requests that were abandoned, and that the server still has.
func TestRoomOfAbandonedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, sent := NewSemaphore(testServer, true), uint64(0)
		for n := 1; n > 0; sent += uint64(n) { // until all room is taken
			n = acquireAll(t, s, "a", sent)
			for i := range n {
				s.Accept(Permit{Instance: "a", Number: sent + uint64(i)})
			}
		}
		for number := range sent {
			s.Release(Permit{Instance: "a", Number: number}, Abandoned)
		}
		n := acquireAll(t, s, "a", sent)
		if n == 0 || n > testServer.Tolerated {
			t.Errorf("%d permits beside %d abandoned requests, want some, and no more than rejections that the server survives", n, sent)
		}
		time.Sleep(PermitLifetime)
		if n += acquireAll(t, s, "a", sent+uint64(n)); n < testServer.Slots {
			t.Errorf("%d permits after the abandoned requests have ended, want the room of %d slots", n, testServer.Slots)
		}
	})
}

// TestRejectionOfRenewedPermit guards against a server that counts as one without any room, since it rejected requests with permits
// that another semaphore had granted.
func TestRejectionOfRenewedPermit(t *testing.T) {
	s := NewSemaphore(testServer, true)
	s.Renew(Renewal{Instance: "a", Server: testServer, Permits: []uint64{1, 2, 3, 4, 5, 6}})
	for number := uint64(5); number <= 6; number++ {
		s.Release(Permit{Instance: "a", Number: number}, Rejected)
	}
	if state := s.State(); state.Proven <= 0 {
		t.Errorf("%d requests are known to have room, while the server has %d", state.Proven, state.InFlight)
	}
}

// TestPermitsOfFailedInstance guards against room that an instance holds for good that has failed, and against permits that
// expire although they are renewed.
func TestPermitsOfFailedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSemaphore(testServer, true)
		n := acquireAll(t, s, "failed", 1)
		s.Renew(Renewal{Instance: "alive", Server: testServer, Permits: []uint64{1}, Unpermitted: 1})
		for range 10 {
			time.Sleep(PermitLifetime / 4)
			s.Renew(Renewal{Instance: "alive", Server: testServer, Permits: []uint64{1}, Unpermitted: 1})
		}
		if inFlight := s.State().InFlight; n == 0 || inFlight != 2 {
			t.Errorf("%d in flight, want 2 of the instance that renews its permits", inFlight)
		}
	})
}

// TestUrgentRequestsWaitBehindOthers guards against room that goes to patient requests while urgent ones wait.
func TestUrgentRequestsWaitBehindOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSemaphore(testServer, true)
		for from, n := uint64(1), 1; n > 0; from += uint64(n) { // until all room is taken
			n = acquireAll(t, s, "a", from)
			for i := range n {
				s.Accept(Permit{Instance: "a", Number: from + uint64(i)})
			}
		}
		granted := make(chan int, 3)
		for i, priority := range []int{2, 1, 0} {
			go func() {
				permit := Permit{Instance: "b", Number: uint64(1 + i)}
				if s.Acquire(context.Background(), Request{Permit: permit, Server: testServer, Priority: priority, Wait: time.Second}).Granted {
					s.Accept(permit)
					granted <- priority
				}
			}()
			synctest.Wait()
		}
		for i := range 3 {
			s.Release(Permit{Instance: "a", Number: uint64(1 + i)}, Unknown)
			synctest.Wait()
			if got := <-granted; got != i {
				t.Errorf("permit %d granted at priority %d", i, got)
			}
		}
	})
}

// TestRefusalTellsWhenThereIsRoom guards against clients that all return while there is no room for them.
func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSemaphore(testServer, true)
		n := acquireAll(t, s, "a", 1)
		refuse := func() time.Duration {
			return s.Acquire(t.Context(), Request{Permit: Permit{Instance: "b", Number: 1}, Server: testServer}).RetryAfter
		}
		for i := range 2 {
			s.Release(Permit{Instance: "a", Number: uint64(n - i)}, Unknown)
		}
		acquireAll(t, s, "c", 1)
		first := refuse()
		for range 4 {
			refuse()
		}
		if later := refuse(); first < minRetryAfter || later <= first || later > maxRetryAfter {
			t.Errorf("%s for the first refused request, %s for one after five more", first, later)
		}
	})
}
