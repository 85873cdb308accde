package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// Times of watching the store.
const (
	// watchRetry is the pause after a call that failed; it doubles up to
	// maxWatchRetry, which is short against the seconds in which a
	// configuration must be in force.
	watchRetry    = 200 * time.Millisecond
	maxWatchRetry = 800 * time.Millisecond
	// serversPause is the least time from one call for servers to the next, in which changes
	// gather; it is short against the seconds in which a leaving server must be noticed.
	serversPause = 250 * time.Millisecond
)

// watcher keeps the directory up with the store: by watches of its own at the
// holder of the lease and wherever the holder's word is not recent, else by that
// word. So calls to the store do not grow with the number of instances.
type watcher struct {
	store    store.Store
	dir      *directory.Directory
	backends *platform.Backends
	balancer *balance.Balancer
	crashes  *crashDetector
	log      logrus.FieldLogger
	// isHolder reports whether this instance isHolder the lease.
	isHolder func() bool
	// declaration is nil where no operators are answered.
	declaration *declarationState
	// configAvailable wakes the watch of the configuration when there is a newer one.
	configAvailable chan struct{}

	mu sync.Mutex
	// storeDown is whether the store was not there when it was last heard of, and returned when it was
	// again: by own calls, of which the last that failed was begun at lastFailed, or by the
	// holder's word; guarded by mu.
	storeDown                   bool
	regainedAt, lastFailedStart time.Time
	// failed is whether the last call for a prefix failed; guarded by mu.
	failed map[string]bool
	// outageStart is when the first call was begun that failed since the last
	// success, and lastSuccess when that success was; guarded by mu.
	outageStart, lastSuccess time.Time
	// holderUpdateAt is as of when the holder's last holderUpdateAt was that was taken, and lifetime for how long
	// after that it lasts; guarded by mu.
	holderUpdateAt       time.Time
	holderUpdateLifetime time.Duration
	// maxUpdateAge returns how old the holder's word may become.
	maxUpdateAge func() time.Duration
	// usingHolder is whether the holder's word is taken at present; guarded by mu.
	usingHolder bool
	// started is when the instance started to watch.
	started time.Time
	// latestConfigVersion is the newest configuration's version that was heard of; guarded
	// by mu.
	latestConfigVersion int64
	// latestConfigUnreadable: the newest configuration cannot be read; guarded by mu.
	latestConfigUnreadable bool
	// syncedAt is as of when what the store has under a prefix is known here; guarded by mu.
	syncedAt map[string]time.Time
	// era is the store's, and eraBegan when it was first heard of; guarded by mu.
	era      int64
	eraStart time.Time
	// onNewEra is told of each new era, and cameBack of each but the first one that is heard of: whether
	// the store has said so to this instance.
	onNewEra   func(era int64)
	onRestored func(told bool)
	// lapsed are servers whose entries are missing, with the revision of that.
	lapsed map[string]store.Revision // guarded by mu
}

// newWatcher returns a watcher; bound returns how old the holder's word may become.
func newWatcher(s store.Store, dir *directory.Directory, b *platform.Backends, balancer *balance.Balancer, isHolder func() bool, maxUpdateAge func() time.Duration, log logrus.FieldLogger) *watcher {
	return &watcher{
		store: s, dir: dir, backends: b, balancer: balancer, isHolder: isHolder, maxUpdateAge: maxUpdateAge, log: log, configAvailable: make(chan struct{}, 1),
		era: unknownEra, onNewEra: func(int64) {}, onRestored: func(bool) {}, failed: map[string]bool{}, syncedAt: map[string]time.Time{}, lapsed: map[string]store.Revision{},
	}
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	w.mu.Lock()
	w.started = clock.Now()
	w.mu.Unlock()
	var work sync.WaitGroup
	work.Go(func() { w.watch(ctx, platform.KeyConfig, 0, w.applyConfig) })
	work.Go(func() { w.watch(ctx, platform.PrefixServers, serversPause, w.applyServers) })
	work.Go(func() { w.sweep(ctx) })
	if w.declaration != nil {
		work.Go(func() { w.watch(ctx, store.KeyConfig, 0, w.declaration.apply) })
	}
	work.Wait()
}

// relayCheckInterval is how often an instance that takes the holder's word looks
// whether it still does.
const relayCheckInterval = 100 * time.Millisecond

// newerConfigKnown reports whether a newer configuration than the one in force was
// heard of.
func (w *watcher) newerConfigKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	config := w.dir.Config()
	return w.latestConfigVersion > 0 && (config == nil || config.Version < w.latestConfigVersion)
}

// firstUpdateWait is how long an instance that starts waits for the holder's word before it
// reads the list of servers itself, and watches. Where all start at once the first holder
// is known to them after about a second. 195 instances that did not wait made 3,225 calls
// before their first request, 16 each. The configuration is read once without waiting: an
// instance refuses everything before it has one.
const firstUpdateWait = 1500 * time.Millisecond

// awaitsFirstUpdate reports whether the holder's first word may still come.
func (w *watcher) awaitsFirstUpdate(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holderUpdateAt.IsZero() && now.Sub(w.started) < firstUpdateWait
}

// configUnread reports whether the configuration has not been read at all yet.
func (w *watcher) configUnread(prefix string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return prefix == platform.KeyConfig && w.syncedAt[prefix].IsZero()
}

// watch reads all objects under prefix once and then what changes, while the
// holder's word is not relied on. full is whether apply gets all objects or only
// changes.
func (w *watcher) watch(ctx context.Context, prefix string, pauseAfter time.Duration, apply func(snap store.Snapshot, full bool)) {
	revision := store.Revision(-1)
	retry := watchRetry
	for ctx.Err() == nil {
		if w.waitIfNotNeeded(ctx, prefix) {
			if prefix == store.KeyConfig && !w.isHolder() {
				w.declaration.markUnread()
			}
			revision = -1
			continue
		}
		started := clock.Exact()
		hold := w.watchDuration()
		snap, err := w.readOrWatch(store.WaitAtMost(ctx, hold), prefix, revision)
		w.recordCall(prefix, started, revision >= 0, err)
		if err != nil && revision >= 0 {
			revision = -1 // all is listed: the store answers that even where a watch hears nothing
			continue
		}
		if err != nil {
			pause.For(ctx, retry)
			retry = min(2*retry, maxWatchRetry)
			continue
		}
		retry = watchRetry
		w.recordEra(snap.Revision.Era(), true)
		apply(snap, revision < 0)
		syncedAt := started
		if revision >= 0 && len(snap.Objects) == 0 {
			syncedAt = watchConfirmedAt(started, hold, clock.Exact())
		}
		w.recordStoreRead(prefix, syncedAt)
		revision = snap.Revision
		if w.mustRelist(prefix, started) {
			revision = -1
		}
		if len(snap.Objects) > 0 {
			pause.For(ctx, w.gatherPause(pauseAfter)-clock.Since(started))
		}
	}
}

// waitIfNotNeeded lets some time pass if the store need not be asked now, and reports whether it
// did: another watch tries whether the store is back, or the holder's word is recent.
func (w *watcher) waitIfNotNeeded(ctx context.Context, prefix string) bool {
	if prefix != platform.KeyConfig && w.allFailed(prefix) {
		pause.For(ctx, relayCheckInterval)
		return true
	}
	now := clock.Now()
	if !w.isHolder() && w.awaitsFirstUpdate(now) && !w.configUnread(prefix) {
		w.waitForUpdate(ctx, prefix)
		return true
	}
	fromHolder := !w.isHolder() && w.holderUpdateFresh(now)
	w.logSource(prefix, fromHolder)
	if !fromHolder || prefix == platform.KeyConfig && w.newerConfigKnown() {
		return false
	}
	w.waitForUpdate(ctx, prefix)
	return true
}

// watchDuration is how long the store holds a watch without news: at the holder for a short time,
// as each answer tells that there is none, and all others hear that from it.
func (w *watcher) watchDuration() time.Duration {
	if w.isHolder() {
		return holderWatchWait
	}
	return watchWait
}

// gatherPause is the pause that gathers changes: the holder's is shorter, since all
// others hear from it.
func (w *watcher) gatherPause(own time.Duration) time.Duration {
	if w.isHolder() {
		return own
	}
	return 2 * own
}

// waitForUpdate waits for news of the configuration, or until it is time to look whether
// the holder's word is still relied on.
func (w *watcher) waitForUpdate(ctx context.Context, prefix string) {
	if prefix != platform.KeyConfig {
		pause.For(ctx, relayCheckInterval)
		return
	}
	pause.Until(ctx, relayCheckInterval, w.configAvailable)
}

func (w *watcher) readOrWatch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	if revision < 0 {
		return w.store.List(ctx, prefix)
	}
	return w.store.Watch(ctx, prefix, revision)
}

// logSource logs from where the servers are known, when that changes.
func (w *watcher) logSource(prefix string, fromHolder bool) {
	if prefix != platform.PrefixServers {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if fromHolder == w.usingHolder {
		return
	}
	w.usingHolder = fromHolder
	w.log.WithFields(logrus.Fields{"from_holder": fromHolder, "word_ms": clock.Since(w.holderUpdateAt).Milliseconds(), "servers_age_ms": clock.Since(w.syncedAt[platform.PrefixServers]).Milliseconds()}).Info("source of the servers changed")
}

// recordCall notes how a call ended that was begun at started. A watch that was not answered says
// nothing of the store, which the reading after it does.
func (w *watcher) recordCall(prefix string, started time.Time, watching bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := err != nil && !errors.Is(err, store.ErrCompacted)
	w.failed[prefix] = failed
	if !failed {
		w.outageStart, w.lastSuccess = time.Time{}, started
		w.markRegained(clock.Now(), "own call")
		return
	}
	if w.outageStart.IsZero() {
		w.outageStart = started
	}
	if watching {
		return
	}
	w.lastFailedStart = started
	if !w.storeDown {
		w.storeDown = true
		w.log.WithFields(logrus.Fields{"watch": prefix, "error": err}).Warn("store lost")
	}
}

// markRegained needs mu. It notes that the store was there at a time, by whose word: entries that
// lapsed before may be back in a moment.
func (w *watcher) markRegained(at time.Time, source string) {
	if !w.storeDown {
		return
	}
	w.storeDown, w.regainedAt = false, at
	w.log.WithField("source", source).Info("store regained")
}

// allFailed reports whether the last call for a prefix failed, and that for the configuration,
// which tries whether the store is back.
func (w *watcher) allFailed(prefix string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed[prefix] && w.failed[platform.KeyConfig]
}

// storeLost reports whether the last call failed.
func (w *watcher) storeLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeDown
}

// outageSince returns when the first call was begun that failed since the store last
// answered; zero while it answers.
func (w *watcher) outageSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outageStart
}

// answeredSince reports whether the store has answered a call that was begun
// after t.
func (w *watcher) answeredSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastSuccess.After(t)
}
