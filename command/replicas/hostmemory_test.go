package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestHostMemoryTrust: where most loads from host memory take longer than configured, loads are expected to come from
// disk, except for an occasional one; where most take the configured time, host memory is trusted.
func TestHostMemoryTrust(t *testing.T) {
	for _, c := range []struct {
		name             string
		slowOf10         int
		fewest, mostOf10 float64
	}{{"mostly wrong", 7, 0, 1.5}, {"mostly right", 1, 9, 10}} {
		var h hostMemoryStats
		expected := 0
		for i := range 400 {
			trusted := h.trusted()
			h.recordLoad(trusted)
			if !trusted {
				continue
			}
			expected++
			if i%10 < c.slowOf10 {
				h.recordSlow()
			}
		}
		if per10 := float64(expected) / 40; per10 < c.fewest || per10 > c.mostOf10 {
			t.Errorf("%s: %.1f of 10 loads expected from host memory, want %.1f to %.1f", c.name, per10, c.fewest, c.mostOf10)
		}
	}
}

// TestHostMemoryTrustFromRefusedRequests: a request that an engine refuses right after a load from its host memory shows
// that the load took longer.
func TestHostMemoryTrustFromRefusedRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
	e := f.Engine("a-engine")
	short := e.Spec.Models["m4"].MemoryLoad
	missing := "m4"
	for i := range 2 * minSlowLoads {
		for name := range e.Tiers {
			e.Tiers[name] = serving.TierMemory
		}
		operations := requestModel(t, f, missing, now)
		if len(operations) != 1 || len(operations[0].Unload) != 1 {
			t.Fatalf("%+v, want %s in place of another", operations, missing)
		}
		op := operations[0]
		first, last := i == 0, i == 2*minSlowLoads-1
		if first && op.Duration != short || last && op.Duration == short {
			t.Fatalf("load %d is expected to take %s; a load from host memory takes %s", i, op.Duration, short)
		}
		missing = op.Unload[0].Model
		f.Unloaded(op, op.Unload[0])
		f.LoadAccepted(op, time.Time{}, 0, now)
		f.Done(op, now.Add(op.Duration))
		f.Postpone(op.Engine, op.Load, now.Add(op.Duration+10*time.Millisecond))
		f.ReplaceWaiting("instance", nil, now)
		now = now.Add(10 * time.Second)
	}
}
