package daemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/verdict"
)

func captionModel(version string, maxReplicas int) string {
	return fmt.Sprintf("  - {name: caption, version: %q, memory: 14GiB, maxReplicas: %d, deadline: 60s}\n", version, maxReplicas)
}

const albumModel = "  - {name: album, version: \"1\", memory: 14GiB, maxReplicas: 1, deadline: 60s}\n"

// TestLoweredCap: with three replicas loaded, operators lower the cap to one.
// Replicas above it are unloaded, and a cut-off domain's is counted until the
// domain is back.
func TestLoweredCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := small
		shape.models, shape.tailWeight = captionModel("1", 3), 1
		f := newTestFleet(t, shape)
		defer f.close()
		for _, domain := range f.domains {
			f.loadIn(domain, "caption")
		}
		if n := f.replicas("caption"); n != 3 {
			t.Fatalf("%d replicas, want 3\n%s", n, f.trace(event.Filter{Model: "caption"}))
		}
		f.net.setAway("d2", true)
		time.Sleep(20 * time.Second)
		f.accept(f.nodes[0], captionModel("1", 1))
		f.awaitUntil("the connected domains go down", time.Minute, func() bool { return f.replicasOutside("d2", "caption") == 0 || f.replicas("caption") <= 2 })
		f.net.setAway("d2", false)
		f.awaitUntil("one replica is left", 2*time.Minute, func() bool { return f.replicas("caption") == 1 })
		time.Sleep(time.Minute)
		if n := f.replicas("caption"); n != 1 {
			t.Errorf("%d replicas", n)
		}
		if _, err := f.nodes[0].generate("caption", "after", time.Minute); err != nil {
			t.Errorf("after the cap was lowered: %v", err)
		}
	})
}

// TestRemovedModel: a model that operators removed is unloaded and refused, and
// its slot is freed.
func TestRemovedModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := small
		shape.models = captionModel("1", 1) + albumModel
		f := newTestFleet(t, shape)
		defer f.close()
		if _, err := f.nodes[0].generate("caption", "x", time.Minute); err != nil {
			t.Fatal(err)
		}
		f.accept(f.nodes[0], albumModel)
		f.awaitUntil("the model is unloaded", time.Minute, func() bool { return f.replicas("caption") == 0 })
		if _, err := f.nodes[0].generate("caption", "x", time.Minute); verdict.Of(err).Reason != verdict.ReasonUnknownModel {
			t.Errorf("a removed model: %v", err)
		}
		f.awaitUntil("its slot is freed", time.Minute, func() bool {
			for _, e := range f.nodes[0].tables.Engines.All() {
				for _, held := range e.Held {
					if held == "caption" {
						return false
					}
				}
			}
			return true
		})
	})
}

// TestVersionRolled: a new version takes the place of the old one without a
// second replica, and requests are answered by the new one.
func TestVersionRolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		if _, err := f.nodes[0].generate("caption", "old", time.Minute); err != nil {
			t.Fatal(err)
		}
		f.accept(f.nodes[0], captionModel("2", 1))
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 200 {
				if n := f.replicas("caption"); n > 1 {
					t.Errorf("%d replicas", n)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		f.awaitUntil("generation 2", 14*time.Second, func() bool { return f.generationsAre(2, f.domains...) })
		for _, n := range f.nodes {
			if _, err := n.generate("caption", "new", time.Minute); err != nil {
				t.Errorf("%s: %v", n.settings.Name, err)
			}
		}
		<-done
		f.checkCounts()
	})
}

// TestSlotMoves: the engine that holds a cap-1 model's slot has no room left;
// the slot moves to an engine that has, without a second replica.
func TestSlotMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := small
		shape.domains, shape.nodesPerDomain, shape.enginesPerDomain, shape.tailWeight = 2, 2, 1, 0
		big := func(name string) string {
			return fmt.Sprintf("  - {name: %s, version: \"1\", memory: 70GiB, maxReplicas: 1, deadline: 300s}\n", name)
		}
		shape.models = captionModel("1", 1) + big("big1") + big("big2")
		f := newTestFleet(t, shape)
		defer f.close()
		if _, err := f.nodes[0].generate("caption", "x", time.Minute); err != nil {
			t.Fatal(err)
		}
		home := f.homeOf("caption")
		f.awaitUntil("it is idle", time.Minute, func() bool { return f.replicas("caption") == 0 })
		stop := f.keepBusy(home, "big1")
		defer stop()
		answer, err := f.nodes[0].generate("caption", "y", 2*time.Minute)
		if err != nil {
			t.Fatalf("%v\n%s", err, f.trace(event.Filter{Model: "caption"}))
		}
		if view, _ := f.nodes[0].tables.Engines.Get(answer.Engine); view.FailureDomain == home {
			t.Errorf("answered by %s, which is full", answer.Engine)
		}
		if n := f.replicas("caption"); n != 1 {
			t.Errorf("%d replicas", n)
		}
	})
}

// loadIn has the model loaded on an engine of the domain.
func (f *testFleet) loadIn(domain, model string) {
	f.t.Helper()
	n := f.nodeIn(domain)
	for _, e := range n.tables.Engines.All() {
		if e.FailureDomain != domain {
			continue
		}
		for _, peer := range f.nodes {
			if o := peer.orders.Orderer(e.Engine); o != nil {
				unit := unitOf(n, model)
				if err := o.Load(f.t.Context(), unit, 14<<30); err != nil {
					f.t.Fatal(err)
				}
				return
			}
		}
	}
	f.t.Fatalf("no orderer in %s", domain)
}

func (f *testFleet) replicasOutside(domain, model string) int {
	n := 0
	for name, e := range f.engines {
		if view, _ := f.nodes[0].tables.Engines.Get(name); view.FailureDomain != domain && e.Holds(model) {
			n++
		}
	}
	return n
}

// keepBusy loads a model in the domain and keeps requests running on it.
func (f *testFleet) keepBusy(domain, model string) (stop func()) {
	f.t.Helper()
	n := f.nodeIn(domain)
	for _, e := range n.tables.Engines.All() {
		for _, peer := range f.nodes {
			if o := peer.orders.Orderer(e.Engine); o != nil && e.FailureDomain == domain {
				if err := o.Load(f.t.Context(), unitOf(n, model), 70<<30); err != nil {
					f.t.Fatal(err)
				}
			}
		}
	}
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ended:
				return
			default:
				_, _ = n.generate(model, "busy", time.Minute)
			}
		}
	}()
	time.Sleep(3 * time.Second)
	return func() {
		close(ended)
		<-done
	}
}
