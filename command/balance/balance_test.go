package balance

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

// countPicks returns how often each candidate is chosen in n picks.
func countPicks(b *Balancer, candidates []Candidate, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[candidates[b.Pick(candidates, now)].ID]++
	}
	return counts
}

// TestLeastLoaded: the requests of this instance and those of others have the same weight.
func TestLeastLoaded(t *testing.T) {
	b := New(DefaultParams())
	for range 3 {
		b.Start("a", "")
	}
	candidates := []Candidate{{ID: "a", SameDomain: true, Slots: 16}, {ID: "b", SameDomain: true, Slots: 16, OthersInFlight: 5}, {ID: "c", SameDomain: true, Slots: 16, OthersInFlight: 1}}
	if got := countPicks(b, candidates, 50); got["c"] != 50 {
		t.Errorf("picked %v, want c", got)
	}
	if b.Pick(nil, now) != -1 {
		t.Error("picked a candidate from an empty list")
	}
}

// TestEjection: a server with consecutive failures is ejected for a while, and chosen only if there
// is no other server. After it has recovered its failure rate falls again.
func TestEjection(t *testing.T) {
	b := New(DefaultParams())
	candidates := []Candidate{{ID: "a", SameDomain: true, Slots: 16}, {ID: "b", SameDomain: true, Slots: 16, OthersInFlight: 30}}
	for range 3 {
		b.Start("a", "")(Failed, now)
	}
	if got := countPicks(b, candidates, 50); got["a"] != 0 {
		t.Errorf("picked %v, want b alone", got)
	}
	if b.Pick(candidates[:1], now) != 0 {
		t.Error("an ejected server is not chosen although there is no other")
	}
	now := now.Add(time.Minute)
	for range 60 {
		b.Start("a", "")(Succeeded, now)
	}
	if b.FailureRate("a") > 0.01 {
		t.Errorf("failure rate %.2f after recovery", b.FailureRate("a"))
	}
}

// TestAffinity: requests with the same prompt prefix go to the same replica unless it has a much
// higher load.
func TestAffinity(t *testing.T) {
	b := New(DefaultParams())
	candidates := []Candidate{{ID: "a", SameDomain: true, Slots: 16}, {ID: "b", SameDomain: true, Slots: 16, Affine: true}}
	if got := countPicks(b, candidates, 50); got["b"] != 50 {
		t.Errorf("picked %v, want b", got)
	}
	candidates[1].OthersInFlight = 10
	if got := countPicks(b, candidates, 50); got["a"] != 50 {
		t.Errorf("picked %v, want a", got)
	}
}

// TestReadyReplicaPreferred: a replica that can serve now is preferred to one that is still
// loading.
func TestReadyReplicaPreferred(t *testing.T) {
	b := New(DefaultParams())
	candidates := []Candidate{{ID: "a", SameDomain: true, Slots: 16, Wait: time.Second}, {ID: "b", Slots: 16, OthersInFlight: 20}}
	if got := countPicks(b, candidates, 50); got["b"] != 50 {
		t.Errorf("picked %v, want b", got)
	}
}
