package forward

import (
	"sync"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// A client whose request was refused sends it again, under a new ID but with the same client fingerprint. It is one request
// that still wants to be served, however often it comes back, and counts once in each countedInterval.

const (
	// countedInterval is about the time constant of the demand for models, over which a request is to count once.
	countedInterval = 4 * time.Second
	// maxRefused bounds the requests that are remembered, to about 1 MB.
	maxRefused = 8192
)

// refusedRequests remembers the requests that were refused for lack of room.
type refusedRequests struct {
	mu sync.Mutex
	// recent and older state when requests were last counted; recent becomes older after countedInterval, or when it is
	// full; guarded by mu.
	recent, older map[serving.Fingerprint]time.Time
	since         time.Time // when recent began; guarded by mu
}

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{recent: map[serving.Fingerprint]time.Time{}}
}

// counted reports whether the request was refused, and counted less than countedInterval ago.
func (r *refusedRequests) counted(id serving.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(id, now)
}

// count records the refusal of a request, and reports whether it counts.
func (r *refusedRequests) count(id serving.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.find(id, now) {
		return false
	}
	if now.Sub(r.since) >= countedInterval || len(r.recent) >= maxRefused/2 {
		r.recent, r.older, r.since = map[serving.Fingerprint]time.Time{}, r.recent, now
	}
	r.recent[id] = now
	return true
}

// forget drops a request that was answered: the next one with its content is another request.
func (r *refusedRequests) forget(id serving.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.recent, id)
	delete(r.older, id)
}

// find reports whether the request was counted less than countedInterval ago. r.mu must be held.
func (r *refusedRequests) find(id serving.Fingerprint, now time.Time) bool {
	at, found := r.recent[id]
	if !found {
		at, found = r.older[id]
	}
	return found && now.Sub(at) < countedInterval
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
	returned := t.room != nil && t.f.refused.counted(t.request.ClientFingerprint(), clock.Now())
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
		t.f.refused.forget(t.request.ClientFingerprint())
	case refusedForRoom(failure) && t.f.refused.count(t.request.ClientFingerprint(), clock.Now()) && t.f.recordRefused != nil:
		t.f.recordRefused(t.request.Unit.Model, *t.room)
	}
}

// refusedForRoom reports whether a request was refused because the engines of its model have too little room, or none
// would have the model in time, so that its client will send it again.
func refusedForRoom(failure *verdict.Failure) bool {
	return failure.Verdict == verdict.NotRun && failure.RetryAfter > 0 &&
		(failure.Reason == verdict.ReasonQueueFull || failure.Reason == verdict.ReasonDeadline)
}
