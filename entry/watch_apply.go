package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// What a watcher takes over from the store.

func (w *watcher) applyConfig(snap store.Snapshot, _ bool) {
	for _, obj := range snap.Objects {
		if obj.Deleted {
			continue // a configuration in force never reverts
		}
		config, err := platform.DecodeConfig(obj.Value)
		if err != nil {
			w.log.WithFields(logrus.Fields{"revision": obj.Version, "error": err}).Error("configuration cannot be read, the one in force stays")
			w.setUnreadable(true)
			continue
		}
		w.setUnreadable(false)
		if w.dir.ApplyConfig(config) {
			w.log.WithFields(logrus.Fields{"config": config.Version, "revision": obj.Version, "routes": len(config.Routes)}).Info("configuration in force")
		}
	}
}

// setUnreadable notes whether the newest configuration can be read.
func (w *watcher) setUnreadable(unreadable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latestConfigUnreadable = unreadable
}

// confirmConfig notes that all configurations that had been accepted at a time were heard of. While
// the newest cannot be read, that does not make the one in force current: it may have keys
// that the newest has not.
func (w *watcher) confirmConfig(at time.Time) {
	if w.restoredWithin(directory.LapseGrace) {
		return // the copy may have an older one, and the newest is written again
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if config := w.dir.Config(); config != nil && !w.latestConfigUnreadable {
		w.dir.Confirm(config.Version, at)
	}
}

func (w *watcher) applyServers(snap store.Snapshot, full bool) {
	known := w.dir.IDs()
	listed, gone := map[string]bool{}, map[string]store.Revision{}
	for _, obj := range snap.Objects {
		server, err := platform.DecodeServer(obj)
		listed[server.ID] = true
		if obj.Deleted {
			gone[server.ID] = obj.Version
			continue
		}
		if err != nil {
			w.log.WithFields(logrus.Fields{"server": server.ID, "revision": obj.Version, "error": err}).Error("entry of a server cannot be read, it is not used")
			w.removeUnreadable(server)
			continue
		}
		w.applyServer(server)
	}
	w.dir.Listed(snap.Revision, clock.Now())
	for _, id := range known {
		if full && !listed[id] {
			gone[id] = snap.Revision
		}
	}
	if 2*len(gone) > len(known) {
		w.recordMassLapse(len(gone), len(known))
	}
	for id, revision := range gone {
		w.handleMissing(id, revision)
	}
}

// recordMassLapse notes that most entries are missing at once: servers do not leave like that, and
// the store was away for so short a time that no call of this instance has failed.
func (w *watcher) recordMassLapse(missing, known int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.storeDown {
		w.regainedAt = clock.Now()
	}
	w.log.WithFields(logrus.Fields{"missing": missing, "known": known}).Warn("most entries of servers are missing, waiting for them")
}

func (w *watcher) applyServer(server serving.Server) {
	w.mu.Lock()
	delete(w.lapsed, server.ID)
	w.mu.Unlock()
	_, known := w.dir.Server(server.ID)
	w.crashes.handleAnnounced(server)
	if before, found := w.dir.Server(server.ID); found && before.Before(server) {
		w.backends.Forget(server.ID) // those connections are to the process before
		w.balancer.Forget(server.ID)
	}
	if w.dir.ApplyServer(server, clock.Now()) {
		w.logLeaving(server.ID, "store", w.prefixAge(platform.PrefixServers, clock.Now()))
	}
	if !known {
		w.log.WithFields(logrus.Fields{
			"server": server.ID, "service": server.Service, "address": server.Address, "domain": server.FailureDomain,
			"draining": server.Draining, "remaining_ms": server.Remaining.Milliseconds(), "revision": server.Revision,
		}).Info("server known")
	}
}

// logLeaving logs that a server is known to be leaving, by whose word, and how old what was
// known of the servers before, or is by that word, has become.
func (w *watcher) logLeaving(id, source string, age time.Duration) {
	server, _ := w.dir.Server(id)
	w.log.WithFields(logrus.Fields{
		"server": id, "service": server.Service, "source": source, "revision": server.Revision, "servers_age_ms": age.Milliseconds(),
		"remaining_ms": server.Remaining.Milliseconds(),
	}).Info("server leaving")
}

// removeUnreadable has a server not be used whose entry cannot be read: another writer has left it.
func (w *watcher) removeUnreadable(server serving.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeServer(server.ID, server.Revision)
}

// handleMissing removes a server whose entry is gone, or waits while it may be back.
func (w *watcher) handleMissing(id string, revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown || clock.Since(w.regainedAt) < directory.LapseGrace {
		w.lapsed[id] = max(revision, w.lapsed[id])
		return
	}
	w.removeServer(id, revision)
}

// removeServer needs mu.
func (w *watcher) removeServer(id string, revision store.Revision) {
	delete(w.lapsed, id)
	if w.dir.RemoveServer(id, revision, clock.Now()) {
		w.dropServer(id, revision)
	}
}

// dropServer drops what was kept for a server that is gone.
func (w *watcher) dropServer(id string, revision store.Revision) {
	w.crashes.handleEntryRemoved(id, w.dir.Drained(id))
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
		if !w.storeDown && clock.Since(w.regainedAt) >= directory.LapseGrace {
			for id, revision := range w.lapsed {
				w.removeServer(id, revision)
			}
		}
		w.mu.Unlock()
		w.dir.Sweep(clock.Now())
	}
}
