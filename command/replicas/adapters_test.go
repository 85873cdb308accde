package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// testSpec has room for three models and two adapters.
func testSpec(models ...string) *serving.EngineSpec {
	spec := &serving.EngineSpec{Slots: 8, MemoryMB: 330, AdapterSlots: 2, RemoteLoadsPerSecond: 3, Models: map[string]serving.Model{}}
	for _, name := range models {
		spec.Models[name] = serving.Model{
			Name: name, MemoryMB: 100, RemoteLoad: 6 * time.Second, DiskLoad: time.Second, MemoryLoad: time.Second / 2, Adapters: 9, AdapterMB: 1,
		}
	}
	return spec
}

// testFleet has one engine per element of loaded, named a-engine, b-engine and so on, with these models loaded and all
// others on disk. All engines have been read.
func testFleet(now time.Time, spec *serving.EngineSpec, loaded ...[]string) *Fleet {
	f := NewFleet(DefaultParams())
	var servers []serving.Server
	for i, models := range loaded {
		s := serving.Server{ID: string(rune('a'+i)) + "-engine", Service: "llm", Models: map[string][]string{}, Tiers: map[string]serving.Tier{}}
		for name := range spec.Models {
			s.Tiers[name] = serving.TierDisk
		}
		for _, name := range models {
			s.Models[name] = nil
		}
		servers = append(servers, s)
	}
	f.SetServers(servers, func(string) *serving.EngineSpec { return spec })
	for _, s := range servers {
		f.Adopt(s.ID, serving.Report{Models: s.Models}, now)
	}
	f.SetComplete(true)
	f.params.RemoteOverage = remoteOverage
	f.refillRemoteTokens(f.remoteUse(), now.Add(-time.Hour)) // fills the token bucket
	f.refillRemoteTokens(f.remoteUse(), now)
	return f
}

// TestReplannedAdapterStaysCounted: an adapter that is evicted for another one and planned again before its unload was
// sent must stay counted. Otherwise the delayed unload removes the new plan from the record, and one adapter too many is
// ordered (seen as limit violations in scenario scale-1).
func TestReplannedAdapterStaysCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m"), []string{"m"})
	find := func(adapter string) *Operation {
		t.Helper()
		now = now.Add(5 * time.Second)
		found, ok := f.Find("llm", serving.Unit{Model: "m", Adapter: adapter}, oneWaiting(1), now)
		if !ok || found.Start == nil {
			t.Fatalf("adapter %s: %+v, %v", adapter, found, ok)
		}
		return found.Start
	}
	find("a1")
	find("a2")
	evicts1 := find("a3")
	if len(evicts1.Unload) != 1 || evicts1.Unload[0].Adapter != "a1" {
		t.Fatalf("a3 evicts %v, want a1", evicts1.Unload)
	}
	find("a1") // requested again, replaces a2
	f.Unloaded(*evicts1, evicts1.Unload[0])
	if n := f.Engine("a-engine").adapters(); n != 2 {
		t.Errorf("%d adapters counted, want 2", n)
	}
	if again := find("a4"); len(again.Unload) != 1 {
		t.Errorf("a4 evicts %v, want one adapter: all adapter slots are taken", again.Unload)
	}
}

// TestAdaptersFitMemory: adapters of different sizes share the memory that the models leave. Evicting a small adapter
// does not free enough for a large one, even if the small one is the least recently used.
func TestAdaptersFitMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := testSpec("small", "large", "third")
	for name, mb := range map[string]float64{"small": 5, "large": 25} {
		m := spec.Models[name]
		m.AdapterMB = mb
		spec.Models[name] = m
	}
	f := testFleet(now, spec, []string{"small", "large", "third"}) // 30 MB are free
	find := func(model, adapter string) Found {
		now = now.Add(5 * time.Second)
		found, _ := f.Find("llm", serving.Unit{Model: model, Adapter: adapter}, oneWaiting(1), now)
		return found
	}
	find("small", "a1")
	find("large", "a1")
	found := find("large", "a2")
	if found.Start == nil || len(found.Start.Unload) != 1 || found.Start.Unload[0].Model != "large" {
		t.Errorf("%+v, want the other large adapter evicted", found.Start)
	}
	if used := f.Engine("a-engine").memoryMB(); used > spec.MemoryMB {
		t.Errorf("%v MB counted, of %v", used, spec.MemoryMB)
	}
	spec.AdapterSlots = 9 // slots are free, memory is not
	if found := find("small", "a2"); found.Start == nil || len(found.Start.Unload) != 1 {
		t.Errorf("%+v, want an adapter evicted for its memory", found.Start)
	}
}

// TestOperationVoidAfterAdopt: an operation that was planned on a record that was replaced since is void. Otherwise an
// engine gets more models than fit (seen as limit violations in scenario trouble-1 on two deployments).
func TestOperationVoidAfterAdopt(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	if _, ok := f.Find("llm", serving.Unit{Model: "m4"}, oneWaiting(1), now); !ok {
		t.Fatal("no engine for m4")
	}
	operations := f.Dispatch(now)
	if len(operations) != 1 || !f.Current(operations[0]) {
		t.Fatalf("operations %+v", operations)
	}
	f.Adopt("a-engine", serving.Report{Models: map[string][]string{"m1": nil, "m2": nil, "m3": nil}}, now)
	if f.Current(operations[0]) {
		t.Error("operation is still current after the record that it was planned on was replaced")
	}
}

// TestReportOfAnotherProcessRejected: a report with a sequence below the known one is from another process.
func TestReportOfAnotherProcessRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1"), []string{"m1"})
	f.Ordered("a-engine")
	f.Adopt("a-engine", serving.Report{}, now)
	if e := f.Engine("a-engine"); len(e.Copies) != 1 || !e.Unsure {
		t.Errorf("copies %v, unsure %v: the report of another process was adopted", e.Copies, e.Unsure)
	}
}

// TestAdapterOperationVoidOnceCopyIsEvicted: an adapter's load that the engine has refused so far is void once the copy
// of its model is evicted, even if the model is loaded again on that engine. Otherwise a retry is accepted by the new
// copy, and the engine has an adapter that is not counted (seen as a limit violation in scenario trouble-1, seed 14).
func TestAdapterOperationVoidOnceCopyIsEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	found, ok := f.Find("llm", serving.Unit{Model: "m1", Adapter: "a1"}, Waiting{}, now)
	if !ok || found.Start == nil || !f.Current(*found.Start) {
		t.Fatalf("%+v, want the adapter loaded", found)
	}
	e := f.Engine("a-engine")
	for _, other := range []string{"m2", "m3"} {
		f.RecordArrivals(other, arrivals(9), now)
	}
	now = now.Add(time.Second)
	swap := requestModel(t, f, "m4", now)
	if len(swap) != 1 || swap[0].Unload[0].Model != "m1" {
		t.Fatalf("%+v, want m1 evicted", swap)
	}
	if f.Current(*found.Start) {
		t.Error("adapter operation is still current while its model is being unloaded")
	}
	f.Unloaded(swap[0], swap[0].Unload[0])
	e.Copies["m1"] = &Copy{State: Resident, Adapters: map[string]*Adapter{}} // loaded again
	if f.Current(*found.Start) {
		t.Error("adapter operation is still current although the copy that it was planned on is gone")
	}
	f.Failed(*found.Start, now)
	if e.Unsure || now.Before(e.FailingUntil) {
		t.Error("engine is skipped after the failure of a void operation")
	}
}

// TestPendingAdapterLoadDelaysModelLoad: a pending adapter load goes before the next model load, which would block the
// engine for long, but delays it only for a limited time. An adapter load that is refused meanwhile is expected once the
// engine is free.
func TestPendingAdapterLoadDelaysModelLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.RecordArrivals("m1", arrivals(99), now)
	found, _ := f.Find("llm", serving.Unit{Model: "m1", Adapter: "a1"}, Waiting{}, now)
	if operations := requestModel(t, f, "m4", now); len(operations) > 0 {
		t.Fatalf("%+v planned before the adapter was loaded", operations)
	}
	late := found.Start.Ready.Add(adapterLoadGrace)
	if operations := requestModel(t, f, "m4", late); len(operations) != 1 {
		t.Fatalf("%d operations %s after the adapter should have been loaded, want 1", len(operations), adapterLoadGrace)
	}
	e := f.Engine("a-engine")
	f.Delayed(*found.Start, 20*time.Millisecond, late)
	if ready := e.Copies["m1"].Adapters["a1"].Ready; ready.Before(e.FreeAt) {
		t.Errorf("adapter is expected %s before the engine is free", e.FreeAt.Sub(ready))
	}
	f.Done(*found.Start, late)
	if e.adapterLoadPending(late) {
		t.Error("adapter that is loaded still delays model loads")
	}
}
