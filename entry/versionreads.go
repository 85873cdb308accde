package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// versionReads reads from the store which software versions there are, for decisions that need it as of now. One call serves
// all that wait for it, and does not end with any of them.
type versionReads struct {
	store  store.Store
	prefix string
	// decode returns the versions that the objects under the prefix name, by service, and whether none may lack.
	decode func(snap store.Snapshot) (versions map[string][]string, complete bool)
	// pause returns the shortest time between two calls.
	pause func() time.Duration

	mu sync.Mutex
	// last is the read that is going on, or else the last one, and complete the last one that was complete; nil before the first;
	// guarded by mu.
	last, complete *versionRead
}

// versionRead is one read. The other fields are set before done is closed.
type versionRead struct {
	done     chan struct{}
	calledAt time.Time
	versions map[string][]string
	// complete is set if there were no other versions at calledAt.
	complete bool
}

const (
	// minReadsPause is the shortest time between two calls, and serverListSpacing the mean time between two calls of all instances
	// together for the list of servers, since a partition concerns many at once.
	minReadsPause     = 100 * time.Millisecond
	serverListSpacing = 3 * time.Millisecond
	// maxServerListWait is how long a stream that a client resumes waits for the list of servers. It is longer than the pause
	// between two calls in a fleet of 330 instances.
	maxServerListWait = 1200 * time.Millisecond
)

// newServerList returns reads of the list of servers, where the watched one does not do: a watch may end without the changes of the
// last store.MaxWatchDelay. instances returns the number of instances that share the store.
func newServerList(s store.Store, w *watcher, instances func() int) *versionReads {
	return &versionReads{
		store: s, prefix: platform.PrefixServers, decode: w.decodeVersions,
		pause: func() time.Duration { return max(minReadsPause, time.Duration(instances())*serverListSpacing) },
	}
}

// newMarkList returns reads of the marks of software versions: streams may have begun since at a version that others have marked.
func newMarkList(s store.Store) *versionReads {
	return &versionReads{store: s, prefix: prefixVersions, decode: decodeMarks, pause: func() time.Duration { return minReadsPause }}
}

// since returns the versions as of a time or later. ok is set if the store answered before ctx ended, and none may lack.
func (r *versionReads) since(ctx context.Context, at time.Time) (versions map[string][]string, ok bool) {
	for {
		read := r.readSince(at)
		select {
		case <-read.done:
		case <-ctx.Done():
			return nil, false
		}
		if !read.calledAt.Before(at) {
			return read.versions, read.complete
		}
	}
}

// readSince returns the last complete read if that is as of a time or later, or else the one that is going on. It begins one if
// there is neither.
func (r *versionReads) readSince(at time.Time) *versionRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.complete != nil && !r.complete.calledAt.Before(at) {
		return r.complete
	}
	wait := time.Duration(0)
	if r.last != nil {
		if r.last.isGoingOn() {
			return r.last
		}
		wait = r.pause() - clock.Since(r.last.calledAt)
	}
	read := &versionRead{done: make(chan struct{})}
	r.last = read
	go r.run(read, wait)
	return read
}

func (r *versionRead) isGoingOn() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// run carries out a read after a pause.
func (r *versionReads) run(read *versionRead, wait time.Duration) {
	defer close(read.done)
	pause.For(context.Background(), wait)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	read.calledAt = clock.Exact()
	snap, err := r.store.List(ctx, r.prefix)
	if err != nil {
		return
	}
	if read.versions, read.complete = r.decode(snap); read.complete {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.complete = read
	}
}

// decodeVersions returns the software versions of listed servers, by service.
func (w *watcher) decodeVersions(snap store.Snapshot) (versions map[string][]string, complete bool) {
	w.recordEra(snap.Revision.Era(), true)
	versions = map[string][]string{}
	for _, obj := range snap.Objects {
		if server, err := platform.DecodeServer(obj); err == nil && !slices.Contains(versions[server.Service], server.Version) {
			versions[server.Service] = append(versions[server.Service], server.Version)
		}
	}
	return versions, !w.mayLackEntries()
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

// decodeMarks returns the versions that marks name, by service, without marks that may lack some.
func decodeMarks(snap store.Snapshot) (versions map[string][]string, complete bool) {
	versions = map[string][]string{}
	for _, obj := range snap.Objects {
		if mark, err := decodeMark(obj); err == nil && !mark.Unsure && mark.Era >= snap.Revision.Era() {
			versions[obj.Key[len(prefixVersions):]] = mark.Versions
		}
	}
	return versions, true
}
