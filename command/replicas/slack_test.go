package replicas

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

// TestGroupSlack: the groups of a report are few, lose no weight, and none has more slack than one of its requests.
func TestGroupSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var requests []Slack
		total := 0.0
		least := time.Duration(math.MaxInt64)
		for range rapid.IntRange(0, 30).Draw(t, "requests") {
			r := Slack{Weight: float64(rapid.IntRange(1, 9).Draw(t, "weight")), Start: time.Duration(rapid.IntRange(-5000, 9000).Draw(t, "start")) * time.Millisecond}
			r.Left = r.Start + time.Second
			requests, total, least = append(requests, r), total+r.Weight, min(least, r.Start)
		}
		groups := GroupSlack(requests)
		if len(groups) > maxSlackGroups {
			t.Fatalf("%d groups", len(groups))
		}
		for i, g := range groups {
			total -= g.Weight
			if i == 0 && g.Start != least || i > 0 && g.Start < groups[i-1].Start {
				t.Fatalf("%+v, want the least slack of %s first", groups, least)
			}
		}
		if total != 0 {
			t.Fatalf("%+v lack weight %v", groups, total)
		}
	})
}

// TestMostBenefitInTime: of candidates that cannot all be loaded in time, the set of highest benefit is, earliest deadline
// first.
func TestMostBenefitInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		second := func(name string) time.Time {
			return now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, name)) * time.Second)
		}
		var candidates []*loadCandidate
		for i := range rapid.IntRange(1, 6).Draw(t, "models") {
			group := slackGroup{weight: float64(rapid.IntRange(1, 9).Draw(t, "weight")), latestStart: second("due"), until: now.Add(time.Minute)}
			candidates = append(candidates, &loadCandidate{w: &wantedModel{model: fmt.Sprint(i), waitingSince: now}, groups: []slackGroup{group}, load: time.Second, age: 1})
		}
		var starts []time.Time
		for range rapid.IntRange(1, 4).Draw(t, "starts") {
			starts = append(starts, second("start"))
		}
		starts = startTimes(starts, len(starts), 0)
		best := 0.0
		for set := range 1 << len(candidates) {
			free, weight, feasible := newFreeStarts(starts), 0.0, true
			for i, c := range candidates {
				if set&(1<<i) != 0 {
					weight += c.groups[0].weight
					_, ok := free.take(c.groups[0].latestStart)
					feasible = feasible && ok
				}
			}
			if feasible {
				best = max(best, weight)
			}
		}
		weights := map[*wantedModel]float64{}
		for _, c := range candidates {
			weights[c.w] = c.groups[0].weight
		}
		got, last := 0.0, now
		for _, w := range orderBySlack(candidates, starts, 1, 0, now) {
			if w.order != orderDeadline {
				continue
			}
			if got += weights[w]; w.due.Before(last) {
				t.Fatalf("%s before %s", w.due, last)
			}
			last = w.due
		}
		if got != best {
			t.Fatalf("weight %v in time, want %v", got, best)
		}
	})
}

// contendedFleet has engines that are full of m1, m2 and m3, in a contended service with the other given models.
func contendedFleet(now time.Time, engines int, models ...string) *Fleet {
	loaded := make([][]string, engines)
	for i := range loaded {
		loaded[i] = []string{"m1", "m2", "m3"}
	}
	f := testFleet(now, testSpec(append(models, "m1", "m2", "m3")...), loaded...)
	f.SetContended(map[string]bool{"llm": true})
	return f
}

// waitingSlack is a report of requests of weight 1 that leave the given time for a load to begin.
func waitingSlack(start time.Duration) Waiting {
	return Waiting{Instance: "instance", OnTime: 1, Left: start + 10*time.Second, Slack: []Slack{{Weight: 1, Start: start, Left: start + 10*time.Second}}}
}

// TestPatientLoadWaitsOnlyIfOthersCompete: a load whose requests have slack begins at once on an engine that no other
// model needs, and waits if there are more wanted models than engines.
func TestPatientLoadWaitsOnlyIfOthersCompete(t *testing.T) {
	now := time.Unix(1000, 0)
	f := contendedFleet(now, 2, "patient", "other", "third")
	f.Find("llm", serving.Unit{Model: "patient"}, waitingSlack(4*time.Second), now)
	if ops := f.Dispatch(now); len(ops) != 1 {
		t.Fatalf("%+v, want a load although requests have slack", ops)
	}
	f = contendedFleet(now, 1, "patient", "other", "third")
	for _, model := range []string{"patient", "other"} {
		f.Find("llm", serving.Unit{Model: model}, waitingSlack(4*time.Second), now)
	}
	if ops := f.Dispatch(now); len(ops) != 0 || f.HeldLoads(now) == 0 {
		t.Fatalf("%+v, want the load to wait", ops)
	}
	found, ok := f.Find("llm", serving.Unit{Model: "patient"}, Waiting{}, now)
	if latest := now.Add(5 * time.Second); !ok || found.Ready.After(latest) || found.Ready.Before(now.Add(3*time.Second)) {
		t.Errorf("ready %s from now, want the load's start included, at most %s", found.Ready.Sub(now), latest.Sub(now))
	}
}

// TestUrgentRequestEndsWait: the first request without slack makes a waiting load begin, and gets an estimate without the
// wait.
func TestUrgentRequestEndsWait(t *testing.T) {
	now := time.Unix(1000, 0)
	f := contendedFleet(now, 1, "patient", "other")
	for _, model := range []string{"patient", "other"} {
		f.Find("llm", serving.Unit{Model: model}, waitingSlack(4*time.Second), now)
	}
	f.Dispatch(now)
	now = now.Add(time.Second)
	urgent := waitingSlack(100 * time.Millisecond)
	urgent.Instance = "second"
	found, _ := f.Find("llm", serving.Unit{Model: "patient"}, urgent, now)
	if found.Ready.After(now.Add(1500 * time.Millisecond)) {
		t.Errorf("ready %s from now, want the load at once", found.Ready.Sub(now))
	}
	if ops := f.Dispatch(now); len(ops) != 1 || ops[0].Load.Model != "patient" || ops[0].Order != orderDeadline {
		t.Errorf("%+v, want patient loaded", ops)
	}
}

// TestEarliestDeadlineFirst: of two models that can both be loaded in time, the one with less slack goes first although
// more requests wait for the other. A model that is too late for its requests goes after them.
func TestEarliestDeadlineFirst(t *testing.T) {
	began := time.Unix(1000, 0)
	now := began
	f := contendedFleet(now, 1, "late", "many", "soon")
	latestStarts := map[string]time.Duration{"late": -time.Second, "many": 1500 * time.Millisecond, "soon": 300 * time.Millisecond}
	weights := map[string]float64{"late": 9, "many": 9, "soon": 1}
	for _, want := range []string{"soon", "many", "late"} {
		for model, latestStart := range latestStarts {
			waiting := waitingSlack(began.Add(latestStart).Sub(now))
			waiting.Slack[0].Weight = weights[model]
			f.SetWaiting("llm", model, waiting, now)
		}
		ops := f.Dispatch(now)
		if len(ops) != 1 || ops[0].Load.Model != want {
			t.Fatalf("%+v, want %s", ops, want)
		}
		now = ops[0].Ready
		for _, unit := range ops[0].Unload {
			f.Unloaded(ops[0], unit)
		}
		f.Done(ops[0], now)
		delete(latestStarts, want)
		f.SetWaiting("llm", want, Waiting{Instance: "instance"}, now)
	}
}

// TestLeavingRequestsCostNothing: a model whose requests give up before its load would end does not delay another one.
func TestLeavingRequestsCostNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	f := contendedFleet(now, 1, "leaving", "staying")
	f.SetWaiting("llm", "leaving", Waiting{Instance: "i", Late: 100, Left: 500 * time.Millisecond, Slack: []Slack{{Weight: 100, Start: -1, Left: 500 * time.Millisecond}}}, now)
	f.SetWaiting("llm", "staying", Waiting{Instance: "i", Late: 1, Left: 9 * time.Second, Slack: []Slack{{Weight: 1, Start: -1, Left: 9 * time.Second}}}, now)
	if ops := f.Dispatch(now); len(ops) != 1 || ops[0].Load.Model != "staying" {
		t.Errorf("%+v, want staying loaded", ops)
	}
}

// TestLateModelIsNotStarved: a model whose single request is late is loaded although others can always be loaded in time.
func TestLateModelIsNotStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	f := contendedFleet(now, 1, "m4", "m5", "m6", "rare")
	for range 500 {
		now = now.Add(50 * time.Millisecond)
		f.SetWaiting("llm", "rare", Waiting{Instance: "instance", Late: minWeight, Slack: []Slack{{Weight: .01, Start: -time.Second}}}, now)
		for _, model := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
			if f.copiesOf(model, now) == 0 {
				f.SetWaiting("llm", model, Waiting{Instance: "other", OnTime: 3, Slack: []Slack{{Weight: 3, Start: 400 * time.Millisecond, Left: time.Second}}}, now)
			} else {
				f.SetWaiting("llm", model, Waiting{Instance: "other"}, now)
			}
		}
		for _, op := range f.Dispatch(now) {
			if op.Load.Model == "rare" {
				return
			}
			for _, unit := range op.Unload {
				f.Unloaded(op, unit)
			}
			f.Done(op, now)
		}
	}
	t.Error("a late request waited for 25 s")
}

// TestLostReport: the load that waits for further requests is given up when its instance no longer reports them.
func TestLostReport(t *testing.T) {
	now := time.Unix(1000, 0)
	f := contendedFleet(now, 1, "patient", "other")
	f.SetWaiting("llm", "patient", waitingSlack(4*time.Second), now)
	f.SetWaiting("llm", "other", waitingSlack(4*time.Second), now)
	f.Dispatch(now)
	now = now.Add(f.params.WaitingLifetime + 10*time.Millisecond)
	if ops := f.Dispatch(now); len(ops) != 0 || f.HeldLoads(now) != 0 {
		t.Fatalf("%+v, %d loads wait, want none for lost requests", ops, f.HeldLoads(now))
	}
	if ops := requestModel(t, f, "patient", now); len(ops) != 1 {
		t.Errorf("%+v, want the load when a request is reported again", ops)
	}
}

// TestNewHolderAndRestartedEngine: a load that waits begins in time for its first request although a holder without
// history takes over, and although the engine restarts meanwhile.
func TestNewHolderAndRestartedEngine(t *testing.T) {
	for _, failure := range []string{"holder", "engine"} {
		now := time.Unix(1000, 0)
		due := now.Add(3 * time.Second)
		f := contendedFleet(now, 1, "patient", "other")
		for begun := false; !begun; now = now.Add(50 * time.Millisecond) {
			if now.After(due) {
				t.Fatalf("%s: the load did not begin in time", failure)
			}
			switch e := f.Engine("a-engine"); {
			case now.Sub(time.Unix(1000, 0)) != time.Second:
			case failure == "holder":
				f = contendedFleet(now, 1, "patient", "other")
			default:
				e.fail(now)
				f.Adopt("a-engine", serving.Report{Models: map[string][]string{"m1": nil, "m2": nil}}, now)
			}
			f.SetWaiting("llm", "patient", waitingSlack(due.Sub(now)), now)
			f.SetWaiting("llm", "other", waitingSlack(due.Add(3*time.Second).Sub(now)), now)
			ops := f.Dispatch(now)
			begun = len(ops) > 0 && ops[0].Load.Model == "patient"
		}
	}
}

// TestFailedLoadIsOrderedAgain: when a load fails, its requests compete again with the slack that they have left.
func TestFailedLoadIsOrderedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	f := contendedFleet(now, 2, "patient")
	f.SetWaiting("llm", "patient", waitingSlack(2*time.Second), now)
	ops := f.Dispatch(now)
	if len(ops) != 1 {
		t.Fatalf("%+v, want a load", ops)
	}
	now = now.Add(500 * time.Millisecond)
	f.Failed(ops[0], now)
	f.SetWaiting("llm", "patient", waitingSlack(1500*time.Millisecond), now)
	again := f.Dispatch(now)
	if len(again) != 1 || again[0].Engine == ops[0].Engine || again[0].Slack != 1500*time.Millisecond {
		t.Errorf("%+v, want it loaded on the other engine", again)
	}
}

// TestAbsurdWeights: reports with weights and times that are missing, huge or no numbers neither hide a model nor stop
// others from being loaded.
func TestAbsurdWeights(t *testing.T) {
	for _, weight := range []float64{0, math.Inf(1), math.NaN(), -1, math.MaxFloat64, serving.Weight(-1 << 40), serving.Weight(1 << 40)} {
		if w := BoundWeight(weight); !(w >= minWeight && w <= maxWeight) {
			t.Errorf("weight %v becomes %v", weight, w)
		}
		now := time.Unix(1000, 0)
		f := contendedFleet(now, 2, "odd", "usual")
		odd := waitingSlack(0)
		odd.Slack = []Slack{{Weight: weight, Start: math.MaxInt64, Left: math.MinInt64}, {Weight: weight, Start: math.MinInt64, Left: math.MaxInt64}}
		f.SetWaiting("llm", "odd", odd, now)
		f.SetWaiting("llm", "usual", waitingSlack(100*time.Millisecond), now)
		loaded := map[string]bool{}
		for range 2 {
			for _, op := range f.Dispatch(now) {
				loaded[op.Load.Model] = true
			}
		}
		if !loaded["usual"] || weight > 0 && !loaded["odd"] {
			t.Errorf("weight %v: loaded %v", weight, loaded)
		}
		for _, e := range f.Engines() {
			if leaving := 200.0; e.memoryMB()-leaving > e.Spec.MemoryMB {
				t.Errorf("weight %v: %.0f MB on %s", weight, e.memoryMB(), e.Server.ID)
			}
		}
	}
}

// TestLateLoadsBeginEarlier: after loads that end late, loads wait for less long; the margin is at most a load, and
// returns when loads are on time again.
func TestLateLoadsBeginEarlier(t *testing.T) {
	due := time.Unix(1000, 0)
	wait := func(l loadLateness) time.Duration {
		return due.Sub(mayWaitUntil(due, time.Second, time.Second, 0, l))
	}
	var l loadLateness
	if got := wait(l); got != 250*time.Millisecond {
		t.Errorf("margin %s without history", got)
	}
	for range 50 {
		l.observe(600 * time.Millisecond)
	}
	if got := wait(l); got < 550*time.Millisecond || got > 700*time.Millisecond {
		t.Errorf("margin %s for loads that are .6 s late", got)
	}
	for range 50 {
		l.observe(time.Minute)
	}
	if got := wait(l); got != time.Second {
		t.Errorf("margin %s, want at most a load", got)
	}
	for range 200 {
		l.observe(-10 * time.Millisecond)
	}
	if got := wait(l); got != 250*time.Millisecond {
		t.Errorf("margin %s after loads in time", got)
	}
}
