package directory

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Removal states that a server's entry did not exist at a revision of the store.
type Removal struct {
	ID       string
	Revision store.Revision
}

// Delta is the part of one instance's directory that another instance lacks and that concerns routing. Weights
// cached on engines are left out.
type Delta struct {
	// Change is the change to pass to Since for the next delta.
	Change  uint64
	Servers []serving.Server
	Removed []Removal
	// Revision is the store revision up to which the sender knows the servers.
	Revision store.Revision
	// Digest is the sender's Digest. If the receiver's digest differs after it has applied the delta, it lacks
	// something that the deltas do not contain.
	Digest uint64
	// Full is set if Servers are all servers that the sender knows.
	Full bool
}

// AllServers is the revision that requests all servers, for a requester whose state cannot be described by a
// revision.
const AllServers = -1

// Since returns the changes after the change that an earlier Delta named. If change is 0, it returns the servers
// that are newer than revision, the store revision up to which the requester knows the servers, and all removals
// that are remembered: removals of lapsed entries are found later than at their revision. With revision AllServers
// it returns all servers.
func (d *Directory) Since(change uint64, revision store.Revision) Delta {
	d.mu.RLock()
	defer d.mu.RUnlock()
	delta := Delta{Change: d.lastChange, Revision: d.revision, Digest: d.digest, Full: revision == AllServers}
	if delta.Full {
		change = 0
	}
	if change == d.lastChange && !delta.Full {
		return delta
	}
	for id, s := range d.servers {
		if change == 0 && s.Revision > revision || change > 0 && d.changeOf[id] > change {
			s.Tiers = nil
			delta.Servers = append(delta.Servers, s)
		}
	}
	for id, r := range d.removed {
		if d.changeOf[id] > change {
			delta.Removed = append(delta.Removed, Removal{ID: id, Revision: r.revision})
		}
	}
	slices.SortFunc(delta.Servers, byID)
	return delta
}

// Applied lists the ids of the servers that a delta has changed.
type Applied struct {
	// Leaving are the servers that are known to be draining for the first time.
	Leaving []string
	Removed []string
}

// ApplyDelta applies the delta of another instance's directory.
func (d *Directory) ApplyDelta(delta Delta, now time.Time) Applied {
	var applied Applied
	for _, s := range delta.Servers {
		if d.ApplyServer(s, now) {
			applied.Leaving = append(applied.Leaving, s.ID)
		}
	}
	for _, r := range delta.Removed {
		if d.RemoveServer(r.ID, r.Revision, now) {
			applied.Removed = append(applied.Removed, r.ID)
		}
	}
	if delta.Full {
		applied.Removed = append(applied.Removed, d.removeUnlisted(delta, now)...)
	}
	d.SetRevision(delta.Revision, now)
	return applied
}

// removeUnlisted removes the servers that are not in a full delta although the delta is of a later revision of the
// store.
func (d *Directory) removeUnlisted(delta Delta, now time.Time) (removed []string) {
	listed := map[string]bool{}
	for _, s := range delta.Servers {
		listed[s.ID] = true
	}
	for _, id := range d.IDs() {
		if !listed[id] && d.RemoveServer(id, delta.Revision, now) {
			removed = append(removed, id)
		}
	}
	if len(removed) > 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.removalsKnownSince = now
	}
	return removed
}

// Revision returns the store revision up to which the servers are known.
func (d *Directory) Revision() store.Revision {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// SetRevision records the store revision up to which the servers are known.
func (d *Directory) SetRevision(revision store.Revision, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeEra(revision, now)
	d.revision = max(d.revision, revision)
	if d.removalsKnownSince.IsZero() {
		d.removalsKnownSince = now
	}
}

// LapseGrace is how long after the store's return a missing entry may still be written again. Entries lapse while
// the store is unavailable. The platform allows about two seconds for them.
const LapseGrace = 2200 * time.Millisecond

// RemovalsComplete reports whether a server that is not in the directory is certainly removed. That is unknown to a
// process that has just listed the servers for the first time: the store may have returned a moment before, and
// entries that lapsed meanwhile may be written again within LapseGrace. It is also unknown to a process that has just
// removed servers because another instance, perhaps one in that state, lacks them.
func (d *Directory) RemovalsComplete(now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.removalsKnownSince.IsZero() && now.Sub(d.removalsKnownSince) >= LapseGrace
}

// Digest returns a digest of the known servers and of which of them are draining. Directories with the same servers
// have the same digest.
func (d *Directory) Digest() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.digest
}

// digestOf returns a server's part of the digest.
func digestOf(s serving.Server) uint64 {
	text := s.ID + " " + strconv.FormatInt(s.Born, 10)
	if s.Draining {
		text += " draining"
	}
	return xxhash.Sum64String(text)
}

// markChanged records a change that other instances should receive. d.mu must be held.
func (d *Directory) markChanged(id string) {
	d.lastChange++
	d.changeOf[id] = d.lastChange
}

// sameRouting reports whether two announcements of a server are equal in all fields that matter for routing.
func sameRouting(a, b serving.Server) bool {
	return a.Born == b.Born && a.Version == b.Version && a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots && a.Draining == b.Draining && a.FailureDomain == b.FailureDomain
}
