package entry

import (
	"context"
	"time"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// The holder tells all instances at once of a request that is held since a moment. They hear of it
// with the answers to their reports anyway, up to a second later in a large fleet, and by then
// clients have come again with it to instances that have not.

// minUrgentInterval is the least pause between two rounds of calls to all instances.
const minUrgentInterval = 100 * time.Millisecond

// scheduleUrgent has all other instances be told of requests at once.
func (q *quarantineManager) scheduleUrgent(raised []quarantine.Raise) {
	q.mu.Lock()
	for _, r := range raised {
		q.urgent[r.Fingerprint] = true
	}
	q.mu.Unlock()
	pause.Wake(q.urgentRequested)
}

// runUrgent tells all other instances of requests that are held since a moment, until ctx ends.
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

// sendUrgent tells all other instances once. Who is not reached hears of it with its next report.
func (q *quarantineManager) sendUrgent(ctx context.Context) {
	q.mu.Lock()
	urgent := q.urgent
	q.urgent = map[serving.Fingerprint]bool{}
	q.mu.Unlock()
	var records []quarantine.Record
	for fp := range urgent {
		records = append(records, q.ledger.Known(fp, clock.Now())...)
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

// othersOrCached returns the addresses of all other instances, as they were last read where the store
// does not answer soon.
func (q *quarantineManager) othersOrCached(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, minUrgentInterval)
	defer cancel()
	return q.members.others(ctx)
}
