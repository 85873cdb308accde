package entry

import (
	"context"
	"time"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// The holder notifies all instances at once of a request that has just become held. They also learn of
// it from the answers to their reports, but in a large fleet that takes up to a second, and by then
// clients have repeated the request at instances that do not know of it yet.

// minUrgentInterval is the minimum pause between two rounds of calls to all instances.
const minUrgentInterval = 100 * time.Millisecond

// scheduleUrgent schedules notifying all other instances of requests.
func (q *quarantineManager) scheduleUrgent(escalations []quarantine.Escalation) {
	q.mu.Lock()
	for _, r := range escalations {
		q.urgent[r.Fingerprint] = true
	}
	q.mu.Unlock()
	pause.Wake(q.urgentRequested)
}

// runUrgent notifies all other instances of requests that have just become held, until ctx ends.
func (q *quarantineManager) runUrgent(ctx context.Context) {
	for {
		select {
		case <-q.urgentRequested:
			q.sendUrgent(ctx)
		case <-ctx.Done():
			return
		}
		pause.For(ctx, minUrgentInterval)
	}
}

// sendUrgent notifies all other instances once. An instance that is not reached learns of the requests
// with its next report.
func (q *quarantineManager) sendUrgent(ctx context.Context) {
	q.mu.Lock()
	urgent := q.urgent
	q.urgent = map[serving.Fingerprint]bool{}
	q.mu.Unlock()
	var records []quarantine.Record
	for fp := range urgent {
		records = append(records, q.ledger.RecordsOf(clock.Now(), fp)...)
	}
	if len(records) == 0 {
		return
	}
	args := &CrashesArgs{Records: records}
	callAll(q.othersOrCached(ctx), func(address string) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		_ = q.pool.Call(ctx, address, methodCrashes, args, &CrashesReply{})
	})
}

// othersOrCached returns the addresses of all other instances, as last read if the store does not
// answer within minUrgentInterval.
func (q *quarantineManager) othersOrCached(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, minUrgentInterval)
	defer cancel()
	return q.members.others(ctx)
}
