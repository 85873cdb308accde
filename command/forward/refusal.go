package forward

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

const (
	// returnFraction is the part of their remaining time for which clients honour Retry-After. A place in a
	// queue that comes later would be asked for too early.
	returnFraction = 1.0 / 3
	// queuedFraction is the part of a request's objective that it may spend waiting for its place. The rest
	// is for the connections and the run.
	queuedFraction = 0.5
)

// drawFor returns the draw of a request that costs the given part of its workspace's limit.
func drawFor(route *serving.Route, r *serving.Request, cost float64) quota.Draw {
	left := time.Duration(returnFraction * float64(clock.Until(r.Arrived.Add(allowedTime(route, r)))))
	within := left
	if route.Objective > 0 {
		within = time.Duration(queuedFraction * float64(route.Objective))
	}
	return quota.Draw{Cost: cost, Request: shortFingerprint(r.ClientFingerprint()), Class: route.Class(), Within: within, Left: left}
}

// Waitlist lets requests that were refused for lack of room return in order; see waitlist.Desk.
type Waitlist interface {
	Begin(request uint64, now time.Time) bool
	Refuse(r waitlist.Refused, within time.Duration, random float64, now time.Time) (wait time.Duration, known bool)
}

// refuseInOrder returns the refusal of a request for which there is no room, or nil if it was refused before and its
// turn has come. If its turn comes in time for the client, the refusal says when. It changes nothing for services
// whose callers are equally patient.
func (t *transaction) refuseInOrder(failure *verdict.Failure) *verdict.Failure {
	if t.f.waitlist == nil || !t.config.Contended(t.service.Name) {
		return failure
	}
	now, request := clock.Now(), shortFingerprint(t.request.ClientFingerprint())
	if t.f.waitlist.Begin(request, now) {
		t.f.counts.turn("begun")
		return nil
	}
	refused := waitlist.Refused{Request: request, Model: t.request.Unit.Model, Class: t.route.Class()}
	within := time.Duration(returnFraction * float64(clock.Until(t.deadline)))
	if t.route.Objective > 0 {
		within = min(within, time.Duration(queuedFraction*float64(t.route.Objective)))
	}
	wait, known := t.f.waitlist.Refuse(refused, within, rand.Float64(), now)
	switch {
	case !known:
		t.f.counts.turn("unknown")
		return failure
	case wait > within:
		t.f.counts.turn("too_late")
		failure.Detail += fmt.Sprintf("; those refused before have their turns for %s", round(wait))
		return failure
	}
	t.f.counts.turn("listed")
	failure.Detail += fmt.Sprintf("; its turn is expected in %s", round(wait))
	return failure.WithRetryAfter(wait)
}

// shortFingerprint returns the first bytes of a fingerprint: enough to tell the requests apart that are
// refused within seconds. It is 0 if the request has no fingerprint.
func shortFingerprint(f serving.Fingerprint) uint64 {
	var short [8]byte
	if len(f) < hex.EncodedLen(len(short)) {
		return 0
	}
	if _, err := hex.Decode(short[:], []byte(f[:hex.EncodedLen(len(short))])); err != nil {
		return 0
	}
	return binary.BigEndian.Uint64(short[:])
}

// allowedTime returns the time from a request's arrival in which it has to be answered.
func allowedTime(route *serving.Route, r *serving.Request) time.Duration {
	allowed := route.Timeout
	if r.Timeout > 0 && (allowed == 0 || r.Timeout < allowed) {
		allowed = r.Timeout
	}
	if allowed == 0 {
		return defaultTimeout
	}
	return allowed
}

// returnAfterDeadline returns when the client of a request whose time is over before it was sent may try again.
func (t *transaction) returnAfterDeadline() time.Duration {
	at := t.serverLimits.nextAvailable
	switch {
	case at.IsZero():
		return t.f.params.RetryPause
	case len(t.search.full) > 0:
		return max(t.search.returnAfter(), clock.Until(at))
	default:
		return max(heldBackRetryAfter, clock.Until(at))
	}
}

// heldBackRetryAfter is the shortest Retry-After of a request that servers with a limit or a Retry-After held back until its
// time was over. It is longer than maxTurnWait.
const heldBackRetryAfter = 1200 * time.Millisecond
