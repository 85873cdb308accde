package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/intent"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
)

// watchersPerDomain is the number of instances per failure domain that watch the
// store; the others receive changes from them by gossip. Two tolerate the loss of one.
const watchersPerDomain = 2

// watchRetryInterval is the pause after a failed call, and between checks of whether this
// instance is a watcher.
const watchRetryInterval = time.Second

// monitoredStore wraps a store and tracks whether it can be reached, from the results
// of Get and Put.
type monitoredStore struct {
	store.Store
	events *event.Recorder
	down   atomic.Bool
}

func newMonitoredStore(s store.Store, events *event.Recorder) *monitoredStore {
	return &monitoredStore{Store: s, events: events}
}

// recordResult updates the state of the store from the result of a call, and records
// an event if it changes.
func (w *monitoredStore) recordResult(err error) {
	down := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
	if w.down.Swap(down) == down {
		return
	}
	kind := event.KindPlatformUp
	if down {
		kind = event.KindPlatformDown
	}
	w.events.Record(event.Event{Kind: kind})
}

// Get implements store.Store.
func (w *monitoredStore) Get(ctx context.Context, key string) (store.Object, error) {
	obj, err := w.Store.Get(ctx, key)
	w.recordResult(err)
	return obj, err
}

// Put implements store.Store.
func (w *monitoredStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	obj, err := w.Store.Put(ctx, key, value, version)
	w.recordResult(err)
	return obj, err
}

// watch registers the instance, reads the declaration, the instances and the backend
// servers' states from the store, and watches for changes while this instance is one
// of its domain's watchers.
func (c *Core) watch(ctx context.Context) {
	c.register(ctx)
	var watches sync.WaitGroup
	for prefix, apply := range map[string]func(store.Object){
		store.KeyConfig:       c.applyConfig,
		store.PrefixInstances: c.applyInstance,
		store.PrefixBackends:  c.applyBackend,
	} {
		watches.Go(func() { c.watchPrefix(ctx, prefix, apply) })
	}
	watches.Wait()
}

// watchPrefix reads all objects with the prefix once, then watches them while this
// instance is a watcher. After a failed watch it reads all objects again.
func (c *Core) watchPrefix(ctx context.Context, prefix string, apply func(store.Object)) {
	revision := store.Revision(-1)
	for ctx.Err() == nil {
		snap, err := c.readOrWatch(ctx, prefix, revision)
		if err != nil {
			revision = -1
			pause.For(ctx, watchRetryInterval)
			continue
		}
		for _, obj := range snap.Objects {
			apply(obj)
		}
		revision = snap.Revision
		for !c.isWatcher() && pause.For(ctx, watchRetryInterval) {
			revision = -1
		}
	}
}

// readOrWatch lists all objects if revision is negative, else it returns the changes
// after revision.
func (c *Core) readOrWatch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	if revision < 0 {
		return c.store.List(ctx, prefix)
	}
	return c.store.Watch(ctx, prefix, revision)
}

// isWatcher reports whether this instance is one of its domain's watchers.
func (c *Core) isWatcher() bool {
	self := c.tables.Members.Self()
	names := table.Names(c.tables.Members.AliveIn(self.FailureDomain))
	for range watchersPerDomain {
		chosen := rendezvous.Choose("watch", names)
		if chosen == self.Name {
			return true
		}
		names = slices.DeleteFunc(names, func(n string) bool { return n == chosen })
	}
	return false
}

func (c *Core) applyConfig(obj store.Object) {
	if obj.Deleted {
		return // an accepted declaration never reverts
	}
	accepted, err := intent.Decode(obj.Value)
	if err != nil {
		c.events.Record(event.Event{Kind: event.KindGeneration, Detail: "unreadable: " + err.Error()})
		return
	}
	peer.ApplyDeclaration(c.tables, c.events, accepted, "platform")
}

func (c *Core) applyInstance(obj store.Object) {
	var m table.Member
	if obj.Deleted || json.Unmarshal(obj.Value, &m) != nil {
		return
	}
	if known, found := c.tables.Members.Get(m.Name); found && known.Incarnation >= m.Incarnation {
		return // membership from gossip is newer than the stored entry
	}
	c.tables.Members.Merge([]table.Member{m})
}

// backendStatus is the stored state of a backend server, as set by the platform.
type backendStatus struct {
	Leaving bool `json:"leaving"`
}

func (c *Core) applyBackend(obj store.Object) {
	var status backendStatus
	name := strings.TrimPrefix(obj.Key, store.PrefixBackends)
	if obj.Deleted || json.Unmarshal(obj.Value, &status) != nil || !status.Leaving {
		return
	}
	if c.tables.Engines.MarkLeaving(name) {
		c.events.Record(event.Event{Kind: event.KindBackendLeaving, Engine: name, Detail: "word of the platform"})
	}
}

func (c *Core) instanceKey() string { return store.PrefixInstances + c.settings.Name }

// register writes this instance's entry to the store and replaces that of an earlier
// start. It retries until it succeeds, ctx ends or the instance drains.
func (c *Core) register(ctx context.Context) {
	for ctx.Err() == nil && !c.gate.Draining() {
		_, version, err := store.Read[table.Member](ctx, c.store, c.instanceKey())
		if err == nil {
			_, err = store.WriteJSON(ctx, c.store, c.instanceKey(), c.tables.Members.Self(), version)
		}
		if err == nil {
			return
		}
		pause.For(ctx, watchRetryInterval)
	}
}

// unregister removes this instance's entry from the store. If the store cannot be
// reached, the entry remains and is overridden by the membership from gossip.
func (c *Core) unregister(ctx context.Context) { c.remove(ctx, c.instanceKey()) }

// sweepInterval is the interval between removals of expired records.
const sweepInterval = time.Minute

// deadRetention is how long a dead instance is kept in the membership: longer than the
// usual partition of a failure domain.
const deadRetention = 24 * time.Hour

// sweep periodically removes expired keys and the entries of long dead instances.
// Every instance removes them from its own tables; one chosen instance also removes
// them from the store.
func (c *Core) sweep(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		chosen := rendezvous.Choose("sweep", table.Names(c.tables.Members.Alive())) == c.settings.Name
		for _, name := range c.tables.Members.ForgetDead(deadRetention) {
			if chosen {
				c.remove(ctx, store.PrefixInstances+name)
			}
		}
		if chosen {
			_, _ = c.runs.Sweep(ctx, time.Now())
		}
	}
}

// remove deletes an object regardless of its version.
func (c *Core) remove(ctx context.Context, key string) {
	if obj, err := c.store.Get(ctx, key); err == nil {
		_ = c.store.Delete(ctx, obj.Key, obj.Version)
	}
}
