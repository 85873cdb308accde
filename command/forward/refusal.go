package forward

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
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
	return quota.Draw{Cost: cost, Request: shortFingerprint(r.Fingerprint), Class: route.Class(), Within: within, Left: left}
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
