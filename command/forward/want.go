package forward

import (
	"context"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// want asks for the unit to be loaded. An empty server means: ask again then. expected is
// a server on which it should have been loaded by now, if there is one: while nobody can
// be asked it is taken at that.
func (t *trip) want(ctx context.Context, expected serving.Server) (serving.Server, time.Time, *verdict.Failure) {
	place, err := t.f.placer.Want(ctx, Wanted{
		Service: t.service.Name, Unit: t.request.Unit, Missing: t.missing, Unreachable: t.unreachable,
	})
	t.missing, t.unreachable = "", ""
	t.waits.next(place.For)
	switch {
	case ctx.Err() != nil:
		return serving.Server{}, time.Time{}, verdict.Refuse(verdict.ReasonDeadline, "the time was over before a place for %s was known", t.request.Unit)
	case err != nil && expected.ID != "":
		return expected, clock.Now(), nil
	case err != nil:
		return serving.Server{}, time.Time{}, t.wantFailed(ctx, err, clock.Until(place.Ready))
	}
	if place.Engine == "" {
		return serving.Server{}, place.Ready, nil
	}
	server, live := t.f.dir.Server(place.Engine)
	if !live || server.Draining {
		return serving.Server{}, time.Time{}, t.pauseFor(ctx, t.f.params.RetryPause)
	}
	if at := t.notBefore(server); at.After(place.Ready) && at.After(clock.Now()) {
		t.unavailableUntil(server, at)
		return serving.Server{}, at, nil
	}
	if t.excluded[server.ID] { // it has just refused: a load may take a little longer
		delete(t.excluded, server.ID)
		t.pauses = min(t.pauses+1, maxPauses)
		return server, place.Ready, t.pauseFor(ctx, time.Duration(t.pauses)*t.f.params.RetryPause)
	}
	return server, place.Ready, nil
}

// longestAskPause bounds the pause before a holder is asked again: it may be back
// sooner than expected.
const longestAskPause = 250 * time.Millisecond

// wantFailed waits before the next question for a place, or refuses. back is when
// there is hope again.
func (t *trip) wantFailed(ctx context.Context, err error, back time.Duration) *verdict.Failure {
	if !t.intake.closed.IsZero() {
		t.waits.next(serving.WaitTurn)
		return t.awaitTurn(ctx)
	}
	back = max(back, t.f.params.RetryPause)
	if failure := t.refuseWait(back); failure != nil {
		failure.Detail += ": " + err.Error()
		return failure
	}
	started := clock.Now()
	defer func() { t.waits.add(clock.Since(started)) }()
	return t.pauseFor(ctx, min(back, longestAskPause))
}

// refuseWait refuses a request that cannot be served before its client leaves, at
// once and with the time at which its model will be ready. Any other one is worth
// waiting for: what its client gains by an answer counts from its first try.
func (t *trip) refuseWait(wait time.Duration) *verdict.Failure {
	left := clock.Until(t.due())
	if wait+t.f.params.FirstEvent < left {
		return nil
	}
	if !t.intake.closed.IsZero() {
		return t.heldBack(wait)
	}
	return verdict.Refuse(verdict.ReasonDeadline, "%s takes %s to load, longer than the %s left", t.request.Unit, round(wait), round(left)).After(wait)
}

// Further pauses before a server that has just refused is asked again.
const maxPauses = 4

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// leftMeanwhile reports whether a server that was chosen is known to leave, or to be gone, since: the
// questions before a send may take hundreds of milliseconds.
func (t *trip) leftMeanwhile(server serving.Server) bool {
	known, live := t.f.dir.Server(server.ID)
	return !live || known.Draining
}
