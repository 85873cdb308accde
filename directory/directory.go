// Package directory is what an entry instance knows: the configuration in
// force, the backend servers, and what the holder says is loaded on engines.
// All methods are safe for concurrent use; there is one lock.
package directory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Directory is the knowledge of one instance.
type Directory struct {
	mu     sync.RWMutex
	config *serving.Config // guarded by mu
	// asOf is when it was sure that there was no newer configuration; guarded by mu.
	asOf    time.Time
	servers map[string]serving.Server // live and draining ones by id; guarded by mu
	// draining are servers that were seen draining, by id, which lasts to the end of
	// their process whatever an older page says.
	draining map[string]drain // guarded by mu
	// removed are the revisions at which entries were found to be gone. Only a
	// newer announcement brings a server back.
	removed map[string]removal    // guarded by mu
	views   map[string]EngineView // by engine id; guarded by mu
	// lacks is until when an engine is not offered for a unit that it said it does
	// not have, though it should; guarded by mu.
	lacks map[string]map[serving.Unit]time.Time
	// viewsFrom is the fencing token of the holder that the views are from.
	viewsFrom int64 // guarded by mu
	// heard is when the holder last said anything, spacing how long after the time
	// before; guarded by mu.
	heard   time.Time
	spacing time.Duration
	// others is how many requests of other instances run on each engine;
	// guarded by mu.
	others map[string]int
	// admit is the share of deferrable requests to admit, by model; guarded by mu.
	admit map[string]float64
	// change counts the changes of servers, changed has the last one of each
	// id, and revision is the store's up to which they are known; guarded by mu.
	change   uint64
	changed  map[string]uint64
	revision store.Revision
	// era is the store's, known since eraBegan; guarded by mu.
	era      int64
	eraBegan time.Time
	// noticed is since when it is noticed here which servers are gone, see Complete;
	// zero before the first listing; guarded by mu.
	noticed time.Time
	// digest sums up the servers, see Digest; guarded by mu.
	digest uint64
}

// drain is when the process born then was seen draining. said: by an answer of its own.
type drain struct {
	at   time.Time
	born int64
	said bool
}

type removal struct {
	revision store.Revision
	at       time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		servers: map[string]serving.Server{}, draining: map[string]drain{}, removed: map[string]removal{},
		views: map[string]EngineView{}, lacks: map[string]map[serving.Unit]time.Time{}, changed: map[string]uint64{},
	}
}

// Config returns the configuration in force, nil before the first one.
func (d *Directory) Config() *serving.Config {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.config
}

// ApplyConfig takes a configuration over if it is newer than the one in force
// and reports whether it was.
func (d *Directory) ApplyConfig(c *serving.Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && c.Version <= d.config.Version {
		return false
	}
	d.config = c
	return true
}

// Current returns the configuration in force, and when it was sure that there was no newer one:
// the zero time if it never was.
func (d *Directory) Current() (config *serving.Config, asOf time.Time) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.config, d.asOf
}

// Confirm notes that no configuration newer than version had been accepted at a time. That
// tells nothing while the one in force is older.
func (d *Directory) Confirm(version int64, asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && d.config.Version >= version && asOf.After(d.asOf) {
		d.asOf = asOf
	}
}

// ApplyServer takes over what a server announces and reports whether it is now
// known to be draining for the first time. Older announcements are ignored, and those of a
// process before the one that is known.
func (d *Directory) ApplyServer(s serving.Server, now time.Time) (leaves bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteEra(s.Revision, now)
	if gone, removed := d.removed[s.ID]; removed && (s.Revision <= gone.revision || d.mayBeCopied(s.Revision, gone, now)) {
		return false
	}
	known, found := d.servers[s.ID]
	if found && s.Revision <= known.Revision {
		return false
	}
	if found && s.Before(known) {
		return false
	}
	if found && known.Before(s) {
		delete(d.views, s.ID)
		delete(d.lacks, s.ID)
	}
	delete(d.removed, s.ID)
	drained, drains := d.draining[s.ID]
	if drains && serving.BornBefore(drained.born, s.Born) {
		delete(d.draining, s.ID)
		drains = false
	}
	if s.Draining && !drains {
		d.draining[s.ID] = drain{at: now, born: s.Born}
		leaves = true
	}
	s.Draining = s.Draining || drains
	d.servers[s.ID] = s
	if found {
		d.digest ^= digestOf(known)
	}
	d.digest ^= digestOf(s)
	if !found || !routesAlike(known, s) {
		d.touch(s.ID)
	}
	return leaves
}

// RemoveServer forgets a server whose entry is gone as of revision and reports
// whether it was known.
func (d *Directory) RemoveServer(id string, revision store.Revision, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.servers[id]
	if found && known.Revision > revision {
		return false
	}
	before, removed := d.removed[id]
	d.removed[id] = removal{revision: max(revision, before.revision), at: now}
	delete(d.servers, id)
	delete(d.views, id)
	delete(d.lacks, id)
	if found {
		d.digest ^= digestOf(known)
	}
	if found || removed && before.revision.Era() < revision.Era() {
		d.touch(id)
	}
	return found
}

// Drained reports whether a server was seen draining, also after it is gone.
func (d *Directory) Drained(id string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	_, drained := d.draining[id]
	return drained
}

// IDs returns the ids of all known servers.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.servers))
}

// Server returns a server by id.
func (d *Directory) Server(id string) (serving.Server, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, found := d.servers[id]
	return s, found
}

// All returns all known servers in the order of ids.
func (d *Directory) All() []serving.Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.SortedFunc(maps.Values(d.servers), byID)
}

// Servers returns the servers of a service that are not draining, in the order
// of ids.
func (d *Directory) Servers(service string) []serving.Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var found []serving.Server
	for _, s := range d.servers {
		if s.Service == service && !s.Draining {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, byID)
	return found
}

func byID(a, b serving.Server) int {
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// leftRetention is how long the ids of servers that left are remembered: far
// longer than any page of the store can be late.
const leftRetention = 10 * time.Minute

// Sweep forgets servers that left long ago.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.removed, func(id string, r removal) bool {
		old := now.Sub(r.at) > leftRetention
		if _, live := d.servers[id]; old && !live {
			delete(d.changed, id)
		}
		return old
	})
	maps.DeleteFunc(d.draining, func(id string, drained drain) bool {
		_, live := d.servers[id]
		return !live && now.Sub(drained.at) > leftRetention
	})
}
