package forward

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

const (
	// maxRoomWaitShare is the part of a request's objective, and maxBrittleWait the time, that it waits at most for room
	// at brittle servers; then it is refused, so that its client can return later.
	maxRoomWaitShare = 0.25
	maxBrittleWait   = 250 * time.Millisecond
	// brittleRetryAfter is the Retry-After of a request that found no room at brittle servers. It is longer than
	// maxTurnWait.
	brittleRetryAfter = 1200 * time.Millisecond
)

// brittleServer returns what is known of a server if it is brittle.
func (t *transaction) brittleServer(s serving.Server, now time.Time) (b brittle.Server, isBrittle bool) {
	tolerated, isBrittle := t.f.limiter.Brittle(s)
	if !isBrittle {
		return b, false
	}
	b = brittle.Server{ID: s.ID, Slots: s.Slots, Others: -1, Tolerated: tolerated}
	if others, known := t.f.dir.OthersOn(s.ID, now); known {
		b.Others = others
	}
	return b, true
}

// brittleNotBefore returns the earliest time at which the request may be sent to a server if that is brittle, else the zero
// time.
func (t *transaction) brittleNotBefore(s serving.Server, now time.Time) time.Time {
	b, isBrittle := t.brittleServer(s, now)
	if !isBrittle {
		return time.Time{}
	}
	at := t.f.gate.NextSend(b, now)
	if at.IsZero() {
		return at
	}
	if t.roomWaitUntil.IsZero() {
		t.roomWaitUntil = now.Add(min(maxBrittleWait, time.Duration(maxRoomWaitShare*float64(t.route.Objective))))
	}
	if t.roomWaitOver(now) {
		at = latest(at, now.Add(brittleRetryAfter))
	}
	return at
}

// roomWaitOver reports whether the request has waited long enough for room at brittle servers. One whose client could not
// send it again waits on.
func (t *transaction) roomWaitOver(now time.Time) bool {
	return !t.roomWaitUntil.IsZero() && now.After(t.roomWaitUntil) && !t.mayHaveRun && !t.out.started
}

// beginSend counts a send to a server until endSend. It returns false if the server is brittle and has no room for it.
func (t *transaction) beginSend(s serving.Server) bool {
	now := clock.Now()
	b, isBrittle := t.brittleServer(s, now)
	t.sentAsBrittle = isBrittle
	if isBrittle {
		return t.f.gate.BeginBrittle(b, now)
	}
	t.f.gate.Begin(s.ID)
	return true
}

// endSend ends a send. resp is nil if there was no response.
func (t *transaction) endSend(s serving.Server, resp *serving.Response) {
	inFlight := t.f.gate.End(s.ID)
	if resp == nil {
		return
	}
	now := clock.Now()
	b, isBrittle := t.brittleServer(s, now)
	switch {
	case !isBrittle:
		t.f.gate.Forget(s.ID)
	case rejectedForRoom(resp):
		t.f.gate.Rejected(b, now)
		t.f.counts.brittleRejection(t.service.Name)
		t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{"server": s.ID, "tolerated": b.Tolerated, "others": b.Others, "in_flight": inFlight, "known": t.sentAsBrittle}).Info("brittle server rejected a request")
	case !resp.NotExecuted:
		t.f.gate.Answered(s.ID)
	}
}

// rejectedForRoom reports whether a server rejected a request because it had no room for it.
func rejectedForRoom(resp *serving.Response) bool {
	return resp.NotExecuted && !resp.Misdirected && (resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests)
}
