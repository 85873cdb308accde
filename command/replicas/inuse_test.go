package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestCopyThatRequestsWereToldOfIsInUse: of three idle copies the one goes that no request
// has been told of, until the instances have said what they run.
func TestCopyThatRequestsWereToldOfIsInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.SetWordAge(time.Second)
	for _, model := range []string{"m1", "m3"} {
		f.Find("llm", serving.Unit{Model: model}, Waiting{}, now)
	}
	operations := wantNow(t, f, "m4", now)
	if len(operations) != 1 || len(operations[0].Unload) != 1 || operations[0].Unload[0].Model != "m2" || operations[0].InUse {
		t.Fatalf("%+v, want m2 evicted, and nothing waited for", operations)
	}
	f = testFleet(now, testSpec("m1", "m2"), []string{"m1"})
	f.SetWordAge(time.Second)
	f.Find("llm", serving.Unit{Model: "m1"}, Waiting{}, now)
	c := f.Engine("a-engine").Copies["m1"]
	if use := f.useOf(c, "m1", now.Add(900*time.Millisecond)); use != 1 {
		t.Errorf("in use with chance %.2f before the instances have said what they run, want 1", use)
	}
	if use := f.useOf(c, "m1", now.Add(1100*time.Millisecond)); use != 0 {
		t.Errorf("in use with chance %.2f after they have said that they run nothing, want 0", use)
	}
}

// TestLoadedCopyIsInUseByThoseItWasLoadedFor: a copy whose load has just ended serves the
// requests that waited for it, before an instance has said so.
func TestLoadedCopyIsInUseByThoseItWasLoadedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4", "m5"), []string{"m1", "m2", "m3"})
	f.SetWordAge(time.Second)
	operations := wantNow(t, f, "m4", now)
	if len(operations) != 1 {
		t.Fatalf("%+v, want m4 loaded", operations)
	}
	op := operations[0]
	found, _ := f.Find("llm", serving.Unit{Model: "m4"}, Waiting{}, now)
	for _, unit := range op.Unload {
		f.Unloaded(op, unit)
	}
	f.Done(op, found.Ready)
	if use := f.useOf(f.Engine("a-engine").Copies["m4"], "m4", found.Ready.Add(500*time.Millisecond)); use != 1 {
		t.Errorf("in use with chance %.2f half a second after the load, want 1", use)
	}
}

// TestBegunUseCountsBeforeReports: a copy that an instance has said to use is not the one
// that goes for room.
func TestBegunUseCountsBeforeReports(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	f.SetWordAge(time.Second)
	f.BeganUse("a-engine", serving.Unit{Model: "m1"}, now)
	f.BeganUse("a-engine", serving.Unit{Model: "m2"}, now)
	f.BeganUse("gone", serving.Unit{Model: "m2"}, now)
	operations := wantNow(t, f, "m4", now)
	if len(operations) != 1 || operations[0].Unload[0].Model != "m3" || operations[0].InUse {
		t.Errorf("%+v, want m3 evicted, and nothing waited for", operations)
	}
}
