package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// These tests guard against engines that get more requests than they accept. An engine under load reports in its
// answers how many requests per second it accepts from all instances together. Before instances evaluated these
// reports, they forwarded the answers and kept sending at the previous rate: only the status and the body of an answer
// were used. Engines got 3 to 7 requests per second before and after they reported a limit of 1.5 or 2, up to two and a
// half times as many as they accepted, and no log line or counter showed the limit. The failure was
// reproduced with the stand-in servers that these tests use.

// When, and in windows of which length, arrivals at an engine that reports a limit are counted.
const (
	limitWindow = 4 * time.Second
	// limitSettleTime is the time from the first report of the limit until the bound on arrivals must hold.
	limitSettleTime = 3 * time.Second
)

// maxArrivalsAtLimit is the maximum number of requests that these tests allow in limitWindow to an engine that accepts
// rate requests per second: half more than the rate, and 5 requests.
func maxArrivalsAtLimit(rate float64) int { return int(1.5*rate*limitWindow.Seconds() + 5) }

// checkLimits compares the arrivals at each engine with the bound for rate.
func (f *loadFleet) checkLimits(rate float64, reported, cleared time.Time) {
	f.t.Helper()
	for i, s := range f.engines {
		if n := maxArrivalsInWindow(s, limitWindow, reported.Add(limitSettleTime), cleared); n > maxArrivalsAtLimit(rate) {
			f.t.Errorf("engine %d with a limit of %v requests per second got %d in %s, want at most %d",
				i+1, rate, n, limitWindow, maxArrivalsAtLimit(rate))
		}
	}
}

// limitDuration is the time for which engines report a limit in these tests: two windows after limitSettleTime.
const limitDuration = limitSettleTime + 2*limitWindow

// TestLimitOfOneEngine lets one of three engines report a limit far below its share of the load. It must get at
// most maxArrivalsAtLimit, the other engines get the rest, and it is used as before soon after it stops reporting the
// limit.
func TestLimitOfOneEngine(t *testing.T) {
	f := newLoadFleet(t)
	f.startLoad()
	time.Sleep(time.Second)
	reported := time.Now()
	defer func() { f.logArrivals(reported, time.Now()) }()
	limited := f.engines[0]
	limited.SetBackpressure(standin.Backpressure{Limit: "1.5"})
	time.Sleep(limitDuration)
	cleared := time.Now()
	limited.SetBackpressure(standin.Backpressure{})
	const recoveryTime = 2 * time.Second
	time.Sleep(recoveryTime + 2*time.Second)
	ended := time.Now()
	f.stopLoad()
	if n := maxArrivalsInWindow(limited, limitWindow, reported.Add(limitSettleTime), cleared); n > maxArrivalsAtLimit(1.5) {
		t.Errorf("an engine with a limit of 1.5 requests per second got %d in %s, want at most %d",
			n, limitWindow, maxArrivalsAtLimit(1.5))
	}
	if n := countArrivals(limited, reported.Add(limitSettleTime), cleared); n == 0 {
		t.Error("an engine with a limit of 1.5 requests per second got none")
	}
	e := f.outcomesBetween(reported, ended)
	t.Logf("the engine got at most %d in %s; %v",
		maxArrivalsInWindow(limited, limitWindow, reported.Add(limitSettleTime), cleared), limitWindow, e)
	if e.failed > 0 || 50*e.refused > e.total {
		t.Errorf("%v: want none failed, and at most 2%% refused while other engines have capacity", e)
	}
	usual := f.outcomesBetween(cleared.Add(recoveryTime), ended).total / len(f.engines)
	if n := countArrivals(limited, cleared.Add(recoveryTime), ended); 2*n < usual {
		t.Errorf("the engine got %d requests from %s after it cleared its limit, its share is %d", n, recoveryTime, usual)
	}
	f.checkServerInvariants()
}

// TestLimitOfAllEngines lets each of three engines report a limit, and replaces an instance meanwhile. No engine
// must get more than it accepts, most of their total limit is used, and refused clients get a Retry-After.
func TestLimitOfAllEngines(t *testing.T) {
	f := newLoadFleet(t)
	f.startLoad()
	time.Sleep(time.Second)
	reported := time.Now()
	defer func() { f.logArrivals(reported, time.Now()) }()
	for _, s := range f.engines {
		s.SetBackpressure(standin.Backpressure{Limit: "4"})
	}
	time.Sleep(limitDuration / 2)
	f.replaceInstance()
	time.Sleep(limitDuration / 2)
	cleared := time.Now()
	f.stopLoad()
	f.checkLimits(4, reported, cleared)
	e := f.outcomesBetween(reported.Add(limitSettleTime), cleared)
	if e.failed > 0 || e.withoutRetryAfter > 0 {
		t.Errorf("%v: want none failed, and a Retry-After for each refused", e)
	}
	// The time is computed from the requests sent, one per loadPause, since a delay of the machine also delays the
	// load. The 3 engines accept 4 requests per second each.
	t.Logf("the engines got at most %d, %d and %d in %s; %v",
		maxArrivalsInWindow(f.engines[0], limitWindow, reported.Add(limitSettleTime), cleared),
		maxArrivalsInWindow(f.engines[1], limitWindow, reported.Add(limitSettleTime), cleared),
		maxArrivalsInWindow(f.engines[2], limitWindow, reported.Add(limitSettleTime), cleared), limitWindow, e)
	accepted := 3 * 4 * loadPause.Seconds() * float64(e.total)
	if float64(e.served) < 0.8*accepted {
		t.Errorf("%v: want at least 80%% of the %.0f that the engines accept served", e, accepted)
	}
	f.checkServerInvariants()
}

// TestLimitWhileHolderIsLost checks that all instances together stay within the engines' limits while the holder,
// which divides them, is lost and another one takes over.
func TestLimitWhileHolderIsLost(t *testing.T) {
	f := newLoadFleet(t)
	f.startLoad()
	time.Sleep(time.Second)
	reported := time.Now()
	defer func() { f.logArrivals(reported, time.Now()) }()
	for _, s := range f.engines {
		s.SetBackpressure(standin.Backpressure{Limit: "1.5"})
	}
	time.Sleep(limitSettleTime)
	f.killHolder()
	time.Sleep(3 * limitWindow)
	cleared := time.Now()
	f.stopLoad()
	f.checkLimits(1.5, reported, cleared)
	if e := f.outcomesBetween(reported.Add(limitSettleTime+limitWindow), cleared); e.served == 0 || e.withoutRetryAfter > 0 {
		t.Errorf("%v: want some served, and a Retry-After for each refused", e)
	}
	f.checkServerInvariants()
}

// TestLimitOfOnlyReplica lets the only engine that has loaded a model accept no requests. Another engine must load
// the model, although one engine would suffice for the load.
func TestLimitOfOnlyReplica(t *testing.T) {
	f := newLoadFleet(t)
	f.model, f.pause = "m2", time.Second
	reported := time.Now()
	defer func() { f.logArrivals(reported, time.Now()) }()
	f.engines[0].SetBackpressure(standin.Backpressure{Limit: "0"})
	f.startLoad()
	// loadTime is the time within which another engine must have loaded the model.
	const loadTime = 2 * time.Second
	time.Sleep(loadTime + 2*limitWindow)
	ended := time.Now()
	f.stopLoad()
	e := f.outcomesBetween(reported.Add(loadTime), ended)
	t.Logf("%v", e)
	if e.failed > 0 || 50*e.refused > e.total {
		t.Errorf("%v: want none failed, and at most 2%% refused once another engine has loaded the model", e)
	}
	if n := maxArrivalsInWindow(f.engines[0], limitWindow, reported.Add(limitSettleTime), ended); n > maxArrivalsAtLimit(0) {
		t.Errorf("the limited engine got %d in %s, want at most %d", n, limitWindow, maxArrivalsAtLimit(0))
	}
	f.checkServerInvariants()
}

// TestLimitIsShared checks that instances that got no answer with a limit learn of it, and of its end, from one
// that did. It uses a plain server that gets no requests, so that observe is the only source of the limit. With an
// engine it would not be: the holder also reads engines' reports, and a report without a limit would clear it.
func TestLimitIsShared(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	informed := f.instances[slices.IndexFunc(f.instances, func(r *running) bool { return r != f.holder() })].limiter
	limitedEverywhere := func(want bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.instances, func(r *running) bool {
				_, limited := r.limiter.ledger.Limit(serving.Server{ID: "p1"})
				return limited != want
			})
		}
	}
	now := clock.Now()
	informed.observe(serving.Advisory{Server: "p1", SentAt: now, ReceivedAt: now, Limited: true, Rate: 1.5})
	f.await("known everywhere", limitedEverywhere(true))
	f.await("cleared everywhere", func() bool { // further answers without a limit
		now := clock.Now()
		informed.observe(serving.Advisory{Server: "p1", SentAt: now, ReceivedAt: now})
		return limitedEverywhere(false)()
	})
}

// killHolder ends the instance that holds the lease without a clean shutdown.
func (f *loadFleet) killHolder() {
	holder := f.holder()
	f.mu.Lock()
	f.instances = slices.DeleteFunc(slices.Clone(f.instances), func(r *running) bool { return r == holder })
	f.mu.Unlock()
	holder.kill()
	<-holder.done
}

// replaceInstance stops an instance that is not the holder, and starts another one.
func (f *loadFleet) replaceInstance() {
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
