package entry

import (
	"context"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// serverList reads the list of servers where the watched one does not do: a watch may end without the changes of the last
// store.MaxWatchDelay. One call serves all that wait for it.
type serverList struct {
	store   store.Store
	watcher *watcher
	// instances returns the number of instances that share the store.
	instances func() int
	// reading is full while somebody uses the fields below.
	reading chan struct{}
	// calledAt is when the last call began, and completeAt when the last one began that returned all servers.
	calledAt, completeAt time.Time
}

func newServerList(s store.Store, w *watcher, instances func() int) *serverList {
	return &serverList{store: s, watcher: w, instances: instances, reading: make(chan struct{}, 1)}
}

const (
	// minListPause is the shortest time between two calls, and listSpacing the mean time between two calls of all instances
	// together, since a partition concerns many at once.
	minListPause = 100 * time.Millisecond
	listSpacing  = 3 * time.Millisecond
	// maxListWait is how long a stream that a client resumes waits for the list. It is longer than the pause between two calls
	// in a fleet of 330 instances.
	maxListWait = 1200 * time.Millisecond
)

// observeSince records in dir the software versions of all servers, as of a time or later. It reports whether that was possible
// before ctx ended.
func (l *serverList) observeSince(ctx context.Context, at time.Time, dir *directory.Directory) bool {
	select {
	case l.reading <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.reading }()
	if !l.completeAt.Before(at) {
		return true
	}
	if !pause.For(ctx, max(minListPause, time.Duration(l.instances())*listSpacing)-clock.Since(l.calledAt)) {
		return false
	}
	l.calledAt = clock.Exact()
	snap, err := l.store.List(ctx, platform.PrefixServers)
	if err != nil {
		return false
	}
	l.watcher.recordEra(snap.Revision.Era(), true)
	observeVersions(dir, snap)
	if l.watcher.mayLackEntries() {
		return false
	}
	l.completeAt = l.calledAt
	return true
}

// observeVersions records the software versions of listed servers.
func observeVersions(dir *directory.Directory, snap store.Snapshot) {
	versions := map[string][]string{}
	for _, obj := range snap.Objects {
		if server, err := platform.DecodeServer(obj); err == nil {
			versions[server.Service] = append(versions[server.Service], server.Version)
		}
	}
	for service, listed := range versions {
		dir.ObserveVersions(service, listed, clock.Now())
	}
}

// mayLackEntries reports whether the store may lack entries of servers that run: those that lapsed in an outage, or that a copy
// from which it was restored does not have.
func (w *watcher) mayLackEntries() bool {
	if w.copySuspectedWithin(directory.LapseGrace) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeDown || clock.Since(w.regainedAt) < directory.LapseGrace
}
