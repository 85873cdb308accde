package replicas

import (
	"slices"
	"time"
)

// ceiling keeps the loads from the weight store within its rate, over all engines and
// all holders of the lease.
//
// A holder counts the loads that it planned, and has no more of them in a window than
// the rate gives. It knows nothing of those of the holder before, which may have ended
// a moment ago. So each load also takes one from a credit that grows by the rate, up to
// what the weight store bears beyond it, and that an account begins without: however
// often holders follow each other, all together have the rate and one full credit.
// Counting alone let 9 loads begin within 5 s, where 5.75 were promised (0.5 a second,
// the holder killed each 2.5 s).
type ceiling struct {
	// planned are when the loads of the newest window were planned.
	planned []time.Time
	// credit is how many more may be planned, as of credited; that is zero in an
	// account that has not planned yet.
	credit   float64
	credited time.Time
}

// begin has the credit grow from now on, if it does not yet.
func (c *ceiling) begin(now time.Time) {
	if c.credited.IsZero() {
		c.credited = now
	}
}

// plan books a load.
func (c *ceiling) plan(now time.Time) {
	c.planned = append(c.planned, now)
	c.credit--
}

// forget drops what was planned before a time.
func (c *ceiling) forget(from time.Time) {
	c.planned = slices.DeleteFunc(c.planned, func(t time.Time) bool { return t.Before(from) })
}

// grow adds the credit of the time since it last grew, up to most.
func (c *ceiling) grow(rate, most float64, now time.Time) {
	c.begin(now)
	c.credit = min(c.credit+rate*now.Sub(c.credited).Seconds(), most)
	c.credited = now
}

// remoteNow returns whether one more load from the weight store may begin. It passes over
// all engines, so a decision asks for it once.
func (f *Fleet) remoteNow(now time.Time) remoteState {
	use := f.remoteUse()
	f.growCredit(use, now)
	running := use.running + f.foreignLoads(now)
	f.remote.forget(now.Add(-f.params.RemoteWindow))
	inWindow := float64(len(f.remote.planned))
	allowed := running < f.store.limit() && f.remote.credit >= 1 && inWindow < use.rate*f.params.RemoteWindow.Seconds()
	return remoteState{allowed: allowed, together: running + 1}
}

// growCredit brings the credit up to now. A load that is planned and has not begun may
// begin at any time, so it keeps its part of the credit until then.
func (f *Fleet) growCredit(use remoteUse, now time.Time) {
	beyond := f.params.RemoteExtra + (f.params.RemoteOverage-1)*use.rate*f.params.RemoteWindow.Seconds()
	f.remote.grow(use.rate, beyond-float64(use.pending), now)
}

// remoteUse is what engines do with the weight store.
type remoteUse struct {
	// rate is how many loads a second it allows: the least of what the services of the
	// engines say, without those that load nothing from it.
	rate float64
	// running are the loads that have not ended, pending those of them that no engine
	// has accepted yet.
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
		if e.began.IsZero() {
			use.pending++
		}
	}
	return use
}

// remoteBegan notes that an engine has accepted an operation's load.
func (f *Fleet) remoteBegan(op Operation, now time.Time) {
	e := f.engines[op.Engine]
	if !op.Remote || e == nil || e.generation != op.generation {
		return
	}
	f.growCredit(f.remoteUse(), now)
	e.began = now
}
