package balance

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func picks(b *Balancer, candidates []Candidate, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[candidates[b.Pick(candidates, now)].ID]++
	}
	return counts
}

// TestLeastLoaded: own sends and those of others count alike.
func TestLeastLoaded(t *testing.T) {
	b := New(DefaultParams())
	for range 3 {
		b.Start("a", "")
	}
	candidates := []Candidate{{ID: "a", Near: true, Slots: 16}, {ID: "b", Near: true, Slots: 16, Others: 5}, {ID: "c", Near: true, Slots: 16, Others: 1}}
	if got := picks(b, candidates, 50); got["c"] != 50 {
		t.Errorf("picked %v, want c", got)
	}
	if b.Pick(nil, now) != -1 {
		t.Error("picked one of none")
	}
}

// TestFailing: a server that fails in a row is passed over for a while, and taken
// if there is no other; one that fails in part is taken less.
func TestFailing(t *testing.T) {
	b := New(DefaultParams())
	candidates := []Candidate{{ID: "a", Near: true, Slots: 16}, {ID: "b", Near: true, Slots: 16, Others: 30}}
	for range 3 {
		b.Start("a", "")(Failed, now)
	}
	if got := picks(b, candidates, 50); got["a"] != 0 {
		t.Errorf("picked %v, want b alone", got)
	}
	if b.Pick(candidates[:1], now) != 0 {
		t.Error("a server that fails is not taken though there is no other")
	}
	now := now.Add(time.Minute)
	for range 60 {
		b.Start("a", "")(Succeeded, now)
	}
	if b.Failing("a") > 0.01 {
		t.Errorf("failing %.2f after it has recovered", b.Failing("a"))
	}
}

// TestAffinity: requests with one start of the prompt go to one replica, but not
// when it is much busier.
func TestAffinity(t *testing.T) {
	b := New(DefaultParams())
	candidates := []Candidate{{ID: "a", Near: true, Slots: 16}, {ID: "b", Near: true, Slots: 16, Affine: true}}
	if got := picks(b, candidates, 50); got["b"] != 50 {
		t.Errorf("picked %v, want b", got)
	}
	candidates[1].Others = 10
	if got := picks(b, candidates, 50); got["a"] != 50 {
		t.Errorf("picked %v, want a", got)
	}
}

// TestWaiting: a replica that serves now goes before one that is being loaded.
func TestWaiting(t *testing.T) {
	b := New(DefaultParams())
	candidates := []Candidate{{ID: "a", Near: true, Slots: 16, Wait: time.Second}, {ID: "b", Slots: 16, Others: 20}}
	if got := picks(b, candidates, 50); got["b"] != 50 {
		t.Errorf("picked %v, want b", got)
	}
}
