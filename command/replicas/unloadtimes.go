package replicas

import "time"

// unloadTimes are estimates of how long unloads take, learned from the times at which engines accepted the next load.
type unloadTimes struct {
	// idle is for copies without requests: the next order is sent this long after the unload.
	idle time.Duration
	// inUse is for copies in use, whose running requests the engine waits for.
	inUse time.Duration
	// afterRuns is for copies in use whose requests are known to have ended: the next order is sent this long after the
	// last one.
	afterRuns time.Duration
}

// How the estimates follow the observed times.
const (
	// inUseGain is the weight of the newest unload of a copy in use.
	inUseGain = 0.2
	// A load that is sent too early is refused and costs the engine an order; one that is sent late costs engine time.
	// With these steps about one load in twenty is refused.
	idleIncrease = 9500 * time.Microsecond
	idleDecrease = 500 * time.Microsecond
	// slowIncrease is the step after an unload that took much longer, which is rarely for the engine's part of it.
	slowIncrease = 2250 * time.Microsecond
	// inUseMargin: an unload that takes longer than that of an idle copy by more than this, two retries of the next
	// order, was of a copy in use.
	inUseMargin = 50 * time.Millisecond
)

// observe updates the estimates after an unload. elapsed is the time until the next order was accepted, refused the
// number of times that it was refused before.
func (t *unloadTimes) observe(elapsed time.Duration, refused int, inUse bool) {
	if inUse || elapsed > t.idle+inUseMargin {
		t.inUse += time.Duration(inUseGain * float64(elapsed-t.inUse))
	}
	if !inUse {
		t.idle = follow(t.idle, elapsed, refused)
	}
}

// observeAfterRuns updates the estimates after an unload whose requests are known to have ended. elapsed is the time from
// the unload, and sinceRuns the time from the end of the last request, until the next order was accepted.
func (t *unloadTimes) observeAfterRuns(elapsed, sinceRuns time.Duration, refused int) {
	t.observe(elapsed, refused, true)
	if refused > 0 && sinceRuns <= t.afterRuns {
		refused = 0 // it was refused while they ran
	}
	t.afterRuns = follow(t.afterRuns, sinceRuns, refused)
}

// follow returns an estimate of the time after which an order is accepted, adapted to an order that was accepted after
// elapsed and was refused the given number of times before.
func follow(estimate, elapsed time.Duration, refused int) time.Duration {
	switch {
	case elapsed > estimate+inUseMargin:
		return estimate + slowIncrease // frequent slow unloads mean that idle copies take longer as well
	case refused > 0:
		return estimate + idleIncrease
	default:
		return max(idleDecrease, estimate-idleDecrease)
	}
}

// UnloadTime returns how long an engine is expected to take to unload a copy without requests.
func (f *Fleet) UnloadTime() time.Duration { return f.unloadTimes.idle }

// UnloadTimeAfterRuns returns how long an engine is expected to take to unload a copy after the last request on it has
// ended.
func (f *Fleet) UnloadTimeAfterRuns() time.Duration { return f.unloadTimes.afterRuns }

// LoadAcceptedAfterRuns is LoadAccepted for an unload of which the instances have told that its last request ended at
// the given time.
func (f *Fleet) LoadAcceptedAfterRuns(op Operation, began, ended time.Time, refused int, now time.Time) {
	f.unloadTimes.observeAfterRuns(now.Sub(began), now.Sub(ended), refused)
	f.remoteLoadStarted(op, now)
	f.Expect(op, now.Add(op.Duration))
}

// LoadAccepted records that an engine has accepted an operation's load, after it was refused the given number of times.
// began is when the last unload of the operation was accepted, zero if there was none.
func (f *Fleet) LoadAccepted(op Operation, began time.Time, refused int, now time.Time) {
	if !began.IsZero() {
		f.unloadTimes.observe(now.Sub(began), refused, op.InUse)
	}
	f.remoteLoadStarted(op, now)
	f.Expect(op, now.Add(op.Duration))
}
