package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/serving"
)

// decided is a limits.Source of a test.
type decided struct {
	known  bool
	limits map[string]limits.Limit
}

func (d decided) Known() bool { return d.known }

func (d decided) Limit(model string) (limits.Limit, bool) {
	l, ok := d.limits[model]
	return l, ok
}

// TestLimitsArePlannedFor: no copy beyond the decided number is planned, nor one in
// a failure domain that is not allowed, nor any before the decisions are known.
func TestLimitsArePlannedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		source decided
		model  string
		want   int
	}{
		"not decided":     {decided{known: true}, "m4", 2},
		"allowed":         {decided{known: true, limits: map[string]limits.Limit{"m4": {Replicas: 1}}}, "m4", 1},
		"none allowed":    {decided{known: true, limits: map[string]limits.Limit{"m4": {}}}, "m4", 0},
		"elsewhere":       {decided{known: true, limits: map[string]limits.Limit{"m4": {Replicas: 3, Domains: []string{"x"}}}}, "m4", 0},
		"not known":       {decided{}, "m4", 0},
		"held, no second": {decided{known: true, limits: map[string]limits.Limit{"m1": {Replicas: 1}}}, "m1", 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"}, []string{"m2"})
			f.SetLimits(c.source)
			f.Arrived(c.model, arrivals(40), now)
			f.Find("llm", serving.Unit{Model: c.model}, waits(1), now)
			if n := len(append(f.Dispatch(now), f.Dispatch(now.Add(extrasInterval))...)); n != c.want {
				t.Errorf("%d operations, want %d", n, c.want)
			}
		})
	}
}

// TestSurplusGoes: of too many copies those on the last engines are unloaded, one
// at a time on each engine.
func TestSurplusGoes(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3"), []string{"m1", "m2"}, []string{"m1", "m2"}, []string{"m1"})
	source := decided{known: true, limits: map[string]limits.Limit{"m1": {Replicas: 1}, "m2": {Replicas: 0}}}
	f.SetLimits(decided{limits: source.limits})
	if operations := f.Trim(now); len(operations) > 0 {
		t.Errorf("%+v before the decisions are known", operations)
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
		t.Errorf("left: %v of m1, %v of m2", m1, f.Holders("m2", ""))
	}
}

// TestUnknownEngine: an engine that the account does not know may exist, until it is
// known that those without an entry are gone.
func TestUnknownEngine(t *testing.T) {
	f := NewFleet(DefaultParams())
	for _, complete := range []bool{false, true} {
		f.Complete(complete)
		if got := f.Known("e", "m").Exists; got == complete {
			t.Errorf("complete: %v, the engine exists: %v", complete, got)
		}
	}
}
