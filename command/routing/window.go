package routing

import (
	"math/bits"
	"time"
)

// window is how many requests an instance may have on a replica at once. It
// grows while first tokens come promptly and shrinks when they come late, as
// TCP does with its segments: reports of load lag by more than a request
// lasts, first tokens do not. All instances that use a replica so share it
// without talking.
type window struct {
	size      float64
	slowStart bool
	shrunkAt  time.Time
	// best is the earliest first token seen, by the size of the prompt: long
	// prompts take longer without any wait.
	best [promptSizes]time.Duration
}

// The steps of the window.
const (
	shrinkTo    = 0.8 // times
	minWindow   = 1.0
	promptSizes = 32
	// bestRise makes the earliest first token forget by a hundredth with each
	// observation, since engines become slower too.
	bestRise = 100
)

// firstToken takes in that a first token came after d. full says that the
// window was in use to the last place.
func (w *window) firstToken(promptBytes int, d, queueDelay time.Duration, full bool, now time.Time) {
	best := &w.best[bits.Len(uint(promptBytes))%promptSizes]
	if *best == 0 || d < *best {
		*best = d
	} else {
		*best += *best / bestRise
	}
	switch late := d > *best+queueDelay; {
	case late && now.Sub(w.shrunkAt) > d:
		w.size = max(minWindow, w.size*shrinkTo)
		w.slowStart = false
		w.shrunkAt = now
	case late || !full:
	case w.slowStart:
		w.size++
	default:
		w.size += 1 / w.size
	}
}

// service is the observed time of requests on a replica.
type service struct {
	// pace is the smoothed time of a token, first the smoothed time to the
	// first one; both 0 before the first answer.
	pace, first float64
}

// serviceWeight is the part of a new observation in the smoothed figures.
const serviceWeight = 0.1

func smooth(old *float64, seen float64) {
	if *old == 0 {
		*old = seen
		return
	}
	*old += serviceWeight * (seen - *old)
}

// FirstToken notes that a request's first token came after d.
func (b *Balancer) FirstToken(server string, promptBytes int, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(server)
	full := float64(s.inFlight) >= s.window.size-1
	s.window.firstToken(promptBytes, d, b.params.QueueDelay, full, time.Now())
	smooth(&s.service.first, d.Seconds())
}

// Finished notes that a request's tokens after the first took d together.
func (b *Balancer) Finished(server string, tokens int, d time.Duration) {
	if tokens < 2 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	smooth(&b.server(server).service.pace, d.Seconds()/float64(tokens-1))
}

// Service returns the observed time of a request of so many tokens on the
// server, 0 when there is no observation.
func (b *Balancer) Service(server string, tokens int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(server).service
	return time.Duration((s.first + s.pace*float64(tokens)) * float64(time.Second))
}
