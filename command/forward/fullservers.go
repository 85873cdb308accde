package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// fullRetrySpread is the part of the wait for room over which the Retry-After of refused requests is spread, so that
// they do not all return when the first of them has room.
const fullRetrySpread = 1.0

// recordIfFull records that an engine is full if its response means that. An engine that is changing its models also
// refuses requests: it is full only if its slots are known to be taken.
func (t *transaction) recordIfFull(server serving.Server, resp *serving.Response, outcome *balance.Outcome) {
	if resp.Status != http.StatusServiceUnavailable || resp.Misdirected || resp.HasRetryAfter || t.request.Unit.Model == "" || server.Slots <= 0 {
		return
	}
	now := clock.Now()
	if !t.f.balancer.RunsAtLeast(server.ID, t.othersOn(server.ID, now), server.Slots) {
		return
	}
	*outcome = balance.Neutral // a full engine does not fail
	until, began := t.f.balancer.RecordFull(server.ID, server.Slots, now)
	t.f.counts.serverFull(t.service.Name)
	if began {
		t.f.log.WithFields(logrus.Fields{"server": server.ID, "service": t.service.Name, "room_ms": until.Sub(now).Milliseconds()}).Info("engine is full")
	}
}

// othersOn returns the number of requests of other instances on an engine, as last reported.
func (t *transaction) othersOn(id string, now time.Time) int {
	for _, r := range t.f.dir.Replicas(t.service.Name, t.request.Unit, now) {
		if r.Server.ID == id {
			return r.Others
		}
	}
	return 0
}

// withoutFull removes the replicas on engines that are known to be full, and records when the first of them may have
// room.
func (t *transaction) withoutFull(replicas []directory.Replica, now time.Time) []directory.Replica {
	t.roomAt = time.Time{}
	return slices.DeleteFunc(replicas, func(r directory.Replica) bool {
		until := t.f.balancer.FullUntil(r.Server.ID, now)
		if until.IsZero() {
			return false
		}
		if t.roomAt.IsZero() || until.Before(t.roomAt) {
			t.roomAt = until
		}
		return true
	})
}

// awaitRoom is called if all engines with the unit are full. It refuses the request at once, with a Retry-After of when
// the first engine may have room. A request that may have run, or whose stream is to be resumed, waits for room
// instead, since its client could not send it again.
func (t *transaction) awaitRoom(ctx context.Context) *verdict.Failure {
	wait := max(0, clock.Until(t.roomAt))
	if !t.mayHaveRun && !t.out.started {
		after := wait + time.Duration(rand.Float64()*fullRetrySpread*float64(wait))
		return verdict.Refuse(verdict.ReasonQueueFull, "all engines with %s are full for %s", t.request.Unit, round(wait)).WithRetryAfter(after)
	}
	started := clock.Now()
	t.waits.setCause(serving.WaitTurn)
	defer func() { t.waits.add(clock.Since(started)) }()
	return t.pauseFor(ctx, max(wait, time.Millisecond))
}
