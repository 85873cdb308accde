package directory

import (
	"time"

	"github.com/martenport/martenport/store"
)

// CopiedGrace is how long after a store came back from a copy it may have entries of servers that
// were gone before: until the platform has missed three heartbeats of each, of 1.2 s.
const CopiedGrace = 5 * time.Second

// noteEra needs mu. It notes when the era of a revision was first heard of.
func (d *Directory) noteEra(r store.Revision, now time.Time) {
	if era := r.Era(); era > d.era {
		d.era, d.eraBegan = era, now
	}
}

// mayBeCopied needs mu. It reports whether the entry at a revision, of a server that was removed,
// may be one of before, which came back with a copy of the store.
func (d *Directory) mayBeCopied(r store.Revision, gone removal, now time.Time) bool {
	return gone.revision.Era() < r.Era() && now.Sub(d.eraBegan) < CopiedGrace
}
