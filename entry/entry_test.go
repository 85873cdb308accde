package entry

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
)

// TestServes checks plain requests, requests for a loaded model and for an adapter, and concurrent requests at all
// instances for a model that is not loaded. It is loaded once for all of them, or twice with a spare replica.
func TestServes(t *testing.T) {
	f := newFleet(t, 3)
	f.addServer("e3", "llm", []string{"m2", "m3"})
	f.addServer("e4", "llm", []string{"m2", "m3"})
	if a := f.request(f.instances[0], "unsafe", ""); a.status != http.StatusOK || a.body != "POST /unsafe/x?q=1 body" || f.runs(a.id) != 1 {
		t.Errorf("plain: %+v, ran %d times", a, f.runs(a.id))
	}
	if a := f.request(f.instances[1], "stream", "m1"); a.body != wholeStream("m1") {
		t.Errorf("loaded model: %+v", a)
	}
	if a := f.request(f.instances[1], "nowhere", ""); a.status != http.StatusNotFound {
		t.Errorf("no route: %+v", a)
	}
	var clients sync.WaitGroup
	for _, r := range f.instances {
		for range 5 {
			clients.Go(func() {
				if a := f.requestUntilServed(r, "stream", "m4"); a.body != wholeStream("m4") {
					t.Errorf("cold model: %+v", a)
				}
			})
		}
	}
	clients.Wait()
	loads := 0
	for _, s := range f.servers {
		for _, o := range s.Orders() {
			if o.Unit == "m4" && o.Operation == "model_load" && o.Accepted {
				loads++
			}
		}
	}
	if loads < 1 || loads > 2 { // once for the burst, and one spare replica for its rate
		t.Errorf("m4 was loaded %d times for one burst, want once or twice", loads)
	}
	if a := f.requestUntilServed(f.instances[2], "stream", "m1/a2"); a.body != wholeStream("m1/a2") {
		t.Errorf("adapter: %+v", a)
	}
	f.checkServerInvariants()
}

// TestHolderLost checks that another instance takes over and loads models when the holder ends without a clean
// shutdown.
func TestHolderLost(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	f.requestUntilServed(f.instances[0], "stream", "m4")
	lost := f.holder()
	lost.kill()
	var other *running
	for _, r := range f.instances {
		if r != lost {
			other = r
		}
	}
	f.await("another holder", func() bool { h := f.holder(); return h != nil && h != lost })
	for _, model := range []string{"m2", "m3", "m4", "m1"} {
		if a := f.requestUntilServed(other, "stream", model); a.body != wholeStream(model) {
			t.Errorf("%s: %+v", model, a)
		}
	}
	f.checkServerInvariants()
}

// kill ends an instance without a clean shutdown: it sends no more orders and does not release the lease.
func (r *running) kill() {
	r.follower.stopTakeovers()
	r.Instance.holder.ObserveFence(math.MaxInt64)
	r.stop()
}

// TestOrderAnswersLost checks that loads whose answers are lost are neither abandoned nor repeated into memory that
// is not free.
func TestOrderAnswersLost(t *testing.T) {
	f := newFleet(t, 2)
	f.await("a holder", func() bool { return f.holder() != nil })
	for round := range 3 {
		for _, s := range f.servers {
			s.LoseOrderAnswers(1 + round)
		}
		for _, model := range []string{"m4", "m2", "m3"} {
			if a := f.requestUntilServed(f.instances[0], "stream", model); a.body != wholeStream(model) {
				t.Errorf("%s: %+v", model, a)
			}
		}
	}
	f.checkServerInvariants()
}

// TestStreamResumes checks that a stream that is cut off resumes on the other engine.
func TestStreamResumes(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	f.await("budget for a retry at each server", func() bool { return r.budget.State("llm", time.Now()).Level >= float64(len(f.servers)) })
	for _, s := range f.servers {
		s.CutStreams(1)
	}
	if a := f.request(r, "stream", "m1"); a.err != nil || a.body != wholeStream("m1") {
		t.Errorf("%+v", a)
	}
}

// TestConfigurationPropagates checks that a new configuration is in force at all instances, also at those that
// learn of it from the holder, and that these do not watch the store themselves.
func TestConfigurationPropagates(t *testing.T) {
	f := newFleet(t, 4)
	f.await("an update of the holder was applied", func() bool {
		for _, r := range f.instances {
			if !r.Instance.holder.Holds() && !r.watcher.holderUpdateFresh(time.Now()) {
				return false
			}
		}
		return f.holder() != nil
	})
	watches := map[*running]int64{}
	for _, r := range f.instances {
		watches[r] = r.client.Calls().Watches.Load()
	}
	f.configure("stream", "unsafe", "added")
	for _, r := range f.instances {
		f.await("the new route", func() bool { return f.request(r, "added", "").status == http.StatusOK })
		if a := f.request(r, "safe", ""); a.status != http.StatusNotFound {
			t.Errorf("a removed route is served: %+v", a)
		}
		if n := r.client.Calls().Watches.Load() - watches[r]; n > 0 && !r.Instance.holder.Holds() {
			t.Errorf("an instance with updates from the holder made %d watches of its own", n)
		}
	}
}

// TestStoreOutage checks that requests that need no load are served during an outage of the store, that servers
// whose entries expired meanwhile are used after it, and that a later configuration is applied.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	for _, r := range f.instances {
		f.await("the outage of the store is detected", r.watcher.storeLost)
	}
	if a := f.request(f.instances[0], "stream", "m1"); a.body != wholeStream("m1") {
		t.Errorf("during the outage of the store: %+v", a)
	}
	f.store.SetDown(false)
	f.expireEntry("p1")
	if a := f.request(f.instances[1], "unsafe", ""); a.status != http.StatusOK {
		t.Errorf("a server whose entry expired is not used: %+v", a)
	}
	f.configure("stream", "unsafe", "added")
	for _, r := range f.instances {
		f.await("the new route", func() bool { return f.request(r, "added", "").status == http.StatusOK })
	}
}

// expireEntry removes the entry of a server. A server that still announces itself writes it again.
func (f *fleet) expireEntry(id string) {
	f.t.Helper()
	ctx := context.Background()
	f.await("the entry removed", func() bool {
		obj, err := f.store.Get(ctx, platform.PrefixServers+id)
		return err == nil && f.store.Delete(ctx, obj.Key, obj.Version) == nil
	})
}

// TestReturnedServerIsUsedAgain covers a server whose entry expired at an instance, but not at the holder, which
// was cut off at the time. When the entry is written again, the instance uses the server again, although nothing
// has changed for the holder.
func TestReturnedServerIsUsedAgain(t *testing.T) {
	f := newFleet(t, 2)
	f.await("an update of the holder was applied", func() bool {
		return f.holder() != nil && slices.ContainsFunc(f.instances, func(r *running) bool { return r.watcher.holderUpdateFresh(time.Now()) })
	})
	other := f.instances[0]
	if other == f.holder() {
		other = f.instances[1]
	}
	f.stopAnnouncing["p1"]()
	server, _ := other.dir.Server("p1")
	other.dir.RemoveServer("p1", server.Revision, time.Now())
	server.Revision++
	f.holder().dir.ApplyServer(server, time.Now())
	f.await("the server is known again", func() bool { _, known := other.dir.Server("p1"); return known })
	if a := f.request(other, "unsafe", ""); a.status != http.StatusOK {
		t.Errorf("a returned server is not used: %+v", a)
	}
}

// TestExpiredServerIsRemoved checks that a server whose entry was lost during an outage of the store, and is not
// written again, gets no requests after the grace period.
func TestExpiredServerIsRemoved(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	for _, r := range f.instances {
		f.await("the outage of the store is detected", r.watcher.storeLost)
	}
	f.stopAnnouncing["p1"]()
	f.store.SetDown(false)
	f.expireEntry("p1")
	for _, r := range f.instances {
		f.await("the server is removed", func() bool { _, known := r.dir.Server("p1"); return !known })
		if a := f.request(r, "unsafe", ""); a.status != http.StatusServiceUnavailable {
			t.Errorf("%+v, want a refusal: no server is left", a)
		}
	}
}

// TestNotReady checks that an instance is not ready without a configuration, and without servers.
func TestNotReady(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	bare := New(*r.settings.Load(), "", Options{}, r.log)
	if bare.Ready() || !r.Ready() {
		t.Errorf("ready without a configuration: %v, with one: %v", bare.Ready(), r.Ready())
	}
	bare.dir.ApplyConfig(r.dir.Config())
	if bare.Ready() {
		t.Error("ready without any known server")
	}
}

// TestLongStreamOutlivesStop checks that a stream that takes longer than the load balancer needs to notice that its
// instance is draining completes before the process ends.
func TestLongStreamOutlivesStop(t *testing.T) {
	f := newFleet(t, 2)
	f.addServerWith("slow", "llm", []string{"m4"}, balancerDelay/4)
	r := f.instances[0]
	f.await("the engine is known", func() bool { return len(r.dir.Replicas("llm", serving.Unit{Model: "m4"}, time.Now())) > 0 })
	ended := make(chan answer, 1)
	go func() { ended <- f.request(r, "stream", "m4") }()
	f.await("the stream runs", func() bool { return len(f.servers["slow"].Runs()) > 0 })
	r.stop()
	if a := <-ended; a.body != wholeStream("m4") {
		t.Errorf("a stream was cut off: %+v", a)
	}
	<-r.done
}

// TestServerDrains checks that a draining server gets no new requests.
func TestServerDrains(t *testing.T) {
	f := newFleet(t, 2)
	f.servers["e1"].Drain()
	f.await("the drain is known", func() bool {
		for _, r := range f.instances {
			if s, known := r.dir.Server("e1"); known && !s.Draining {
				return false
			}
		}
		return true
	})
	before := len(f.servers["e1"].Runs())
	for _, r := range f.instances {
		for range 5 {
			if a := f.request(r, "stream", "m1"); a.body != wholeStream("m1") {
				t.Errorf("%+v", a)
			}
		}
	}
	if after := len(f.servers["e1"].Runs()); after != before {
		t.Errorf("a draining server got %d requests", after-before)
	}
}

// TestGracefulStop checks that an instance that is stopped is immediately unready, completes the streams in
// progress, and releases the lease.
func TestGracefulStop(t *testing.T) {
	f := newFleet(t, 2)
	f.await("a holder", func() bool { return f.holder() != nil })
	stopped := f.holder()
	started := make(chan struct{})
	ended := make(chan answer, 1)
	go func() {
		close(started)
		ended <- f.request(stopped, "stream", "m1")
	}()
	<-started
	f.await("the stream runs", func() bool { return len(f.servers["e1"].Runs())+len(f.servers["e2"].Runs()) > 0 })
	stopped.stop()
	if a := <-ended; a.body != wholeStream("m1") {
		t.Errorf("a stream was cut off: %+v", a)
	}
	f.await("unready", func() bool { return !stopped.Ready() })
	f.await("another holder", func() bool { h := f.holder(); return h != nil && h != stopped })
	<-stopped.done
	f.checkServerInvariants()
}
