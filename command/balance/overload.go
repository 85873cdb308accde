package balance

import "time"

// Where more is asked of a model than its engines serve, their queues grow until clients
// leave, and nobody is on time though the engines never rest. Then a part of the requests
// is better refused at once, so that the others are on time. Of a model that is asked for a
// tenth more than its engines serve 12 in 100 requests were on time and 80 late; now 58 are
// on time, 28 late and 14 refused (TestOverload, which also has other loads).

// Overload is what the word of the servers' load says of one more request.
type Overload struct {
	// Refuse is the share of such requests to refuse.
	Refuse float64
	// After is how long it takes until the queues are gone, if nothing more comes.
	After time.Duration
}

// overloadGain is the share of requests to refuse by the share of places that are taken
// beyond what is allowed. In TestOverload 1.5 to 3 do alike; 1 leaves a third more of the
// requests late, and more than 3 refuses too many, since the load swings: its word is a
// second old in a large fleet, and places turn over in one and a half.
const overloadGain = 2

// allowedWait is the part of the time that requests may wait which the mean queue may
// take: queues differ.
const allowedWait = 0.5

// maxOverloadAge is how old the word of the load may be to refuse by it.
const maxOverloadAge = 3 * time.Second

// Overload returns what share of requests to refuse that must begin within spare. The
// servers' load counts together: how long the queue of one of them is is known only
// roughly, since it changes within the age of the word.
func (b *Balancer) Overload(candidates []Candidate, spare time.Duration) Overload {
	b.mu.Lock()
	defer b.mu.Unlock()
	places, taken, took := 0, 0, 0.0
	for _, c := range candidates {
		if c.Slots <= 0 || c.Age > maxOverloadAge {
			return Overload{}
		}
		places += c.Slots
		taken += c.Others
		if s := b.servers[c.ID]; s != nil {
			taken += s.inFlight
		}
		took += b.requestTime(c.ID).Seconds()
	}
	if places == 0 {
		return Overload{}
	}
	took /= float64(len(candidates))
	load := float64(taken) / float64(places)
	allowed := 1 + allowedWait*max(0, spare.Seconds())/took
	return Overload{
		Refuse: min(1, max(0, (load-allowed)*overloadGain)),
		After:  time.Duration(max(0, load-1) * took * float64(time.Second)),
	}
}
