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

// watchersPerDomain is how many instances of a failure domain watch the
// platform; the others hear from them. Two, so that one may go.
const watchersPerDomain = 2

// watchPause is the pause after a failed call and between looks at whether
// this instance is a watcher.
const watchPause = time.Second

// watchedStore notes whether the platform can be reached.
type watchedStore struct {
	store.Store
	events *event.Recorder
	down   atomic.Bool
}

func newWatchedStore(s store.Store, events *event.Recorder) *watchedStore {
	return &watchedStore{Store: s, events: events}
}

func (w *watchedStore) note(err error) {
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
func (w *watchedStore) Get(ctx context.Context, key string) (store.Object, error) {
	obj, err := w.Store.Get(ctx, key)
	w.note(err)
	return obj, err
}

// Put implements store.Store.
func (w *watchedStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	obj, err := w.Store.Put(ctx, key, value, version)
	w.note(err)
	return obj, err
}

// watch registers the instance, learns the declaration and the instances, and
// watches for changes while this instance is one of its domain's watchers.
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

// watchPrefix reads everything once, then watches as long as it is this
// instance's turn. A gap in the watch is closed by reading anew.
func (c *Core) watchPrefix(ctx context.Context, prefix string, apply func(store.Object)) {
	revision := store.Revision(-1)
	for ctx.Err() == nil {
		snap, err := c.readOrWatch(ctx, prefix, revision)
		if err != nil {
			revision = -1
			pause.For(ctx, watchPause)
			continue
		}
		for _, obj := range snap.Objects {
			apply(obj)
		}
		revision = snap.Revision
		for !c.watches() && pause.For(ctx, watchPause) {
			revision = -1
		}
	}
}

func (c *Core) readOrWatch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	if revision < 0 {
		return c.store.List(ctx, prefix)
	}
	return c.store.Watch(ctx, prefix, revision)
}

// watches reports whether this instance is one of its domain's watchers.
func (c *Core) watches() bool {
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
	peer.Apply(c.tables, c.events, accepted, "platform")
}

func (c *Core) applyInstance(obj store.Object) {
	var m table.Member
	if obj.Deleted || json.Unmarshal(obj.Value, &m) != nil {
		return
	}
	if known, found := c.tables.Members.Get(m.Name); found && known.Incarnation >= m.Incarnation {
		return // what instances say of each other is newer than the list
	}
	c.tables.Members.Merge([]table.Member{m})
}

// backendStatus is the platform's own word on a backend server.
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
		c.events.Record(event.Event{Kind: event.KindLeaving, Engine: name, Detail: "word of the platform"})
	}
}

func (c *Core) instanceKey() string { return store.PrefixInstances + c.settings.Name }

// register writes this instance's entry, over that of an earlier start.
func (c *Core) register(ctx context.Context) {
	for ctx.Err() == nil && !c.gate.Draining() {
		_, version, err := store.Read[table.Member](ctx, c.store, c.instanceKey())
		if err == nil {
			_, err = store.WriteJSON(ctx, c.store, c.instanceKey(), c.tables.Members.Self(), version)
		}
		if err == nil {
			return
		}
		pause.For(ctx, watchPause)
	}
}

// unregister removes the entry. If the platform is away the entry stays and is
// overruled by what instances say of each other.
func (c *Core) unregister(ctx context.Context) { c.remove(ctx, c.instanceKey()) }

// sweepInterval is how often what is old is removed.
const sweepInterval = time.Minute

// forgetAfter is how long a dead instance is remembered: longer than a failure
// domain is usually cut off.
const forgetAfter = 24 * time.Hour

// sweep removes old keys and the entries of instances that are long gone. Each
// instance forgets; the one chosen for it also tidies the platform.
func (c *Core) sweep(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		chosen := rendezvous.Choose("sweep", table.Names(c.tables.Members.Alive())) == c.settings.Name
		for _, name := range c.tables.Members.ForgetDead(forgetAfter) {
			if chosen {
				c.remove(ctx, store.PrefixInstances+name)
			}
		}
		if chosen {
			_, _ = c.runs.Sweep(ctx, time.Now())
		}
	}
}

// remove deletes an object whatever its version.
func (c *Core) remove(ctx context.Context, key string) {
	if obj, err := c.store.Get(ctx, key); err == nil {
		_ = c.store.Delete(ctx, obj.Key, obj.Version)
	}
}
