package balance

import (
	"slices"
	"time"
)

// Instances receive reports of each other's requests with a delay. If each one then chose the
// server with the fewest requests, all would choose the same one until the next report. Therefore
// the requests that other instances are expected to have sent since the report are also taken into
// account: they fill the servers from the least loaded one upwards to a common level, and this
// request is equally likely to be any of them. With 200 instances that receive reports once per
// second, in front of 5 servers with 12 slots each at 80% utilization, the busiest server runs 1.45
// times the mean, compared to 1.79 times if the server with the fewest requests is chosen
// (TestStaleReportsDoNotHerd).

// minUnseen is the lower bound of the number of unseen requests, so that candidates with equal
// scores are equally likely to be drawn.
const minUnseen = 0.4

// unseenRequests returns the number of requests that other instances are expected to have sent to
// the candidates since the last reports, in requests on a server with referenceSlots. It assumes
// that within the latency of one request as many requests are sent as are running. b.mu must be
// held.
func (b *Balancer) unseenRequests(candidates []Candidate, indices []int) float64 {
	total := 0.0
	for _, i := range indices {
		c := candidates[i]
		if c.OthersInFlight > 0 {
			total += float64(c.OthersInFlight) * c.scale() * c.ReportAge.Seconds() / b.requestLatency(c.ID).Seconds()
		}
	}
	return max(minUnseen, total)
}

// defaultLatency is the latency assumed for a server that has not answered any request yet: that of
// a short generation.
const defaultLatency = 1500 * time.Millisecond

// minLatency is a lower bound for the latency that unseenRequests divides by.
const minLatency = time.Millisecond

// requestLatency returns the smoothed latency of requests on a server. b.mu must be held.
func (b *Balancer) requestLatency(id string) time.Duration {
	s := b.servers[id]
	if s == nil || s.latency == 0 {
		return defaultLatency
	}
	return max(minLatency, s.latency)
}

// latencySmoothing is the weight of the latest request in the smoothed latency.
const latencySmoothing = 0.1

// recordLatency updates the smoothed latency. The balancer's mu must be held.
func (s *serverStats) recordLatency(latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(latencySmoothing * float64(latency-s.latency))
}

// draw returns the index of one of the scores. unseen requests raise the lowest scores to a common
// level; each score is drawn with a probability proportional to the amount by which it is raised.
// share in [0, 1) is the random number that selects it.
func draw(scores []float64, unseen, share float64) int {
	level := fillLevel(scores, unseen)
	remaining := share * unseen
	last := 0
	for i, score := range scores {
		if score >= level {
			continue
		}
		last = i
		remaining -= level - score
		if remaining < 0 {
			return i
		}
	}
	return last
}

// fillLevel returns the level to which the given number of requests raises the lowest scores.
func fillLevel(scores []float64, requests float64) float64 {
	sorted := slices.Sorted(slices.Values(scores))
	below := 0.0
	for i, score := range sorted {
		below += score
		level := (requests + below) / float64(i+1)
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return 0
}
