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

// heardOfEra notes the store's era, by an answer of the store or by the holder's word. Entries
// that a new one lacks may be written again in a moment, as after an outage.
func (w *watcher) heardOfEra(era int64, told bool) {
	w.mu.Lock()
	known := w.era
	if era <= known {
		w.mu.Unlock()
		return
	}
	now := clock.Now()
	w.era = era
	if known != unknownEra {
		w.eraBegan, w.returned = now, now
	}
	w.mu.Unlock()
	w.onEra(era)
	if known != unknownEra {
		w.cameBack(told)
		w.log.WithFields(logrus.Fields{"era": era, "before": known, "told_by_store": told}).Warn("store came back from a copy")
	}
}

// newEra reports whether the store came back from a copy less than a time ago. An instance that
// has known one era alone cannot tell.
func (w *watcher) newEra(within time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.eraBegan.IsZero() && clock.Since(w.eraBegan) < within
}

// listsAgain reports whether what a call begun at started has told of a prefix has to be listed
// anew: an entry that may have been of before counts when it has outlasted its grace.
func (w *watcher) listsAgain(prefix string, started time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := w.eraBegan.Add(directory.CopiedGrace)
	return prefix == platform.PrefixServers && !w.eraBegan.IsZero() && started.Before(ends) && !clock.Now().Before(ends)
}
