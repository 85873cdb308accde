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

// The functions that apply what the watcher reads from the store.

func (w *watcher) applyConfig(snap store.Snapshot, _ bool) {
	for _, obj := range snap.Objects {
		if obj.Deleted {
			continue // a configuration in force never reverts
		}
		config, err := platform.DecodeConfig(obj.Value)
		if err != nil {
			w.log.WithFields(logrus.Fields{"revision": obj.Version, "error": err}).Error("configuration cannot be read, keeping the one in force")
			w.setUnreadable(true)
			continue
		}
		w.setUnreadable(false)
		if w.dir.ApplyConfig(config) {
			w.log.WithFields(logrus.Fields{"config": config.Version, "revision": obj.Version, "routes": len(config.Routes)}).Info("configuration in force")
		}
	}
}

// setUnreadable records whether the latest configuration cannot be decoded.
func (w *watcher) setUnreadable(unreadable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latestConfigUnreadable = unreadable
}

// confirmConfig records that all configurations accepted before a time are known. While the latest one
// cannot be decoded, the one in force is not confirmed: it may have keys that the latest one lacks. The
// same holds while the store may have the older configuration of a copy, and while another instance has a
// newer one.
func (w *watcher) confirmConfig(at time.Time) {
	if w.copySuspectedWithin(directory.LapseGrace) || w.newerConfigKnown() {
		return
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
			w.onUnreadable(server, err)
			w.removeUnreadable(server)
			continue
		}
		w.applyServer(server)
	}
	w.dir.SetRevision(snap.Revision, clock.Now())
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

// recordMassLapse records that most entries are missing at once. Servers do not leave like that, so the
// store must have been down, too briefly for a call of this instance to fail. This counts as a return of
// the store.
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
	if before, found := w.dir.Server(server.ID); found && before.IsEarlierProcess(server) {
		w.backends.Forget(server.ID) // the connections are to the previous process
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

// logLeaving logs that a server is leaving and which source reported it. age is the age of the list of
// servers from that source.
func (w *watcher) logLeaving(id, source string, age time.Duration) {
	server, _ := w.dir.Server(id)
	w.log.WithFields(logrus.Fields{
		"server": id, "service": server.Service, "source": source, "revision": server.Revision, "servers_age_ms": age.Milliseconds(),
		"remaining_ms": server.Remaining.Milliseconds(),
	}).Info("server leaving")
}

// removeUnreadable removes a server whose entry cannot be decoded, since another writer has
// written it.
func (w *watcher) removeUnreadable(server serving.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeServer(server.ID, server.Revision)
}

// handleMissing removes a server whose entry is missing, or waits while the entry may be written
// again.
func (w *watcher) handleMissing(id string, revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown || clock.Since(w.regainedAt) < directory.LapseGrace {
		w.lapsed[id] = max(revision, w.lapsed[id])
		return
	}
	w.removeServer(id, revision)
}

// removeServer removes a server from the directory. w.mu must be held.
func (w *watcher) removeServer(id string, revision store.Revision) {
	delete(w.lapsed, id)
	if w.dir.RemoveServer(id, revision, clock.Now()) {
		w.dropServer(id, revision)
	}
}

// dropServer drops the state of a removed server.
func (w *watcher) dropServer(id string, revision store.Revision) {
	w.crashes.handleEntryRemoved(id, w.dir.SeenDraining(id))
	w.backends.Forget(id)
	w.balancer.Forget(id)
	w.log.WithFields(logrus.Fields{"server": id, "revision": revision}).Info("server gone")
}

// sweepInterval is how often missing entries are checked.
const sweepInterval = 200 * time.Millisecond

// sweep removes servers whose entries are still missing after the grace period, and expired state.
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
