package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
)

// A store that is restored from a copy (a backup) begins a new era: see store.Revision.

// unknownEra is the era before the store has answered.
const unknownEra = -1

// recordEra records the store's era. fromStore is whether it was read from an answer of the store
// rather than from the holder's update. A change of era counts as a return of the store (regainedAt):
// a server whose entry is missing in the new era is not removed before directory.LapseGrace has passed,
// since the entry may be written again.
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
		w.eraLearnedAt, w.regainedAt = now, now
	}
	if previous != unknownEra || era > 0 && !w.firstStart {
		w.copySuspectedAt = now
	}
	w.mu.Unlock()
	w.onNewEra(era)
	if previous != unknownEra {
		w.onRestored(fromStore)
		w.log.WithFields(logrus.Fields{"era": era, "before": previous, "told_by_store": fromStore}).Warn("store came back from a copy")
	}
}

// copySuspectedWithin reports whether this instance learned less than the given time ago of an era that
// may have begun just before. An instance that starts can't tell how long ago its first era began, unless
// the store was never restored or the whole system starts for the first time.
func (w *watcher) copySuspectedWithin(within time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.copySuspectedAt.IsZero() && clock.Since(w.copySuspectedAt) < within
}

// mustRelist reports whether the servers have to be listed again, since RestoreGrace has ended after
// the last call, which began at started. Until then, entries of servers that had been removed before
// the restore are ignored; those that are still there afterwards count. It returns false for other
// prefixes.
func (w *watcher) mustRelist(prefix string, started time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	graceEnd := w.eraLearnedAt.Add(directory.RestoreGrace)
	return prefix == platform.PrefixServers && !w.eraLearnedAt.IsZero() && started.Before(graceEnd) && !clock.Now().Before(graceEnd)
}

// handleStoreRestored schedules this instance's records to be written again, since the copy that the
// store was restored from may lack them. fromStore is whether the store has reported the restore, and
// not another instance.
func (i *Instance) handleStoreRestored(fromStore bool) {
	pause.Wake(i.members.eraChanged)
	i.marks.restored.Store(true)
	if fromStore {
		i.quarantine.scheduleWriteAll()
	}
	i.follower.reportNow()
}
