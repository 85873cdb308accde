package entry

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
)

// While no holder answers, an instance tells all others itself what it has seen. What came
// from another that does so is not told on: that one tells all. With reports a second apart a
// holder is silent for as long between any two of them, so that it is reports without an answer
// that count: by silence alone all instances of a large fleet would tell each other everything all
// the time.

// markDelivered notes that the holder has been told through a change, and tells the others.
func (q *quarantineManager) markDelivered(delivered uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.delivered = max(q.delivered, delivered)
	clear(q.undelivered)
}

// receiveDirect takes over what another instance tells all.
func (q *quarantineManager) receiveDirect(records []quarantine.Record, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	upToDate := q.delivered == q.ledger.Change()
	q.merge(records, now)
	if upToDate {
		q.delivered = q.ledger.Change()
	}
}

// broadcast tells all other instances what they may lack. delivered is through which change the
// holder was told while there was one.
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
	_ = calls.Wait() // who is not reached is told again with the next look
	q.mu.Lock()
	defer q.mu.Unlock()
	q.delivered = max(q.delivered, through)
}

// sendTo tells one instance what has changed since a change, and notes if it was not reached.
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
