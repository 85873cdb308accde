package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/platform"
)

// A store that comes back from a copy begins a new era: see store.Revision.

// unknownEra is before the store has said anything.
const unknownEra = -1

// recordEra notes the store's era, by an answer of the store or by the holder's word. Entries
// that a new one lacks may be written again in a moment, as after an outage.
func (w *watcher) recordEra(era int64, fromStore bool) {
	w.mu.Lock()
	previous := w.era
	if era <= previous {
		w.mu.Unlock()
		return
	}
	now := clock.Now()
	w.era = era
	if previous != unknownEra {
		w.eraStart, w.regainedAt = now, now
	}
	w.mu.Unlock()
	w.onNewEra(era)
	if previous != unknownEra {
		w.onRestored(fromStore)
		w.log.WithFields(logrus.Fields{"era": era, "before": previous, "told_by_store": fromStore}).Warn("store came back from a copy")
	}
}

// restoredWithin reports whether the store came back from a copy less than a time ago. An instance that
// has known one era alone cannot tell.
func (w *watcher) restoredWithin(within time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.eraStart.IsZero() && clock.Since(w.eraStart) < within
}

// mustRelist reports whether what a call begun at started has told of a prefix has to be listed
// anew: an entry that may have been of before counts when it has outlasted its grace.
func (w *watcher) mustRelist(prefix string, started time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	graceEnd := w.eraStart.Add(directory.CopiedGrace)
	return prefix == platform.PrefixServers && !w.eraStart.IsZero() && started.Before(graceEnd) && !clock.Now().Before(graceEnd)
}
