package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// contend makes the service of a fixture's streaming route contended, and has the holder admit no request of the class.
func contend(t *testing.T, f *fixture, class serving.TrafficClass) {
	t.Helper()
	config := f.dir.Config()
	route := config.Match("h", "/stream/")
	route.Priority, route.Objective = class.Priority, class.Objective
	patient := *route
	patient.Prefix, patient.Objective = "/patient/", 10*class.Objective
	config.Routes = append(config.Routes, patient)
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	for _, target := range route.Targets {
		if !config.Contended(target.Service) {
			t.Fatalf("%s is not contended", target.Service)
		}
	}
	f.dir.ApplyViews(1, nil, nil, time.Now())
	room := directory.Room{Known: true, Classes: []serving.TrafficClass{class}}
	for _, s := range f.dir.All() {
		room.Engines = append(room.Engines, directory.EngineRoom{Engine: s.ID, Percent: []byte{0}})
	}
	f.dir.ApplyRoom(room)
}

// TestRefusedByClass: in a contended service the share of the class decides, for the highest priority too. Without it the
// holder's share by model does, as in a service that is not contended.
func TestRefusedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, priority := range []int{0, 2} {
			f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
			class := serving.TrafficClass{Priority: priority, Objective: 500 * time.Millisecond}
			contend(t, f, class)
			if _, failure := f.serve("stream", "warm", 5*time.Second); failure == nil || failure.Reason != verdict.ReasonQueueFull || failure.Verdict != verdict.NotRun {
				t.Errorf("priority %d: %v, want refused", priority, failure)
			}
			f.dir.ApplyRoom(directory.Room{})
			f.dir.ApplyAdmissions(map[string]float64{"warm": 0})
			if _, failure := f.serve("stream", "warm", 5*time.Second); (failure != nil) != (priority > 0) {
				t.Errorf("priority %d, share by model: %v", priority, failure)
			}
		}
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
		f.dir.ApplyViews(1, nil, nil, time.Now())
		f.dir.ApplyRoom(directory.Room{Known: true, Classes: []serving.TrafficClass{f.dir.Config().Match("h", "/stream/").Class()}, Engines: []directory.EngineRoom{{Engine: "e1", Percent: []byte{0}}}})
		if _, failure := f.serve("stream", "warm", 5*time.Second); failure != nil {
			t.Errorf("in a service that is not contended: %v", failure)
		}
	})
}

// TestRefusedCountsOnce: a request that comes back after refusals is recorded as returned, and its refusal once in each
// interval.
func TestRefusedCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
		refusals := 0
		f.forwarder.recordRefused = func(string, RoomClass) { refusals++ }
		contend(t, f, serving.TrafficClass{Priority: 2, Objective: 500 * time.Millisecond})
		for i := range 6 {
			f.dir.ApplyViews(1, nil, nil, time.Now())
			if _, failure := f.serve("stream", "warm", 5*time.Second); failure == nil {
				t.Fatal("not refused")
			}
			if returned := f.placer.arrivals[i].Returned; returned != (i%4 != 0) {
				t.Errorf("send %d: returned %t", i, returned)
			}
			time.Sleep(countedInterval / 4)
		}
		if refusals != 2 {
			t.Errorf("%d refusals of one request that came six times in one and a half intervals", refusals)
		}
	})
}

// TestRefusedRequestsAreBounded: the memory of refused requests is bounded in number and time, and forgets a request that
// was answered.
func TestRefusedRequestsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRefusedRequests()
	for i := range 3 * maxRefused {
		r.count(serving.Fingerprint(fmt.Sprint(i)), now)
		if n := len(r.recent) + len(r.older); n > maxRefused {
			t.Fatalf("%d requests", n)
		}
	}
	last := serving.Fingerprint(fmt.Sprint(3*maxRefused - 1))
	if !r.counted(last, now.Add(countedInterval-1)) {
		t.Error("the last request is forgotten")
	}
	if r.count(last, now) {
		t.Error("its second refusal counts")
	}
	if r.counted(last, now.Add(countedInterval)) {
		t.Error("a request is remembered for too long")
	}
	r.forget(last)
	if r.counted(last, now) {
		t.Error("an answered request is remembered")
	}
}
