package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// weightStore estimates the speed of the weight store. Up to some number of concurrent loads, each takes its configured
// time, and beyond that proportionally longer. That number is not configured. It is learned from how long loads took,
// given the number of concurrent loads when they started: a load that shares the bandwidth keeps the speed that it
// started with.
//
// With a fixed number of four concurrent loads, on a store that has full speed for one only, four loads that were
// expected to take 13 s took 13, 27, 40 and 53 s, and their engines could load nothing else in the meantime.
type weightStore struct {
	// fullSpeedLoads is the estimated number of concurrent loads that run at full speed.
	fullSpeedLoads float64
	// slowConcurrency is the number of concurrent loads that was recently slow; it is not tried again before slowUntil.
	slowConcurrency int
	slowUntil       time.Time
}

// How fullSpeedLoads is learned.
const (
	// slowLoadFactor times its configured duration, a load counts as slow.
	slowLoadFactor = 1.15
	// reportDelay is how long after its end a load is observed to have ended: reports of engines are 200 ms old and
	// polled every 350 ms.
	reportDelay = 550 * time.Millisecond
	// slowRetryInterval is how long after a slow load that many concurrent loads are tried again, since the store may
	// have had other users for a while. Each attempt costs an engine up to twice the duration of a load.
	slowRetryInterval = 2 * time.Minute
	// raiseFactor is the factor by which concurrency is raised after as many loads as allowed ran at full speed.
	raiseFactor = 2
)

// limit returns how many loads may run concurrently.
func (w *weightStore) limit() int { return max(1, int(w.fullSpeedLoads)) }

// duration returns the expected duration of a load that starts as one of concurrency loads.
func (w *weightStore) duration(nominal time.Duration, concurrency int) time.Duration {
	return time.Duration(float64(nominal) * max(1, float64(concurrency)/w.fullSpeedLoads))
}

// recordEnded records how long a load took that started as one of concurrency loads.
func (w *weightStore) recordEnded(elapsed, nominal time.Duration, concurrency int, now time.Time) {
	slowdown := (elapsed - reportDelay).Seconds() / nominal.Seconds()
	if slowdown < slowLoadFactor {
		w.recordFast(concurrency, now)
		return
	}
	w.recordSlow(float64(concurrency)/slowdown, concurrency, now)
}

// recordRunning records that a load which started as one of concurrency loads is still running after elapsed.
func (w *weightStore) recordRunning(elapsed, nominal time.Duration, concurrency int, now time.Time) {
	slowdown := (elapsed - reportDelay).Seconds() / nominal.Seconds()
	if slowdown < slowLoadFactor || float64(concurrency)/slowdown >= w.fullSpeedLoads {
		return
	}
	w.recordSlow(float64(concurrency)/slowdown, concurrency, now)
}

// maxLocalOrder is longer than any order takes on an engine except a load from the weight store and an unload that waits
// for a long generation.
const maxLocalOrder = 2 * time.Second

// BusyWithInheritedOrder records that an engine which must be read again is carrying out an order of a previous holder.
func (f *Fleet) BusyWithInheritedOrder(id string, now time.Time) {
	if e := f.engines[id]; e != nil && e.MustBeRead && e.inheritedBusySince.IsZero() {
		e.inheritedBusySince = now
	}
}

// inheritedLoads returns the estimated number of loads from the weight store that previous holders have started: the
// engines that have been busy for longer than a local order takes.
func (f *Fleet) inheritedLoads(now time.Time) int {
	n := 0
	for _, e := range f.engines {
		if e.MustBeRead && !e.inheritedBusySince.IsZero() && now.Sub(e.inheritedBusySince) > maxLocalOrder {
			n++
		}
	}
	return n
}

// remoteState is the state of the weight store that a decision is based on.
type remoteState struct {
	// allowed: one more load may start.
	allowed bool
	// concurrency is the number of concurrent loads including that one.
	concurrency int
}

// remoteHorizon is how long weights that were loaded from the weight store are expected to serve requests: afterwards
// the engine has them on its disk, and demand shifts within tens of seconds.
const remoteHorizon = 20 * time.Second

// worthRemote reports whether a load from the weight store is worth the time of the engine and the store, which could
// load another model instead. It is if the waiting requests will still wait when the load ends; otherwise the expected
// later requests must justify it. On a store where a load takes 13 s and one load has full speed, the first two rare
// models that were requested occupied the store for 27 s although their requests had given up, and the most popular
// model got its further copy only at 28 s.
func (f *Fleet) worthRemote(w *wantedModel, m serving.Model, load time.Duration, now time.Time) bool {
	if w.proactive || !now.Add(load).After(w.waitsUntil()) {
		return true
	}
	return f.demandOf(m.Name).Weight*remoteHorizon.Seconds() >= f.params.EngineTimeCost*load.Seconds()
}

// RemoteConcurrency returns the estimated number of concurrent loads from the weight store that run at full speed.
func (f *Fleet) RemoteConcurrency() float64 { return f.store.fullSpeedLoads }

// SetRemoteConcurrency sets the estimate that a previous holder has learned. Values below 1 are ignored.
func (f *Fleet) SetRemoteConcurrency(fullSpeedLoads float64) {
	if fullSpeedLoads >= 1 {
		f.store.fullSpeedLoads = fullSpeedLoads
	}
}

// StillLoading records that an operation's load from the weight store is not done at its expected time, and returns the
// new expected time.
func (f *Fleet) StillLoading(op Operation, now time.Time) time.Time {
	e := f.engines[op.Engine]
	if e == nil || e.generation != op.generation || e.remoteStarted.IsZero() {
		return now
	}
	nominal := e.Spec.Models[op.Load.Model].RemoteLoad
	elapsed := now.Sub(e.remoteStarted)
	f.store.recordRunning(elapsed, nominal, e.remoteConcurrency, now)
	ready := later(e.remoteStarted.Add(f.store.duration(nominal, e.remoteConcurrency)), now.Add(elapsed/overrunDivisor))
	f.Expect(op, ready)
	return ready
}

// overrunDivisor: a load that takes longer than every estimate is expected to need another elapsed/overrunDivisor.
const overrunDivisor = 8

// remoteLoadEnded records how long an operation's load from the weight store took.
func (f *Fleet) remoteLoadEnded(op Operation, e *Engine, now time.Time) {
	if op.Remote && !e.remoteStarted.IsZero() {
		f.store.recordEnded(now.Sub(e.remoteStarted), e.Spec.Models[op.Load.Model].RemoteLoad, e.remoteConcurrency, now)
	}
}

func (w *weightStore) recordFast(concurrency int, now time.Time) {
	if concurrency < w.limit() {
		return // fewer loads than allowed give no new information
	}
	raised := float64(concurrency * raiseFactor)
	if now.Before(w.slowUntil) {
		raised = math.Min(raised, float64(w.slowConcurrency-1))
	}
	w.fullSpeedLoads = max(w.fullSpeedLoads, raised)
}

func (w *weightStore) recordSlow(fullSpeedLoads float64, concurrency int, now time.Time) {
	if concurrency <= 1 {
		return // it did not share the bandwidth: the store itself is temporarily slow
	}
	w.fullSpeedLoads = max(1, fullSpeedLoads)
	w.slowConcurrency, w.slowUntil = max(2, concurrency), now.Add(slowRetryInterval)
}
