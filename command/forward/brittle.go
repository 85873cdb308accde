package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

const (
	// maxRoomWaitShare is the part of a request's objective, and maxBrittleWait the time, that it waits at most for room
	// at brittle servers; then it is refused, so that its client can return later.
	maxRoomWaitShare = 0.25
	maxBrittleWait   = 250 * time.Millisecond
	// minRoomRetryAfter is the shortest Retry-After of a request that found no room at brittle servers.
	minRoomRetryAfter = 200 * time.Millisecond
)

// roomSearch is the state of one request with regard to the room at brittle servers.
type roomSearch struct {
	// full are the servers that had no room, by ID, and until when they are not asked again.
	full map[string]time.Time
	// waitUntil is until when the request waits for room; zero before it found a server without.
	waitUntil time.Time
	// retryAfter is the shortest time after which a server said that it may have room; 0 if none did.
	retryAfter time.Duration
	// available is the number of servers to which the request could be sent, as of the last choice.
	available int
}

// brittleNotBefore returns the earliest time at which the request may be sent to a server if that is brittle, else the zero
// time.
func (t *transaction) brittleNotBefore(s serving.Server, now time.Time) time.Time {
	if len(t.search.full) == 0 {
		return time.Time{}
	}
	if _, isBrittle := t.f.limiter.Brittle(s); !isBrittle {
		return time.Time{}
	}
	until, asked := t.search.full[s.ID]
	if !asked && len(t.search.full) >= maxLimitedServers {
		until = t.search.firstRoom()
	}
	if t.roomWaitOver(now) {
		until = latest(until, now.Add(t.search.returnAfter()))
	}
	return until
}

// firstRoom returns the time from which the first of the full servers is asked again.
func (r *roomSearch) firstRoom() (first time.Time) {
	for _, at := range r.full {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// returnAfter returns the time after which a refused request is to return.
func (r *roomSearch) returnAfter() time.Duration { return max(minRoomRetryAfter, r.retryAfter) }

// roomWaitOver reports whether the request has waited long enough for room at brittle servers. One whose client could not
// send it again waits on.
func (t *transaction) roomWaitOver(now time.Time) bool {
	return !t.search.waitUntil.IsZero() && !now.Before(t.search.waitUntil) && t.clientCanReturn()
}

// clientCanReturn reports whether the client could send the request again if it is refused now.
func (t *transaction) clientCanReturn() bool { return !t.mayHaveRun && !t.out.started }

// beginSend admits a send to a server until endSend. It returns false if the server is brittle and has no room for it.
func (t *transaction) beginSend(ctx context.Context, s serving.Server) bool {
	b, isBrittle := t.f.limiter.Brittle(s)
	t.sentAsBrittle = isBrittle
	if !isBrittle {
		t.sendAdmission = t.f.gate.Begin(s.ID)
		return true
	}
	begun := clock.Now()
	admission, retryAfter, ok := t.f.gate.BeginBrittle(ctx, b, t.route.Priority, t.roomWait(begun), begun)
	if !ok {
		t.recordFull(s.ID, retryAfter, begun)
		t.waits.setCause(serving.WaitTurn)
		t.waits.add(clock.Since(begun))
		return false
	}
	t.sendAdmission = admission
	return true
}

// roomWait returns how long the request waits for room at a brittle server: not at all while it can ask others.
func (t *transaction) roomWait(now time.Time) time.Duration {
	switch {
	case t.search.available > 1 && len(t.search.full)+1 < maxLimitedServers:
		return 0
	case t.search.waitUntil.IsZero():
		return t.longestRoomWait()
	case !t.clientCanReturn():
		return maxBrittleWait
	}
	return max(0, t.search.waitUntil.Sub(now))
}

// longestRoomWait returns how long the request waits for room in all.
func (t *transaction) longestRoomWait() time.Duration {
	return min(maxBrittleWait, time.Duration(maxRoomWaitShare*float64(t.route.Objective)))
}

// recordFull records that a server had no room for the request, which began to ask at the given time.
func (t *transaction) recordFull(id string, retryAfter time.Duration, begun time.Time) {
	r := &t.search
	if r.full == nil {
		r.full, r.waitUntil = map[string]time.Time{}, begun.Add(t.longestRoomWait())
	}
	r.full[id] = clock.Now().Add(max(time.Millisecond, retryAfter))
	if r.retryAfter == 0 || retryAfter < r.retryAfter {
		r.retryAfter = retryAfter
	}
}

// endSend ends a send. resp is nil if there was no response, and failure nil if the answer was complete.
func (t *transaction) endSend(s serving.Server, resp *serving.Response, failure *verdict.Failure) {
	now, outcome := clock.Now(), brittle.Unknown
	switch {
	case resp != nil && rejectedForRoom(resp):
		outcome = brittle.Rejected
	case failure != nil && failure.Verdict == verdict.MayHaveRun:
		outcome = brittle.Abandoned
	case resp != nil && !resp.NotExecuted:
		outcome = brittle.Accepted
	}
	inFlight := t.sendAdmission.End(outcome, now)
	b, isBrittle := t.f.limiter.Brittle(s)
	if outcome != brittle.Rejected || !isBrittle {
		return
	}
	if !t.sendAdmission.HasPermit() {
		t.f.gate.RejectedWithoutPermit(b)
	}
	t.f.counts.brittleRejection(t.service.Name)
	t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{
		"server": s.ID, "tolerated": b.Tolerated, "in_flight": inFlight, "known": t.sentAsBrittle, "permit": t.sendAdmission.HasPermit(),
	}).Info("brittle server rejected a request")
}

// rejectedForRoom reports whether a server rejected a request because it had no room for it.
func rejectedForRoom(resp *serving.Response) bool {
	return resp.NotExecuted && !resp.Misdirected && (resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests)
}
