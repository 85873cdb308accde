package entry

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// countingStore counts the lists and watches of the configuration and of servers.
type countingStore struct {
	store.Store
	config, servers atomic.Int64
}

func (c *countingStore) count(prefix string) {
	if prefix == platform.KeyConfig {
		c.config.Add(1)
		return
	}
	c.servers.Add(1)
}

func (c *countingStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	c.count(prefix)
	return c.Store.List(ctx, prefix)
}

func (c *countingStore) Watch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	c.count(prefix)
	return c.Store.Watch(ctx, prefix, revision)
}

const testConfig = `{"version": 1, "routes": [], "services": []}`

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newCountingWatcher returns the watcher of an instance that does not hold the lease, and its store, which contains
// a configuration.
func newCountingWatcher(t *testing.T) (*countingStore, *watcher) {
	t.Helper()
	inner := standin.NewPlatform()
	if _, err := inner.Put(t.Context(), platform.KeyConfig, []byte(testConfig), 0); err != nil {
		t.Fatal(err)
	}
	s := &countingStore{Store: inner}
	return s, newTestWatcher(s, directory.New(), discardLog())
}

// runWatcher runs w until stop is called. stop waits until w has returned.
func runWatcher(t *testing.T, w *watcher) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		w.run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestStartWithHolderUpdates checks that an instance that starts, and receives an update from the holder within a
// second, reads the configuration once and makes no other call to the store. Before instances waited for that
// update, 195 of them made 16 calls each before their first request.
func TestStartWithHolderUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newCountingWatcher(t)
		defer runWatcher(t, w)()
		time.Sleep(time.Second)
		for range 5 {
			w.applyHolderUpdate(holder.Update{Config: access.ConfigStatus{Version: 1}, Servers: directory.Delta{Digest: w.dir.Digest()}},
				time.Now(), time.Now())
			time.Sleep(time.Second)
		}
		if config, servers := s.config.Load(), s.servers.Load(); config != 1 || servers != 0 {
			t.Errorf("%d calls for the configuration and %d for servers, want 1 and 0", config, servers)
		}
		if w.dir.Config() == nil {
			t.Error("no configuration in force")
		}
	})
}

// TestStartReadsConfiguration checks that an instance that starts reads the configuration immediately, while it
// waits for the holder's first update.
func TestStartReadsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newCountingWatcher(t)
		defer runWatcher(t, w)()
		time.Sleep(relayCheckInterval)
		if w.dir.Config() == nil || s.config.Load() != 1 || s.servers.Load() != 0 {
			t.Errorf("configuration %v after %d calls for it and %d for servers, want it after 1 and 0",
				w.dir.Config(), s.config.Load(), s.servers.Load())
		}
	})
}

// staleStore answers stale reads of the lease with a previous record.
type staleStore struct {
	store.Store
	old store.Object
}

func (s staleStore) Get(ctx context.Context, key string) (store.Object, error) {
	if store.StaleAllowed(ctx) && key == holder.KeyLease {
		return s.old, nil
	}
	return s.Store.Get(ctx, key)
}

// TestTakeoverAfterStaleRead checks that an instance that learns from a stale read that the lease was released, and
// takes it, uses consistent reads for the takeover, so that it knows itself as the holder and can announce itself.
// With stale reads it did not, when a holder released the lease while 195 instances looked for one.
func TestTakeoverAfterStaleRead(t *testing.T) {
	inner := standin.NewPlatform()
	released, err := json.Marshal(lease.Record{Holder: "b", Address: "10.0.0.2:1", Fence: 1, Settled: true, Released: true})
	if err != nil {
		t.Fatal(err)
	}
	old, err := inner.Put(t.Context(), holder.KeyLease, released, 0)
	if err != nil {
		t.Fatal(err)
	}
	s := staleStore{Store: inner, old: old}
	dir := directory.New()
	h := holder.New(holder.DefaultParams("a", "10.0.0.1:1", 0), s, nil, dir, holder.NewMetrics(metrics.NewSet()), discardLog())
	m := &members{store: s, self: member{Name: "a", Address: "10.0.0.1:1", Domain: "d", Cores: 1}, log: discardLog()}
	f := newFollower("a", h, dir, nil, m, discardLog())
	f.findStale(t.Context())
	if !h.Holds() || f.holderName() != "a" {
		t.Errorf("holds the lease: %t, holder %q; want true and itself", h.Holds(), f.holderName())
	}
}

// TestStartWithoutHolder checks that an instance that receives no update from a holder reads the store itself after
// firstUpdateWait.
func TestStartWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newCountingWatcher(t)
		defer runWatcher(t, w)()
		time.Sleep(firstUpdateWait + 2*relayCheckInterval)
		if w.dir.Config() == nil || s.servers.Load() == 0 {
			t.Errorf("configuration %v and %d calls for servers after %s", w.dir.Config(), s.servers.Load(), firstUpdateWait)
		}
	})
}

// TestRegistrationCalls checks that an instance registers with one write and unregisters with one. An instance that
// finds its entry of a previous start keeps that, and unregisters it.
func TestRegistrationCalls(t *testing.T) {
	p := standin.NewPlatform()
	m := func() *members {
		return &members{store: p, self: member{Name: "a", Address: "10.0.0.1:1", Domain: "d", Cores: 1}, log: discardLog()}
	}
	first := m()
	first.register(t.Context())
	if r, w := p.Reads.Load(), p.Writes.Load(); r != 0 || w != 1 {
		t.Errorf("%d reads and %d writes to register, want 0 and 1", r, w)
	}
	again := m()
	again.register(t.Context())
	again.unregister(t.Context())
	if r, w := p.Reads.Load(), p.Writes.Load(); r != 1 || w != 3 {
		t.Errorf("%d reads and %d writes after an existing entry was found and removed, want 1 and 3", r, w)
	}
	if list := m().list(t.Context()); len(list) != 0 {
		t.Errorf("%+v are still registered", list)
	}
}

// TestAnnouncement checks that an instance accepts the announcement of a new holder and reports to it immediately,
// and ignores one with an older fencing token.
func TestAnnouncement(t *testing.T) {
	dir := directory.New()
	h := holder.New(holder.DefaultParams("a", "10.0.0.1:1", 0), standin.NewPlatform(), nil, dir, nil, discardLog())
	f := newFollower("a", h, dir, nil, &members{}, discardLog())
	s := &service{holder: h, follower: f}
	for _, c := range []struct {
		record lease.Record
		want   string
	}{
		{lease.Record{Holder: "b", Address: "10.0.0.2:1", Fence: 3}, "b"},
		{lease.Record{Holder: "c", Address: "10.0.0.3:1", Fence: 2}, "b"},
		{lease.Record{Holder: "c", Address: "10.0.0.3:1", Fence: 4}, "c"},
	} {
		if err := s.Announce(&AnnounceArgs{Record: c.record}, &AnnounceReply{}); err != nil {
			t.Fatal(err)
		}
		if got := f.holderName(); got != c.want {
			t.Errorf("the holder is %q after %+v, want %q", got, c.record, c.want)
		}
		select {
		case <-f.reportRequested:
		default:
			t.Errorf("no report requested after %+v", c.record)
		}
	}
}
