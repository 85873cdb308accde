package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// What users saw: an engine in need named in its answers how many requests a second it takes
// from all instances together, and got two and a half times as many for as long as it did.
//
// The order of events: some engines of a model began to name a limit in every answer. Each
// instance passed the answers on and sent the engine as many requests after them as before.
//
// The cause: the adapter that reads answers took over status, body and what clients get. What an
// engine says there of itself was known nowhere.
//
// The evidence: the engines got 3 to 7 requests in each second before and after they named 1.5
// or 2, no line of a log and no counter named a limit, and with stand-ins and no other trouble
// these tests fail in the same way.

// The bound on what an engine gets that names its limit.
const (
	limitWindow = 4 * time.Second
	// limitSettled is when the bound begins after the limit was first named.
	limitSettled = 3 * time.Second
)

// limitAllowed is how many requests an engine may get in the window that takes so many a second.
func limitAllowed(rate float64) int { return int(1.5*rate*limitWindow.Seconds() + 5) }

// checkLimits compares what each engine got, which takes so many a second, with the bound.
func (f *loadFleet) checkLimits(rate float64, named, ceased time.Time) {
	f.t.Helper()
	for i, s := range f.engines {
		if n := most(s, limitWindow, named.Add(limitSettled), ceased); n > limitAllowed(rate) {
			f.t.Errorf("engine %d, which takes %v requests a second, got %d in %s, want at most %d", i+1, rate, n, limitWindow, limitAllowed(rate))
		}
	}
}

// limitedFor is how long engines name their limit in these tests: two windows.
const limitedFor = limitSettled + 2*limitWindow

// TestLimitedEngineGetsWhatItTakes: one of three engines names a limit far below its part of the
// load. It gets no more than that, the others get the rest, and a moment after it has ceased to
// name it it is used as before.
func TestLimitedEngineGetsWhatItTakes(t *testing.T) {
	f := newLoadFleet(t)
	f.startLoad()
	time.Sleep(time.Second)
	named := time.Now()
	defer func() { f.logArrivals(named, time.Now()) }()
	limited := f.engines[0]
	limited.SetBackpressure(standin.Backpressure{Limit: "1.5"})
	time.Sleep(limitedFor)
	ceased := time.Now()
	limited.SetBackpressure(standin.Backpressure{})
	const backWithin = 2 * time.Second
	time.Sleep(backWithin + 2*time.Second)
	ended := time.Now()
	f.endLoad()
	if n := most(limited, limitWindow, named.Add(limitSettled), ceased); n > limitAllowed(1.5) {
		t.Errorf("an engine that takes 1.5 requests a second got %d in %s, want at most %d", n, limitWindow, limitAllowed(1.5))
	}
	if n := arrived(limited, named.Add(limitSettled), ceased); n == 0 {
		t.Error("an engine that takes 1.5 requests a second got none")
	}
	e := f.between(named, ended)
	t.Logf("the engine got %d in %s at the most; %v", most(limited, limitWindow, named.Add(limitSettled), ceased), limitWindow, e)
	if e.failed > 0 || 50*e.refused > e.tried {
		t.Errorf("%v: want none failed, and at most 2 in 100 refused where other engines have room", e)
	}
	usual := f.between(ceased.Add(backWithin), ended).tried / len(f.engines)
	if n := arrived(limited, ceased.Add(backWithin), ended); 2*n < usual {
		t.Errorf("the engine got %d requests from %s after it had ceased to name a limit, its part is %d", n, backWithin, usual)
	}
	f.checkPromises()
}

// TestLimitedServiceIsUsed: each of three engines names a limit, and an instance starts anew in
// between. No engine gets more than it takes, most of what they take together is used, and who is
// refused is told when to come back.
func TestLimitedServiceIsUsed(t *testing.T) {
	f := newLoadFleet(t)
	f.startLoad()
	time.Sleep(time.Second)
	named := time.Now()
	defer func() { f.logArrivals(named, time.Now()) }()
	for _, s := range f.engines {
		s.SetBackpressure(standin.Backpressure{Limit: "4"})
	}
	time.Sleep(limitedFor / 2)
	f.replaceOne()
	time.Sleep(limitedFor / 2)
	ceased := time.Now()
	f.endLoad()
	f.checkLimits(4, named, ceased)
	e := f.between(named.Add(limitSettled), ceased)
	if e.failed > 0 || e.unhinted > 0 {
		t.Errorf("%v: want none failed, and each that is refused told when to come back", e)
	}
	// The load is the clock: where the machine stands still, it does, too.
	t.Logf("the engines got %d, %d and %d in %s at the most; %v", most(f.engines[0], limitWindow, named.Add(limitSettled), ceased),
		most(f.engines[1], limitWindow, named.Add(limitSettled), ceased), most(f.engines[2], limitWindow, named.Add(limitSettled), ceased), limitWindow, e)
	taken := 3 * 4 * loadPause.Seconds() * float64(e.tried)
	if float64(e.served) < 0.8*taken {
		t.Errorf("%v: of %.0f that the engines take at least four fifths should be served", e, taken)
	}
	f.checkPromises()
}

// TestLimitWhileHolderIsLost: what all engines take is held to by all instances together also while
// the instance is lost that shares it out, and its successor begins.
func TestLimitWhileHolderIsLost(t *testing.T) {
	f := newLoadFleet(t)
	f.startLoad()
	time.Sleep(time.Second)
	named := time.Now()
	defer func() { f.logArrivals(named, time.Now()) }()
	for _, s := range f.engines {
		s.SetBackpressure(standin.Backpressure{Limit: "1.5"})
	}
	time.Sleep(limitSettled)
	f.killHolder()
	time.Sleep(3 * limitWindow)
	ceased := time.Now()
	f.endLoad()
	f.checkLimits(1.5, named, ceased)
	if e := f.between(named.Add(limitSettled+limitWindow), ceased); e.served == 0 || e.unhinted > 0 {
		t.Errorf("%v: want some served, and each that is refused told when to come back", e)
	}
	f.checkPromises()
}

// TestLimitedOnlyCopy: the one engine that has a model takes nothing. Another one loads the model,
// so that requests for it are served, though one engine would serve all that is asked for.
func TestLimitedOnlyCopy(t *testing.T) {
	f := newLoadFleet(t)
	f.model, f.pause = "m2", time.Second
	named := time.Now()
	defer func() { f.logArrivals(named, time.Now()) }()
	f.engines[0].SetBackpressure(standin.Backpressure{Limit: "0"})
	f.startLoad()
	const loaded = 2 * time.Second
	time.Sleep(loaded + 2*limitWindow)
	ended := time.Now()
	f.endLoad()
	e := f.between(named.Add(loaded), ended)
	t.Logf("%v", e)
	if e.failed > 0 || 50*e.refused > e.tried {
		t.Errorf("%v: want none failed, and at most 2 in 100 refused once another engine has the model", e)
	}
	if n := most(f.engines[0], limitWindow, named.Add(limitSettled), ended); n > limitAllowed(0) {
		t.Errorf("the limited engine got %d in %s, want at most %d", n, limitWindow, limitAllowed(0))
	}
	f.checkPromises()
}

// TestLimitIsTold: an instance that is not told by an answer hears of a limit, and of its end, from
// those that are. The server is a plain one, which answers nobody here: engines are read by the holder,
// and what they say then counts.
func TestLimitIsTold(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	told := f.instances[slices.IndexFunc(f.instances, func(r *running) bool { return r != f.holder() })].limiter
	everywhere := func(want bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.instances, func(r *running) bool {
				_, limited := r.limiter.ledger.Limit(serving.Server{ID: "p1"})
				return limited != want
			})
		}
	}
	now := clock.Now()
	told.observe(serving.Advisory{Server: "p1", SentAt: now, ReceivedAt: now, Limited: true, Rate: 1.5})
	f.await("known everywhere", everywhere(true))
	f.await("over everywhere", func() bool { // further answers say so, too
		now := clock.Now()
		told.observe(serving.Advisory{Server: "p1", SentAt: now, ReceivedAt: now})
		return everywhere(false)()
	})
}

// killHolder kills the instance that holds the lease.
func (f *loadFleet) killHolder() {
	holder := f.holder()
	f.mu.Lock()
	f.instances = slices.DeleteFunc(slices.Clone(f.instances), func(r *running) bool { return r == holder })
	f.mu.Unlock()
	holder.kill()
	<-holder.done
}

// replaceOne ends an instance that is not the holder, and starts another.
func (f *loadFleet) replaceOne() {
	holder := f.holder()
	f.mu.Lock()
	for i, r := range f.instances {
		if r == holder {
			continue
		}
		f.instances = append(f.instances[:i:i], f.instances[i+1:]...)
		f.mu.Unlock()
		r.stop()
		<-r.done
		break
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addInstance(loadInstances)
}
