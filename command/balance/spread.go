package balance

import (
	"slices"
	"time"
)

// Instances hear of each other's requests with a delay. If each one then took the server
// with the fewest, all would take the same one until the next word. So the requests that
// others are expected to have sent since then are counted as well: they even the servers out
// from the least busy one up, and this request is drawn to be any one of them. With 200
// instances that hear of each other once a second, before 5 servers with 12 places each of
// which four fifths are taken, the busiest server runs 1.45 times the mean, and 1.79 times
// where the one with the fewest is taken (TestStaleWordDoesNotHerd).

// minUnseen is how many requests are expected to be unseen at least, so that equal
// candidates are drawn alike.
const minUnseen = 0.4

// unseen needs mu. It returns how many requests others are expected to have sent to the
// candidates since what is known of them, in requests of a server of referenceSlots: as
// many as run on them are sent in the time that one takes.
func (b *Balancer) unseen(candidates []Candidate, indices []int) float64 {
	total := 0.0
	for _, i := range indices {
		c := candidates[i]
		if c.Others > 0 {
			total += float64(c.Others) * c.scale() * c.Age.Seconds() / b.requestTime(c.ID).Seconds()
		}
	}
	return max(minUnseen, total)
}

// typicalRequest is how long a request takes on a server that has answered none yet: a
// short generation.
const typicalRequest = 1500 * time.Millisecond

// leastRequest bounds how short requests are taken to be, in a division.
const leastRequest = time.Millisecond

// requestTime needs mu.
func (b *Balancer) requestTime(id string) time.Duration {
	s := b.servers[id]
	if s == nil || s.took == 0 {
		return typicalRequest
	}
	return max(leastRequest, s.took)
}

// tookMemory is the weight of the newest request in how long they take.
const tookMemory = 0.1

// noteTook needs the balancer's mu.
func (s *server) noteTook(took time.Duration) {
	if s.took == 0 {
		s.took = took
		return
	}
	s.took += time.Duration(tookMemory * float64(took-s.took))
}

// draw returns the index of one of the scores, where share in [0, 1) says which. The
// lowest scores are raised to one level by unseen requests; each is drawn by its part of
// them.
func draw(scores []float64, unseen, share float64) int {
	level := levelOf(scores, unseen)
	left := share * unseen
	last := 0
	for i, score := range scores {
		if score >= level {
			continue
		}
		last = i
		left -= level - score
		if left < 0 {
			return i
		}
	}
	return last
}

// levelOf returns the level up to which the lowest scores are raised by so many requests.
func levelOf(scores []float64, requests float64) float64 {
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
