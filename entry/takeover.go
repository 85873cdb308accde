package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/store"
)

// Time limits for taking over from a holder.
const (
	// maxFindInterval is the maximum pause between reads of the lease's record while the holder does
	// not answer.
	maxFindInterval = 800 * time.Millisecond
	// An instance may take over if the holder has not answered for suspectAfter, and at least
	// suspectReports reports in a row.
	suspectAfter   = 1500 * time.Millisecond
	suspectReports = 3
	// isolatedAfter is the time without an answer after which an instance takes over even if half or
	// more of the other instances do not answer it either. It is longer than most network partitions,
	// since replacing a healthy holder costs the instances that reach it a takeover.
	isolatedAfter = 10 * time.Second
	// registrationWait lets instances that start together register before the first of them takes the
	// lease.
	registrationWait = 500 * time.Millisecond
	// takeoverSpread is how much later than the strongest instance one without any processor time
	// would take over. It is longer than the interval between two reports, so that the strong
	// instances have noticed the loss by then.
	takeoverSpread = 1500 * time.Millisecond
	// isolatedTakeoverDelay is how much later an instance takes over that reaches no engine, so that one that does goes
	// first. If there is none, somebody still has to lend limits and relay the store.
	isolatedTakeoverDelay = time.Second
	// takeoverJitter spreads the attempts of instances that suspect the holder at the same time.
	takeoverJitter = 200 * time.Millisecond
	// votersPerDomain is the number of instances of each failure domain that are asked before a
	// takeover.
	votersPerDomain = 2
)

// retryFind reads who the holder is, less frequently while nothing changes, and not at all while the
// store is down, since the watch detects its return.
func (f *follower) retryFind(ctx context.Context) {
	now := clock.Now()
	f.mu.Lock()
	allowed := now.Sub(f.lastLookup) >= min(maxFindInterval, time.Duration(f.unansweredReports)*exchangeRetry)
	if allowed {
		f.lastLookup = now
	}
	f.mu.Unlock()
	if allowed && !f.watcher.storeLost() {
		f.findStale(ctx)
	}
}

// findStale reads who the holder is from an answer that may be seconds old, which is enough because a
// new holder also announces itself. Before it acts on the lease, the instance reads the record again
// with a fresh answer.
func (f *follower) findStale(ctx context.Context) {
	record, revision, ok := f.readRecord(store.WithStaleReads(ctx))
	if !ok {
		return
	}
	own := record.Holder == f.name && !f.holder.Holds()
	if record.Vacant(revision.Era()) || own {
		f.find(ctx)
	}
}

// find reads who the holder is, and takes over a lease that is vacant or this instance's own.
func (f *follower) find(ctx context.Context) {
	record, revision, ok := f.readRecord(ctx)
	if !ok {
		return
	}
	if record.Vacant(revision.Era()) {
		f.takeVacant(ctx, record, revision.Era())
	} else if record.Holder == f.name && !f.holder.Holds() {
		f.takeOver(ctx, record, revision, "own")
	}
}

// readRecord reads and applies the lease's record. ok is false if the store does not answer, which its
// client logs.
func (f *follower) readRecord(ctx context.Context) (record lease.Record, revision store.Revision, ok bool) {
	record, revision, err := f.holder.Current(ctx)
	if err != nil {
		return record, revision, false
	}
	record = f.withRelease(record)
	f.applyRecord(record, "store")
	return record, revision, true
}

// applyRecord updates the known holder, unless a newer one is known.
func (f *follower) applyRecord(record lease.Record, source string) {
	f.mu.Lock()
	released := record.Fence == f.record.Fence && record.Released && !f.record.Released
	changed := record.Fence > f.record.Fence || released
	if changed {
		f.record = record
		f.lastAnswer, f.unansweredReports = clock.Now(), 0 // a new holder gets the full time to answer
	}
	f.mu.Unlock()
	if changed {
		f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": record.Fence, "released": record.Released, "source": source}).Info("holder found")
	}
	f.holder.ObserveFence(record.Fence)
}

// takeVacant takes over a vacant lease, whose record was read in an era of the store, unless an
// instance with more processor time does so first.
func (f *follower) takeVacant(ctx context.Context, vacant lease.Record, era int64) {
	if vacant.Fence == 0 && !pause.For(ctx, registrationWait) {
		return
	}
	if !f.yieldToBetter(ctx) || f.knownFence() > max(vacant.Fence, lease.FenceBase(era)) {
		return // ctx has ended, or another holder has announced itself
	}
	record, revision, err := f.holder.Current(ctx)
	if err != nil || record.Fence != vacant.Fence {
		return // the store is unavailable, or another instance has taken the lease
	}
	cause := "free"
	if record.RestoredFromBackup(revision.Era()) {
		cause = "came back from a copy"
	}
	f.takeOver(ctx, record, revision, cause)
}

// knownFence returns the fencing token of the newest known holder.
func (f *follower) knownFence() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Fence
}

// suspectsHolder reports whether the holder has not answered for too long.
func (f *follower) suspectsHolder() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.Since(f.lastAnswer) > suspectAfter && f.unansweredReports >= suspectReports
}

// reachesHolder reports whether the named holder has answered recently, and returns the record of a
// holder that has released the lease, if one is known.
func (f *follower) reachesHolder(name string, now time.Time) (bool, lease.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Holder == name && now.Sub(f.lastAnswer) < holderTimeout, f.releasedRecord
}

// recordReleased records the released record of a holder that could not write it to the store.
func (f *follower) recordReleased(record lease.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.Fence > f.releasedRecord.Fence {
		f.releasedRecord = record
	}
}

// withRelease returns record, or the released version of it that its holder has reported.
func (f *follower) withRelease(record lease.Record) lease.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.Fence != 0 && record.Fence == f.releasedRecord.Fence {
		return f.releasedRecord
	}
	return record
}

// considerTakeover takes over from a holder that does not answer, unless another instance still
// reaches it or this instance is cut off from most others.
func (f *follower) considerTakeover(ctx context.Context) {
	f.mu.Lock()
	suspect, unanswered := f.record.Holder, clock.Since(f.lastAnswer)
	f.mu.Unlock()
	if !f.yieldToBetter(ctx) {
		return
	}
	asked, answered, reached := f.pollReachability(ctx, suspect)
	cutOff := 2*answered <= asked // then the holder may be healthy and reach most other instances
	if reached || cutOff && unanswered < isolatedAfter {
		return
	}
	record, revision, err := f.holder.Current(ctx)
	if err != nil || record.Holder != suspect && !record.RestoredFromBackup(revision.Era()) {
		return // the store is unavailable, or another instance has taken the lease
	}
	f.takeOver(ctx, record, revision, "silent")
}

// yieldToBetter waits to let instances that reach engines, and those with more processor time, go first. The holder's load
// grows with the fleet, and a holder without enough processor time would soon be suspected itself. It returns false if
// another holder is known before the time is over.
func (f *follower) yieldToBetter(ctx context.Context) bool {
	known := f.knownFence()
	wait := f.members.takeoverDelay(ctx, takeoverSpread) + rand.N(takeoverJitter)
	if !f.reachesEngine(ctx) {
		wait += isolatedTakeoverDelay
	}
	for until := clock.Now().Add(wait); clock.Now().Before(until); {
		if !pause.For(ctx, min(takeoverPoll, clock.Until(until))) || f.knownFence() > known {
			return false
		}
	}
	return true
}

// takeoverPoll is how often an instance that is about to take over checks whether another one has.
const takeoverPoll = 100 * time.Millisecond

// pollReachability asks a few instances of each failure domain concurrently whether the holder answers
// them. asked is the number of those asked, and answered the number of those that answered.
func (f *follower) pollReachability(ctx context.Context, suspect string) (asked, answered int, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addresses := f.members.sample(ctx, votersPerDomain, f.name, suspect)
	type vote struct{ answered, reaches bool }
	votes := make(chan vote, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply ReachesReply
			err := f.pool.Call(ctx, address, methodReaches, &ReachesArgs{Holder: suspect}, &reply)
			if err != nil {
				f.pool.Disconnect(address)
				votes <- vote{}
				return
			}
			f.recordReleased(reply.GaveUp)
			f.holder.ObserveRemote(reply.Lease)
			votes <- vote{answered: true, reaches: reply.Reaches}
		}()
	}
	for range addresses {
		v := <-votes
		if v.answered {
			answered++
			reached = reached || v.reaches
		}
	}
	return len(addresses), answered, reached
}

// stopTakeovers makes the instance never take over the lease again.
func (f *follower) stopTakeovers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// isLeaving reports whether the instance is about to end.
func (f *follower) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

func (f *follower) takeOver(ctx context.Context, record lease.Record, revision store.Revision, cause string) {
	if f.isLeaving() {
		return
	}
	err := f.holder.TakeOver(ctx, f.withRelease(record), revision, cause)
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			f.log.WithFields(logrus.Fields{"fence": record.Fence, "cause": cause, "error": err}).Info("lease not taken")
		}
		return
	}
	if names, ok := f.members.refreshNames(ctx); ok {
		f.holder.ExpectInstances(names)
	}
	f.find(ctx)
	go f.announce(ctx) // in the background, since calls to unreachable instances take time
}
