package forward

import (
	"sync"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// A client whose request was refused sends it again, under a new ID but with the same fingerprint. For the demand it
// is one request, however often it comes back.

const (
	// refusedLifetime is how long a refused request is remembered at least, and a third of how long at most: clients
	// that come back do so within the time they have for an answer.
	refusedLifetime = 15 * time.Second
	// maxRefused bounds the requests that are remembered, to about 1 MB.
	maxRefused = 8192
)

// refusedRequests remembers the requests that were refused for lack of room.
type refusedRequests struct {
	mu sync.Mutex
	// recent and older have the fingerprints; recent becomes older at the end of refusedLifetime, or when it is full;
	// guarded by mu.
	recent, older map[serving.Fingerprint]struct{}
	since         time.Time // when recent began; guarded by mu
}

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{recent: map[serving.Fingerprint]struct{}{}}
}

// has reports whether the request was refused shortly before.
func (r *refusedRequests) has(id serving.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	return r.find(id)
}

// add records the refusal of a request, and reports whether it is the first one.
func (r *refusedRequests) add(id serving.Fingerprint, now time.Time) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	first = !r.find(id)
	r.recent[id] = struct{}{}
	return first
}

// forget drops a request that was answered: the next one with its content is another request.
func (r *refusedRequests) forget(id serving.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.recent, id)
	delete(r.older, id)
}

// find reports whether the request is remembered. r.mu must be held.
func (r *refusedRequests) find(id serving.Fingerprint) bool {
	_, recent := r.recent[id]
	_, older := r.older[id]
	return recent || older
}

// rotate drops the requests that were refused too long ago, and the older half if there are too many. r.mu must be
// held.
func (r *refusedRequests) rotate(now time.Time) {
	age := now.Sub(r.since)
	if age < refusedLifetime && len(r.recent) < maxRefused/2 {
		return
	}
	r.older = r.recent
	if age >= 2*refusedLifetime {
		r.older = nil
	}
	r.recent, r.since = map[serving.Fingerprint]struct{}{}, now
}

// roomClass returns the class whose room the request takes, nil if its service is not contended.
func (t *transaction) roomClass() *RoomClass {
	if t.request.Unit.Model == "" || !t.config.Contended(t.service.Name) {
		return nil
	}
	return &RoomClass{Service: t.service.Name, Class: t.route.Class().Bounded()}
}

// recordArrival records the request for demand forecasts.
func (t *transaction) recordArrival() {
	returned := t.room != nil && t.f.refused.has(t.request.Fingerprint, clock.Now())
	t.f.placer.RecordArrival(t.request.Unit, Demand{
		Priority: t.route.Priority, Deferrable: deferrable(t.route), LateProbability: t.lateProbability(), Returned: returned, Room: t.room,
	})
}

// recordRefusal records the outcome of the request if that says whether there was room for it. failure is nil if it was
// answered.
func (t *transaction) recordRefusal(failure *verdict.Failure) {
	switch {
	case t.room == nil:
	case failure == nil:
		t.f.refused.forget(t.request.Fingerprint)
	case refusedForRoom(failure) && t.f.refused.add(t.request.Fingerprint, clock.Now()) && t.f.recordRefused != nil:
		t.f.recordRefused(t.request.Unit.Model, *t.room)
	}
}

// refusedForRoom reports whether a request was refused because the engines of its model have too little room, or none
// would have the model in time, so that its client will send it again.
func refusedForRoom(failure *verdict.Failure) bool {
	return failure.Verdict == verdict.NotRun && failure.RetryAfter > 0 &&
		(failure.Reason == verdict.ReasonQueueFull || failure.Reason == verdict.ReasonDeadline)
}
