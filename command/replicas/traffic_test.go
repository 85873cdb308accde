package replicas

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

var (
	urgentClass  = serving.TrafficClass{Priority: 0, Objective: 800 * time.Millisecond}
	patientClass = serving.TrafficClass{Priority: 2, Objective: 5 * time.Second}
)

// hotModelResult is what becomes of a model that gets five times the requests that one copy serves.
type hotModelResult struct {
	copies  int
	refused float64 // share of the requests
	// atMinimum is how long at most a minimum share was admitted without interruption.
	atMinimum time.Duration
	// coveredAfter is when there were enough copies for all requests, 0 if never.
	coveredAfter time.Duration
}

// playHotModel plays 15 s of 30 requests a second that run for 2 s each on engines with twelve slots, where a load takes .6 s. Another model
// keeps the engine with the only copy busy, and the other eleven have nothing to do. counted: refused requests are
// recorded.
func playHotModel(counted bool) hotModelResult {
	const background = 18 // requests for the other model
	const step, length, rate, run, load = 100 * time.Millisecond, 15 * time.Second, 30.0, 2.0, 600 * time.Millisecond
	spec := testSpec("hot", "m2", "m3", "m4")
	spec.Slots = admitSlots
	held := [][]string{{"hot", "m2", "m3"}}
	for range 11 {
		held = append(held, []string{"m2", "m3", "m4"})
	}
	start := time.Unix(1000, 0)
	f := testFleet(start, spec, held...)
	var r hotModelResult
	var loads []Operation
	var loadEnds []time.Time
	running, refusedPart, endedPart, atMinimum, sent := 0.0, 0.0, 0.0, time.Duration(0), 0.0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for len(loads) > 0 && !now.Before(loadEnds[0]) {
			f.Done(loads[0], now)
			loads, loadEnds = loads[1:], loadEnds[1:]
		}
		share, limited := f.Admissions(now)["hot"]
		if !limited {
			share = 1
		}
		arrived := rate * step.Seconds()
		sent += arrived
		refusedPart += (1 - share) * arrived
		r.refused += (1 - share) * arrived
		ready := float64(f.servingCopies("hot", now))
		crowded := running / ready // on the engine that other models keep busy too
		ended := (min(running-crowded, (ready-1)*admitSlots) + crowded*min(1, admitSlots/(crowded+background))) * step.Seconds() / run
		running += share*arrived - ended
		endedPart += ended
		served, refused := int(endedPart), int(refusedPart)
		endedPart, refusedPart = endedPart-float64(served), refusedPart-float64(refused)
		f.RecordArrivals("hot", Arrivals{Count: int(arrived), Weight: arrived, Deferrable: int(arrived), Served: served}, now)
		if counted {
			f.RecordClassTraffic(ClassTraffic{Service: "llm", Model: "hot", Class: patientClass, Arrived: int(arrived), Answered: served, RunTime: time.Duration(float64(served) * run * float64(time.Second))}, now)
			f.RecordRefused("hot", patientClass, refused, now)
		}
		counts := map[string]map[serving.Unit]int{"a-engine": {}}
		for _, e := range f.holding("hot") {
			if e.Copies["hot"].State == Resident {
				counts[e.Server.ID] = map[serving.Unit]int{{Model: "hot"}: int(running / ready)}
			}
		}
		counts["a-engine"][serving.Unit{Model: "m2"}] = background
		f.SetRunning(counts, now)
		for _, op := range f.Dispatch(now) {
			loads, loadEnds = append(loads, op), append(loadEnds, now.Add(load))
		}
		if share <= minAdmittedShare {
			atMinimum += step
		} else {
			atMinimum = 0
		}
		r.atMinimum = max(r.atMinimum, atMinimum)
		r.copies = f.servingCopies("hot", now)
		if r.coveredAfter == 0 && float64(r.copies)*admitSlots >= rate*run {
			r.coveredAfter = now.Sub(start)
		}
	}
	r.refused /= sent
	return r
}

// TestRefusedRequestsLoadCopies: a model that gets five times the requests that one copy serves gets its copies within
// seconds while engines have room, although most of its requests are refused at first.
func TestRefusedRequestsLoadCopies(t *testing.T) {
	before, after := playHotModel(false), playHotModel(true)
	t.Logf("before: %+v", before)
	t.Logf("after: %+v", after)
	if after.coveredAfter == 0 || after.coveredAfter > 6*time.Second || after.atMinimum >= time.Second {
		t.Errorf("%+v, want enough copies within seconds", after)
	}
	if after.refused > before.refused/2 {
		t.Errorf("%.2f refused, %.2f without refused requests as demand", after.refused, before.refused)
	}
}

// TestReturningRequestsCountOnce: requests that come back change what is offered and what a copy is worth by nothing.
func TestReturningRequestsCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	play := func(returns int) (offered, cost float64) {
		f := testFleet(now, testSpec("m1", "m2"), []string{"m1"})
		f.RecordArrivals("m1", Arrivals{Count: 20, Weight: 20, Deferrable: 20 + returns}, now)
		f.RecordClassTraffic(ClassTraffic{Service: "llm", Model: "m1", Class: patientClass, Arrived: 20 + returns, Returned: returns}, now)
		f.RecordRefused("m1", patientClass, 15, now)
		f.Room(now)
		return f.room.services["llm"].classes[patientClass].offered, f.absenceCost("m1") + f.offered(f.demand["m1"])
	}
	offered, cost := play(0)
	if o, c := play(50); math.Abs(o-offered) > 1e-9 || math.Abs(c-cost) > 1e-9 {
		t.Errorf("offered %.2f and cost %.2f with returning requests, %.2f and %.2f without", o, c, offered, cost)
	}
}

// TestTrafficBounds: wrong numbers in a report are bounded, the number of classes of a service too, and what the other
// classes are admitted does not change.
func TestTrafficBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	f := overloadedFleet(now)
	want := f.Room(now)
	for i := range 1000 {
		f.RecordClassTraffic(ClassTraffic{Service: "llm", Model: "m9", Class: serving.TrafficClass{Priority: i * math.MaxInt32, Objective: -time.Duration(i)}, Arrived: -i, Answered: -1, RunTime: math.MinInt64}, now)
		f.RecordClassTraffic(ClassTraffic{Service: "llm", Model: "m9", Class: serving.TrafficClass{Priority: -i, Objective: time.Duration(i) * time.Hour / 50}, Returned: math.MaxInt}, now)
	}
	f.RecordRefused("m9", patientClass, -5, now)
	if n := len(f.room.services["llm"].classes); n > maxClasses {
		t.Errorf("%d classes", n)
	}
	if n := len(f.demand["m9"].classes); n > maxClasses {
		t.Errorf("%d classes of a model", n)
	}
	if got := f.Room(now); !reflect.DeepEqual(got, want) || len(want.Engines) != 1 {
		t.Errorf("%+v, want %+v", got, want)
	}
	huge := ClassTraffic{Class: serving.TrafficClass{Priority: 99, Objective: time.Duration(math.MaxInt64)}, Arrived: math.MaxInt, Answered: 1, RunTime: time.Duration(math.MaxInt64)}.bounded()
	if huge.Class != serving.OtherClass || huge.Arrived != maxReported || huge.RunTime != maxRunTime {
		t.Errorf("%+v", huge)
	}
}

// overloadedFleet has one engine with twice the load that it has slots for, from both classes.
func overloadedFleet(now time.Time) *Fleet {
	f := testFleet(now, testSpec("m1", "m2", "m9"), []string{"m1", "m2"})
	e := f.Engine("a-engine")
	e.Server.Slots = admitSlots
	for model, class := range map[string]serving.TrafficClass{"m1": urgentClass, "m2": patientClass} {
		f.RecordArrivals(model, Arrivals{Count: 100, Weight: 100, Deferrable: 100, Served: 40}, now)
		f.RecordClassTraffic(ClassTraffic{Service: "llm", Model: model, Class: class, Arrived: 100, Answered: 40, RunTime: 40 * time.Second}, now)
		e.Copies[model].Running = admitSlots
	}
	return f
}

// TestRoomOfContendedServicesOnly: without traffic by class, which instances report for contended services only, the
// holder decides by model as before.
func TestRoomOfContendedServicesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	f, plain := overloadedFleet(now), overloadedFleet(now)
	plain.room = room{}
	for _, d := range plain.demand {
		d.classes = nil
	}
	if r := plain.Room(now); r.Known || len(r.Engines) > 0 {
		t.Errorf("%+v without classes", r)
	}
	if r := f.Room(now); !r.Known || len(r.Engines) == 0 {
		t.Errorf("%+v, want shares", r)
	}
	for model, share := range plain.Admissions(now) {
		if got := f.Admissions(now)[model]; got != share {
			t.Errorf("%s: %.3f for instances without classes, want %.3f", model, got, share)
		}
	}
}
