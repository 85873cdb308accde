package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestRestartedEngine: an engine that restarts under its ID gets a new record. Operations that were planned on the
// previous process are no longer current, and reports of that process are ignored. While an order to the previous
// process may still be carried out by the new one, the engine is not read, and therefore gets no orders.
func TestRestartedEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, lost := range map[string]bool{"all orders answered": false, "an answer lost": true} {
		f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"})
		e := f.Engine("a-engine")
		s := e.Server
		s.Born, s.Revision = 10, s.Revision+1
		spec := func(string) *serving.EngineSpec { return e.Spec }
		f.SetServers([]serving.Server{s}, spec)
		operations := requestModel(t, f, "m4", now)
		if len(operations) != 1 || !f.Current(operations[0]) {
			t.Fatalf("%s: %+v", name, operations)
		}
		if lost {
			f.Unanswered("a-engine", now)
		}
		s.Born, s.Revision, s.Models = 20, s.Revision+1, nil
		f.SetServers([]serving.Server{s}, spec)
		again := f.Engine("a-engine")
		if f.Current(operations[0]) || len(again.Copies) != 0 || again.Sequence != 0 || !again.MustBeRead {
			t.Errorf("%s: %+v, want an empty record and no current operation", name, again)
		}
		f.Adopt("a-engine", serving.Report{Born: 10, Sequence: 7, Models: map[string][]string{"m1": nil}}, now)
		if !again.MustBeRead || len(again.Copies) != 0 {
			t.Errorf("%s: a report of the previous process was adopted", name)
		}
		if got := f.Readable("a-engine", now.Add(lateOrderWindow-time.Millisecond)); got == lost {
			t.Errorf("%s: readable while a late order may arrive: %v", name, got)
		}
		if !f.Readable("a-engine", now.Add(lateOrderWindow)) {
			t.Errorf("%s: not readable after late orders can no longer arrive", name)
		}
		f.Adopt("a-engine", serving.Report{Born: 20, Sequence: 1, Models: map[string][]string{"m3": nil}}, now.Add(lateOrderWindow))
		if again.MustBeRead || again.Copies["m3"] == nil {
			t.Errorf("%s: its own report was not adopted", name)
		}
	}
}
