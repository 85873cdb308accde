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

// TestMaxReplicasLowered checks that replicas above the limit are unloaded when
// operators lower maxReplicas from three to one while a failure domain with a replica
// is partitioned, and that exactly one replica remains after the partition heals.
func TestMaxReplicasLowered(t *testing.T) {
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
		f.net.setPartitioned("d2", true)
		time.Sleep(20 * time.Second)
		f.accept(f.nodes[0], captionModel("1", 1))
		f.awaitUntil("the connected domains go down", time.Minute, func() bool { return f.replicasOutside("d2", "caption") == 0 || f.replicas("caption") <= 2 })
		f.net.setPartitioned("d2", false)
		f.awaitUntil("one replica is left", 2*time.Minute, func() bool { return f.replicas("caption") == 1 })
		time.Sleep(time.Minute)
		if n := f.replicas("caption"); n != 1 {
			t.Errorf("%d replicas", n)
		}
		if _, err := f.nodes[0].generate("caption", "after", time.Minute); err != nil {
			t.Errorf("request after maxReplicas was lowered: %v", err)
		}
	})
}

// TestRemovedModel checks that a model removed from the declaration is unloaded, that
// requests for it are refused, and that its slot is freed.
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
		if _, err := f.nodes[0].generate("caption", "x", time.Minute); verdict.FromError(err).Reason != verdict.ReasonUnknownModel {
			t.Errorf("request for a removed model: %v, want ReasonUnknownModel", err)
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

// TestVersionUpdate checks that a new version of a model replaces the old one without
// exceeding maxReplicas 1, and that requests are answered afterwards.
func TestVersionUpdate(t *testing.T) {
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
				t.Errorf("request for the new version at %s: %v", n.settings.Name, err)
			}
		}
		<-done
		f.checkCounts()
	})
}

// TestSlotMoves checks that the slot of a model with maxReplicas 1 moves to another
// engine when the engine that holds it has no memory left, without a second replica.
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
		home := f.domainHolding("caption")
		f.awaitUntil("it is idle", time.Minute, func() bool { return f.replicas("caption") == 0 })
		stop := f.keepBusy(home, "big1")
		defer stop()
		answer, err := f.nodes[0].generate("caption", "y", 2*time.Minute)
		if err != nil {
			t.Fatalf("%v\n%s", err, f.trace(event.Filter{Model: "caption"}))
		}
		if view, _ := f.nodes[0].tables.Engines.Get(answer.Engine); view.FailureDomain == home {
			t.Errorf("answered by %s, which has no memory for the model", answer.Engine)
		}
		if n := f.replicas("caption"); n != 1 {
			t.Errorf("%d replicas", n)
		}
	})
}

// loadIn loads the model on one engine of the failure domain.
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

// replicasOutside returns the number of engines outside the failure domain that hold
// the model.
func (f *testFleet) replicasOutside(domain, model string) int {
	n := 0
	for name, e := range f.engines {
		if view, _ := f.nodes[0].tables.Engines.Get(name); view.FailureDomain != domain && e.Holds(model) {
			n++
		}
	}
	return n
}

// keepBusy loads a model on the engines of the failure domain and keeps requests
// running on it until stop is called.
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
