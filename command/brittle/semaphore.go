package brittle

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/clock"
)

const (
	// PermitLifetime is how long a permit lasts unless it is renewed. The requests of an instance that has failed end at
	// their servers within that time, since their connections close.
	PermitLifetime = 1600 * time.Millisecond
	// settleTime is the time after which a request is not about to be rejected any more that is not in doubt. A server
	// rejects at once.
	settleTime = 100 * time.Millisecond
	// recheckInterval is how often waiting requests are considered again while nothing ends.
	recheckInterval = 20 * time.Millisecond
	// maxWaiting bounds the requests that wait at one semaphore.
	maxWaiting = 256
)

// Permit identifies the permission of an instance to have one request in flight at a server.
type Permit struct {
	Instance string
	Number   uint64
}

// Outcome is how a request ended that had a permit.
type Outcome int

// The outcomes.
const (
	// Unknown means that it is not known whether the server had room.
	Unknown Outcome = iota
	// Accepted means that the server had room.
	Accepted
	// Rejected means that the server had no room.
	Rejected
	// Abandoned means that the instance did not wait for the end of the answer, so that the server may still have the request.
	Abandoned
)

// Request is a request for a permit.
type Request struct {
	Permit Permit
	Server Server
	// Priority is that of the request; 0 is the highest.
	Priority int
	// Wait is how long it may wait for the permit.
	Wait time.Duration
	// Moved is set if the instance last got a permit for the server from another semaphore, and Substitute if the instance that
	// is to keep the semaphore does not answer.
	Moved, Substitute bool
}

// Grant is the answer to a Request.
type Grant struct {
	Granted bool
	// Doubtful is set if the server may reject the request; Accept is to be called once it has not.
	Doubtful bool
	// RetryAfter is the time after which there may be room if there is none.
	RetryAfter time.Duration
}

// Renewal is what an instance has in flight at a server.
type Renewal struct {
	Instance string
	Server   Server
	// Permits are the numbers of the permits in use, and Unpermitted is the number of requests without one.
	Permits     []uint64
	Unpermitted int
	// Moved and Substitute are as in Request.
	Moved, Substitute bool
}

// Semaphore bounds the requests that all instances together have in flight at one brittle server. One instance keeps it.
// It is safe for concurrent use.
type Semaphore struct {
	mu      sync.Mutex
	limit   limit                   // guarded by mu
	permits map[Permit]*permitState // guarded by mu
	// released are the permits released lately, in the order of their releases: a renewal may arrive after the release of a
	// permit in it. isReleased has them, too. Both are guarded by mu.
	released   []releasedPermit
	isReleased map[Permit]bool
	// abandoned are the times at which requests were abandoned lately; guarded by mu.
	abandoned []time.Time
	// unpermitted are requests in flight without a permit, by instance; guarded by mu.
	unpermitted map[string]unpermittedRequests
	// waiting are the requests that wait for a permit, in the order in which they get one; guarded by mu.
	waiting []*waiter
	// turnover estimates when there is room; guarded by mu.
	turnover turnover
	// usedAt is when an instance last called; guarded by mu.
	usedAt time.Time
}

// permitState is the state of a permit.
type permitState struct {
	granted, expires time.Time
	// level is the number of requests in flight with this one when it was granted, and highest the same with those that were
	// abandoned.
	level, highest int
	// doubtful is set if the server may reject the request, and settled once it has accepted it or is not about to reject it.
	doubtful, settled bool
}

// releasedPermit is a permit, and when it was released.
type releasedPermit struct {
	permit Permit
	at     time.Time
}

// unpermittedRequests is a number of requests, and until when it holds.
type unpermittedRequests struct {
	n       int
	expires time.Time
}

// waiter is a request that waits for a permit.
type waiter struct {
	permit   Permit
	priority int
	granted  chan struct{} // closed when the permit is granted
}

// NewSemaphore returns a Semaphore without permits. trusted is whether all requests that are in flight at the server will
// have permits of it.
func NewSemaphore(s Server, trusted bool) *Semaphore {
	return &Semaphore{limit: newLimit(s.Slots, s.Tolerated, trusted, clock.Now()), permits: map[Permit]*permitState{}, isReleased: map[Permit]bool{}, unpermitted: map[string]unpermittedRequests{}}
}

// Acquire asks for a permit, and waits for it for as long as the request may.
func (s *Semaphore) Acquire(ctx context.Context, r Request) Grant {
	w := &waiter{permit: r.Permit, priority: r.Priority, granted: make(chan struct{})}
	s.update(func(now time.Time) {
		s.use(r.Server, r.Moved, now)
		s.enqueue(w)
	})
	if r.Wait > 0 {
		s.await(ctx, w, r.Wait)
	}
	return s.result(w)
}

// await waits until a permit is granted, for the given time at most.
func (s *Semaphore) await(ctx context.Context, w *waiter, wait time.Duration) {
	timer, recheck := time.NewTimer(wait), time.NewTicker(recheckInterval)
	defer timer.Stop()
	defer recheck.Stop()
	for {
		select {
		case <-recheck.C:
			s.update(func(time.Time) {})
		case <-w.granted:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Accept records that the server has accepted the request of a permit that is in doubt.
func (s *Semaphore) Accept(p Permit) {
	s.update(func(now time.Time) {
		if state, found := s.permits[p]; found {
			s.settle(state, now)
		}
	})
}

// settle records that a request was accepted. s.mu must be held.
func (s *Semaphore) settle(state *permitState, now time.Time) {
	state.settled = true
	s.limit.accept(state.level, state.granted, now)
}

// Use is what the semaphore knew of a permit when it was released.
type Use struct {
	// Known is set if the permit had not expired. Age is the time since it was granted, or was first renewed here.
	Known bool
	Age   time.Duration
	// Level is the number of requests in flight with this one when it was granted.
	Level int
	// Doubtful is set if the server could have rejected the request.
	Doubtful bool
}

// Release ends the use of a permit. A permit that the semaphore does not know stands for a request without one.
func (s *Semaphore) Release(p Permit, o Outcome) (use Use) {
	s.update(func(now time.Time) {
		state, found := s.permits[p]
		if !found {
			state = s.newPermit(now)
		}
		use = Use{Known: found, Age: now.Sub(state.granted), Level: state.level, Doubtful: state.doubtful}
		delete(s.permits, p)
		s.released, s.isReleased[p] = append(s.released, releasedPermit{p, now}), true
		s.turnover.end(now)
		switch o {
		case Accepted:
			if found {
				s.settle(state, now)
			}
		case Rejected:
			s.limit.reject(state.highest, now)
		case Abandoned:
			s.abandoned = append(s.abandoned, now)
		}
	})
	return use
}

// Renew renews the permits of an instance. Permits that the semaphore does not know were granted by another one.
func (s *Semaphore) Renew(r Renewal) {
	s.update(func(now time.Time) {
		s.use(r.Server, r.Moved, now)
		for _, number := range r.Permits {
			p := Permit{Instance: r.Instance, Number: number}
			if s.isReleased[p] {
				continue
			}
			if s.permits[p] == nil {
				state := s.newPermit(now)
				state.settled = true
				s.permits[p] = state
			}
			s.permits[p].expires = now.Add(PermitLifetime)
		}
		s.unpermitted[r.Instance] = unpermittedRequests{n: r.Unpermitted, expires: now.Add(PermitLifetime)}
	})
}

// State is the state of a semaphore for operators.
type State struct {
	// InFlight is the number of requests in flight at the server, Proven how many are known to have room there, and Waiting
	// how many wait for a permit.
	InFlight, Proven, Waiting int
	// Unpermitted is the number of requests in flight without a permit, as instances have reported it.
	Unpermitted int
	// Abandoned is the number of requests that were abandoned lately, which the server may still have.
	Abandoned int
	// Rejections is the number of recent rejections.
	Rejections int
	UsedAt     time.Time
}

// State returns the semaphore's state.
func (s *Semaphore) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := s.inFlight()
	return State{InFlight: inFlight, Unpermitted: inFlight - len(s.permits), Abandoned: len(s.abandoned), Proven: s.limit.proven, Waiting: len(s.waiting), Rejections: len(s.limit.rejections), UsedAt: s.usedAt}
}

// Distrust makes the semaphore learn anew how many requests the server has room for, since this instance may not have
// received what others sent.
func (s *Semaphore) Distrust() {
	s.update(func(time.Time) { s.limit.distrust(0) })
}

// update changes the state and then grants the permits that can be granted.
func (s *Semaphore) update(change func(now time.Time)) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(now)
	s.expire(now)
	for len(s.waiting) > 0 && s.limit.allows(s.inFlight()+1, len(s.abandoned), s.count(isInDoubt), s.count(isUnsettled), now) {
		s.grant(s.waiting[0].permit, now)
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
	}
}

// use records what an instance that calls knows of the server. s.mu must be held.
func (s *Semaphore) use(server Server, moved bool, now time.Time) {
	s.usedAt, s.limit.slots, s.limit.tolerated = now, server.Slots, server.Tolerated
	if moved {
		s.limit.distrust(s.inFlight())
	}
}

// enqueue adds a waiter behind those that are as urgent. The last one is dropped if there are too many. s.mu must be held.
func (s *Semaphore) enqueue(w *waiter) {
	at := slices.IndexFunc(s.waiting, func(other *waiter) bool { return other.priority > w.priority })
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.waiting = s.waiting[:min(len(s.waiting), maxWaiting)]
}

// newPermit returns the state of a permit that is granted now. s.mu must be held.
func (s *Semaphore) newPermit(now time.Time) *permitState {
	level := s.inFlight() + 1
	return &permitState{granted: now, expires: now.Add(PermitLifetime), level: level, highest: level + len(s.abandoned)}
}

// grant grants a permit. s.mu must be held.
func (s *Semaphore) grant(p Permit, now time.Time) {
	state := s.newPermit(now)
	state.doubtful = s.limit.isDoubtful(state.highest)
	s.permits[p] = state
}

// result returns whether a permit was granted, and ends the wait for it if it was not.
func (s *Semaphore) result(w *waiter) Grant {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, found := s.permits[w.permit]; found {
		return Grant{Granted: true, Doubtful: state.doubtful}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
	retryAfter := s.turnover.refuse(now)
	if s.inFlight() == 0 {
		retryAfter = max(retryAfter, s.limit.probeFrom.Sub(now))
	}
	return Grant{RetryAfter: retryAfter}
}

// expire drops what has expired, and settles what is not in doubt and was not rejected. s.mu must be held.
func (s *Semaphore) expire(now time.Time) {
	for p, state := range s.permits {
		if !now.Before(state.expires) {
			delete(s.permits, p)
			continue
		}
		if !state.doubtful && now.Sub(state.granted) >= settleTime {
			state.settled = true
		}
	}
	for len(s.released) > 0 && now.Sub(s.released[0].at) >= PermitLifetime {
		delete(s.isReleased, s.released[0].permit)
		s.released = s.released[1:]
	}
	for len(s.abandoned) > 0 && now.Sub(s.abandoned[0]) >= PermitLifetime {
		s.abandoned = s.abandoned[1:]
	}
	for instance, u := range s.unpermitted {
		if !now.Before(u.expires) {
			delete(s.unpermitted, instance)
		}
	}
}

// inFlight returns the number of requests in flight. s.mu must be held.
func (s *Semaphore) inFlight() int {
	n := len(s.permits)
	for _, u := range s.unpermitted {
		n += u.n
	}
	return n
}

// count counts permits. s.mu must be held.
func (s *Semaphore) count(counts func(*permitState) bool) (n int) {
	for _, state := range s.permits {
		if counts(state) {
			n++
		}
	}
	return n
}

func isUnsettled(p *permitState) bool { return !p.settled }

func isInDoubt(p *permitState) bool { return p.doubtful && !p.settled }
