package balance

import (
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/rendezvous"
)

// With many instances in front of many servers, each instance sends to a given server less often
// than an idle connection is kept, and opens a new one for most requests. An instance therefore
// prefers a subset of the candidates that depends only on its name and theirs, and among these the
// servers to which it has an idle connection. A preferred candidate is chosen only if its score is
// less than subsetBonus above the mean and above the level to which other instances fill the
// servers; if there is none, all candidates are drawn from as without a subset.

// Connections tells which servers this instance has connections to.
type Connections interface {
	// Open returns the number of open connections to a server, idle or in use.
	Open(serverID string) int
}

// Subset states by what an instance prefers a part of the servers.
type Subset struct {
	// Instance is the name of this instance.
	Instance string
	// Instances returns the number of instances, 0 if it is unknown; nil switches subsets off.
	Instances func() int
	// Connections is nil if connections are not known.
	Connections Connections
}

const (
	// maxShareDeviation bounds the standard deviation of the number of instances that have a server
	// in their subsets, relative to its mean: subsets alone then spread the load about as evenly as
	// reports that are a second old.
	maxShareDeviation = 0.25
	// minSubset is the minimum number of servers in a subset of one group, so that an instance can
	// avoid the busier one and keeps a connection when one is lost.
	minSubset = 3
	// maxSubsetShare is the share of the candidates above which a subset saves too little.
	maxSubsetShare = 0.5
	// subsetBonus is by how much the score of a preferred candidate may be above the others, in
	// requests. It is less than what a server in another failure domain is charged.
	subsetBonus = 0.4
	// keptAlive is about how long an idle connection to a server is kept.
	keptAlive = 4 * time.Second
	// minRequestsPerConnection is the number of requests in keptAlive for each candidate above which
	// all connections stay in use.
	minRequestsPerConnection = 2
)

// SetSubset sets by what a subset of the servers is preferred. It must be called before Pick.
func (b *Balancer) SetSubset(s Subset) { b.subset = s }

// subsetSize returns how many of n equal servers each of a number of instances prefers, so that the
// number of instances that prefer a server deviates by at most maxShareDeviation.
func subsetSize(n int, instances float64) int {
	if n == 0 {
		return 0
	}
	share := 1 / (1 + instances*maxShareDeviation*maxShareDeviation)
	return min(n, max(minSubset, int(math.Ceil(share*float64(n)))))
}

// drawPreferred returns the index in usable of the candidate to send to; scores are those of the
// usable candidates. b.mu must be held.
func (b *Balancer) drawPreferred(candidates []Candidate, usable []int, scores []float64, unseen, share float64, now time.Time) int {
	instances := b.sparseInstances(candidates, usable, now)
	if instances == 0 {
		return draw(scores, unseen, share)
	}
	level := min(fillLevel(scores, unseen), mean(scores)) + subsetBonus
	preferred := members(b.subset.Instance, instances, candidates, usable)
	isSubset := len(preferred) < len(usable)
	preferred = slices.DeleteFunc(preferred, func(i int) bool { return scores[i] >= level })
	preferred, found := b.connected(candidates, usable, preferred)
	if len(preferred) == 0 || !found && !isSubset {
		return draw(scores, unseen, share)
	}
	return preferred[drawBelow(scores, preferred, level, share)]
}

// ManyInstances reports whether there are so many instances that each can do with a part of the
// servers.
func ManyInstances(n int) bool {
	return 1/(1+float64(n)*maxShareDeviation*maxShareDeviation) <= maxSubsetShare
}

// sparseInstances returns the number of instances if there are so many of them, and so few requests
// of this one, that its connections to the candidates would not stay in use; 0 otherwise. b.mu must
// be held.
func (b *Balancer) sparseInstances(candidates []Candidate, usable []int, now time.Time) int {
	if b.subset.Instances == nil || len(usable) < 2 {
		return 0
	}
	instances := b.subset.Instances()
	if !ManyInstances(instances) {
		return 0
	}
	requests := 0.0
	for _, i := range usable {
		if s := b.servers[candidates[i].ID]; s != nil {
			requests += s.recent.at(now)
		}
	}
	if requests >= minRequestsPerConnection*float64(len(usable)) {
		return 0
	}
	return instances
}

// members returns the indices in usable of the subset of an instance. The servers of the instance's
// own failure domain and those of other domains are two groups, so that both have members; the
// instances are taken to be spread over the domains as the servers are. The affine candidate is
// always a member. If the subset would have more than maxSubsetShare of the candidates, all are
// members.
func members(instance string, instances int, candidates []Candidate, usable []int) []int {
	var near, far, chosen []int
	for i, index := range usable {
		switch c := candidates[index]; {
		case c.Affine:
			chosen = append(chosen, i)
		case c.SameDomain:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	all := len(near) + len(far)
	if all == 0 {
		return chosen
	}
	perServer := float64(instances) / float64(all)
	nearSize, farSize := subsetSize(len(near), perServer*float64(len(near))), subsetSize(len(far), perServer*float64(len(far)))
	if float64(nearSize+farSize) > maxSubsetShare*float64(all) {
		nearSize, farSize = len(near), len(far)
	}
	id := func(i int) string { return candidates[usable[i]].ID }
	chosen = append(chosen, rendezvous.Top(instance, near, nearSize, id)...)
	return append(chosen, rendezvous.Top(instance, far, farSize, id)...)
}

// connected returns those of the preferred candidates to which an idle connection is open, and the
// affine one. A server whose load from other instances is not reported does not count, since nothing
// would even out what all instances together send to it. If there is no idle connection, found is false and all of them are returned. b.mu must
// be held.
func (b *Balancer) connected(candidates []Candidate, usable, preferred []int) (kept []int, found bool) {
	if b.subset.Connections == nil {
		return preferred, false
	}
	for _, i := range preferred {
		c := candidates[usable[i]]
		inFlight := 0
		if s := b.servers[c.ID]; s != nil {
			inFlight = s.inFlight
		}
		idle := c.ReportAge > 0 && b.subset.Connections.Open(c.ID) > inFlight
		found = found || idle
		if idle || c.Affine {
			kept = append(kept, i)
		}
	}
	if !found {
		return preferred, false
	}
	return kept, true
}

// mean returns the mean of scores.
func mean(scores []float64) float64 {
	sum := 0.0
	for _, s := range scores {
		sum += s
	}
	return sum / float64(len(scores))
}

// drawBelow returns the position in chosen of a score, drawn in proportion to how far it is below
// level.
func drawBelow(scores []float64, chosen []int, level, share float64) int {
	total := 0.0
	for _, i := range chosen {
		total += level - scores[i]
	}
	remaining := share * total
	for position, i := range chosen {
		remaining -= level - scores[i]
		if remaining < 0 {
			return position
		}
	}
	return len(chosen) - 1
}

// recentRequests counts requests; each counts for keptAlive on average.
type recentRequests struct {
	count   float64
	updated time.Time
}

// at returns the number of recent requests.
func (r *recentRequests) at(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-max(0, now.Sub(r.updated)).Seconds()/keptAlive.Seconds())
}

// record counts a request.
func (r *recentRequests) record(now time.Time) {
	r.count, r.updated = r.at(now)+1, now
}
