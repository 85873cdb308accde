// Package directory holds what an entry instance knows of the system: the configuration in force, the backend
// servers, and the models that are loaded on engines according to the holder. All methods are safe for concurrent
// use; there is one lock.
package directory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Directory is the state of the system as known to one instance.
type Directory struct {
	mu     sync.RWMutex
	config *serving.Config // guarded by mu
	// confirmedAt is the last time at which there was certainly no newer configuration; guarded by mu.
	confirmedAt time.Time
	servers     map[string]serving.Server // live and draining ones by id; guarded by mu
	// draining holds the servers that were seen draining, by id. A process stays draining until it ends, even if an
	// older entry states otherwise.
	draining map[string]drainRecord // guarded by mu
	// removed holds, by id, the revisions at which entries were found to be removed. Only a newer announcement adds a
	// server again.
	removed map[string]removal // guarded by mu
	// restarts holds the restarts from which the current processes resulted, by server id.
	restarts map[string]Restart    // guarded by mu
	views    map[string]EngineView // by engine id; guarded by mu
	// missingUnits is the time until which an engine is not offered for a unit, because it reported that it does not
	// have the unit although it should; guarded by mu.
	missingUnits map[string]map[serving.Unit]time.Time
	// viewsFence is the fencing token of the holder that sent the views.
	viewsFence int64 // guarded by mu
	// lastUpdate is when the holder's last update was received, and updateInterval the time between the last two
	// updates; guarded by mu.
	lastUpdate     time.Time
	updateInterval time.Duration
	// otherInstancesLoads is the number of running requests of other instances on each engine; guarded by mu.
	otherInstancesLoads map[string]int
	// admissionShares is the share of deferrable requests to admit, by model; guarded by mu.
	admissionShares map[string]float64
	// classShares has the shares to admit by class, by model. roomKnown: the holder decides by class; guarded by mu.
	classShares map[string][]classShare
	roomKnown   bool
	roomClasses []serving.TrafficClass
	// lastChange counts the changes of servers, changeOf is the last change of each id, and revision is the store
	// revision up to which the servers are known; guarded by mu.
	lastChange uint64
	changeOf   map[string]uint64
	revision   store.Revision
	// era is the store's era, known here since eraBegan; guarded by mu.
	era      int64
	eraBegan time.Time
	// removalsKnownSince is the time from which this directory has followed the removal of servers, see
	// RemovalsComplete. It is zero before the first listing; guarded by mu.
	removalsKnownSince time.Time
	// versions has the software versions of servers; guarded by mu, but for reads of its mixed services.
	versions *softwareVersions
	// digest is the digest of the servers, see Digest; guarded by mu.
	digest uint64
}

// drainRecord states that the process that started at born was seen draining at at. announced is set if the process
// stated it in a response.
type drainRecord struct {
	at        time.Time
	born      int64
	announced bool
}

// removal states that an entry did not exist at a revision. born is the start of the process that it named, 0 if that is
// not known.
type removal struct {
	revision store.Revision
	at       time.Time
	born     int64
}

func New() *Directory {
	return &Directory{
		servers: map[string]serving.Server{}, draining: map[string]drainRecord{}, removed: map[string]removal{}, restarts: map[string]Restart{},
		views: map[string]EngineView{}, missingUnits: map[string]map[serving.Unit]time.Time{}, changeOf: map[string]uint64{}, versions: newSoftwareVersions(),
	}
}

// Config returns the configuration in force, nil before the first one.
func (d *Directory) Config() *serving.Config {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.config
}

// ApplyConfig replaces the configuration in force if c is newer, and reports whether it was.
func (d *Directory) ApplyConfig(c *serving.Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && c.Version <= d.config.Version {
		return false
	}
	d.config = c
	return true
}

// Current returns the configuration in force and the last time at which there was certainly no newer one, or the
// zero time if that is not known.
func (d *Directory) Current() (config *serving.Config, confirmedAt time.Time) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.config, d.confirmedAt
}

// Confirm records that no configuration newer than version had been accepted at confirmedAt. It has no effect
// while another version is in force. If that is newer, it was accepted after confirmedAt or whoever confirms
// version has read it from a copy of the store.
func (d *Directory) Confirm(version int64, confirmedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && d.config.Version == version && confirmedAt.After(d.confirmedAt) {
		d.confirmedAt = confirmedAt
	}
}

// ApplyServer processes the announcement of a server and reports whether the server is now known to be draining for
// the first time. Older announcements and those of an earlier process are ignored.
func (d *Directory) ApplyServer(s serving.Server, now time.Time) (newlyDraining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeEra(s.Revision, now)
	if lastRemoval, removed := d.removed[s.ID]; removed && (s.Revision <= lastRemoval.revision || d.mayBeRestored(s.Revision, lastRemoval, now)) {
		return false
	}
	known, found := d.servers[s.ID]
	if found && s.Revision <= known.Revision {
		return false
	}
	if found && s.IsEarlierProcess(known) {
		return false
	}
	if found && known.IsEarlierProcess(s) {
		delete(d.views, s.ID)
		delete(d.missingUnits, s.ID)
	}
	d.recordRestart(s, known, found, now)
	delete(d.removed, s.ID)
	record, draining := d.draining[s.ID]
	if draining && serving.StartedBefore(record.born, s.Born) {
		delete(d.draining, s.ID)
		draining = false
	}
	if s.Draining && !draining {
		d.draining[s.ID] = drainRecord{at: now, born: s.Born}
		newlyDraining = true
	}
	s.Draining = s.Draining || draining
	d.servers[s.ID] = s
	d.versions.add(s)
	if found {
		d.versions.remove(known, now)
		d.digest ^= digestOf(known)
	}
	d.digest ^= digestOf(s)
	if !found || !sameRouting(known, s) {
		d.markChanged(s.ID)
	}
	return newlyDraining
}

// RemoveServer removes a server whose entry did not exist at revision and reports whether the server was known.
func (d *Directory) RemoveServer(id string, revision store.Revision, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.servers[id]
	if found && known.Revision > revision {
		return false
	}
	before, removed := d.removed[id]
	born := before.born
	if found {
		born = known.Born
	}
	d.removed[id] = removal{revision: max(revision, before.revision), at: now, born: born}
	delete(d.servers, id)
	delete(d.views, id)
	delete(d.missingUnits, id)
	if found {
		d.versions.remove(known, now)
		d.digest ^= digestOf(known)
	}
	if found || removed && before.revision.Era() < revision.Era() {
		d.markChanged(id)
	}
	return found
}

// SeenDraining reports whether a server was seen draining, also after it has been removed.
func (d *Directory) SeenDraining(id string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	_, drained := d.draining[id]
	return drained
}

// IDs returns the sorted ids of all known servers.
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

// All returns all known servers, sorted by id.
func (d *Directory) All() []serving.Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.SortedFunc(maps.Values(d.servers), byID)
}

// Servers returns the servers of a service that are not draining, sorted by id.
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

// removedRetention is how long the ids of removed servers are remembered. It is far longer than any page of the
// store can be late.
const removedRetention = 10 * time.Minute

// Sweep drops the records of servers that were removed longer than removedRetention ago.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.expire(now)
	maps.DeleteFunc(d.removed, func(id string, r removal) bool {
		old := now.Sub(r.at) > removedRetention
		if _, live := d.servers[id]; old && !live {
			delete(d.changeOf, id)
			delete(d.restarts, id)
		}
		return old
	})
	maps.DeleteFunc(d.draining, func(id string, drained drainRecord) bool {
		_, live := d.servers[id]
		return !live && now.Sub(drained.at) > removedRetention
	})
}
