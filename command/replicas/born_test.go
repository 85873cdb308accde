package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestEngineBornAgain: an engine that starts again under its id has an account of its own.
// What was planned on the one before is void, its reports do not count, and while an order
// to the one before may still be carried out by it, it is not read and so not ordered.
func TestEngineBornAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, lost := range map[string]bool{"all orders answered": false, "an answer lost": true} {
		f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"})
		e := f.Engine("a-engine")
		s := e.Server
		s.Born, s.Revision = 10, s.Revision+1
		spec := func(string) *serving.EngineSpec { return e.Spec }
		f.SetServers([]serving.Server{s}, spec)
		operations := wantNow(t, f, "m4", now)
		if len(operations) != 1 || !f.Current(operations[0]) {
			t.Fatalf("%s: %+v", name, operations)
		}
		if lost {
			f.Unanswered("a-engine", now)
		}
		s.Born, s.Revision, s.Models = 20, s.Revision+1, nil
		f.SetServers([]serving.Server{s}, spec)
		again := f.Engine("a-engine")
		if f.Current(operations[0]) || len(again.Copies) != 0 || again.Sequence != 0 || !again.Unsure {
			t.Errorf("%s: %+v, want an empty account, and what was planned void", name, again)
		}
		f.Adopt("a-engine", serving.Report{Born: 10, Sequence: 7, Models: map[string][]string{"m1": nil}}, now)
		if !again.Unsure || len(again.Copies) != 0 {
			t.Errorf("%s: a report of the process before was taken over", name)
		}
		if got := f.Readable("a-engine", now.Add(lateOrder-time.Millisecond)); got == lost {
			t.Errorf("%s: may be read before late orders are over: %v", name, got)
		}
		if !f.Readable("a-engine", now.Add(lateOrder)) {
			t.Errorf("%s: may never be read", name)
		}
		f.Adopt("a-engine", serving.Report{Born: 20, Sequence: 1, Models: map[string][]string{"m3": nil}}, now.Add(lateOrder))
		if again.Unsure || again.Copies["m3"] == nil {
			t.Errorf("%s: its own report was not taken over", name)
		}
	}
}
