package balance

import (
	"testing"
	"time"
)

// loseRequests records n requests to a domain that end without an answer.
func loseRequests(b *Balancer, id, domain string, n int, o Outcome, at time.Time) {
	for range n {
		b.Start(id, domain)(o, at)
	}
}

// TestUnreachableDomainAvoided: after several consecutive requests to a domain without an answer,
// servers of other domains are chosen although they have a higher load. The domain is still chosen
// if no other domain can serve the request, and a single answer from any of its servers ends the
// avoidance.
func TestUnreachableDomainAvoided(t *testing.T) {
	candidates := []Candidate{{ID: "far", Domain: "cut", Slots: 16}, {ID: "near", Domain: "own", SameDomain: true, Slots: 16, OthersInFlight: 9}}
	for _, o := range []Outcome{Silent, Unreachable} {
		b := New(DefaultParams())
		loseRequests(b, "far-1", "cut", suspectAfter-1, o, now)
		if got := countPicks(b, candidates, 50); got["near"] != 0 {
			t.Errorf("outcome %d: picked %v after %d lost requests", o, got, suspectAfter-1)
		}
		loseRequests(b, "far-2", "cut", 1, o, now)
		if got := countPicks(b, candidates, 50); got["far"] != 0 {
			t.Errorf("outcome %d: picked %v after %d lost requests, want the other domain", o, got, suspectAfter)
		}
		if b.Pick(candidates[:1], now) != 0 {
			t.Errorf("outcome %d: the domain is not chosen although there is no other", o)
		}
		b.Start("far-3", "cut")(Succeeded, now)
		if got := countPicks(b, candidates, 50); got["near"] != 0 {
			t.Errorf("outcome %d: picked %v after an answer", o, got)
		}
	}
}

// TestUnreachableDomainRetried: a domain is avoided for a few seconds, longer while requests to it
// continue to be lost, up to a limit.
func TestUnreachableDomainRetried(t *testing.T) {
	b := New(DefaultParams())
	loseRequests(b, "far", "cut", suspectAfter, Silent, now)
	if !b.isSuspect("cut", now.Add(baseSuspectTime-time.Millisecond)) || b.isSuspect("cut", now.Add(baseSuspectTime)) {
		t.Errorf("domain is not avoided for exactly %s", baseSuspectTime)
	}
	loseRequests(b, "far", "cut", 20, Silent, now)
	if !b.isSuspect("cut", now.Add(maxSuspectTime-time.Millisecond)) || b.isSuspect("cut", now.Add(maxSuspectTime)) {
		t.Errorf("domain is not avoided for exactly %s after many lost requests", maxSuspectTime)
	}
}

// TestSilentServerDoesNotSuspectDomain: one unresponsive server does not make its domain suspect
// while other servers there answer, even with a refusal.
func TestSilentServerDoesNotSuspectDomain(t *testing.T) {
	b := New(DefaultParams())
	for range 20 {
		loseRequests(b, "dark", "own", suspectAfter-1, Silent, now)
		b.Start("well", "own")(Failed, now)
		if b.isSuspect("own", now) {
			t.Fatal("the domain is avoided although one of its servers answers")
		}
	}
}
