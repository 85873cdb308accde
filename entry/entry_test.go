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

// TestServes: plain requests, a loaded model, and a cold one that many ask for
// at once at every instance and that is loaded for all of them.
func TestServes(t *testing.T) {
	f := newFleet(t, 3)
	f.addServer("e3", "llm", []string{"m2", "m3"})
	f.addServer("e4", "llm", []string{"m2", "m3"})
	if a := f.ask(f.instances[0], "unsafe", ""); a.status != http.StatusOK || a.body != "POST /unsafe/x?q=1 body" || f.runs(a.id) != 1 {
		t.Errorf("plain: %+v, ran %d times", a, f.runs(a.id))
	}
	if a := f.ask(f.instances[1], "stream", "m1"); a.body != wholeStream("m1") {
		t.Errorf("loaded model: %+v", a)
	}
	if a := f.ask(f.instances[1], "nowhere", ""); a.status != http.StatusNotFound {
		t.Errorf("no route: %+v", a)
	}
	var clients sync.WaitGroup
	for _, r := range f.instances {
		for range 5 {
			clients.Go(func() {
				if a := f.askUntilServed(r, "stream", "m4"); a.body != wholeStream("m4") {
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
	if loads < 1 || loads > 2 { // once for the burst, and a spare copy for its rate
		t.Errorf("m4 was loaded %d times for one burst", loads)
	}
	if a := f.askUntilServed(f.instances[2], "stream", "m1/a2"); a.body != wholeStream("m1/a2") {
		t.Errorf("adapter: %+v", a)
	}
	f.checkPromises()
}

// TestHolderLost: the instance that loads models ends without a word; another
// takes over and loads.
func TestHolderLost(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	f.askUntilServed(f.instances[0], "stream", "m4")
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
		if a := f.askUntilServed(other, "stream", model); a.body != wholeStream(model) {
			t.Errorf("%s: %+v", model, a)
		}
	}
	f.checkPromises()
}

// kill ends an instance without a word: it orders nothing more, and releases
// nothing.
func (r *running) kill() {
	r.follower.stopTakeovers()
	r.Instance.holder.ObserveFence(math.MaxInt64)
	r.stop()
}

// TestOrderAnswersLost: loads whose answers are lost are neither given up nor
// made twice into memory that is not there.
func TestOrderAnswersLost(t *testing.T) {
	f := newFleet(t, 2)
	f.await("a holder", func() bool { return f.holder() != nil })
	for round := range 3 {
		for _, s := range f.servers {
			s.LoseOrderAnswers(1 + round)
		}
		for _, model := range []string{"m4", "m2", "m3"} {
			if a := f.askUntilServed(f.instances[0], "stream", model); a.body != wholeStream(model) {
				t.Errorf("%s: %+v", model, a)
			}
		}
	}
	f.checkPromises()
}

// TestStreamGoesOn: a stream that breaks off goes on at the other engine.
func TestStreamGoesOn(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	f.await("a repeated send for each server to spend", func() bool { return r.budget.State("llm", time.Now()).Level >= float64(len(f.servers)) })
	for _, s := range f.servers {
		s.CutStreams(1)
	}
	if a := f.ask(r, "stream", "m1"); a.err != nil || a.body != wholeStream("m1") {
		t.Errorf("%+v", a)
	}
}

// TestConfigurationSpreads: a version is in force everywhere, also at instances
// that hear of it from the holder, and the store is not asked by each of them all
// the time.
func TestConfigurationSpreads(t *testing.T) {
	f := newFleet(t, 4)
	f.await("the holder's word is taken", func() bool {
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
		f.await("the new route", func() bool { return f.ask(r, "added", "").status == http.StatusOK })
		if a := f.ask(r, "safe", ""); a.status != http.StatusNotFound {
			t.Errorf("a dropped route is served: %+v", a)
		}
		if n := r.client.Calls().Watches.Load() - watches[r]; n > 0 && !r.Instance.holder.Holds() {
			t.Errorf("an instance that hears from the holder made %d watches of its own", n)
		}
	}
}

// TestStoreAway: without the store everything goes on that needs no load; what
// lapsed meanwhile is used when it is back; a later version comes into force.
func TestStoreAway(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	for _, r := range f.instances {
		f.await("the store is missed", r.watcher.storeLost)
	}
	if a := f.ask(f.instances[0], "stream", "m1"); a.body != wholeStream("m1") {
		t.Errorf("while the store is away: %+v", a)
	}
	f.store.SetDown(false)
	f.lapse("p1")
	if a := f.ask(f.instances[1], "unsafe", ""); a.status != http.StatusOK {
		t.Errorf("a server whose entry lapsed is not used: %+v", a)
	}
	f.configure("stream", "unsafe", "added")
	for _, r := range f.instances {
		f.await("the new route", func() bool { return f.ask(r, "added", "").status == http.StatusOK })
	}
}

// lapse removes a server's entry, which it then writes again.
func (f *fleet) lapse(id string) {
	f.t.Helper()
	ctx := context.Background()
	f.await("the entry removed", func() bool {
		obj, err := f.store.Get(ctx, platform.PrefixServers+id)
		return err == nil && f.store.Delete(ctx, obj.Key, obj.Version) == nil
	})
}

// TestReturnedServerIsUsedAgain: an instance saw a server's entry lapse while the
// holder was cut off and did not. When the entry is back the instance uses the
// server again, though nothing has changed for the holder.
func TestReturnedServerIsUsedAgain(t *testing.T) {
	f := newFleet(t, 2)
	f.await("the holder's word is taken", func() bool {
		return f.holder() != nil && slices.ContainsFunc(f.instances, func(r *running) bool { return r.watcher.holderUpdateFresh(time.Now()) })
	})
	other := f.instances[0]
	if other == f.holder() {
		other = f.instances[1]
	}
	f.silence["p1"]()
	server, _ := other.dir.Server("p1")
	other.dir.RemoveServer("p1", server.Revision, time.Now())
	server.Revision++
	f.holder().dir.ApplyServer(server, time.Now())
	f.await("the server is known again", func() bool { _, known := other.dir.Server("p1"); return known })
	if a := f.ask(other, "unsafe", ""); a.status != http.StatusOK {
		t.Errorf("a server that is back is not used: %+v", a)
	}
}

// TestLapsedServerIsRemoved: a server whose entry was lost while the store was away,
// and that does not come back, gets nothing more once the time for that is over.
func TestLapsedServerIsRemoved(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	for _, r := range f.instances {
		f.await("the store is missed", r.watcher.storeLost)
	}
	f.silence["p1"]()
	f.store.SetDown(false)
	f.lapse("p1")
	for _, r := range f.instances {
		f.await("the server is gone", func() bool { _, known := r.dir.Server("p1"); return !known })
		if a := f.ask(r, "unsafe", ""); a.status != http.StatusServiceUnavailable {
			t.Errorf("%+v, want a refusal: no server is left", a)
		}
	}
}

// TestNotReady: without a configuration an instance is not ready, and says that it
// has not run what it is sent.
func TestNotReady(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	bare := New(*r.settings.Load(), "", Options{}, r.log)
	if bare.Ready() || !r.Ready() {
		t.Errorf("ready without a configuration: %v, with one: %v", bare.Ready(), r.Ready())
	}
	bare.dir.ApplyConfig(r.dir.Config())
	if bare.Ready() {
		t.Error("ready without knowing any server")
	}
}

// TestLongStreamOutlivesStop: a stream that lasts longer than the balancer takes to
// notice that its instance leaves is ended before the process is.
func TestLongStreamOutlivesStop(t *testing.T) {
	f := newFleet(t, 2)
	f.addServerWith("slow", "llm", []string{"m4"}, balancerDelay/4)
	r := f.instances[0]
	f.await("the engine is known", func() bool { return len(r.dir.Replicas("llm", serving.Unit{Model: "m4"}, time.Now())) > 0 })
	ended := make(chan answer, 1)
	go func() { ended <- f.ask(r, "stream", "m4") }()
	f.await("the stream runs", func() bool { return len(f.servers["slow"].Runs()) > 0 })
	r.stop()
	if a := <-ended; a.body != wholeStream("m4") {
		t.Errorf("a stream was cut off: %+v", a)
	}
	<-r.done
}

// TestServerLeaves: a server that drains, or is gone, gets nothing new.
func TestServerLeaves(t *testing.T) {
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
			if a := f.ask(r, "stream", "m1"); a.body != wholeStream("m1") {
				t.Errorf("%+v", a)
			}
		}
	}
	if after := len(f.servers["e1"].Runs()); after != before {
		t.Errorf("a leaving server got %d requests", after-before)
	}
}

// TestGracefulStop: an instance that is stopped is unready at once, finishes the
// streams that it has begun, and gives the lease up.
func TestGracefulStop(t *testing.T) {
	f := newFleet(t, 2)
	f.await("a holder", func() bool { return f.holder() != nil })
	stopped := f.holder()
	started := make(chan struct{})
	ended := make(chan answer, 1)
	go func() {
		close(started)
		ended <- f.ask(stopped, "stream", "m1")
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
	f.checkPromises()
}
