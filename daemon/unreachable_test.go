package daemon

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// makeUnreachable loads the model, makes its engine unreachable, waits until that has
// been detected, and returns the engine's name.
func (f *testFleet) makeUnreachable(model string) string {
	f.t.Helper()
	first, err := f.nodes[0].generate(model, "x", time.Minute)
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.setPartitioned(first.Engine, true)
	time.Sleep(10 * time.Second)
	return first.Engine
}

// TestUnreachableEngine makes the engine with the only replica unreachable. Requests
// must be answered by another replica, which maxReplicas permits, at a bounded number
// of store writes, and the engine must be used again once it is reachable.
func TestUnreachableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := small
		shape.models = captionModel("1", 2)
		f := newTestFleet(t, shape)
		defer f.close()
		silent := f.makeUnreachable("caption")
		writes := f.platform.Writes.Load()
		for _, n := range f.nodes {
			answer, err := n.generate("caption", "y", time.Minute)
			if err != nil {
				t.Errorf("request at %s: %v", n.settings.Name, err)
			} else if answer.Engine == silent {
				t.Errorf("answered by %s, which is unreachable", answer.Engine)
			}
		}
		time.Sleep(time.Minute)
		if n := f.platform.Writes.Load() - writes; n > 20 {
			t.Errorf("%d store writes in a minute with an unreachable engine, want at most 20", n)
		}
		f.net.setPartitioned(silent, false)
		f.awaitUntil("the engine is used again", time.Minute, func() bool {
			view, _ := f.nodes[0].tables.Engines.Get(silent)
			return view.Usable()
		})
		f.checkCounts()
	})
}

// TestRole checks that an engine is ordered to its declared role, once after the
// declaration and once after the engine has restarted empty, and not again after that.
func TestRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		before := "name: d0-e0, failureDomain: d0,"
		f.declared = strings.Replace(f.declared, before, before+" role: decode,", 1)
		f.accept(f.nodes[0], oneReplica)
		role := func() string {
			report, err := f.engines["d0-e0"].Report(t.Context(), 0)
			if err != nil {
				t.Fatal(err)
			}
			return report.Role
		}
		f.awaitUntil("the role is ordered", 14*time.Second, func() bool { return role() == "decode" })
		f.engines["d0-e0"].Restart()
		f.awaitUntil("the role is ordered again", 14*time.Second, func() bool { return role() == "decode" })
		time.Sleep(time.Minute)
		orders := 0
		for _, n := range f.nodes {
			for _, e := range n.events.Select(event.Filter{Engine: "d0-e0"}) {
				if e.Kind == event.KindRoleOrder {
					orders++
				}
			}
		}
		if orders != 2 {
			t.Errorf("%d role orders, want 2", orders)
		}
	})
}

// TestDeadInstancesRemoved guards against unbounded growth of the membership by
// instances that were replaced under another name: a dead instance is removed after
// deadRetention, and not before.
func TestDeadInstancesRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := table.New(table.Member{Name: "a"}).Members
		members.Merge([]table.Member{{Name: "b", State: table.Alive, Incarnation: 1}, {Name: "c", State: table.Alive, Incarnation: 1}})
		members.MarkDead("b")
		time.Sleep(deadRetention / 2)
		if gone := members.ForgetDead(deadRetention); len(gone) > 0 {
			t.Errorf("instances %v removed before deadRetention", gone)
		}
		time.Sleep(deadRetention)
		if gone := members.ForgetDead(deadRetention); len(gone) != 1 || gone[0] != "b" {
			t.Errorf("removed instances %v, want b", gone)
		}
		if _, found := members.Get("b"); found || len(members.All()) != 2 {
			t.Errorf("members %v, want a and c", members.All())
		}
	})
}

// TestEngineDeclaredLost checks that requests for a model whose only slot is held by an
// unreachable engine are refused, and served elsewhere once operators have declared the
// engine lost.
func TestEngineDeclaredLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		silent := f.makeUnreachable("caption")
		if _, err := f.nodes[0].generate("caption", "y", 20*time.Second); verdict.FromError(err).Verdict != verdict.NotRun {
			t.Errorf("request with the slot on an unreachable engine: %v, want verdict NotRun", err)
		}
		before := "name: " + silent + ", failureDomain: d" + silent[1:2] + ","
		f.declared = strings.Replace(f.declared, before, before+" lost: true,", 1)
		f.accept(f.nodes[0], oneReplica)
		f.awaitUntil("the model is served elsewhere", time.Minute, func() bool {
			answer, err := f.nodes[0].generate("caption", "z", time.Minute)
			return err == nil && answer.Engine != silent
		})
	})
}
