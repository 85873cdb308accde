package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/platform"
)

// A store that is restored from a copy begins a new era: see store.Revision.

// unknownEra is the era before the store has answered.
const unknownEra = -1

// recordEra records the store's era. fromStore is whether it was read from an answer of the store
// rather than from the holder's update. Entries that the new era lacks may be written again shortly,
// as after an outage.
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

// restoredWithin reports whether the store was restored from a copy less than the given time ago. An
// instance that has seen only one era cannot tell and returns false.
func (w *watcher) restoredWithin(within time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.eraStart.IsZero() && clock.Since(w.eraStart) < within
}

// mustRelist reports whether the objects under a prefix, read by a call that began at started, have to
// be listed again. Entries from before the restore count only if they are still there after
// RestoreGrace.
func (w *watcher) mustRelist(prefix string, started time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	graceEnd := w.eraStart.Add(directory.RestoreGrace)
	return prefix == platform.PrefixServers && !w.eraStart.IsZero() && started.Before(graceEnd) && !clock.Now().Before(graceEnd)
}
