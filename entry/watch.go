package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Times of watching the store.
const (
	// watchRetry is the pause after a call that failed.
	watchRetry = 200 * time.Millisecond
	// serversPause gathers changes of servers into one call; it is short
	// against the seconds in which a leaving server must be noticed.
	serversPause = 250 * time.Millisecond
	// lapseGrace is how long after the store's return an entry that is missing
	// may still come back: entries lapse while the store is away.
	lapseGrace = 2200 * time.Millisecond
)

// watcher keeps the directory up with the store.
type watcher struct {
	store    store.Store
	dir      *directory.Directory
	backends *platform.Backends
	balancer *balance.Balancer
	log      logrus.FieldLogger

	mu sync.Mutex
	// down is whether the last call failed, and returned when calls succeeded
	// again; guarded by mu.
	down     bool
	returned time.Time
	// lapsed are servers whose entries are missing, with the revision of that.
	lapsed map[string]int64 // guarded by mu
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { w.watch(ctx, platform.KeyConfig, 0, w.applyConfig) })
	work.Go(func() { w.watch(ctx, platform.PrefixServers, serversPause, w.applyServers) })
	work.Go(func() { w.sweep(ctx) })
	work.Wait()
}

// watch reads all objects under prefix once and then what changes. full is
// whether apply gets all objects or only changes.
func (w *watcher) watch(ctx context.Context, prefix string, gather time.Duration, apply func(snap store.Snapshot, full bool)) {
	revision := int64(-1)
	for ctx.Err() == nil {
		snap, err := w.readOrWatch(ctx, prefix, revision)
		w.note(prefix, err)
		if errors.Is(err, store.ErrCompacted) {
			revision = -1
			continue
		}
		if err != nil {
			pause.For(ctx, watchRetry)
			continue
		}
		apply(snap, revision < 0)
		revision = snap.Revision
		if len(snap.Objects) > 0 {
			pause.For(ctx, gather)
		}
	}
}

func (w *watcher) readOrWatch(ctx context.Context, prefix string, revision int64) (store.Snapshot, error) {
	if revision < 0 {
		return w.store.List(ctx, prefix)
	}
	return w.store.Watch(ctx, prefix, revision)
}

// note logs when the store is lost and regained.
func (w *watcher) note(prefix string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	down := err != nil && !errors.Is(err, store.ErrCompacted)
	if down == w.down {
		return
	}
	w.down = down
	if down {
		w.log.WithFields(logrus.Fields{"watch": prefix, "error": err}).Warn("store lost")
		return
	}
	w.returned = time.Now()
	w.log.WithField("watch", prefix).Info("store regained")
}

// reachesStore reports whether the last call succeeded.
func (w *watcher) reachesStore() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down
}

func (w *watcher) applyConfig(snap store.Snapshot, _ bool) {
	for _, obj := range snap.Objects {
		if obj.Deleted {
			continue // a configuration in force never reverts
		}
		config, err := platform.DecodeConfig(obj.Value)
		if err != nil {
			w.log.WithFields(logrus.Fields{"revision": obj.Version, "error": err}).Error("configuration cannot be read, the one in force stays")
			continue
		}
		if w.dir.ApplyConfig(config) {
			w.log.WithFields(logrus.Fields{"config": config.Version, "revision": obj.Version, "routes": len(config.Routes)}).Info("configuration in force")
		}
	}
}

func (w *watcher) applyServers(snap store.Snapshot, full bool) {
	var listed []string
	for _, obj := range snap.Objects {
		server, err := platform.DecodeServer(obj)
		listed = append(listed, server.ID)
		if obj.Deleted {
			w.missing(server.ID, obj.Version)
			continue
		}
		if err != nil {
			w.log.WithFields(logrus.Fields{"revision": obj.Version, "error": err}).Error("entry of a server cannot be read")
			continue
		}
		w.apply(server)
	}
	if !full {
		return
	}
	for _, id := range w.dir.IDs() {
		if !slices.Contains(listed, id) {
			w.missing(id, snap.Revision)
		}
	}
}

func (w *watcher) apply(server serving.Server) {
	w.mu.Lock()
	delete(w.lapsed, server.ID)
	w.mu.Unlock()
	_, known := w.dir.Server(server.ID)
	leaves := w.dir.ApplyServer(server, time.Now())
	if leaves || !known {
		w.log.WithFields(logrus.Fields{
			"server": server.ID, "service": server.Service, "address": server.Address, "domain": server.FailureDomain,
			"draining": server.Draining, "remaining_ms": server.Remaining.Milliseconds(), "revision": server.Revision,
		}).Info("server known")
	}
}

// missing removes a server whose entry is gone, or waits while it may be back.
func (w *watcher) missing(id string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || time.Since(w.returned) < lapseGrace {
		w.lapsed[id] = max(revision, w.lapsed[id])
		return
	}
	w.remove(id, revision)
}

// remove needs mu.
func (w *watcher) remove(id string, revision int64) {
	delete(w.lapsed, id)
	if !w.dir.RemoveServer(id, revision, time.Now()) {
		return
	}
	w.backends.Forget(id)
	w.balancer.Forget(id)
	w.log.WithFields(logrus.Fields{"server": id, "revision": revision}).Info("server gone")
}

// sweepInterval is how often lapsed entries are looked at.
const sweepInterval = 200 * time.Millisecond

// sweep removes what has not come back in its grace, and old memories.
func (w *watcher) sweep(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		w.mu.Lock()
		if !w.down && time.Since(w.returned) >= lapseGrace {
			for id, revision := range w.lapsed {
				w.remove(id, revision)
			}
		}
		w.mu.Unlock()
		w.dir.Sweep(time.Now())
	}
}
