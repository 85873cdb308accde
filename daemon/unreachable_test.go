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

// silence has the model loaded, has its engine fall silent, waits until that is
// known, and returns the engine.
func (f *testFleet) silence(model string) string {
	f.t.Helper()
	first, err := f.nodes[0].generate(model, "x", time.Minute)
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.setAway(first.Engine, true)
	time.Sleep(10 * time.Second)
	return first.Engine
}

// TestSilentEngine: the engine with the only replica stops answering. Requests
// are answered by another replica, which the cap permits; the engine that came
// back is used again.
func TestSilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := small
		shape.models = captionModel("1", 2)
		f := newTestFleet(t, shape)
		defer f.close()
		silent := f.silence("caption")
		writes := f.platform.Writes.Load()
		for _, n := range f.nodes {
			answer, err := n.generate("caption", "y", time.Minute)
			if err != nil {
				t.Errorf("%s: %v", n.settings.Name, err)
			} else if answer.Engine == silent {
				t.Errorf("answered by %s, which is silent", answer.Engine)
			}
		}
		time.Sleep(time.Minute)
		if n := f.platform.Writes.Load() - writes; n > 20 {
			t.Errorf("a silent engine cost %d platform writes in a minute", n)
		}
		f.net.setAway(silent, false)
		f.awaitUntil("the engine is used again", time.Minute, func() bool {
			view, _ := f.nodes[0].tables.Engines.Get(silent)
			return view.Usable()
		})
		f.checkCounts()
	})
}

// TestRole: an engine is ordered to its declared role, again after it came back
// empty, and is left alone once it has it.
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
			t.Errorf("%d orders, want 2", orders)
		}
	})
}

// TestDeadAreForgotten: an instance that was replaced under another name is not
// kept for ever, here or in the platform.
func TestDeadAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := table.New(table.Member{Name: "a"}).Members
		members.Merge([]table.Member{{Name: "b", State: table.Alive, Incarnation: 1}, {Name: "c", State: table.Alive, Incarnation: 1}})
		members.MarkDead("b")
		time.Sleep(forgetAfter / 2)
		if gone := members.ForgetDead(forgetAfter); len(gone) > 0 {
			t.Errorf("forgot %v too soon", gone)
		}
		time.Sleep(forgetAfter)
		if gone := members.ForgetDead(forgetAfter); len(gone) != 1 || gone[0] != "b" {
			t.Errorf("forgot %v, want b", gone)
		}
		if _, found := members.Get("b"); found || len(members.All()) != 2 {
			t.Errorf("%v", members.All())
		}
	})
}

// TestEngineDeclaredLost: the engine that holds the only slot is gone for good.
// Requests are refused until operators declare it lost, and served after.
func TestEngineDeclaredLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		silent := f.silence("caption")
		if _, err := f.nodes[0].generate("caption", "y", 20*time.Second); verdict.Of(err).Verdict != verdict.NotRun {
			t.Errorf("with the slot on a silent engine: %v", err)
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
