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

// Times of taking over from a holder.
const (
	// maxFindInterval is the longest pause between readings of the lease's record
	// while the holder does not answer.
	maxFindInterval = 800 * time.Millisecond
	// suspectAfter without an answer, and suspectMisses reports in a row, an
	// instance may want to take over.
	suspectAfter   = 1500 * time.Millisecond
	suspectReports = 3
	// isolatedAfter it takes over though half of the others do not answer it either:
	// longer than most cuts last, since taking over from a holder that is well
	// costs those that reach it a take-over.
	isolatedAfter = 10 * time.Second
	// registrationWait lets instances that start together register, before the first
	// of them takes the lease.
	registrationWait = 500 * time.Millisecond
	// takeoverSpread is how much later than the strongest instance one without
	// any processor time would take over: longer than two reports are apart, so
	// that the strong have noticed by then.
	takeoverSpread = 1500 * time.Millisecond
	// takeoverJitter spreads instances that suspect at the same time.
	takeoverJitter = 200 * time.Millisecond
	// votersPerDomain is how many instances of each failure domain are asked
	// before a take-over.
	votersPerDomain = 2
)

// retryFind reads who the holder is, less and less often while nothing changes,
// and not at all while the store does not answer: its watch notices its return.
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

// findStale reads who the holder is, by an answer that may be seconds old: a new holder also
// announces itself. Whatever this instance then does about the lease rests on a fresh one.
func (f *follower) findStale(ctx context.Context) {
	record, revision, ok := f.readRecord(store.AllowStale(ctx))
	if !ok {
		return
	}
	own := record.Holder == f.name && !f.holder.Holds()
	if record.Vacant(revision.Era()) || own {
		f.find(ctx)
	}
}

// find reads who the holder is.
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

// readRecord reads and takes over the lease's record. ok is false if the store does not
// answer, which its client logs.
func (f *follower) readRecord(ctx context.Context) (record lease.Record, revision store.Revision, ok bool) {
	record, revision, err := f.holder.Current(ctx)
	if err != nil {
		return record, revision, false
	}
	record = f.withRelease(record)
	f.applyRecord(record, "store")
	return record, revision, true
}

// applyRecord takes over who the holder is, unless a newer one is known.
func (f *follower) applyRecord(record lease.Record, source string) {
	f.mu.Lock()
	released := record.Fence == f.record.Fence && record.Released && !f.record.Released
	changed := record.Fence > f.record.Fence || released
	if changed {
		f.record = record
		f.lastAnswer, f.unansweredReports = clock.Now(), 0 // a new holder gets its time to answer
	}
	f.mu.Unlock()
	if changed {
		f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": record.Fence, "released": record.Released, "source": source}).Info("holder found")
	}
	f.holder.Deposed(record.Fence)
}

// takeVacant takes over a lease that nobody holds by the record, read in an era of the store, if no
// stronger instance does first.
func (f *follower) takeVacant(ctx context.Context, seen lease.Record, era int64) {
	if seen.Fence == 0 && !pause.For(ctx, registrationWait) {
		return
	}
	if !f.yieldToStronger(ctx) || f.knownFence() > max(seen.Fence, lease.FirstFence(era)) {
		return // ended, or another has announced itself
	}
	record, revision, err := f.holder.Current(ctx)
	if err != nil || record.Fence != seen.Fence {
		return // the store is away, or another was faster
	}
	cause := "free"
	if record.CameBack(revision.Era()) {
		cause = "came back from a copy"
	}
	f.takeOver(ctx, record, revision, cause)
}

// knownFence is the fencing token of the newest holder that is known.
func (f *follower) knownFence() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Fence
}

// suspectsHolder reports whether the holder has been silent for too long.
func (f *follower) suspectsHolder() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.Since(f.lastAnswer) > suspectAfter && f.unansweredReports >= suspectReports
}

// reachesHolder reports whether the named holder has answered of late, and the record
// that a holder has given up, if one is known.
func (f *follower) reachesHolder(name string, now time.Time) (bool, lease.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Holder == name && now.Sub(f.lastAnswer) < holderTimeout, f.releasedRecord
}

// recordReleased notes the released record of a holder that could not write it.
func (f *follower) recordReleased(gaveUp lease.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gaveUp.Fence > f.releasedRecord.Fence {
		f.releasedRecord = gaveUp
	}
}

// withRelease returns record, or what its holder has said of giving it up.
func (f *follower) withRelease(record lease.Record) lease.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.Fence != 0 && record.Fence == f.releasedRecord.Fence {
		return f.releasedRecord
	}
	return record
}

// considerTakeover takes over from a silent holder, unless another instance still
// reaches it or this one is cut off from most others.
func (f *follower) considerTakeover(ctx context.Context) {
	f.mu.Lock()
	suspect, unanswered := f.record.Holder, clock.Since(f.lastAnswer)
	f.mu.Unlock()
	if !f.yieldToStronger(ctx) {
		return
	}
	asked, answered, reached := f.pollReachability(ctx, suspect)
	cutOff := 2*answered <= asked // then the holder may be well, and reach most others
	if reached || cutOff && unanswered < isolatedAfter {
		return
	}
	record, revision, err := f.holder.Current(ctx)
	if err != nil || record.Holder != suspect && !record.CameBack(revision.Era()) {
		return // the store is away, or another was faster
	}
	f.takeOver(ctx, record, revision, "silent")
}

// yieldToStronger lets stronger instances go first: the holder's work grows with the
// fleet, and one without processor time for it would soon be suspected itself.
func (f *follower) yieldToStronger(ctx context.Context) bool {
	return pause.For(ctx, f.members.takeoverDelay(ctx, takeoverSpread)+rand.N(takeoverJitter))
}

// pollReachability asks a few instances of each failure domain at once whether they reach
// the holder. asked counts them, answered those that answered.
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
			f.holder.Heard(reply.Lease)
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

// stopTakeovers has the instance take nothing over any more.
func (f *follower) stopTakeovers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

func (f *follower) takeOver(ctx context.Context, record lease.Record, revision store.Revision, cause string) {
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	if leaving {
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
	go f.announce(ctx) // some instances may be out of reach, which takes a while
}
