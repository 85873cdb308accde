package routing

import (
	"math/bits"
	"time"
)

// window limits the concurrent requests of an instance on a replica. Like a TCP
// congestion window, it grows while first tokens arrive promptly and shrinks when
// they are late. First tokens are used because load reports lag by more than the
// duration of a request. The instances that use a replica thereby share its
// capacity without communicating.
type window struct {
	size      float64   // maximum number of concurrent requests
	slowStart bool      // set until size is reduced for the first time
	shrunkAt  time.Time // time of the last reduction
	// minDelay is the smallest delay of a first token, by the bit length of the prompt
	// size: longer prompts take longer even without queueing.
	minDelay [promptSizes]time.Duration
}

// Parameters of the window's adjustment.
const (
	shrinkFactor = 0.8 // factor applied to size after a late first token
	minWindow    = 1.0
	promptSizes  = 32 // number of prompt size classes
	// minDelayRise raises the smallest observed delay by 1/100 with each later
	// observation, so that it adapts when an engine becomes slower.
	minDelayRise = 100
)

// observeFirstToken adjusts the window after a first token with delay d. full
// means that the window was fully used; otherwise it does not grow.
func (w *window) observeFirstToken(promptBytes int, d, queueDelay time.Duration, full bool, now time.Time) {
	best := &w.minDelay[bits.Len(uint(promptBytes))%promptSizes]
	if *best == 0 || d < *best {
		*best = d
	} else {
		*best += *best / minDelayRise
	}
	switch late := d > *best+queueDelay; {
	case late && now.Sub(w.shrunkAt) > d:
		w.size = max(minWindow, w.size*shrinkFactor)
		w.slowStart = false
		w.shrunkAt = now
	case late || !full:
	case w.slowStart:
		w.size++
	default:
		w.size += 1 / w.size
	}
}

// serviceTimes are the smoothed timings of requests on a replica.
type serviceTimes struct {
	// timePerToken is the time per token and timeToFirst the time to the first token,
	// both in seconds and 0 before the first observation.
	timePerToken, timeToFirst float64
}

// serviceWeight is the weight of a new observation in the smoothed values.
const serviceWeight = 0.1

// smooth updates *old with an observation by exponential smoothing.
func smooth(old *float64, value float64) {
	if *old == 0 {
		*old = value
		return
	}
	*old += serviceWeight * (value - *old)
}

// ObserveFirstToken records the delay d of a request's first token.
func (b *Balancer) ObserveFirstToken(server string, promptBytes int, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(server)
	full := float64(s.inFlight) >= s.window.size-1
	s.window.observeFirstToken(promptBytes, d, b.params.QueueDelay, full, time.Now())
	smooth(&s.serviceTimes.timeToFirst, d.Seconds())
}

// ObserveAnswer records a complete answer of the given number of tokens; d is the
// time from its first token to its last. Answers of one token are ignored.
func (b *Balancer) ObserveAnswer(server string, tokens int, d time.Duration) {
	if tokens < 2 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	smooth(&b.server(server).serviceTimes.timePerToken, d.Seconds()/float64(tokens-1))
}

// ServiceTime returns the expected duration of a request of the given number of
// tokens on the server, 0 if nothing has been observed.
func (b *Balancer) ServiceTime(server string, tokens int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(server).serviceTimes
	return time.Duration((s.timeToFirst + s.timePerToken*float64(tokens)) * float64(time.Second))
}
