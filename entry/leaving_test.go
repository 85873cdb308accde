package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// What users saw: requests reached a server 2.4 to 4.5 s after an answer had told the instance that
// sent them that the server leaves.
//
// The order of events: the store was away. A server that was about to leave could not have that
// accepted there, and said it in its answers. Instances passed these on and sent the server
// requests until its entry was changed, which was 12 s later.
//
// The cause: who leaves was learned from the store's entries alone. What a server says of that in
// an answer was read and kept, and nothing went by it.
//
// The evidence: the sends came while the server's entry still said that it was ready, from instances
// whose logs have an answer of it that says otherwise, and ended when its entry changed. With
// stand-ins this test fails in the same way.

// drainBound is how long after it was told that a server leaves an instance may send it requests.
const drainBound = 2 * time.Second

// answerTime is how long an answer takes to be passed on, in these tests.
const answerTime = 100 * time.Millisecond

// arrivalsFrom returns when attempts of each instance reached a server from a time on.
func (f *loadFleet) arrivalsFrom(s *standin.Server, from time.Time) map[*running][]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	instances := map[string]*running{}
	for _, tried := range f.tries {
		instances[tried.id] = tried.instance
	}
	at := map[*running][]time.Time{}
	for _, a := range s.State().Arrivals {
		if r := instances[a.ID]; r != nil && !a.At.Before(from) {
			at[r] = append(at[r], a.At)
		}
	}
	return at
}

// TestLeavingIsTold: an instance that is not told by an answer hears of it from those that are, while
// the store is away.
func TestLeavingIsTold(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	f.store.SetDown(true)
	defer f.store.SetDown(false)
	told := slices.IndexFunc(f.instances, func(r *running) bool { return r != f.holder() })
	now := clock.Now()
	f.instances[told].limiter.observe(serving.Advisory{Server: "e1", SentAt: now, ReceivedAt: now, Leaving: true})
	f.await("known everywhere", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			s, _ := r.dir.Server("e1")
			return !s.Draining
		})
	})
}

// TestLeavingByAnswers: a server that says in its answers that it leaves gets nothing new after
// that, though its entry in the store says that it is ready, and others serve what it would have.
// Instances that it has not told hear of it from those that it has, while the store is away.
func TestLeavingByAnswers(t *testing.T) {
	f := newLoadFleet(t)
	f.store.SetDown(true)
	f.startLoad()
	time.Sleep(time.Second)
	said := time.Now()
	defer func() { f.logArrivals(said, time.Now()) }()
	leaving := f.engines[0]
	leaving.SetBackpressure(standin.Backpressure{Leaving: true})
	time.Sleep(3 * drainBound)
	ended := time.Now()
	f.endLoad()
	late, last := 0, time.Duration(0)
	for _, at := range f.arrivalsFrom(leaving, said) {
		for _, t := range at {
			last = max(last, t.Sub(said))
			if t.Sub(at[0]) > answerTime+drainBound {
				late++
			}
		}
	}
	e := f.between(said, ended)
	t.Logf("%d sends later than %s after the instance had been told, the last %s after the server first said that it leaves; %v", late, drainBound, last, e)
	if late > 0 {
		t.Errorf("%d sends later than %s after the instance that sent them had been told that the server leaves", late, drainBound)
	}
	if e.failed > 0 || 50*e.refused > e.tried {
		t.Errorf("%v: want none failed, and at most 2 in 100 refused where other engines have room", e)
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
	f.checkPromises()
}
