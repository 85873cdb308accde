package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestFoundCopyCountsAsInUse: a copy that Find returned counts as in use until the instances have reported what they run,
// so that of three idle copies the one is evicted that no request was directed to.
func TestFoundCopyCountsAsInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.SetReportAge(time.Second)
	for _, model := range []string{"m1", "m3"} {
		f.Find("llm", serving.Unit{Model: model}, Waiting{}, now)
	}
	operations := requestModel(t, f, "m4", now)
	if len(operations) != 1 || len(operations[0].Unload) != 1 || operations[0].Unload[0].Model != "m2" || operations[0].InUse {
		t.Fatalf("%+v, want m2 evicted without waiting for requests", operations)
	}
	f = testFleet(now, testSpec("m1", "m2"), []string{"m1"})
	f.SetReportAge(time.Second)
	f.Find("llm", serving.Unit{Model: "m1"}, Waiting{}, now)
	c := f.Engine("a-engine").Copies["m1"]
	if use := f.useProbability(c, "m1", now.Add(900*time.Millisecond)); use != 1 {
		t.Errorf("in use with probability %.2f before the instances have reported, want 1", use)
	}
	if use := f.useProbability(c, "m1", now.Add(1100*time.Millisecond)); use != 0 {
		t.Errorf("in use with probability %.2f after they have reported no requests, want 0", use)
	}
}

// TestLoadedCopyCountsAsInUse: a copy whose load has just ended serves the requests that waited for it, even before an
// instance has reported them.
func TestLoadedCopyCountsAsInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4", "m5"), []string{"m1", "m2", "m3"})
	f.SetReportAge(time.Second)
	operations := requestModel(t, f, "m4", now)
	if len(operations) != 1 {
		t.Fatalf("%+v, want m4 loaded", operations)
	}
	op := operations[0]
	found, _ := f.Find("llm", serving.Unit{Model: "m4"}, Waiting{}, now)
	for _, unit := range op.Unload {
		f.Unloaded(op, unit)
	}
	f.Done(op, found.Ready)
	if use := f.useProbability(f.Engine("a-engine").Copies["m4"], "m4", found.Ready.Add(500*time.Millisecond)); use != 1 {
		t.Errorf("in use with probability %.2f half a second after the load, want 1", use)
	}
}

// TestUseStartedCountsBeforeReports: a copy that an instance has announced to use is not evicted.
func TestUseStartedCountsBeforeReports(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.SetReportAge(time.Second)
	f.UseStarted("a-engine", serving.Unit{Model: "m1"}, now)
	f.UseStarted("a-engine", serving.Unit{Model: "m2"}, now)
	f.UseStarted("gone", serving.Unit{Model: "m2"}, now)
	operations := requestModel(t, f, "m4", now)
	if len(operations) != 1 || operations[0].Unload[0].Model != "m3" || operations[0].InUse {
		t.Errorf("%+v, want m3 evicted without waiting for requests", operations)
	}
}
