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

// urgentSpacing is the least pause between two rounds of calls to all instances.
const urgentSpacing = 100 * time.Millisecond

// tellUrgently has all other instances be told of requests at once.
func (q *quarantineKeeper) tellUrgently(raised []quarantine.Raise) {
	q.mu.Lock()
	for _, r := range raised {
		q.urgent[r.Fingerprint] = true
	}
	q.mu.Unlock()
	pause.Wake(q.urgentWoken)
}

// runUrgent tells all other instances of requests that are held since a moment, until ctx ends.
func (q *quarantineKeeper) runUrgent(ctx context.Context) {
	for {
		select {
		case <-q.urgentWoken:
			q.tellUrgent(ctx)
		case <-ctx.Done():
			return
		}
		pause.For(ctx, urgentSpacing)
	}
}

// tellUrgent tells all other instances once. Who is not reached hears of it with its next report.
func (q *quarantineKeeper) tellUrgent(ctx context.Context) {
	q.mu.Lock()
	due := q.urgent
	q.urgent = map[serving.Fingerprint]bool{}
	q.mu.Unlock()
	var records []quarantine.Record
	for fp := range due {
		records = append(records, q.ledger.Known(fp, clock.Now())...)
	}
	if len(records) == 0 {
		return
	}
	args := &CrashesArgs{Records: records}
	callAll(q.othersSoon(ctx), func(address string) {
		ctx, cancel := context.WithTimeout(ctx, tellTimeout)
		defer cancel()
		_ = q.pool.Call(ctx, address, methodCrashes, args, &CrashesReply{})
	})
}

// othersSoon returns the addresses of all other instances, as they were last read where the store
// does not answer soon.
func (q *quarantineKeeper) othersSoon(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, urgentSpacing)
	defer cancel()
	return q.members.others(ctx)
}
