package entry

import (
	"math/rand/v2"
	"time"

	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
)

// How old what an instance knows of the store is. An age counts from a time at which the store
// surely had no more, and goes with a word from instance to instance: no hop makes it young.

const (
	// ownReading is how long it may take an instance to notice that the holder's word is too old,
	// and to read the store itself, one call that fails included.
	ownReading = 800 * time.Millisecond
	// leastWordLifetime is the shortest time that a word lasts, whatever the bounds.
	leastWordLifetime = 600 * time.Millisecond
	// wordSpread is by how much sooner than others an instance reads the store when the holder
	// falls silent, so that not all do at once.
	wordSpread = 200 * time.Millisecond
)

// wordLifetime returns how old the holder's word may become: within what the deployment allows
// for a leaving server, and for a configuration, there is time left to read the store.
func wordLifetime(s *platform.Settings) time.Duration {
	bound := s.DrainBound()
	if config := s.ConfigurationBound(); config > 0 {
		bound = min(bound, config)
	}
	return max(leastWordLifetime, bound-ownReading)
}

// known notes that what the store has under a prefix is known as of a time.
func (w *watcher) known(prefix string, asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if asOf.After(w.asOf[prefix]) {
		w.asOf[prefix] = asOf
	}
}

// answeredAsOf notes that the store has answered all that it had under a prefix at a time.
func (w *watcher) answeredAsOf(prefix string, asOf time.Time) {
	w.known(prefix, asOf)
	if prefix == platform.KeyConfig {
		w.confirm(asOf)
	}
}

// heldUntil returns a time until which a watch, begun at started and answered without events at
// now, was held by the store, which does so for wait.
func heldUntil(started time.Time, wait time.Duration, now time.Time) time.Time {
	if held := started.Add(wait); !held.After(now) {
		return held
	}
	return started
}

// ageOf is how old what is known of the objects under a prefix is.
func (w *watcher) ageOf(prefix string, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.asOf[prefix])
}

// age is how old what is known of the store may be.
func (w *watcher) age(now time.Time) time.Duration {
	return max(w.ageOf(platform.KeyConfig, now), w.ageOf(platform.PrefixServers, now))
}

// relies reports whether the holder's word is recent.
func (w *watcher) relies(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.word.IsZero() && now.Sub(w.word) < w.lifetime
}

// relay takes over the holder's word as of a time.
func (w *watcher) relay(news holder.News, asOf, now time.Time) {
	if news.Servers.Revision > 0 {
		w.heardOfEra(news.Servers.Revision.Era(), false)
	}
	applied := w.dir.ApplyDelta(news.Servers, now)
	for _, id := range applied.Leaving {
		w.logLeaving(id, "holder", now.Sub(asOf))
	}
	for _, id := range applied.Gone {
		w.forget(id, news.Servers.Revision)
	}
	w.known(platform.PrefixServers, asOf)
	w.mu.Lock()
	defer w.mu.Unlock()
	if asOf.After(w.lastFailed) {
		w.regained(asOf, "holder")
	}
	clear(w.lapsed) // the holder waits for them, and says which are gone
	if asOf.After(w.word) {
		w.word, w.lifetime = asOf, w.bound()-rand.N(wordSpread)
	}
	w.wanted = max(w.wanted, news.Config.Version)
	pause.Wake(w.news)
}
