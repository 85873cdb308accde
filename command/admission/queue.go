package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/verdict"
)

// Waiter describes a request that waits for capacity on a replica of its model.
type Waiter struct {
	Model, Caller string
	// Priority is from 0 to 9; within a model, higher priorities are served first.
	Priority int
	Deadline time.Time
	// ServiceTime is the expected duration of the request on a replica, from
	// recent observations; 0 if unknown.
	ServiceTime time.Duration
}

// feasible reports whether the request can still meet its deadline if it gets
// capacity after wait.
func (w Waiter) feasible(wait time.Duration) bool {
	return !time.Now().Add(wait + w.ServiceTime).After(w.Deadline)
}

// entry is a queued request.
type entry struct {
	Waiter
	tryReserve func() bool
	granted    chan struct{}
	late       bool // set before granted is closed if the entry was dropped, not granted
}

// modelQueue holds the queued requests of one model.
type modelQueue struct {
	name    string
	waiting []*entry
	// lastGrant is the queue's grant count at each caller's last grant. Callers with
	// the oldest grant go first, so that one caller's many requests do not delay
	// those of others.
	lastGrant map[string]uint64
	// grantInterval is the smoothed time between two grants, 0 before the second grant.
	grantInterval time.Duration
	lastGrantAt   time.Time // time of the last grant
	// busySince is when the queue last became non-empty.
	busySince time.Time
}

// Queue holds requests until a replica of their model has capacity. Models are
// served round-robin; within a model the highest priority goes first, then the
// caller served least recently, then the earliest deadline. Requests are queued
// here and not in the engines because engines do not know deadlines: under
// overload they would spend their capacity on requests that can no longer be
// answered in time, and goodput would fall.
type Queue struct {
	params QueueParams

	mu     sync.Mutex
	models []*modelQueue // guarded by mu; in round-robin order, next first
	grants uint64        // guarded by mu; number of grants so far
}

// QueueParams configures a Queue.
type QueueParams struct {
	// MaxWaiting is the maximum number of queued requests of one model.
	MaxWaiting int
	// RetryAfter is the minimum retry delay returned with a refusal.
	RetryAfter time.Duration
	// Refuse enables refusals based on the estimated wait. Without it requests
	// are refused only above MaxWaiting or after their deadline.
	Refuse bool
}

// NewQueue returns an empty Queue.
func NewQueue(p QueueParams) *Queue { return &Queue{params: p} }

// Wait blocks until tryReserve has returned true. tryReserve attempts to reserve
// capacity; it is called with the queue's lock held, whenever it is the request's
// turn and capacity may be available. The error is a *verdict.Failure. With
// QueueParams.Refuse, a request whose deadline is earlier than the estimated end
// of its wait and service is refused immediately, with the estimated wait as the
// retry delay.
func (q *Queue) Wait(ctx context.Context, w Waiter, tryReserve func() bool) error {
	e, err := q.enqueue(w, tryReserve)
	if e == nil {
		return err
	}
	select {
	case <-e.granted:
	case <-ctx.Done():
		if !q.remove(e) {
			e.late = true
		}
	}
	if !e.late {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDeadline, "no room on a replica of %s in time", w.Model).WithRetryAfter(q.params.RetryAfter)
}

// enqueue grants the request immediately (nil entry and nil error), refuses it,
// or adds it to the queue.
func (q *Queue) enqueue(w Waiter, tryReserve func() bool) (*entry, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.find(w.Model)
	if (m == nil || len(m.waiting) == 0) && tryReserve() {
		return nil, nil
	}
	if m == nil {
		m = &modelQueue{name: w.Model, lastGrant: map[string]uint64{}}
		q.models = append(q.models, m)
	}
	if len(m.waiting) >= q.params.MaxWaiting {
		return nil, verdict.Refuse(verdict.ReasonQueueFull, "%d requests wait for %s here", len(m.waiting), w.Model).WithRetryAfter(q.retryAfter(m))
	}
	if wait := m.estimate(w); q.params.Refuse && !w.feasible(wait) {
		return nil, verdict.Refuse(verdict.ReasonDeadline, "the line for %s takes %v", w.Model, wait.Round(time.Millisecond)).WithRetryAfter(max(wait, q.params.RetryAfter))
	}
	e := &entry{Waiter: w, tryReserve: tryReserve, granted: make(chan struct{})}
	if len(m.waiting) == 0 {
		m.busySince = time.Now()
	}
	m.waiting = append(m.waiting, e)
	return e, nil
}

// find returns the queue of a model, or nil. q.mu must be held.
func (q *Queue) find(model string) *modelQueue {
	i := slices.IndexFunc(q.models, func(m *modelQueue) bool { return m.name == model })
	if i < 0 {
		return nil
	}
	return q.models[i]
}

// estimate returns the expected wait of a new request behind those of at least
// its priority, at the recent rate of grants. It extrapolates an observed rate and
// does not model the engine's speed (empirical admission, as in the DIO paper).
func (m *modelQueue) estimate(w Waiter) time.Duration {
	ahead := 0
	for _, e := range m.waiting {
		if e.Priority >= w.Priority {
			ahead++
		}
	}
	return time.Duration(ahead) * m.grantInterval
}

// retryAfter returns the retry delay for a request refused because m is full: the
// expected time to serve the whole queue. q.mu must be held.
func (q *Queue) retryAfter(m *modelQueue) time.Duration {
	return max(q.params.RetryAfter, time.Duration(len(m.waiting))*m.grantInterval)
}

// remove removes an entry from the queue. It returns true if the entry had
// already been granted or dropped.
func (q *Queue) remove(e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.find(e.Model)
	if m == nil {
		return true
	}
	i := slices.Index(m.waiting, e)
	if i < 0 {
		return true
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	return false
}

// GrantWaiting grants queued requests as far as capacity permits. It must be
// called whenever a request has ended or a replica's capacity may have grown.
func (q *Queue) GrantWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for misses := 0; misses < len(q.models); {
		m := q.models[0]
		q.models = append(q.models[1:], m)
		if q.grantNext(m) {
			misses = 0
		} else {
			misses++
		}
	}
	q.models = slices.DeleteFunc(q.models, func(m *modelQueue) bool {
		return len(m.waiting) == 0 && time.Since(m.lastGrantAt) > idleRetention
	})
}

// idleRetention is how long a model's state is kept after its last grant while its
// queue is empty.
const idleRetention = 10 * time.Second

// grantNext grants the model's next request if capacity is available, and reports
// whether it did. q.mu must be held.
func (q *Queue) grantNext(m *modelQueue) bool {
	if q.params.Refuse {
		m.dropLate()
	}
	e := m.next()
	if e == nil || !e.tryReserve() {
		return false
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(o *entry) bool { return o == e })
	q.grants++
	m.lastGrant[e.Caller] = q.grants
	m.recordGrant(time.Now())
	close(e.granted)
	return true
}

// dropLate drops requests that can no longer meet their deadline, so that they do
// not take capacity from requests that can. The lock of the Queue must be held.
func (m *modelQueue) dropLate() {
	m.waiting = slices.DeleteFunc(m.waiting, func(e *entry) bool {
		if e.feasible(0) {
			return false
		}
		e.late = true
		close(e.granted)
		return true
	})
}

// next returns the request to be served next, nil if the queue is empty.
func (m *modelQueue) next() *entry {
	var best *entry
	for _, e := range m.waiting {
		if best == nil || m.before(e, best) {
			best = e
		}
	}
	return best
}

// before reports whether a is served before b.
func (m *modelQueue) before(a, b *entry) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Caller != b.Caller {
		return m.lastGrant[a.Caller] < m.lastGrant[b.Caller]
	}
	return a.Deadline.Before(b.Deadline)
}

// intervalWeight is the weight of a new observation in the smoothed grant interval.
const intervalWeight = 0.1

// recordGrant updates the smoothed grant interval.
func (m *modelQueue) recordGrant(now time.Time) {
	if !m.lastGrantAt.IsZero() {
		gap := now.Sub(m.lastGrantAt)
		if m.grantInterval == 0 {
			m.grantInterval = gap
		}
		m.grantInterval += time.Duration(intervalWeight * float64(gap-m.grantInterval))
	}
	m.lastGrantAt = now
}

// BusyFor returns, for each model with queued requests, how long its queue has
// been non-empty.
func (q *Queue) BusyFor() map[string]time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]time.Duration{}
	for _, m := range q.models {
		if len(m.waiting) > 0 {
			out[m.name] = time.Since(m.busySince)
		}
	}
	return out
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, m := range q.models {
		n += len(m.waiting)
	}
	return n
}
