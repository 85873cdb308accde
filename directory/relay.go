package directory

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Removal says that a server's entry was gone as of a revision of the store.
type Removal struct {
	ID       string
	Revision store.Revision
}

// Delta is what one instance's directory has that another's has not, of what
// concerns routing: weights cached on engines are left out.
type Delta struct {
	// Change is what to ask from next time.
	Change  uint64
	Servers []serving.Server
	Removed []Removal
	// Revision is the store's, up to which the sender knows of servers.
	Revision store.Revision
	// Digest is the sender's Digest. A receiver that has another one after it has
	// taken the delta over lacks something that changes do not tell.
	Digest uint64
	// Full: Servers are all that the sender knows.
	Full bool
}

// Everything, as the revision of a question, asks for all servers: what the one
// who asks knows cannot be told by a revision.
const Everything = -1

// Since returns what has changed after a change that an earlier Delta named. To
// an instance that has named none it returns what is newer than the revision of
// the store up to which that one knows of servers, and all removals that are
// remembered: those of lapsed entries are found later than their revision says.
// Revision Everything asks for all servers.
func (d *Directory) Since(change uint64, revision store.Revision) Delta {
	d.mu.RLock()
	defer d.mu.RUnlock()
	delta := Delta{Change: d.change, Revision: d.revision, Digest: d.digest, Full: revision == Everything}
	if delta.Full {
		change = 0
	}
	if change == d.change && !delta.Full {
		return delta
	}
	for id, s := range d.servers {
		if change == 0 && s.Revision > revision || change > 0 && d.changed[id] > change {
			s.Tiers = nil
			delta.Servers = append(delta.Servers, s)
		}
	}
	for id, r := range d.removed {
		if d.changed[id] > change {
			delta.Removed = append(delta.Removed, Removal{ID: id, Revision: r.revision})
		}
	}
	slices.SortFunc(delta.Servers, byID)
	return delta
}

// Applied is what a delta has changed, by the ids of servers.
type Applied struct {
	// Leaving are servers that are known to be draining for the first time.
	Leaving []string
	Gone    []string
}

// ApplyDelta takes over what another instance's directory has.
func (d *Directory) ApplyDelta(delta Delta, now time.Time) Applied {
	var applied Applied
	for _, s := range delta.Servers {
		if d.ApplyServer(s, now) {
			applied.Leaving = append(applied.Leaving, s.ID)
		}
	}
	for _, r := range delta.Removed {
		if d.RemoveServer(r.ID, r.Revision, now) {
			applied.Gone = append(applied.Gone, r.ID)
		}
	}
	if delta.Full {
		applied.Gone = append(applied.Gone, d.removeOthers(delta, now)...)
	}
	d.Listed(delta.Revision, now)
	return applied
}

// removeOthers removes the servers that a full delta does not name, though its
// sender has seen a later state of the store.
func (d *Directory) removeOthers(delta Delta, now time.Time) (gone []string) {
	named := map[string]bool{}
	for _, s := range delta.Servers {
		named[s.ID] = true
	}
	for _, id := range d.IDs() {
		if !named[id] && d.RemoveServer(id, delta.Revision, now) {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.noticed = now
	}
	return gone
}

// Revision returns the store's revision up to which servers are known.
func (d *Directory) Revision() store.Revision {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// Listed notes the store's revision up to which the servers are known.
func (d *Directory) Listed(revision store.Revision, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteEra(revision, now)
	d.revision = max(d.revision, revision)
	if d.noticed.IsZero() {
		d.noticed = now
	}
}

// LapseGrace is how long after the store's return an entry that is missing may still
// come back: entries lapse while the store is away. The platform gives them about two
// seconds.
const LapseGrace = 2200 * time.Millisecond

// Complete reports whether a server that is not known here is gone. A process that has
// just listed the servers for the first time cannot tell: the store may have returned a
// moment before, and the entries that lapsed meanwhile may be back within LapseGrace.
// Nor can one that has just removed servers since another, perhaps such a one, lacks them.
func (d *Directory) Complete(now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.noticed.IsZero() && now.Sub(d.noticed) >= LapseGrace
}

// Digest sums up which servers are known and which of them are draining. Two
// directories that know the same have the same one.
func (d *Directory) Digest() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.digest
}

// digestOf is a server's part of the digest.
func digestOf(s serving.Server) uint64 {
	text := s.ID + " " + strconv.FormatInt(s.Born, 10)
	if s.Draining {
		text += " draining"
	}
	return xxhash.Sum64String(text)
}

// touch needs mu. It notes a change that other instances should hear of.
func (d *Directory) touch(id string) {
	d.change++
	d.changed[id] = d.change
}

// routesAlike reports whether two announcements of a server say the same to
// those who send requests.
func routesAlike(a, b serving.Server) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots && a.Draining == b.Draining && a.FailureDomain == b.FailureDomain
}
