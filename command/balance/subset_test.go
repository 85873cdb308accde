package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// subsetCandidates returns n idle candidates in three failure domains, the first of them near.
func subsetCandidates(n int) []Candidate {
	var candidates []Candidate
	for i := range n {
		candidates = append(candidates, Candidate{ID: fmt.Sprintf("s%d", i), Domain: fmt.Sprintf("d%d", i%3), SameDomain: i%3 == 0, Slots: 16})
	}
	return candidates
}

// subsetBalancer returns a balancer that is told a number of instances.
func subsetBalancer(name string, instances int) *Balancer {
	b := New(DefaultParams())
	b.SetSubset(Subset{Instance: name, Instances: func() int { return instances }})
	return b
}

// equalLoad sets the load of all candidates.
func equalLoad(candidates []Candidate, load int) []Candidate {
	for i := range candidates {
		candidates[i].OthersInFlight, candidates[i].ReportAge = load, time.Second
	}
	return candidates
}

// subsetOf returns the names of the candidates in an instance's subset.
func subsetOf(name string, instances int, candidates []Candidate) map[string]bool {
	usable := make([]int, len(candidates))
	for i := range usable {
		usable[i] = i
	}
	names := map[string]bool{}
	for _, i := range members(name, instances, candidates, usable) {
		names[candidates[i].ID] = true
	}
	return names
}

// TestFewInstancesChooseAsBefore: with few instances, few servers, or an unknown number of instances,
// and if the instance sends enough to keep all connections in use, each choice is the same as without
// a subset.
func TestFewInstancesChooseAsBefore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ instances, servers, requests int }{{6, 9, 0}, {15, 140, 0}, {0, 140, 0}, {83, 5, 0}, {83, 1, 0}, {83, 12, 26}} {
		b := subsetBalancer("i1", c.instances)
		for range c.requests {
			b.Start("s0", "d0")(Neutral, now)
		}
		at := time.Now()
		for range 2000 {
			candidates, usable := subsetCandidates(c.servers), make([]int, c.servers)
			scores := make([]float64, c.servers)
			for i := range candidates {
				candidates[i].OthersInFlight, usable[i] = random.IntN(12), i
				scores[i] = b.score(candidates[i])
			}
			unseen, share := 5*random.Float64(), random.Float64()
			if got, want := b.drawPreferred(candidates, usable, scores, unseen, share, at), draw(scores, unseen, share); got != want {
				t.Fatalf("%+v: chose %d, before %d", c, got, want)
			}
		}
	}
}

// TestSubsetSpreadsServers: over all instances, the number of instances that have a server in their
// subset deviates by about maxShareDeviation of its mean at most.
func TestSubsetSpreadsServers(t *testing.T) {
	for _, c := range []struct{ instances, servers int }{{32, 60}, {83, 12}, {83, 140}, {200, 30}, {600, 140}} {
		counts, sum := map[string]float64{}, 0.0
		for i := range c.instances {
			candidates := subsetCandidates(c.servers)
			for j := range candidates {
				candidates[j].SameDomain = j%3 == i%3
			}
			for id := range subsetOf(fmt.Sprintf("instance-%d", i), c.instances, candidates) {
				counts[id]++
				sum++
			}
		}
		mean, squares := sum/float64(c.servers), 0.0
		for i := range c.servers {
			squares += math.Pow(counts[fmt.Sprintf("s%d", i)]-mean, 2)
		}
		deviation := math.Sqrt(squares/float64(c.servers)) / mean
		t.Logf("%d instances, %d servers: each prefers %.1f, deviation %.2f", c.instances, c.servers, sum/float64(c.instances), deviation)
		if deviation > 1.2*maxShareDeviation {
			t.Errorf("%d instances, %d servers: deviation %.2f", c.instances, c.servers, deviation)
		}
	}
}

// TestSubsetMovesLittle: when a server is lost or added, an instance exchanges at most one member of
// its subset, and when instances come or go, at most one for each group.
func TestSubsetMovesLittle(t *testing.T) {
	moved := func(a, b map[string]bool) int {
		n := 0
		for id := range a {
			if !b[id] {
				n++
			}
		}
		return n
	}
	lost, fewer, pairs := 0, 0, 0
	for i := range 83 {
		name := fmt.Sprintf("instance-%d", i)
		all := subsetOf(name, 83, subsetCandidates(30))
		pairs += len(all)
		without := subsetOf(name, 83, subsetCandidates(29))
		if n := moved(all, without); n > 2 {
			t.Errorf("%s: %d members move when one server is lost", name, n)
		} else {
			lost += n
		}
		left := subsetOf(name, 70, subsetCandidates(30))
		if n := moved(all, left); n > 2 {
			t.Errorf("%s: %d members move when instances leave", name, n)
		} else {
			fewer += n
		}
	}
	t.Logf("of %d pairs, %d moved with a lost server and %d with 13 instances fewer", pairs, lost, fewer)
	if lost > pairs/10 || fewer > pairs/10 {
		t.Errorf("of %d pairs, %d moved with a lost server and %d with 13 instances fewer", pairs, lost, fewer)
	}
}

// TestLoadedSubsetIsLeft: requests go to the subset while its servers are as loaded as the others,
// and to others once these have much less to do or wait less.
func TestLoadedSubsetIsLeft(t *testing.T) {
	candidates := equalLoad(subsetCandidates(30), 6)
	preferred := subsetOf("i1", 83, candidates)
	for id := range countPicks(subsetBalancer("i1", 83), candidates, 500) {
		if !preferred[id] {
			t.Errorf("picked %s, which is not in the subset", id)
		}
	}
	for i := range candidates {
		if preferred[candidates[i].ID] {
			candidates[i].OthersInFlight = 14
		}
		candidates[i].ReportAge = 100 * time.Millisecond // else older reports of others' loads are not trusted
	}
	for id := range countPicks(subsetBalancer("i1", 83), candidates, 500) {
		if preferred[id] {
			t.Errorf("picked %s, which is loaded beyond the others", id)
		}
	}
	candidates = equalLoad(subsetCandidates(30), 6)
	for i := range candidates {
		if preferred[candidates[i].ID] {
			candidates[i].Wait = time.Second
		}
	}
	for id := range countPicks(subsetBalancer("i1", 83), candidates, 500) {
		if preferred[id] {
			t.Errorf("picked %s, for which the request would have to wait", id)
		}
	}
}

// TestFailingSubsetIsReplaced: ejected servers, those of suspect domains and those that are no
// candidates get nothing; others take their places, and the rest of the subset stays.
func TestFailingSubsetIsReplaced(t *testing.T) {
	candidates := equalLoad(subsetCandidates(30), 6)
	preferred := subsetOf("i1", 83, candidates)
	b := subsetBalancer("i1", 83)
	for id := range preferred {
		b.Start(id, "")(Failed, now)
		b.Start(id, "")(Failed, now)
	}
	for id := range countPicks(b, candidates, 200) {
		if preferred[id] {
			t.Errorf("picked %s, which is ejected", id)
		}
	}
	b = subsetBalancer("i1", 83)
	for range suspectAfter {
		b.Start("x", "d1")(Unreachable, now)
	}
	for id, n := range countPicks(b, candidates, 200) {
		var i int
		_, _ = fmt.Sscanf(id, "s%d", &i)
		if i%3 == 1 {
			t.Errorf("picked %s of a suspect domain %d times", id, n)
		}
	}
}

// TestAffineStaysPreferred: the replica that has the prompt's prefix is chosen as often as before at
// least, whether it is in the subset or not, and with a connection to another server.
func TestAffineStaysPreferred(t *testing.T) {
	for i := range 12 {
		candidates := equalLoad(subsetCandidates(12), 6)
		candidates[i].Affine = true
		id := candidates[i].ID
		b := subsetBalancer("i1", 83)
		b.subset.Connections = fakeConnections{"s1": 1}
		before, after := countPicks(New(DefaultParams()), candidates, 2000)[id], countPicks(b, candidates, 2000)[id]
		if after < before-150 {
			t.Errorf("%s was picked %d times, before %d", id, after, before)
		}
	}
}

// fakeConnections are numbers of open connections by server.
type fakeConnections map[string]int

// Open implements Connections.
func (f fakeConnections) Open(id string) int { return f[id] }

// TestConnectedServerPreferred: a server to which a connection is idle is preferred, not one whose
// connections are in use, and not one that is loaded beyond the others.
func TestConnectedServerPreferred(t *testing.T) {
	candidates := equalLoad(subsetCandidates(3), 6)
	b := subsetBalancer("i1", 83)
	b.subset.Connections = fakeConnections{"s1": 1}
	if got := countPicks(b, candidates, 100); got["s1"] != 100 {
		t.Errorf("picked %v, want s1", got)
	}
	candidates[1].OthersInFlight = 12
	if got := countPicks(b, candidates, 100); got["s1"] > 20 {
		t.Errorf("picked %v, s1 is loaded beyond the others", got)
	}
	candidates[1].OthersInFlight = 5
	b.Start("s1", "")
	if got := countPicks(b, candidates, 300); got["s1"] > 200 {
		t.Errorf("picked %v, the connection to s1 is in use", got)
	}
	for i := range candidates {
		candidates[i].OthersInFlight, candidates[i].ReportAge = 0, 0
	}
	b = subsetBalancer("i1", 83)
	b.subset.Connections = fakeConnections{"s0": 0, "s1": 1}
	if got := countPicks(b, candidates, 100); got["s0"] != 100 {
		t.Errorf("picked %v although the loads are not reported, want s0 in the same domain", got)
	}
}
