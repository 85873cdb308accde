package replicas

import (
	"slices"
	"time"
)

// remoteLimiter keeps loads from the weight store within its rate, over all engines and across successive lease
// holders.
//
// A holder counts the loads that it planned within a window and keeps them below what the rate allows. It does not
// know the loads of the previous holder, which may have lost the lease a moment ago. Therefore each load also takes a
// token from a bucket that refills at the rate, up to what the weight store tolerates beyond it, and that starts empty
// with each holder: however often the holder changes, all holders together get the rate plus one full bucket. With the
// window alone, 9 loads started within 5 s where 5.75 were allowed (0.5 per second, the holder killed every 2.5 s).
type remoteLimiter struct {
	// planTimes are the times at which the loads of the current window were planned.
	planTimes []time.Time
	// tokens is how many more loads may be planned, as of refilledAt, which is zero until the limiter starts.
	tokens     float64
	refilledAt time.Time
}

// start starts refilling tokens at now, if it has not started yet.
func (l *remoteLimiter) start(now time.Time) {
	if l.refilledAt.IsZero() {
		l.refilledAt = now
	}
}

// recordPlanned records a planned load.
func (l *remoteLimiter) recordPlanned(now time.Time) {
	l.planTimes = append(l.planTimes, now)
	l.tokens--
}

// dropBefore drops the loads that were planned before a time.
func (l *remoteLimiter) dropBefore(from time.Time) {
	l.planTimes = slices.DeleteFunc(l.planTimes, func(t time.Time) bool { return t.Before(from) })
}

// refill adds the tokens for the time since the last refill, up to maxTokens. rate is in tokens per second.
func (l *remoteLimiter) refill(rate, maxTokens float64, now time.Time) {
	l.start(now)
	l.tokens = min(l.tokens+rate*now.Sub(l.refilledAt).Seconds(), maxTokens)
	l.refilledAt = now
}

// remoteStateAt returns whether one more load from the weight store may start. It iterates over all engines, so callers
// call it once per decision.
func (f *Fleet) remoteStateAt(now time.Time) remoteState {
	use := f.remoteUse()
	f.refillRemoteTokens(use, now)
	running := use.running + f.inheritedLoads(now)
	f.remoteLimiter.dropBefore(now.Add(-f.params.RemoteWindow))
	inWindow := float64(len(f.remoteLimiter.planTimes))
	allowed := running < f.store.limit() && f.remoteLimiter.tokens >= 1 && inWindow < use.rate*f.params.RemoteWindow.Seconds()
	return remoteState{allowed: allowed, concurrency: running + 1}
}

// refillRemoteTokens refills the tokens up to now. A planned load that has not started yet may start at any time, so
// its token stays reserved until then.
func (f *Fleet) refillRemoteTokens(use remoteUse, now time.Time) {
	maxTokens := f.params.RemoteExtra + (f.params.RemoteOverage-1)*use.rate*f.params.RemoteWindow.Seconds()
	f.remoteLimiter.refill(use.rate, maxTokens-float64(use.pending), now)
}

// remoteUse summarizes how engines use the weight store.
type remoteUse struct {
	// rate is the allowed rate in loads per second: the lowest one set for the services of the engines, ignoring
	// services that load nothing from the weight store.
	rate float64
	// running is the number of loads that have not ended, pending the number of those that no engine has accepted yet.
	running, pending int
}

func (f *Fleet) remoteUse() (use remoteUse) {
	for _, e := range f.engines {
		if allowed := e.Spec.RemoteLoadsPerSecond; allowed > 0 && (use.rate == 0 || allowed < use.rate) {
			use.rate = allowed
		}
		if !e.Busy || !e.remote {
			continue
		}
		use.running++
		if e.remoteStarted.IsZero() {
			use.pending++
		}
	}
	return use
}

// remoteLoadStarted records that an engine has accepted an operation's load.
func (f *Fleet) remoteLoadStarted(op Operation, now time.Time) {
	e := f.engines[op.Engine]
	if !op.Remote || e == nil || e.generation != op.generation {
		return
	}
	f.refillRemoteTokens(f.remoteUse(), now)
	e.remoteStarted = now
}
