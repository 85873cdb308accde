package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestRestartedEngine: an engine that restarts under its ID gets a new record. Operations that were planned on the
// previous process are no longer current, and reports of that process are ignored. While an order to the previous
// process may still be carried out by the new one, the engine gets no orders.
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
			f.Unanswered(serving.Order{Server: s, Expect: 2}, now)
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
		f.Adopt("a-engine", serving.Report{Born: 20, Sequence: 1, Models: map[string][]string{"m3": nil}}, now)
		if again.MustBeRead || again.Copies["m3"] == nil {
			t.Errorf("%s: its own report was not adopted", name)
		}
		for _, after := range []time.Duration{failureBackoff, LateOrderWindow - time.Millisecond} {
			if planned, sendable := again.usable(now.Add(after)), !f.AwaitsLateOrder("a-engine", now.Add(after)); planned == lost || sendable == lost {
				t.Errorf("%s: gets orders %s after the loss: planned %v, sent %v", name, after, planned, sendable)
			}
		}
		if end := now.Add(LateOrderWindow); !again.usable(end) || f.AwaitsLateOrder("a-engine", end) {
			t.Errorf("%s: gets no orders after late orders can no longer arrive", name)
		}
	}
}

// TestLateOrderOutlivesRecord: a late order counts although the engine was read again, accepted other orders or was
// gone for a while after the loss. It does not count at other sequences or for the process that it was sent to.
func TestLateOrderOutlivesRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		between  func(f *Fleet, s serving.Server)
		lost     int64
		sequence int64
		same     bool
		want     bool
	}{
		"read again":          {between: func(f *Fleet, s serving.Server) { f.Adopt(s.ID, serving.Report{Born: 10}, now) }, lost: 3, want: true},
		"another order":       {between: func(f *Fleet, s serving.Server) { f.Ordered(s.ID) }, lost: 3, want: true},
		"entry was gone":      {between: func(f *Fleet, _ serving.Server) { f.SetServers(nil, nil) }, lost: 3, want: true},
		"sequence far away":   {lost: 20},
		"sequence reached":    {lost: 20, sequence: 20},
		"sequence passed":     {lost: 3, sequence: 4},
		"no restart":          {lost: 3, same: true},
		"after an operation":  {lost: ordersPerOperation + 1},
		"within an operation": {lost: ordersPerOperation, want: true},
		"next":                {lost: 1, want: true},
	} {
		f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"})
		e := f.Engine("a-engine")
		s := e.Server
		s.Born, s.Revision = 10, s.Revision+1
		spec := func(string) *serving.EngineSpec { return e.Spec }
		f.SetServers([]serving.Server{s}, spec)
		f.Unanswered(serving.Order{Server: s, Expect: c.lost}, now)
		if c.between != nil {
			c.between(f, s)
		}
		if !c.same {
			s.Born, s.Revision = 20, s.Revision+1
		}
		f.SetServers([]serving.Server{s}, spec)
		f.Adopt("a-engine", serving.Report{Born: s.Born, Sequence: c.sequence}, now)
		if again := f.Engine("a-engine"); again.usable(now) == c.want {
			t.Errorf("%s: operations planned: %v", name, !c.want)
		}
	}
}
