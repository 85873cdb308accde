package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// These tests guard against requests that reach a server long after it has reported in an answer that it is
// leaving. A server that was about to leave during an outage of the store could not change its entry, and reported
// it in its answers. Instances passed the answers on, but used only the store's entries, and sent requests to
// the server until its entry changed 12 s later: 2.4 to 4.5 s after an answer had informed them that it was leaving.
// With stand-ins the first version failed in the same way.

// drainBound is the time for which an instance may still send requests to a server after it has learned that the
// server is leaving.
const drainBound = 2 * time.Second

// answerDelay is the time that an answer takes to be passed on in these tests.
const answerDelay = 100 * time.Millisecond

// arrivalsFrom returns the arrival times, from a time on, of the attempts of each instance at a server.
func (f *loadFleet) arrivalsFrom(s *standin.Server, from time.Time) map[*running][]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	instances := map[string]*running{}
	for _, req := range f.requests {
		instances[req.id] = req.instance
	}
	at := map[*running][]time.Time{}
	for _, a := range s.State().Arrivals {
		if r := instances[a.ID]; r != nil && !a.At.Before(from) {
			at[r] = append(at[r], a.At)
		}
	}
	return at
}

// TestLeavingIsShared checks that during an outage of the store instances that got no answer of a leaving server
// learn of it from one that did.
func TestLeavingIsShared(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	f.store.SetDown(true)
	defer f.store.SetDown(false)
	informed := slices.IndexFunc(f.instances, func(r *running) bool { return r != f.holder() })
	now := clock.Now()
	f.instances[informed].limiter.observe(serving.Advisory{Server: "e1", SentAt: now, ReceivedAt: now, Leaving: true})
	f.await("known everywhere", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			s, _ := r.dir.Server("e1")
			return !s.Draining
		})
	})
}

// TestLeavingReportedInAnswers checks that a server that reports in its answers that it is leaving gets no new
// requests after that, although its entry in the store says that it is ready, and that other servers serve them.
// Instances without such an answer learn of it from the others during the outage of the store.
func TestLeavingReportedInAnswers(t *testing.T) {
	f := newLoadFleet(t)
	f.store.SetDown(true)
	f.startLoad()
	time.Sleep(time.Second)
	reported := time.Now()
	defer func() { f.logArrivals(reported, time.Now()) }()
	leaving := f.engines[0]
	leaving.SetBackpressure(standin.Backpressure{Leaving: true})
	time.Sleep(3 * drainBound)
	ended := time.Now()
	f.stopLoad()
	late, last := 0, time.Duration(0)
	for _, at := range f.arrivalsFrom(leaving, reported) {
		for _, t := range at {
			last = max(last, t.Sub(reported))
			if t.Sub(at[0]) > answerDelay+drainBound {
				late++
			}
		}
	}
	e := f.outcomesBetween(reported, ended)
	t.Logf("%d attempts later than %s after the instance was informed, the last one %s after the server first reported that it is leaving; %v",
		late, drainBound, last, e)
	if late > 0 {
		t.Errorf("%d attempts later than %s after their instance was informed that the server is leaving", late, drainBound)
	}
	if e.failed > 0 || 50*e.refused > e.total {
		t.Errorf("%v: want none failed, and at most 2%% refused while other engines have capacity", e)
	}
	f.await("known everywhere", func() bool {
		for _, r := range f.instances {
			if s, known := r.dir.Server("e1"); !known || !s.Draining {
				return false
			}
		}
		return true
	})
	f.store.SetDown(false)
	f.checkServerInvariants()
}
