package directory

import (
	"time"

	"github.com/martenport/martenport/store"
)

// RestoreGrace is how long a store that was restored from a backup may have entries of servers that had been removed
// before the restore: until the platform has missed three heartbeats of each such server, which are 1.2 s apart.
const RestoreGrace = 5 * time.Second

// observeEra records when a revision of a new era was first seen. d.mu must be held.
func (d *Directory) observeEra(r store.Revision, now time.Time) {
	if era := r.Era(); era > d.era {
		d.era, d.eraBegan = era, now
	}
}

// mayBeRestored reports whether the entry at revision r, of a server that was removed, may be an old one that was
// restored with a backup of the store. d.mu must be held.
func (d *Directory) mayBeRestored(r store.Revision, gone removal, now time.Time) bool {
	return gone.revision.Era() < r.Era() && now.Sub(d.eraBegan) < RestoreGrace
}
