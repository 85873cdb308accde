package daemon

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/verdict"
)

const oneReplica = "  - {name: caption, version: \"1\", memory: 14GiB, maxReplicas: 1, deadline: 60s}\n"

var small = fleetShape{domains: 3, nodesPerDomain: 2, enginesPerDomain: 2, models: oneReplica, tailWeight: 0.5}

// TestBurstLoadsOnce guards against duplicate loads: a burst of requests for one cold
// model at all instances of all failure domains causes exactly one load, and all
// requests are answered.
func TestBurstLoadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		var all sync.WaitGroup
		for _, n := range f.nodes {
			for i := range 5 {
				all.Go(func() {
					prompt := fmt.Sprintf("%s/%d", n.settings.Name, i)
					answer, err := n.generate("caption", prompt, time.Minute)
					if err != nil {
						t.Errorf("request %s: %v", prompt, err)
						return
					}
					if want := fmt.Sprintf("%[1]s:0 %[1]s:1 %[1]s:2 %[1]s:3 ", prompt); answer.Text != want {
						t.Errorf("answer %q, want %q", answer.Text, want)
					}
				})
			}
		}
		all.Wait()
		if n := f.loads(); n != 1 {
			t.Errorf("%d loads, want 1\n%s", n, f.trace(event.Filter{Model: "caption"}))
		}
		f.checkCounts()
	})
}

// partitionStep is the time between requests during the partition: long enough for all
// time-outs to expire.
const partitionStep = 20 * time.Minute

// TestDomainPartitioned partitions the failure domain that holds the only slot of a
// model for an hour. The domain must continue to serve requests, and unload and load
// the model without the store. The other domains must refuse requests promptly with
// NotRun, no second replica may be loaded, and after the partition heals all domains
// must serve the model.
func TestDomainPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := small
		shape.tailWeight = 0 // idle models are unloaded as soon as possible
		f := newTestFleet(t, shape)
		defer f.close()
		if _, err := f.nodes[0].generate("caption", "warm", time.Minute); err != nil {
			t.Fatal(err)
		}
		home := f.domainHolding("caption")
		inside, outside := f.nodeIn(home), f.nodeOutside(home)
		f.net.setPartitioned(home, true)
		f.awaitUntil("both sides notice", time.Minute, func() bool {
			return len(outside.tables.Members.AliveIn(home)) == 0 && len(inside.tables.Members.AliveIn(outside.domain)) == 0
		})
		for range 3 {
			time.Sleep(partitionStep)
			if n := f.replicas("caption"); n != 0 {
				t.Errorf("%d replicas after %v without requests, want 0", n, partitionStep)
			}
			if _, err := inside.generate("caption", "inside", time.Minute); err != nil {
				t.Errorf("request inside the partitioned domain: %v", err)
			}
			start := time.Now()
			_, err := outside.generate("caption", "outside", time.Minute)
			if failure := verdict.FromError(err); err == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 {
				t.Errorf("request outside the partitioned domain: %v, want NotRun with a retry delay", err)
			}
			if elapsed := time.Since(start); elapsed > 10*time.Second {
				t.Errorf("refusal outside the partitioned domain took %v, want at most 10 s", elapsed)
			}
			if n := f.replicas("caption"); n > 1 {
				t.Fatalf("%d replicas during the partition, want at most 1", n)
			}
		}
		f.net.setPartitioned(home, false)
		f.awaitUntil("the other side serves again", time.Minute, func() bool {
			_, err := outside.generate("caption", "healed", time.Minute)
			return err == nil
		})
		if n := f.replicas("caption"); n != 1 {
			t.Errorf("%d replicas after the partition, want 1", n)
		}
		f.checkCounts()
	})
}

// TestConfigurationNeverReverts guards against an old generation overwriting a newer
// one. A partitioned failure domain must keep its generation, refuse to accept a plan
// without the store, and adopt the newer generation when the partition heals; no other
// domain may return to the old one.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		f.net.setPartitioned("d2", true)
		time.Sleep(10 * time.Second)
		twoReplicas := "  - {name: caption, version: \"1\", memory: 14GiB, maxReplicas: 2, deadline: 60s}\n"
		f.accept(f.nodes[0], twoReplicas)
		f.awaitUntil("generation 2 in the connected domains", 14*time.Second, func() bool { return f.generationsAre(2, "d0", "d1") })
		if !f.generationsAre(1, "d2") {
			t.Error("partitioned domain does not have generation 1")
		}
		if err := f.tryAccept(f.nodeIn("d2"), oneReplica); verdict.FromError(err).Reason != verdict.ReasonPlatform {
			t.Errorf("confirmation without the store: %v, want ReasonPlatform", err)
		}
		f.net.setPartitioned("d2", false)
		f.awaitUntil("generation 2 everywhere", 14*time.Second, func() bool { return f.generationsAre(2, f.domains...) })
		time.Sleep(time.Minute)
		if !f.generationsAre(2, f.domains...) {
			t.Error("an instance left generation 2")
		}
	})
}

// TestNewInstanceWithoutStore checks that an instance which starts while the store is
// unavailable gets the declaration and the engines' states from its peers.
func TestNewInstanceWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		if _, err := f.nodes[0].generate("caption", "warm", time.Minute); err != nil {
			t.Fatal(err)
		}
		f.platform.SetDown(true)
		fresh := f.start("d0-i9", "d0")
		f.awaitUntil("the new instance has the configuration", 14*time.Second, func() bool {
			return fresh.tables.Config.Index().Generation == 1
		})
		if _, err := fresh.generate("caption", "fresh", time.Minute); err != nil {
			t.Errorf("request at the new instance: %v", err)
		}
	})
}

// TestLeavingEngine checks that every instance knows within 3 s that an engine has
// reported that it is leaving, and thus sends no new requests to it.
func TestLeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		if _, err := f.nodes[0].generate("caption", "warm", time.Minute); err != nil {
			t.Fatal(err)
		}
		for _, e := range f.engines {
			if e.Holds("caption") {
				e.SetLeaving(true)
			}
		}
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			for _, e := range n.tables.Engines.All() {
				if _, holds := e.Find("caption"); holds && !e.Leaving {
					t.Errorf("%s does not know that %s is leaving", n.settings.Name, e.Engine)
				}
			}
		}
	})
}

// generationsAre reports whether all instances of the given failure domains have the
// generation.
func (f *testFleet) generationsAre(want int64, domains ...string) bool {
	for _, n := range f.nodes {
		for _, d := range domains {
			if n.domain == d && n.tables.Config.Index().Generation != want {
				return false
			}
		}
	}
	return true
}

// domainHolding returns the failure domain of an engine that holds the model.
func (f *testFleet) domainHolding(model string) string {
	for name, e := range f.engines {
		if e.Holds(model) {
			view, _ := f.nodes[0].tables.Engines.Get(name)
			return view.FailureDomain
		}
	}
	f.t.Fatalf("no engine holds model %s", model)
	return ""
}

func (f *testFleet) nodeIn(domain string) *node {
	for _, n := range f.nodes {
		if n.domain == domain {
			return n
		}
	}
	f.t.Fatalf("no node in %s", domain)
	return nil
}

func (f *testFleet) nodeOutside(domain string) *node {
	for _, n := range f.nodes {
		if n.domain != domain {
			return n
		}
	}
	f.t.Fatalf("no node outside %s", domain)
	return nil
}
