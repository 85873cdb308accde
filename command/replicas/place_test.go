package replicas

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

// TestLoadPrefersEngineWithWeights: a model is loaded on the engine that has its weights, although others have the same
// free memory.
func TestLoadPrefersEngineWithWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"}, []string{"m1", "m2"}, []string{"m1", "m2"})
	for _, id := range []string{"a-engine", "c-engine"} {
		f.Engine(id).Tiers["m4"] = serving.TierRemote
	}
	f.index = index{}
	operations := requestModel(t, f, "m4", now)
	if len(operations) != 1 || operations[0].Engine != "b-engine" || operations[0].Remote {
		t.Errorf("%+v, want a load from the disk of b-engine", operations)
	}
}

// waitingOnTime is the report of a test's only instance: waiting requests of the given total weight that can still be
// answered within their objective.
func waitingOnTime(weight float64) Waiting { return Waiting{Instance: "instance", OnTime: weight} }

// arrivals are n requests of weight 1 that all miss their objective if they wait for a load.
func arrivals(n int) Arrivals { return Arrivals{Count: n, Weight: float64(n), Late: float64(n)} }

// requestModel requests a model and returns the operations that are started.
func requestModel(t *testing.T, f *Fleet, model string, now time.Time) []Operation {
	t.Helper()
	if _, ok := f.Find("llm", serving.Unit{Model: model}, waitingOnTime(1), now); !ok {
		t.Fatalf("no engine for %s", model)
	}
	return f.Dispatch(now)
}

// TestIdleCopyIsEvictedFirst: an idle copy is evicted rather than one in use. If all are in use, a copy whose requests
// must be waited for is evicted, and the expected ready time includes that wait.
func TestIdleCopyIsEvictedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.SetRunning(map[string]map[serving.Unit]int{"a-engine": {{Model: "m1"}: 1, {Model: "m3"}: 2}}, now)
	operations := requestModel(t, f, "m4", now)
	if len(operations) != 1 || len(operations[0].Unload) != 1 || operations[0].Unload[0].Model != "m2" || operations[0].InUse {
		t.Fatalf("%+v, want m2 evicted", operations)
	}
	f = testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.SetRunning(map[string]map[serving.Unit]int{"a-engine": {{Model: "m1"}: 1, {Model: "m2"}: 1, {Model: "m3"}: 1}}, now)
	operations = requestModel(t, f, "m4", now.Add(time.Minute))
	if len(operations) != 1 || !operations[0].InUse || operations[0].Ready.Sub(now.Add(time.Minute)) < f.unloadTimes.inUse+time.Second {
		t.Errorf("%+v, want a copy in use evicted after its requests", operations)
	}
}

// TestBusyModelIsNotEvicted: a model with many requests is not evicted for one request that waits for another model,
// however long it waits. A model with few requests is.
func TestBusyModelIsNotEvicted(t *testing.T) {
	for _, c := range []struct {
		each, every int
		want        int
	}{{120, 1, 0}, {1, 24, 1}} {
		now := time.Unix(1000, 0)
		f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
		for i := range 24 {
			now = now.Add(500 * time.Millisecond)
			for _, model := range []string{"m1", "m2", "m3"} {
				if i%c.every == 0 {
					f.RecordArrivals(model, arrivals(c.each), now)
				}
			}
		}
		if operations := requestModel(t, f, "m4", now); len(operations) != c.want {
			t.Errorf("%d requests every %d half seconds: %+v, want %d operations", c.each, c.every, operations, c.want)
		}
	}
}

// TestNoThrashing: models with equal demand are not swapped proactively, and when requests wait for them in turn, no copy
// is evicted before the requests that it was loaded for are served.
func TestNoThrashing(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, model := range []string{"m1", "m2", "m3", "m4"} {
			f.RecordArrivals(model, arrivals(1), now)
		}
	}
	if operations := f.Dispatch(now); len(operations) > 0 {
		t.Fatalf("%+v planned although no request waits", operations)
	}
	first := requestModel(t, f, "m4", now)
	if len(first) != 1 {
		t.Fatalf("%+v, want m4 loaded", first)
	}
	for _, unit := range first[0].Unload {
		f.Unloaded(first[0], unit)
	}
	f.Done(first[0], now)
	for range 10 { // the requests for m4 still wait to be sent
		now = now.Add(50 * time.Millisecond)
		f.Find("llm", serving.Unit{Model: "m4"}, waitingOnTime(1), now)
		f.Find("llm", serving.Unit{Model: first[0].Unload[0].Model}, waitingOnTime(1), now)
		for _, op := range f.Dispatch(now) {
			for _, unit := range op.Unload {
				if unit.Model == "m4" {
					t.Fatalf("m4 is evicted before it has served the requests that it was loaded for")
				}
			}
		}
	}
}

// TestRareModelIsNotStarved: a rare model for which one request waits is loaded although busier models are wanted again
// and again.
func TestRareModelIsNotStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4", "m5", "m6", "rare"), []string{"m1", "m2", "m3"})
	others := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		f.Find("llm", serving.Unit{Model: "rare"}, waitingOnTime(1), now)
		for _, model := range others {
			if f.copiesOf(model, now) == 0 {
				f.Find("llm", serving.Unit{Model: model}, Waiting{Instance: "other", OnTime: 3}, now)
			} else {
				f.SetWaiting("llm", model, Waiting{Instance: "other"}, now) // served
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
		_ = i
	}
	t.Error("request for a rare model waited for 20 s")
}

// TestCheapestEvictionIsChosen: of all sets of copies that free enough memory the cheapest is evicted: one large copy
// rather than two small ones, unless the large one has more demand.
func TestCheapestEvictionIsChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := testSpec("small1", "small2", "large", "wanted")
	for name, mb := range map[string]float64{"small1": 60, "small2": 60, "large": 120, "wanted": 110} {
		m := spec.Models[name]
		m.MemoryMB = mb
		spec.Models[name] = m
	}
	spec.MemoryMB = 240
	for busy, want := range map[string]int{"": 1, "large": 2} {
		f := testFleet(now, spec, []string{"small1", "small2", "large"})
		for _, model := range []string{"small1", "small2", "large"} {
			f.RecordArrivals(model, arrivals(1), now)
		}
		if busy != "" {
			f.RecordArrivals(busy, arrivals(20), now)
		}
		f.Find("llm", serving.Unit{Model: "wanted"}, waitingOnTime(100), now)
		operations := f.Dispatch(now)
		if len(operations) != 1 || len(operations[0].Unload) != want {
			t.Errorf("busy %q: %+v, want %d evicted", busy, operations, want)
		}
	}
}

// TestBurstSharesOneLoad: concurrent requests for one model share its load.
func TestBurstSharesOneLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"}, []string{"m1", "m2", "m3"})
	started := 0
	for range 50 {
		started += len(requestModel(t, f, "m4", now))
	}
	if started != 1 {
		t.Errorf("%d loads for one burst", started)
	}
}

// TestMostWantedFirst: a free engine loads the model with the most waiting requests.
func TestMostWantedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4", "m5"), []string{"m1", "m2", "m3"})
	e := f.Engine("a-engine")
	e.Busy, e.FreeAt = true, now.Add(time.Second)
	f.Find("llm", serving.Unit{Model: "m4"}, waitingOnTime(1), now)
	f.Find("llm", serving.Unit{Model: "m5"}, waitingOnTime(5), now)
	if operations := f.Dispatch(now); len(operations) != 0 {
		t.Fatalf("%+v started on a busy engine", operations)
	}
	e.Busy = false
	if operations := f.Dispatch(now); len(operations) != 1 || operations[0].Load.Model != "m5" {
		t.Errorf("%+v, want m5 first", operations)
	}
}

// TestOnTimeFirst: of two models with the same number of waiting requests, the one whose requests can still be answered
// within their objective is loaded first; many late requests go before a few that are on time.
func TestOnTimeFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	for late, want := range map[float64]string{1: "m5", 9: "m4"} {
		f := testFleet(now, testSpec("m1", "m2", "m3", "m4", "m5"), []string{"m1", "m2", "m3"})
		e := f.Engine("a-engine")
		e.Busy, e.FreeAt = true, now.Add(time.Second)
		f.Find("llm", serving.Unit{Model: "m4"}, Waiting{Instance: "instance", Late: late}, now)
		f.Find("llm", serving.Unit{Model: "m5"}, Waiting{Instance: "instance", OnTime: 1}, now)
		e.Busy = false
		if operations := f.Dispatch(now); len(operations) != 1 || operations[0].Load.Model != want {
			t.Errorf("%v late requests against one on time: %+v, want %s", late, operations, want)
		}
	}
}

// TestBusyModelsGetCopies: concurrent requests beyond the capacity of the copies lead to further copies, and a model with
// frequent requests gets a spare copy.
func TestBusyModelsGetCopies(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"}, []string{"m2", "m3", "m4"}, []string{"m2", "m3", "m4"})
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		f.RecordArrivals("m1", arrivals(2), now)
		f.SetRunning(map[string]map[serving.Unit]int{"a-engine": {{Model: "m1"}: 40}}, now)
		for _, op := range f.Dispatch(now) {
			f.Done(op, now)
		}
	}
	if n := f.copiesOf("m1", now); n != 3 {
		t.Errorf("%d copies of a model of which 40 requests run at once, on three engines", n)
	}
}

// TestDemandLoadsFirstCopy: a model with frequent requests gets a copy even if every single request was refused and none
// waits.
func TestDemandLoadsFirstCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.RecordArrivals("m4", arrivals(40), now)
	if operations := f.Dispatch(now); len(operations) != 1 || operations[0].Load.Model != "m4" {
		t.Errorf("%+v, want m4 loaded", operations)
	}
}

// TestNewEngineGetsCopies: further copies of a busy model are loaded from the weight store into free memory of a new
// engine, but nothing is evicted there for them.
func TestNewEngineGetsCopies(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, held := range [][]string{nil, {"m2", "m3", "m4"}} {
		f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"}, held)
		clear(f.Engine("b-engine").Tiers)
		f.index = index{}
		f.RecordArrivals("m1", arrivals(40), now)
		operations := f.Dispatch(now)
		if held == nil && (len(operations) != 1 || operations[0].Engine != "b-engine" || !operations[0].Remote) {
			t.Errorf("%+v, want m1 from the weight store on the new engine", operations)
		}
		if held != nil && len(operations) > 0 {
			t.Errorf("%+v, want nothing evicted for it", operations)
		}
	}
}

// TestPlannedMemoryFitsEngine: whatever is requested, completed and failed, the units that the record counts on an engine
// fit it.
func TestPlannedMemoryFitsEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		names := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
		f := testFleet(now, testSpec(names...), []string{"m1", "m2", "m3"}, []string{"m1", "m4"})
		var running []Operation
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passes")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"want", "want", "want", "adapter", "end", "end", "fail", "read"}).Draw(t, "what") {
			case "want":
				f.Find("llm", serving.Unit{Model: rapid.SampledFrom(names).Draw(t, "model")}, waitingOnTime(1), now)
				running = append(running, f.Dispatch(now)...)
			case "adapter":
				unit := serving.Unit{Model: rapid.SampledFrom(names).Draw(t, "model"), Adapter: rapid.SampledFrom([]string{"a1", "a2", "a3", "a4"}).Draw(t, "adapter")}
				if found, ok := f.Find("llm", unit, waitingOnTime(1), now); ok && found.Start != nil {
					running = append(running, *found.Start)
				}
			case "end", "fail":
				if len(running) == 0 {
					continue
				}
				op := running[0]
				running = running[1:]
				if !f.Current(op) {
					continue
				}
				if rapid.Bool().Draw(t, "fails") {
					f.Failed(op, now)
					continue
				}
				for _, unit := range op.Unload {
					f.Unloaded(op, unit)
				}
				f.Done(op, now)
			case "read":
				for _, id := range f.EnginesToRead() {
					f.Adopt(id, serving.Report{Models: map[string][]string{"m1": nil, "m2": {"a1"}}, Sequence: 1 << 30}, now)
				}
			}
			for _, e := range f.Engines() {
				leaving := 0.0 // replaced by what is being loaded
				for name, c := range e.Copies {
					if c.State == Unloading {
						leaving += e.Spec.Models[name].MemoryMB + float64(len(c.Adapters))*e.Spec.Models[name].AdapterMB
					}
				}
				if e.memoryMB()-leaving > e.Spec.MemoryMB || e.adapters() > e.Spec.AdapterSlots {
					t.Fatalf("%s: %.0f MB, %d adapters", e.Server.ID, e.memoryMB()-leaving, e.adapters())
				}
			}
		}
	})
}

// TestNotBefore: an engine that another holder may have ordered recently gets no orders before its time, and a model that
// is loaded on it is available at once.
func TestNotBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	e := f.Engine("a-engine")
	e.NotBefore = now.Add(3 * time.Second)
	found, ok := f.Find("llm", serving.Unit{Model: "m4"}, waitingOnTime(1), now)
	if !ok || found.Ready.Before(now.Add(4*time.Second)) {
		t.Errorf("%+v, want ready after the wait and the load", found)
	}
	if operations := f.Dispatch(now); len(operations) != 0 {
		t.Errorf("%+v started before NotBefore", operations)
	}
	if found, ok := f.Find("llm", serving.Unit{Model: "m1"}, waitingOnTime(1), now); !ok || found.Ready.After(now) {
		t.Errorf("%+v, want the loaded model at once", found)
	}
	if operations := requestModel(t, f, "m4", now.Add(3*time.Second)); len(operations) != 1 { // the instance reports again
		t.Errorf("%d operations at NotBefore, want 1", len(operations))
	}
}
