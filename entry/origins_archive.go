package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
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

// originArchive keeps in the store the origins that this instance keeps for others, and reads them when a process starts.
// It writes all of them at once and only if there are new ones, so nothing is written while services have one software
// version. What is not written yet when the process ends costs a stream, never its integrity.
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
	// revision is that of the archive in the store, 0 if there is none; used by run only.
	revision store.Revision
}

// Timing of archive writes.
const (
	// minArchiveInterval is how long the origin of a stream may be without an archived copy in a small fleet.
	minArchiveInterval = 500 * time.Millisecond
	// archiveSpacing is the mean time between two writes of all instances together.
	archiveSpacing = 50 * time.Millisecond
)

// run reads the archive and then keeps it current until ctx ends.
func (a *originArchive) run(ctx context.Context) {
	for !a.restore(ctx) {
		if !pause.For(ctx, minArchiveInterval) {
			return
		}
	}
	for pause.For(ctx, max(minArchiveInterval, time.Duration(a.instances())*archiveSpacing)) {
		a.update(ctx)
	}
}

// restore reads the archive, and reports whether the store answered.
func (a *originArchive) restore(ctx context.Context) bool {
	obj, err := a.store.Get(ctx, a.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	var archived skew.Digests
	if err == nil {
		if err := json.Unmarshal(obj.Value, &archived); err != nil {
			a.log.WithFields(logrus.Fields{"key": a.key, "error": err}).Error("archived origins of streams cannot be decoded")
		}
	}
	a.revision = obj.Version // 0 if there is none
	if streams := archived.Restore(a.table, &a.window, clock.Now()); streams > 0 {
		a.log.WithField("streams", streams).Info("origins of streams restored, kept by an earlier process of this instance")
	}
	for service, versions := range archived {
		a.dir.ObserveVersions(service, slices.Collect(maps.Keys(versions)), clock.Now())
	}
	a.restored.Store(true)
	return true
}

// update writes the archive if there are new origins, and deletes it if none is left.
func (a *originArchive) update(ctx context.Context) {
	digests, changed := a.window.Snapshot(clock.Now())
	switch {
	case changed:
		a.write(ctx, digests)
	case len(digests) == 0 && a.revision != 0:
		if a.store.Delete(ctx, a.key, a.revision) == nil {
			a.revision = 0
		}
	}
}

// write writes the archive. If that fails it is written again, with what another process has written meanwhile.
func (a *originArchive) write(ctx context.Context, digests skew.Digests) {
	revision, err := store.WriteJSON(ctx, a.store, a.key, digests, a.revision)
	if err == nil {
		a.revision = revision
		return
	}
	a.window.MarkChanged()
	if errors.Is(err, store.ErrUnavailable) {
		return
	}
	a.log.WithFields(logrus.Fields{"key": a.key, "error": err}).Info("origins of streams could not be archived")
	a.restore(ctx)
}
