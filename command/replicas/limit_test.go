package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/serving"
)

// testSource is a limits.Source with fixed limits.
type testSource struct {
	known  bool
	limits map[string]limits.Limit
}

func (s testSource) Known() bool { return s.known }

func (s testSource) Limit(model string) (limits.Limit, bool) {
	l, ok := s.limits[model]
	return l, ok
}

// TestDispatchKeepsLimits: no copy is planned beyond the operators' limit, in a failure domain that is not allowed, or
// before the limits are known.
func TestDispatchKeepsLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		source testSource
		model  string
		want   int
	}{
		"not decided":     {testSource{known: true}, "m4", 2},
		"allowed":         {testSource{known: true, limits: map[string]limits.Limit{"m4": {Replicas: 1}}}, "m4", 1},
		"none allowed":    {testSource{known: true, limits: map[string]limits.Limit{"m4": {}}}, "m4", 0},
		"elsewhere":       {testSource{known: true, limits: map[string]limits.Limit{"m4": {Replicas: 3, Domains: []string{"x"}}}}, "m4", 0},
		"not known":       {testSource{}, "m4", 0},
		"held, no second": {testSource{known: true, limits: map[string]limits.Limit{"m1": {Replicas: 1}}}, "m1", 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"}, []string{"m2"})
			f.SetLimits(c.source)
			f.RecordArrivals(c.model, arrivals(40), now)
			f.Find("llm", serving.Unit{Model: c.model}, waitingOnTime(1), now)
			if n := len(append(f.Dispatch(now), f.Dispatch(now.Add(proactiveInterval))...)); n != c.want {
				t.Errorf("%d operations, want %d", n, c.want)
			}
		})
	}
}

// TestTrimUnloadsSurplusCopies: if there are too many copies, those on the engines with the highest IDs are unloaded, one
// at a time on each engine.
func TestTrimUnloadsSurplusCopies(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3"), []string{"m1", "m2"}, []string{"m1", "m2"}, []string{"m1"})
	source := testSource{known: true, limits: map[string]limits.Limit{"m1": {Replicas: 1}, "m2": {Replicas: 0}}}
	f.SetLimits(testSource{limits: source.limits})
	if operations := f.Trim(now); len(operations) > 0 {
		t.Errorf("%+v planned before the limits are known", operations)
	}
	f.SetLimits(source)
	for range 4 {
		for _, op := range f.Trim(now) {
			if op.Load.Model != "" || len(op.Unload) != 1 {
				t.Errorf("%+v, want one unload", op)
			}
			f.Unloaded(op, op.Unload[0])
			f.Done(op, now)
		}
	}
	if m1 := f.Holders("m1", ""); len(m1) != 1 || m1[0] != "a-engine" || len(f.Holders("m2", "")) > 0 {
		t.Errorf("engines left with m1: %v, with m2: %v", m1, f.Holders("m2", ""))
	}
}

// TestUnknownEngine: an engine that is not in the Fleet may exist until the Fleet is complete.
func TestUnknownEngine(t *testing.T) {
	f := NewFleet(DefaultParams())
	for _, complete := range []bool{false, true} {
		f.SetComplete(complete)
		if got := f.LimitState("e", "m").Exists; got == complete {
			t.Errorf("complete: %v, the engine exists: %v", complete, got)
		}
	}
}
