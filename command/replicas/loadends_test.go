package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// loadingFleet has engines that come and go, and a model that is asked for all the time.
type loadingFleet struct {
	t        *testing.T
	fleet    *Fleet
	spec     *serving.EngineSpec
	servers  []serving.Server
	now      time.Time
	revision int64
}

func newLoadingFleet(t *testing.T) *loadingFleet {
	now := time.Unix(1000, 0)
	l := &loadingFleet{t: t, now: now, spec: testSpec("m1", "bad")}
	l.fleet = testFleet(now, l.spec, []string{"m1"}, []string{"m1"}, []string{"m1"}, []string{"m1"}, []string{"m1"}, []string{"m1"})
	for _, e := range l.fleet.Engines() {
		l.servers = append(l.servers, e.Server)
	}
	return l
}

// set takes over the servers as announced now.
func (l *loadingFleet) set() {
	l.fleet.SetServers(l.servers, func(string) *serving.EngineSpec { return l.spec })
}

// load wants the model, and has the engine that is chosen begin to load it. It returns that
// engine's index, -1 if none is chosen.
func (l *loadingFleet) load() int {
	l.now = l.now.Add(time.Second)
	l.fleet.Find("llm", serving.Unit{Model: "bad"}, waits(1), l.now)
	for _, op := range l.fleet.Dispatch(l.now) {
		l.fleet.Ordered(op.Engine)
		l.fleet.Began(op, time.Time{}, 0, l.now)
		l.fleet.Done(op, l.now)
		for i, s := range l.servers {
			if s.ID == op.Engine {
				return i
			}
		}
	}
	return -1
}

// end has an engine end, and another take its place.
func (l *loadingFleet) end(i int) {
	s := l.servers[i]
	l.servers = append(l.servers[:i:i], l.servers[i+1:]...)
	l.set()
	s.ID += "+"
	l.servers = append(l.servers, s)
	l.set()
	l.fleet.Adopt(s.ID, serving.Report{Models: s.Models}, l.now)
}

// TestLoadThatEndsEngines: a model whose load ends each engine that takes it is not loaded any
// more after three, but again from time to time, on one engine; all others are loaded as ever.
func TestLoadThatEndsEngines(t *testing.T) {
	l := newLoadingFleet(t)
	ended, last := 0, l.now
	for l.now.Sub(last) < leastHold-time.Second && ended < 20 {
		if i := l.load(); i >= 0 {
			l.end(i)
			ended++
			last = l.now
		}
	}
	if ended != endsToHold {
		t.Fatalf("%d engines ended, want %d", ended, endsToHold)
	}
	if ends := l.fleet.NewLoadEnds(); len(ends) != endsToHold || ends[2].Ends != endsToHold {
		t.Errorf("%+v told", ends)
	}
	for l.now.Sub(last) < 2*leastHold {
		if i := l.load(); i >= 0 {
			l.end(i)
			ended++
		}
	}
	if ended != endsToHold+1 {
		t.Errorf("%d engines ended, want one more a while later", ended)
	}
}

// TestEndsOfOtherCauses: ends after which the model is seen on an engine, and those of
// engines that leave, do not keep it from being loaded.
func TestEndsOfOtherCauses(t *testing.T) {
	l := newLoadingFleet(t)
	for round := range 8 {
		i := l.load()
		if i < 0 {
			t.Fatalf("round %d: not loaded", round)
		}
		if round%3 == 2 { // this time the engine says that it has the model
			l.revision++
			l.servers[i].Revision += l.revision
			l.servers[i].Models = map[string][]string{"m1": nil, "bad": nil}
			l.set()
			l.servers[i].Models = map[string][]string{"m1": nil}
		}
		l.end(i)
	}
	for round := range 5 {
		i := l.load()
		if i < 0 {
			t.Fatalf("leaving, round %d: not loaded", round)
		}
		l.servers[i].Draining = true
		l.set()
		l.servers[i].Draining = false
		s := l.servers[i]
		l.servers = append(l.servers[:i:i], l.servers[i+1:]...)
		l.set()
		l.servers = append(l.servers, s)
		l.servers[len(l.servers)-1].ID += "-"
		l.set()
		l.fleet.Adopt(l.servers[len(l.servers)-1].ID, serving.Report{Models: s.Models}, l.now)
	}
}
