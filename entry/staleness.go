package entry

import (
	"math/rand/v2"
	"time"

	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// How stale an instance's copy of the store is. An age is measured from a time at which the copy was
// complete but for changes that a late watch lacks (store.MaxWatchDelay). It is passed on from instance
// to instance, so relaying an update does not make it younger.

const (
	// directReadTime is how long an instance may need to notice that the holder's update is too old
	// and to read the store itself, including one failed call.
	directReadTime = 800 * time.Millisecond
	// lateWatchMargin is by how much sooner an update is too old if its holder does not answer: the next one would have brought
	// the changes that a late watch lacked.
	lateWatchMargin = store.MaxWatchDelay + relayCheckInterval - directReadTime
	// minUpdateLifetime is the minimum time for which a holder's update is used, whatever the bounds.
	minUpdateLifetime = 600 * time.Millisecond
	// updateLifetimeJitter is how much earlier than others an instance may start to read the store
	// when the holder stops answering, so that not all instances do so at the same time.
	updateLifetimeJitter = 200 * time.Millisecond
)

// updateLifetime returns how old the holder's update may become. It leaves time to read the store
// within the deployment's bounds for noticing a leaving server and for applying a configuration.
func updateLifetime(s *platform.Settings) time.Duration {
	bound := s.DrainBound()
	if config := s.ConfigApplyBound(); config > 0 {
		bound = min(bound, config)
	}
	return max(minUpdateLifetime, bound-directReadTime)
}

// recordSynced records that the copy of the objects under a prefix was complete at a time.
func (w *watcher) recordSynced(prefix string, at time.Time) {
	now := clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.syncedAt[prefix]
	if !at.After(before) {
		return
	}
	if prefix == platform.PrefixServers && at.Sub(before) > serversGap {
		w.serversResumed = now
	}
	w.syncedAt[prefix] = at
}

// recordStoreRead records that the store returned everything it had under a prefix at a time.
func (w *watcher) recordStoreRead(prefix string, at time.Time) {
	w.recordSynced(prefix, at)
	if prefix == platform.KeyConfig {
		w.confirmConfig(at)
	}
}

// watchConfirmedAt returns the latest time for which a watch without events confirms that nothing has
// changed, except within store.MaxWatchDelay before it. The watch began at started and returned at now.
// The store was to hold it for wait; if it returned earlier, only the state at started is confirmed.
func watchConfirmedAt(started time.Time, wait time.Duration, now time.Time) time.Time {
	if end := started.Add(wait); !end.After(now) {
		return end
	}
	return started
}

// prefixAge returns the age of the copy of the objects under a prefix.
func (w *watcher) prefixAge(prefix string, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.syncedAt[prefix])
}

// recentServersAge is the age up to which the copy of the servers is relied on to name the process of each server: some
// watches without a change. A server that starts has to load a model before it can begin a stream, which takes about as long.
const recentServersAge = time.Second

// serversAge returns the age of the copy of the servers.
func (w *watcher) serversAge(now time.Time) time.Duration {
	return w.prefixAge(platform.PrefixServers, now)
}

// serversGap is the time between two readings of the servers that counts as a pause of the instance, or of its sources: a server
// needs longer to end and start again.
const serversGap = recentServersAge + store.MaxWatchDelay

// serversOld reports whether the copy of the servers is too old to name the process of each server. After a pause it is until
// no change of the time of the pause can be missing.
func (w *watcher) serversOld(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	syncedAt := w.syncedAt[platform.PrefixServers]
	return now.Sub(syncedAt) > recentServersAge || syncedAt.Before(w.serversResumed.Add(store.MaxWatchDelay))
}

// storeAge returns the greater of the ages of the configuration and of the servers.
func (w *watcher) storeAge(now time.Time) time.Duration {
	return max(w.prefixAge(platform.KeyConfig, now), w.serversAge(now))
}

// holderUpdateFresh reports whether the holder's last update is still within its lifetime.
func (w *watcher) holderUpdateFresh(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.holderUpdateAt.IsZero() && now.Sub(w.holderUpdateAt) < w.holderUpdateLifetime
}

// shortenUpdate makes the holder's last update expire sooner, since the holder did not answer.
func (w *watcher) shortenUpdate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holderUpdateLifetime = min(w.holderUpdateLifetime, w.maxUpdateAge()-lateWatchMargin-rand.N(updateLifetimeJitter))
}

// applyHolderUpdate applies the holder's update, which was current at the given time.
func (w *watcher) applyHolderUpdate(update holder.Update, at, now time.Time) {
	if update.Servers.Revision > 0 {
		w.recordEra(update.Servers.Revision.Era(), false)
	}
	applied := w.dir.ApplyDelta(update.Servers, now)
	for _, id := range applied.Leaving {
		w.logLeaving(id, "holder", now.Sub(at))
	}
	for _, id := range applied.Removed {
		w.dropServer(id, update.Servers.Revision)
	}
	w.recordSynced(platform.PrefixServers, at)
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.lastFailedStart) {
		w.markRegained(at, "holder")
	}
	clear(w.lapsed) // the holder handles missing entries and reports which servers are gone
	if at.After(w.holderUpdateAt) {
		w.holderUpdateAt, w.holderUpdateLifetime = at, w.maxUpdateAge()-rand.N(updateLifetimeJitter)
	}
	w.latestConfigVersion = max(w.latestConfigVersion, update.Config.Version)
	pause.Wake(w.configAvailable)
}
