package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// testSpec returns an engine with memory for three models, which leaves 30 MB for adapters, and with slots for two
// adapters.
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
	// The bound that deployments guarantee, see remotelimiter_test.go.
	f.params.RemoteOverage = remoteOverage
	f.refillRemoteTokens(f.remoteUse(), now.Add(-time.Hour)) // an hour of refill fills the token bucket
	f.refillRemoteTokens(f.remoteUse(), now)
	return f
}

// TestReplannedAdapterKeepsSlot: an adapter that was evicted and planned again before its unload was sent keeps its
// slot. Otherwise the late unload removes the record of the new load, and an engine is ordered to hold one adapter more
// than it has slots for.
func TestReplannedAdapterKeepsSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m"), []string{"m"})
	find := func(adapter string) *Operation {
		t.Helper()
		now = now.Add(5 * time.Second)
		found, ok := f.Find("llm", serving.Unit{Model: "m", Adapter: adapter}, waitingOnTime(1), now)
		if !ok || found.Start == nil {
			t.Fatalf("adapter %s: %+v, %v", adapter, found, ok)
		}
		return found.Start
	}
	find("a1")
	find("a2")
	loadA3 := find("a3")
	if len(loadA3.Unload) != 1 || loadA3.Unload[0].Adapter != "a1" {
		t.Fatalf("a3 evicts %v, want a1", loadA3.Unload)
	}
	find("a1") // requested again, replaces a2
	f.Unloaded(*loadA3, loadA3.Unload[0])
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
		found, _ := f.Find("llm", serving.Unit{Model: model, Adapter: adapter}, waitingOnTime(1), now)
		return found
	}
	find("small", "a1")
	find("large", "a1")
	found := find("large", "a2")
	if found.Start == nil || len(found.Start.Unload) != 1 || found.Start.Unload[0].Model != "large" {
		t.Errorf("operation %+v, want the other large adapter evicted", found.Start)
	}
	if used := f.Engine("a-engine").memoryMB(); used > spec.MemoryMB {
		t.Errorf("%v MB counted, of %v", used, spec.MemoryMB)
	}
	spec.AdapterSlots = 9 // slots are free, memory is not
	if found := find("small", "a2"); found.Start == nil || len(found.Start.Unload) != 1 {
		t.Errorf("operation %+v, want an adapter evicted for its memory", found.Start)
	}
}

// TestOperationNotCurrentAfterAdopt: an operation is no longer current once the engine's record that it was planned on
// has been replaced. Otherwise an engine is ordered to hold more models than fit its memory, as was seen on two
// deployments.
func TestOperationNotCurrentAfterAdopt(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	if _, ok := f.Find("llm", serving.Unit{Model: "m4"}, waitingOnTime(1), now); !ok {
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
	if e := f.Engine("a-engine"); len(e.Copies) != 1 || !e.MustBeRead {
		t.Errorf("copies %v, must be read again %v: the report of another process was adopted", e.Copies, e.MustBeRead)
	}
}

// TestAdapterOperationNotCurrentOnceCopyIsEvicted: a copy is a model loaded on one engine. An adapter load that the
// engine has refused so far is no longer current once the copy of its model is evicted, even if the model is loaded
// again on that engine. Otherwise the engine accepts a retry for the new copy and holds an adapter that is not counted,
// so that it can exceed its adapter slots.
func TestAdapterOperationNotCurrentOnceCopyIsEvicted(t *testing.T) {
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
	if e.MustBeRead || now.Before(e.FailingUntil) {
		t.Error("engine is skipped after the failure of an operation that is not current")
	}
}

// TestPendingAdapterLoadDelaysModelLoad: a pending adapter load goes before the next model load, which would block the
// engine for long, but delays it only for a limited time. If the engine refuses the adapter load because the model is
// being loaded, the adapter's expected ready time is no earlier than the end of that load.
func TestPendingAdapterLoadDelaysModelLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.RecordArrivals("m1", arrivals(99), now)
	found, _ := f.Find("llm", serving.Unit{Model: "m1", Adapter: "a1"}, Waiting{}, now)
	if operations := requestModel(t, f, "m4", now); len(operations) > 0 {
		t.Fatalf("%+v planned before the adapter was loaded", operations)
	}
	graceOver := found.Start.Ready.Add(adapterLoadGrace)
	if operations := requestModel(t, f, "m4", graceOver); len(operations) != 1 {
		t.Fatalf("%d operations %s after the adapter should have been loaded, want 1 model load", len(operations), adapterLoadGrace)
	}
	e := f.Engine("a-engine")
	f.Delayed(*found.Start, 20*time.Millisecond, graceOver)
	if ready := e.Copies["m1"].Adapters["a1"].Ready; ready.Before(e.FreeAt) {
		t.Errorf("adapter is expected %s before the engine is free", e.FreeAt.Sub(ready))
	}
	f.Done(*found.Start, graceOver)
	if e.adapterLoadPending(graceOver) {
		t.Error("adapter that is loaded still delays model loads")
	}
}
