package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// weightStore is what is known of the speed of the weight store. Up to some number of
// loads at once each takes its configured time, and beyond that proportionally longer;
// nobody says what that number is. It is learned from how long loads took, given how many
// were under way when they began: a load that shares the store keeps the pace that it
// began with.
//
// With a fixed number of four at once, where one has the store's full speed, four loads
// that were promised for 13 s took 13, 27, 40 and 53 s, and their engines could load
// nothing else meanwhile.
type weightStore struct {
	// atOnce is how many loads have full speed together, as far as is known.
	atOnce float64
	// slowAt is how many under way were slow of late, and until when no as many are tried.
	slowAt    int
	slowUntil time.Time
}

// How the number of loads at once is learned.
const (
	// slowLoad times its configured time a load is slow.
	slowLoad = 1.15
	// reportDelay is how much later than it ends a load is seen to have ended: reports of
	// engines are 200 ms old, and asked for each 350 ms.
	reportDelay = 550 * time.Millisecond
	// A slow number of loads is tried again after retrySlow: the store may have other
	// users for a while. Each try costs an engine up to twice a load's time.
	retrySlow = 2 * time.Minute
	// raiseFactor is by how much more loads at once are tried after as many as are
	// allowed had full speed.
	raiseFactor = 2
)

// limit returns how many loads may be under way at once.
func (w *weightStore) limit() int { return max(1, int(w.atOnce)) }

// duration returns how long a load is expected to take that begins as one of so many.
func (w *weightStore) duration(nominal time.Duration, together int) time.Duration {
	return time.Duration(float64(nominal) * max(1, float64(together)/w.atOnce))
}

// ended takes over how long a load took that had begun as one of so many.
func (w *weightStore) ended(took, nominal time.Duration, together int, now time.Time) {
	slowdown := (took - reportDelay).Seconds() / nominal.Seconds()
	if slowdown < slowLoad {
		w.fast(together, now)
		return
	}
	w.slow(float64(together)/slowdown, together, now)
}

// lasts takes over that a load which began as one of so many is still under way.
func (w *weightStore) lasts(elapsed, nominal time.Duration, together int, now time.Time) {
	slowdown := (elapsed - reportDelay).Seconds() / nominal.Seconds()
	if slowdown < slowLoad || float64(together)/slowdown >= w.atOnce {
		return
	}
	w.slow(float64(together)/slowdown, together, now)
}

// longestLocal is longer than an engine takes for anything but a load from the weight
// store and an unload that waits for a long generation.
const longestLocal = 2 * time.Second

// BusyElsewhere notes that an engine which has to be read anew is carrying out an order
// of a holder before.
func (f *Fleet) BusyElsewhere(id string, now time.Time) {
	if e := f.engines[id]; e != nil && e.Unsure && e.foreignSince.IsZero() {
		e.foreignSince = now
	}
}

// foreignLoads counts the loads from the weight store that holders before have begun, as
// far as can be seen: engines that have been busy for long.
func (f *Fleet) foreignLoads(now time.Time) int {
	n := 0
	for _, e := range f.engines {
		if e.Unsure && !e.foreignSince.IsZero() && now.Sub(e.foreignSince) > longestLocal {
			n++
		}
	}
	return n
}

// remoteState is what decides on loads from the weight store, as of one moment.
type remoteState struct {
	// allowed: one more may begin.
	allowed bool
	// together is how many are under way with that one.
	together int
}

// remoteHorizon is for how long weights that are brought from the weight store are
// expected to serve requests: the engine has them on its disk then, and demand moves on
// within tens of seconds.
const remoteHorizon = 20 * time.Second

// worthRemote reports whether a load from the weight store is worth an engine's time and
// the store's, which could serve another model meanwhile. One for requests that wait and
// will still be there is. Else it is for those that follow. Where it takes 13 s and one load
// has full speed, the two first rare models that were asked for took the store for 27 s,
// though their requests had left, and the most popular model got its further copy at 28 s.
func (f *Fleet) worthRemote(w *want, m serving.Model, load time.Duration, now time.Time) bool {
	if w.extra || !now.Add(load).After(w.until()) {
		return true
	}
	return f.demandOf(m.Name).Weight*remoteHorizon.Seconds() >= f.params.EngineTimeCost*load.Seconds()
}

// RemoteAtOnce returns how many loads from the weight store have full speed together, as
// far as is known.
func (f *Fleet) RemoteAtOnce() float64 { return f.store.atOnce }

// LearnRemoteAtOnce takes over what a holder before has learned of that.
func (f *Fleet) LearnRemoteAtOnce(atOnce float64) {
	if atOnce >= 1 {
		f.store.atOnce = atOnce
	}
}

// Lasts notes that an operation's load from the weight store is not done at the time at
// which it was expected, and returns when it is expected now.
func (f *Fleet) Lasts(op Operation, now time.Time) time.Time {
	e := f.engines[op.Engine]
	if e == nil || e.generation != op.generation || e.began.IsZero() {
		return now
	}
	nominal := e.Spec.Models[op.Load.Model].RemoteLoad
	elapsed := now.Sub(e.began)
	f.store.lasts(elapsed, nominal, e.together, now)
	ready := later(e.began.Add(f.store.duration(nominal, e.together)), now.Add(elapsed/lastsShare))
	f.Expect(op, ready)
	return ready
}

// lastsShare: a load that is later than anything known lets expect takes this part of its
// time until now longer.
const lastsShare = 8

// remoteEnded takes over how long an operation's load from the weight store took.
func (f *Fleet) remoteEnded(op Operation, e *Engine, now time.Time) {
	if op.Remote && !e.began.IsZero() {
		f.store.ended(now.Sub(e.began), e.Spec.Models[op.Load.Model].RemoteLoad, e.together, now)
	}
}

func (w *weightStore) fast(together int, now time.Time) {
	if together < w.limit() {
		return // fewer than are allowed tell nothing new
	}
	raised := float64(together * raiseFactor)
	if now.Before(w.slowUntil) {
		raised = math.Min(raised, float64(w.slowAt-1))
	}
	w.atOnce = max(w.atOnce, raised)
}

func (w *weightStore) slow(atOnce float64, together int, now time.Time) {
	if together <= 1 {
		return // it shared with none: the store itself is slow for a while
	}
	w.atOnce = max(1, atOnce)
	w.slowAt, w.slowUntil = max(2, together), now.Add(retrySlow)
}
