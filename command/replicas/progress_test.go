package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestUnreachableEngineToReadIsSkipped: an engine that must be read and cannot be reached does not count as serving the
// models that it was known to hold. Otherwise, while the entry of a killed engine stays in the store, requests for its
// models are sent to its address (for 30 s in the soak run with seed 43).
func TestUnreachableEngineToReadIsSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1"}, []string{"m2"})
	f.MarkForRead("a-engine", serving.Unit{Model: "m1"})
	f.Unreachable("a-engine", now)
	if units := f.Engine("a-engine").Units(now); len(units) != 0 {
		t.Errorf("units %v are offered to instances", units)
	}
	operations := requestModel(t, f, "m1", now)
	if len(operations) != 1 || operations[0].Engine != "b-engine" {
		t.Errorf("%+v, want m1 loaded on the other engine", operations)
	}
}

// TestMissingUnitGetsNoRequests: a unit that its engine reported missing is offered neither by Find nor by Units until the
// engine has been read. Its memory stays counted, and the engine's other units are still offered.
func TestMissingUnitGetsNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"})
	adapter := serving.Unit{Model: "m2", Adapter: "a1"}
	found, _ := f.Find("llm", adapter, Waiting{}, now)
	f.Done(*found.Start, now)
	before := f.Engine("a-engine").memoryMB()
	for _, unit := range []serving.Unit{{Model: "m1"}, adapter} {
		f.MarkForRead("a-engine", unit)
		if found, ok := f.Find("llm", unit, Waiting{}, now); ok && found.Engine == "a-engine" {
			t.Errorf("%s: found on the engine that lacks it", unit)
		}
		for _, u := range f.Engine("a-engine").Units(now) {
			if u.Unit == unit {
				t.Errorf("%s: offered to instances although the engine lacks it", unit)
			}
		}
	}
	if found, ok := f.Find("llm", serving.Unit{Model: "m2"}, Waiting{}, now); !ok || found.Engine != "a-engine" {
		t.Errorf("%+v, want the model that the engine has", found)
	}
	if after := f.Engine("a-engine").memoryMB(); after != before {
		t.Errorf("%v MB counted, %v before", after, before)
	}
	f.Adopt("a-engine", serving.Report{Models: map[string][]string{"m1": nil, "m2": {"a1"}}, Sequence: 2}, now)
	if found, ok := f.Find("llm", serving.Unit{Model: "m1"}, Waiting{}, now); !ok || found.Engine != "a-engine" {
		t.Errorf("%+v after the engine was read", found)
	}
}

// TestWithdrawnWithLostAnswer: an operation that ends because its next order cannot be sent leaves the engine's record as
// it was, unless the answer to an order on the current sequence was lost. That order may still be carried out, so the
// engine is read again, and the model that it may have got stays counted.
func TestWithdrawnWithLostAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		lost, passed, mustBeRead bool
	}{
		"nothing lost":          {},
		"lost":                  {lost: true, mustBeRead: true},
		"lost, sequence passed": {lost: true, passed: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"})
			operations := requestModel(t, f, "m4", now)
			if len(operations) != 1 {
				t.Fatalf("%+v, want m4 loaded", operations)
			}
			e := f.Engine("a-engine")
			before := e.memoryMB()
			if c.lost {
				f.Unanswered(serving.Order{Server: e.Server, Expect: e.Sequence}, now)
			}
			if c.passed {
				f.Ordered("a-engine")
			}
			f.Withdrawn(operations[0])
			if e.MustBeRead != c.mustBeRead {
				t.Errorf("must be read: %v, want %v", e.MustBeRead, c.mustBeRead)
			}
			if c.mustBeRead && e.memoryMB() != before {
				t.Errorf("%v MB counted, %v while the order may be carried out", e.memoryMB(), before)
			}
			if !c.mustBeRead && e.Copies["m4"] != nil {
				t.Error("model is counted although its load was not sent")
			}
		})
	}
}

// TestUncertainOrder: after an order whose answer was lost, a conflict or a state that already holds does not make the
// engine count as failing. Nothing is planned on it until it has been read, and its other copies serve meanwhile.
func TestUncertainOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, end := range map[string]func(f *Fleet, op Operation){
		"conflict": func(f *Fleet, op Operation) { f.Uncertain(op) },
		"held": func(f *Fleet, op Operation) {
			if !f.HeldAlready(op.Engine) {
				t.Error("the lost order is not considered to be carried out")
			}
			f.Done(op, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2", "m3"})
			op := requestModel(t, f, "m4", now)[0]
			if f.Ordered(op.Engine); f.HeldAlready(op.Engine) {
				t.Error("an answered order is considered to be lost")
			}
			e := f.Engine(op.Engine)
			f.Unanswered(serving.Order{Server: e.Server, Expect: e.Sequence}, now)
			end(f, op)
			if !e.MustBeRead || f.Current(op) || e.usable(now) || !e.acceptsRequests(now) || len(e.Units(now)) < 2 {
				t.Errorf("must be read %v, operation current %v, units %v", e.MustBeRead, f.Current(op), e.Units(now))
			}
			f.Adopt(op.Engine, serving.Report{Models: map[string][]string{"m4": nil}, Sequence: 2}, now)
			if !e.usable(now) || f.OrderPending(op.Engine) || e.sequenceDoubtful || e.Sequence != 2 {
				t.Errorf("the engine is not usable after it was read: %+v", e)
			}
			f.Unanswered(serving.Order{Server: e.Server, Expect: e.Sequence}, now)
			if f.Ordered(op.Engine); f.OrderPending(op.Engine) || f.HeldAlready(op.Engine) {
				t.Error("a lost order is pending although the engine has accepted another one on its sequence")
			}
		})
	}
}
