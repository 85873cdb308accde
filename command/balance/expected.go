package balance

// Among servers of different speeds, a request goes to the better one of two random servers. With reports that are half
// a second old, this serves more requests on time than the best one of all does, to which all instances then send, and
// more than the draw among servers of equal speed (TestUnevenEngines). The better one is that with the least expected
// time of the request, in requests on a server of usual speed. Requests ahead take longer on a slower server. An urgent
// request also counts the time that its own answer takes there, so it avoids a slow server until the requests ahead of
// it elsewhere weigh as much. Others do not, and so take from each server what it can give.

// ownTime is how much the time of an urgent request's own answer weighs, in requests: about the requests ahead on a
// server whose slots are all taken.
const ownTime = referenceSlots

// atSpeed returns the score of a candidate with the given load, which is in requests on a server of usual speed.
func (c Candidate) atSpeed(load float64) float64 {
	speed := c.speed()
	if speed == 1 {
		return load
	}
	own := 0.0
	if c.Urgent {
		own = ownTime
	}
	return (load+own)/speed - own
}

// speed returns the speed of the candidate, 1 if it is not known to differ from the usual one.
func (c Candidate) speed() float64 {
	if c.Speed <= 0 {
		return 1
	}
	return c.Speed
}

// speedsDiffer reports whether the candidates with the given indices are known to differ in speed.
func speedsDiffer(candidates []Candidate, indices []int) bool {
	for _, index := range indices {
		if candidates[index].speed() != candidates[indices[0]].speed() {
			return true
		}
	}
	return false
}

// pickOfTwo returns the better of two random ones of the candidates with the given indices. If some can serve now, the
// others are left out, and the one that has the prompt's prefix cached is always one of the two. random are two random
// numbers in [0, 1). b.mu must be held.
func (b *Balancer) pickOfTwo(candidates []Candidate, indices []int, random [2]float64) int {
	var ready []int
	for _, index := range indices {
		if candidates[index].Wait <= 0 {
			ready = append(ready, index)
		}
	}
	if len(ready) > 0 {
		indices = ready
	}
	first, second := indices[int(random[0]*float64(len(indices)))], indices[int(random[1]*float64(len(indices)))]
	for _, index := range indices {
		if candidates[index].Affine {
			first = index
		}
	}
	if b.score(candidates[second]) < b.score(candidates[first]) {
		return second
	}
	return first
}
