package forward

import (
	"context"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// requestPlace requests that the unit be loaded. If the returned server is empty, requestPlace has to
// be called again at the returned time. expected is the server on which the unit should be loaded by
// now, if there is one; it is used if the holder cannot be asked.
func (t *transaction) requestPlace(ctx context.Context, expected serving.Server) (serving.Server, time.Time, *verdict.Failure) {
	place, err := t.f.placer.RequestPlace(ctx, PlaceRequest{
		Service: t.service.Name, Unit: t.request.Unit, Version: t.version, Missing: t.missing, Unreachable: t.unreachable,
	})
	t.missing, t.unreachable = "", ""
	t.waits.setCause(place.Cause)
	switch {
	case ctx.Err() != nil:
		return serving.Server{}, time.Time{}, verdict.Refuse(verdict.ReasonDeadline, "the time was over before a place for %s was known", t.request.Unit)
	case err != nil && expected.ID != "":
		return expected, clock.Now(), nil
	case err != nil:
		return serving.Server{}, time.Time{}, t.handlePlaceFailure(ctx, err, clock.Until(place.Ready))
	}
	if place.Engine == "" {
		return serving.Server{}, place.Ready, nil
	}
	server, live := t.f.dir.Server(place.Engine)
	if !live || server.Draining {
		return serving.Server{}, time.Time{}, t.pauseFor(ctx, t.f.params.RetryPause)
	}
	if !t.fitsVersion(server) {
		return serving.Server{}, time.Time{}, t.noReplicaOfVersion()
	}
	if at := t.notBefore(server); at.After(place.Ready) && at.After(clock.Now()) {
		t.addUnavailable(server, at)
		return serving.Server{}, at, nil
	}
	if t.excluded[server.ID] { // it has just refused the request: the load may take slightly longer than estimated
		delete(t.excluded, server.ID)
		t.retryPauses = min(t.retryPauses+1, maxRetryPauses)
		return server, place.Ready, t.pauseFor(ctx, time.Duration(t.retryPauses)*t.f.params.RetryPause)
	}
	return server, place.Ready, nil
}

// maxHolderRetryPause bounds the pause before a holder is asked again: it may become reachable
// earlier than estimated.
const maxHolderRetryPause = 250 * time.Millisecond

// handlePlaceFailure waits before the place is requested again, or refuses the request. wait is the
// estimated time until the place can be requested successfully.
func (t *transaction) handlePlaceFailure(ctx context.Context, err error, wait time.Duration) *verdict.Failure {
	if !t.serverLimits.nextAvailable.IsZero() {
		t.waits.setCause(serving.WaitTurn)
		return t.awaitTurn(ctx)
	}
	wait = max(wait, t.f.params.RetryPause)
	if failure := t.lateLoadFailure(wait); failure != nil {
		failure.Detail += ": " + err.Error()
		return failure
	}
	started := clock.Now()
	defer func() { t.waits.add(clock.Since(started)) }()
	return t.pauseFor(ctx, min(wait, maxHolderRetryPause))
}

// lateLoadFailure returns a refusal if the request cannot be served before its client gives up,
// with the time until its model is ready as the Retry-After. Otherwise it returns nil, since
// waiting is better than refusing: the value of an answer to the client is measured from its first
// attempt.
func (t *transaction) lateLoadFailure(wait time.Duration) *verdict.Failure {
	remaining := clock.Until(t.nextOutputDeadline())
	if wait+t.f.params.FirstEvent < remaining {
		return nil
	}
	if !t.serverLimits.nextAvailable.IsZero() {
		return t.heldBackFailure(wait)
	}
	return verdict.Refuse(verdict.ReasonDeadline, "%s takes %s to load, longer than the %s left", t.request.Unit, round(wait), round(remaining)).WithRetryAfter(wait)
}

// maxRetryPauses bounds the growth of the pause before a server that has just refused the request
// is asked again.
const maxRetryPauses = 4

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// isLeaving reports whether a chosen server has left or started to drain since it was chosen: the
// checks before a send may take hundreds of milliseconds.
func (t *transaction) isLeaving(server serving.Server) bool {
	known, live := t.f.dir.Server(server.ID)
	return !live || known.Draining
}
