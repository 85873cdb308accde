package entry

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
)

// While no holder answers, each instance sends what it has observed to all others. What it has
// received from another instance's broadcast is not forwarded, since that instance sends it to all.
// The condition is the number of unanswered reports. With reports one second apart a holder is silent
// for that long between any two of them, so that by the length of the silence all instances of a large
// fleet would broadcast all the time.

// markDelivered records that the holder has received the ledger's changes through delivered. The holder
// forwards them to the other instances.
func (q *quarantineManager) markDelivered(delivered uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.delivered = max(q.delivered, delivered)
	clear(q.undelivered)
}

// receiveDirect merges the records from another instance's broadcast.
func (q *quarantineManager) receiveDirect(records []quarantine.Record, now time.Time) {
	q.recordReceived(q.mergeDirect(records, now))
}

// mergeDirect merges the records from another instance's broadcast, and returns which requests became held.
func (q *quarantineManager) mergeDirect(records []quarantine.Record, now time.Time) []quarantine.Escalation {
	q.mu.Lock()
	defer q.mu.Unlock()
	upToDate := q.delivered == q.ledger.Revision()
	escalations := q.ledger.Merge(records, now)
	if upToDate {
		q.delivered = q.ledger.Revision()
	}
	return escalations
}

// broadcast sends all other instances the records that they may lack. delivered is the last change
// that a holder has received.
func (q *quarantineManager) broadcast(ctx context.Context, delivered uint64) {
	q.mu.Lock()
	q.delivered = max(q.delivered, delivered)
	from, undelivered := q.delivered, maps.Clone(q.undelivered)
	q.mu.Unlock()
	records, through := q.ledger.Since(from, clock.Now())
	if len(records) == 0 && len(undelivered) == 0 {
		return
	}
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for _, address := range q.members.lastKnown(ctx) {
		since, failed := undelivered[address]
		if !failed && len(records) == 0 {
			continue
		}
		if !failed {
			since = from
		}
		calls.Go(func() error {
			q.sendTo(ctx, address, since)
			return nil
		})
	}
	_ = calls.Wait() // instances that were not reached are retried with the next broadcast
	q.mu.Lock()
	defer q.mu.Unlock()
	q.delivered = max(q.delivered, through)
}

// sendTo sends one instance the changes after since, and records whether it was not reached.
func (q *quarantineManager) sendTo(ctx context.Context, address string, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	records, _ := q.ledger.Since(since, clock.Now())
	err := q.pool.Call(ctx, address, methodCrashes, &CrashesArgs{Records: records}, &CrashesReply{})
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil {
		delete(q.undelivered, address)
		return
	}
	q.pool.Disconnect(address)
	q.undelivered[address] = since
}
