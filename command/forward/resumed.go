package forward

import (
	"sync"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// A client that resumes a stream already has a part of the answer: most of the work is done, and is lost if the client
// gives up. Under overload such a request is therefore not only drawn at random like a new one. Only engines of the
// version that began the stream can continue it, so their queues decide, not the share of its class over all engines.

const (
	// resumedQueue is how many requests may wait for each slot of an engine that a stream is resumed at.
	resumedQueue = 1.0
	// resumedBurst is how many resumed streams are admitted in preference before any new request of the service is.
	resumedBurst = 32
)

// resumedCredits bound the resumed streams that are admitted in preference: beyond resumedBurst there is one for each new
// request that is admitted. So clients that resume streams again and again do not crowd out the others.
// They are safe for concurrent use.
type resumedCredits struct {
	mu sync.Mutex
	// spent is the number of credits that are spent, by service; guarded by mu.
	spent map[string]int
}

func newResumedCredits() *resumedCredits { return &resumedCredits{spent: map[string]int{}} }

// earn adds a credit for a new request that was admitted.
func (c *resumedCredits) earn(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent[service] = max(0, c.spent[service]-1)
}

// spend takes a credit for a resumed stream, and reports whether there was one.
func (c *resumedCredits) spend(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spent[service] >= resumedBurst {
		return false
	}
	c.spent[service]++
	return true
}

// resumes reports whether the request continues a stream that began in an earlier request of its client.
func (t *transaction) resumes() bool { return t.request.LastEventID != "" && t.version != "" }

// admitResumed reports whether the request resumes a stream and is admitted in preference to new requests.
func (t *transaction) admitResumed(server serving.Server) bool {
	if !t.resumes() || server.Slots <= 0 {
		return false
	}
	most := int((1 + resumedQueue) * float64(server.Slots))
	switch {
	case t.f.balancer.RunsAtLeast(server.ID, t.othersOn(server.ID, clock.Now()), most):
		t.f.counts.resumedUnderOverload("no_room")
		return false
	case !t.f.resumed.spend(t.service.Name):
		t.f.counts.resumedUnderOverload("no_credit")
		return false
	}
	t.f.counts.resumedUnderOverload("admitted")
	return true
}

// maxUrgency is the lowest priority that engines support.
const maxUrgency = 9

// urgency returns the priority of the request at an engine. It is that of its route, and the next higher one for a stream
// that has begun, so that it does not queue behind new requests of its own class until its client leaves.
func (t *transaction) urgency() int {
	priority := t.route.Priority
	if t.bound() {
		priority--
	}
	return min(maxUrgency, max(0, priority))
}
