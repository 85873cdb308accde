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
	crashes  *crashes
	log      logrus.FieldLogger
	// holds reports whether this instance holds the lease.
	holds func() bool
	// declared is nil where no operators are answered.
	declared *declared
	// news wakes the watch of the configuration when there is a newer one.
	news chan struct{}

	mu sync.Mutex
	// down is whether the store was not there when it was last heard of, and returned when it was
	// again: by own calls, of which the last that failed was begun at lastFailed, or by the
	// holder's word; guarded by mu.
	down                 bool
	returned, lastFailed time.Time
	// failed is whether the last call for a prefix failed; guarded by mu.
	failed map[string]bool
	// failing is when the first call was begun that failed since the last
	// success, and answered when that success was; guarded by mu.
	failing, answered time.Time
	// word is as of when the holder's last word was that was taken, and lifetime for how long
	// after that it lasts; guarded by mu.
	word     time.Time
	lifetime time.Duration
	// bound returns how old the holder's word may become.
	bound func() time.Duration
	// relying is whether the holder's word is taken at present; guarded by mu.
	relying bool
	// began is when the instance began to watch.
	began time.Time
	// wanted is the newest configuration's version that was heard of; guarded
	// by mu.
	wanted int64
	// newestUnreadable: the newest configuration cannot be read; guarded by mu.
	newestUnreadable bool
	// asOf is as of when what the store has under a prefix is known here; guarded by mu.
	asOf map[string]time.Time
	// era is the store's, and eraBegan when it was first heard of; guarded by mu.
	era      int64
	eraBegan time.Time
	// onEra is told of each new era, and cameBack of each but the first one that is heard of: whether
	// the store has said so to this instance.
	onEra    func(era int64)
	cameBack func(told bool)
	// lapsed are servers whose entries are missing, with the revision of that.
	lapsed map[string]store.Revision // guarded by mu
}

// newWatcher returns a watcher; bound returns how old the holder's word may become.
func newWatcher(s store.Store, dir *directory.Directory, b *platform.Backends, balancer *balance.Balancer, holds func() bool, bound func() time.Duration, log logrus.FieldLogger) *watcher {
	return &watcher{
		store: s, dir: dir, backends: b, balancer: balancer, holds: holds, bound: bound, log: log, news: make(chan struct{}, 1),
		era: unknownEra, onEra: func(int64) {}, cameBack: func(bool) {}, failed: map[string]bool{}, asOf: map[string]time.Time{}, lapsed: map[string]store.Revision{},
	}
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	w.mu.Lock()
	w.began = clock.Now()
	w.mu.Unlock()
	var work sync.WaitGroup
	work.Go(func() { w.watch(ctx, platform.KeyConfig, 0, w.applyConfig) })
	work.Go(func() { w.watch(ctx, platform.PrefixServers, serversPause, w.applyServers) })
	work.Go(func() { w.sweep(ctx) })
	if w.declared != nil {
		work.Go(func() { w.watch(ctx, store.KeyConfig, 0, w.declared.apply) })
	}
	work.Wait()
}

// relayCheck is how often an instance that takes the holder's word looks
// whether it still does.
const relayCheck = 100 * time.Millisecond

// lacksConfig reports whether a newer configuration than the one in force was
// heard of.
func (w *watcher) lacksConfig() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	config := w.dir.Config()
	return w.wanted > 0 && (config == nil || config.Version < w.wanted)
}

// firstWord is how long an instance that starts waits for the holder's word before it
// reads the list of servers itself, and watches. Where all start at once the first holder
// is known to them after about a second. 195 instances that did not wait made 3,225 calls
// before their first request, 16 each. The configuration is read once without waiting: an
// instance refuses everything before it has one.
const firstWord = 1500 * time.Millisecond

// awaitsWord reports whether the holder's first word may still come.
func (w *watcher) awaitsWord(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.word.IsZero() && now.Sub(w.began) < firstWord
}

// unread reports whether the configuration has not been read at all yet.
func (w *watcher) unread(prefix string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return prefix == platform.KeyConfig && w.asOf[prefix].IsZero()
}

// watch reads all objects under prefix once and then what changes, while the
// holder's word is not relied on. full is whether apply gets all objects or only
// changes.
func (w *watcher) watch(ctx context.Context, prefix string, gather time.Duration, apply func(snap store.Snapshot, full bool)) {
	revision := store.Revision(-1)
	retry := watchRetry
	for ctx.Err() == nil {
		if w.rests(ctx, prefix) {
			if prefix == store.KeyConfig && !w.holds() {
				w.declared.forget()
			}
			revision = -1
			continue
		}
		started := clock.Exact()
		wait := w.watchWait()
		snap, err := w.readOrWatch(store.WaitAtMost(ctx, wait), prefix, revision)
		w.note(prefix, started, revision >= 0, err)
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
		w.heardOfEra(snap.Revision.Era(), true)
		apply(snap, revision < 0)
		asOf := started
		if revision >= 0 && len(snap.Objects) == 0 {
			asOf = heldUntil(started, wait, clock.Exact())
		}
		w.answeredAsOf(prefix, asOf)
		revision = snap.Revision
		if w.listsAgain(prefix, started) {
			revision = -1
		}
		if len(snap.Objects) > 0 {
			pause.For(ctx, w.gather(gather)-clock.Since(started))
		}
	}
}

// rests lets some time pass if the store need not be asked now, and reports whether it
// did: another watch tries whether the store is back, or the holder's word is recent.
func (w *watcher) rests(ctx context.Context, prefix string) bool {
	if prefix != platform.KeyConfig && w.allFailed(prefix) {
		pause.For(ctx, relayCheck)
		return true
	}
	now := clock.Now()
	if !w.holds() && w.awaitsWord(now) && !w.unread(prefix) {
		w.idle(ctx, prefix)
		return true
	}
	relies := !w.holds() && w.relies(now)
	w.noteSource(prefix, relies)
	if !relies || prefix == platform.KeyConfig && w.lacksConfig() {
		return false
	}
	w.idle(ctx, prefix)
	return true
}

// watchWait is how long the store holds a watch without news: at the holder for a short time,
// as each answer tells that there is none, and all others hear that from it.
func (w *watcher) watchWait() time.Duration {
	if w.holds() {
		return holderWatchWait
	}
	return watchWait
}

// gather is the pause that gathers changes: the holder's is shorter, since all
// others hear from it.
func (w *watcher) gather(own time.Duration) time.Duration {
	if w.holds() {
		return own
	}
	return 2 * own
}

// idle waits for news of the configuration, or until it is time to look whether
// the holder's word is still relied on.
func (w *watcher) idle(ctx context.Context, prefix string) {
	if prefix != platform.KeyConfig {
		pause.For(ctx, relayCheck)
		return
	}
	pause.Until(ctx, relayCheck, w.news)
}

func (w *watcher) readOrWatch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	if revision < 0 {
		return w.store.List(ctx, prefix)
	}
	return w.store.Watch(ctx, prefix, revision)
}

// noteSource logs from where the servers are known, when that changes.
func (w *watcher) noteSource(prefix string, relies bool) {
	if prefix != platform.PrefixServers {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if relies == w.relying {
		return
	}
	w.relying = relies
	w.log.WithFields(logrus.Fields{"from_holder": relies, "word_ms": clock.Since(w.word).Milliseconds(), "servers_age_ms": clock.Since(w.asOf[platform.PrefixServers]).Milliseconds()}).Info("source of the servers changed")
}

// note notes how a call ended that was begun at started. A watch that was not answered says
// nothing of the store, which the reading after it does.
func (w *watcher) note(prefix string, started time.Time, watching bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := err != nil && !errors.Is(err, store.ErrCompacted)
	w.failed[prefix] = failed
	if !failed {
		w.failing, w.answered = time.Time{}, started
		w.regained(clock.Now(), "own call")
		return
	}
	if w.failing.IsZero() {
		w.failing = started
	}
	if watching {
		return
	}
	w.lastFailed = started
	if !w.down {
		w.down = true
		w.log.WithFields(logrus.Fields{"watch": prefix, "error": err}).Warn("store lost")
	}
}

// regained needs mu. It notes that the store was there at a time, by whose word: entries that
// lapsed before may be back in a moment.
func (w *watcher) regained(at time.Time, source string) {
	if !w.down {
		return
	}
	w.down, w.returned = false, at
	w.log.WithField("source", source).Info("store regained")
}

// allFailed reports whether the last call for a prefix failed, and that for the configuration,
// which tries whether the store is back.
func (w *watcher) allFailed(prefix string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed[prefix] && w.failed[platform.KeyConfig]
}

// lost reports whether the last call failed.
func (w *watcher) lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// outage returns when the first call was begun that failed since the store last
// answered; zero while it answers.
func (w *watcher) outage() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

// answeredSince reports whether the store has answered a call that was begun
// after t.
func (w *watcher) answeredSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered.After(t)
}
