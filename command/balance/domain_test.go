package balance

import (
	"testing"
	"time"
)

// lose notes requests to a domain of which nothing was heard.
func lose(b *Balancer, id, inDomain string, n int, o Outcome, at time.Time) {
	for range n {
		b.Start(id, inDomain)(o, at)
	}
}

// TestCutDomainIsAvoided: after some requests in a row without any answer from one domain
// the others are taken, though they are busier; it is still taken for what no other has, and
// one answer from any of its servers ends that.
func TestCutDomainIsAvoided(t *testing.T) {
	candidates := []Candidate{{ID: "far", Domain: "cut", Slots: 16}, {ID: "near", Domain: "own", Near: true, Slots: 16, Others: 9}}
	for _, o := range []Outcome{Silent, Unreachable} {
		b := New(DefaultParams())
		lose(b, "far-1", "cut", suspectAfter-1, o, now)
		if got := picks(b, candidates, 50); got["near"] != 0 {
			t.Errorf("outcome %d: picked %v after %d lost requests", o, got, suspectAfter-1)
		}
		lose(b, "far-2", "cut", 1, o, now)
		if got := picks(b, candidates, 50); got["far"] != 0 {
			t.Errorf("outcome %d: picked %v after %d lost requests, want the other domain", o, got, suspectAfter)
		}
		if b.Pick(candidates[:1], now) != 0 {
			t.Errorf("outcome %d: the domain is not taken though there is no other", o)
		}
		b.Start("far-3", "cut")(Succeeded, now)
		if got := picks(b, candidates, 50); got["near"] != 0 {
			t.Errorf("outcome %d: picked %v after an answer", o, got)
		}
	}
}

// TestCutDomainIsTriedAgain: a domain is avoided for some seconds, longer while requests to
// it go on being lost, and not for ever.
func TestCutDomainIsTriedAgain(t *testing.T) {
	b := New(DefaultParams())
	lose(b, "far", "cut", suspectAfter, Silent, now)
	if !b.suspects("cut", now.Add(suspectFor-time.Millisecond)) || b.suspects("cut", now.Add(suspectFor)) {
		t.Errorf("want it avoided for %s", suspectFor)
	}
	lose(b, "far", "cut", 20, Silent, now)
	if !b.suspects("cut", now.Add(maxSuspect-time.Millisecond)) || b.suspects("cut", now.Add(maxSuspect)) {
		t.Errorf("want it avoided for %s after many lost requests", maxSuspect)
	}
}

// TestDarkServerIsNotACutDomain: one server that says nothing does not have its domain
// avoided while others there answer, also with a refusal.
func TestDarkServerIsNotACutDomain(t *testing.T) {
	b := New(DefaultParams())
	for range 20 {
		lose(b, "dark", "own", suspectAfter-1, Silent, now)
		b.Start("well", "own")(Failed, now)
		if b.suspects("own", now) {
			t.Fatal("the domain is avoided though one of its servers answers")
		}
	}
}
