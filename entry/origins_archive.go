package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/store"
)

// prefixOrigins is the store's prefix of the archived origins of streams, by the instance that keeps them.
const prefixOrigins = "origins/"

// prefixRecentOrigins is the store's prefix of those that were added since all were archived, by the same instances.
const prefixRecentOrigins = "recent-origins/"

// originArchive keeps in the store the origins that this instance keeps for others, and reads them when a process starts.
// It writes all of them at once, and in large fleets those that were added since more often, to a second entry. It writes only if
// there are new ones, so nothing is written while services have one software version. What is not written yet when the process
// ends costs a stream, never its integrity.
type originArchive struct {
	store store.Store
	key   string
	table *skew.Origins
	// dir is told of the software versions that the archive names.
	dir *directory.Directory
	// window has the origins to be archived.
	window skew.Window
	// instances returns the number of instances that share the store.
	instances func() int
	log       logrus.FieldLogger
	// restored is set once the archive of earlier processes was read.
	restored atomic.Bool
	// revision is that of the entry with all origins, and recentRevision that of the other one, 0 if there is none; used by run only.
	revision, recentRevision store.Revision
}

// Timing of archive writes.
const (
	// minArchiveInterval is how long the origin of a stream may be without an archived copy in a small fleet.
	minArchiveInterval = 500 * time.Millisecond
	// archiveSpacing is the mean time between two writes of all origins, and recentSpacing that between two of those added since,
	// by any instance.
	archiveSpacing = 50 * time.Millisecond
	recentSpacing  = 6 * time.Millisecond
)

// archiveInterval is the time between two writes of an instance if they are spaced over a number of instances.
func archiveInterval(instances int, spacing time.Duration) time.Duration {
	return max(minArchiveInterval, time.Duration(instances)*spacing)
}

// recentKey returns the key of the second entry.
func (a *originArchive) recentKey() string {
	return prefixRecentOrigins + strings.TrimPrefix(a.key, prefixOrigins)
}

// run reads the archive and then keeps it current until ctx ends.
func (a *originArchive) run(ctx context.Context) {
	for !a.restore(ctx) {
		if !pause.For(ctx, minArchiveInterval) {
			return
		}
	}
	var updatedAt time.Time
	for pause.For(ctx, archiveInterval(a.instances(), recentSpacing)) {
		if clock.Since(updatedAt) < archiveInterval(a.instances(), archiveSpacing) {
			a.updateRecent(ctx)
			continue
		}
		updatedAt = clock.Now()
		a.update(ctx)
	}
}

// restore reads the archive, and reports whether the store answered.
func (a *originArchive) restore(ctx context.Context) bool {
	all, revision, read := a.read(ctx, a.key)
	if !read {
		return false
	}
	recent, recentRevision, read := a.read(ctx, a.recentKey())
	if !read {
		return false
	}
	a.revision, a.recentRevision = revision, recentRevision
	streams := 0
	for _, archived := range []skew.Digests{all, recent} {
		streams += archived.Restore(a.table, &a.window, clock.Now())
		for service, versions := range archived {
			a.dir.ObserveVersions(service, slices.Collect(maps.Keys(versions)), clock.Now())
		}
	}
	if streams > 0 {
		a.log.WithField("streams", streams).Info("origins of streams restored, kept by an earlier process of this instance")
	}
	a.restored.Store(true)
	return true
}

// read reads an entry, and reports whether the store answered. revision is 0 if there is none.
func (a *originArchive) read(ctx context.Context, key string) (archived skew.Digests, revision store.Revision, answered bool) {
	obj, err := a.store.Get(ctx, key)
	if err != nil {
		return nil, 0, errors.Is(err, store.ErrNotFound)
	}
	if err := json.Unmarshal(obj.Value, &archived); err != nil {
		a.log.WithFields(logrus.Fields{"key": key, "error": err}).Error("archived origins of streams cannot be decoded")
	}
	return archived, obj.Version, true
}

// update writes all origins if there are new ones, and deletes the archive if none is left.
func (a *originArchive) update(ctx context.Context) {
	digests, changed := a.window.Snapshot(clock.Now())
	switch {
	case changed:
		a.write(ctx, a.key, &a.revision, digests)
	case len(digests) == 0:
		a.delete(ctx, a.key, &a.revision)
		a.delete(ctx, a.recentKey(), &a.recentRevision)
	}
}

// updateRecent writes the origins that were added since all were written, if there are new ones.
func (a *originArchive) updateRecent(ctx context.Context) {
	if digests, changed := a.window.Recent(); changed {
		a.write(ctx, a.recentKey(), &a.recentRevision, digests)
	}
}

// write writes an entry. If that fails all origins are written again, with what another process has written meanwhile.
func (a *originArchive) write(ctx context.Context, key string, revision *store.Revision, digests skew.Digests) {
	written, err := store.WriteJSON(ctx, a.store, key, digests, *revision)
	if err == nil {
		*revision = written
		return
	}
	a.window.MarkChanged()
	if errors.Is(err, store.ErrUnavailable) {
		return
	}
	a.log.WithFields(logrus.Fields{"key": key, "error": err}).Info("origins of streams could not be archived")
	a.restore(ctx)
}

// delete deletes an entry. One that another process has written meanwhile is read first, and deleted once its origins have left
// the window, too.
func (a *originArchive) delete(ctx context.Context, key string, revision *store.Revision) {
	if *revision == 0 {
		return
	}
	switch err := a.store.Delete(ctx, key, *revision); {
	case err == nil, errors.Is(err, store.ErrNotFound):
		*revision = 0
	case errors.Is(err, store.ErrConflict):
		a.restore(ctx)
	}
}
