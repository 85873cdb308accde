package directory

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
)

// serviceVersion is a software version of a service's servers.
type serviceVersion struct{ service, version string }

// softwareVersions tracks the software versions at which streams that clients may still resume can have begun.
type softwareVersions struct {
	// servers is the number of known servers of each version, and goneAt when the last server of a version was
	// removed.
	servers map[serviceVersion]int
	goneAt  map[serviceVersion]time.Time
	// expired has the versions that are not known any more since no stream can be resumed that began at them.
	expired map[serviceVersion]bool
	// known has the sorted versions by service, and mixed those of services that have more than one. They are replaced,
	// never modified, and read without a lock.
	known, mixed atomic.Pointer[map[string][]string]
}

func newSoftwareVersions() *softwareVersions {
	v := &softwareVersions{servers: map[serviceVersion]int{}, goneAt: map[serviceVersion]time.Time{}, expired: map[serviceVersion]bool{}}
	v.publish()
	return v
}

// add counts a server that became known.
func (v *softwareVersions) add(s serving.Server) {
	key := serviceVersion{s.Service, s.Version}
	v.servers[key]++
	if v.servers[key] == 1 {
		delete(v.goneAt, key)
		delete(v.expired, key)
		v.publish()
	}
}

// remove removes a server from the count.
func (v *softwareVersions) remove(s serving.Server, now time.Time) {
	key := serviceVersion{s.Service, s.Version}
	if v.servers[key]--; v.servers[key] <= 0 {
		delete(v.servers, key)
		v.goneAt[key] = now
		v.publish()
	}
}

// expire forgets versions whose last server was removed too long ago for a stream to be resumed.
func (v *softwareVersions) expire(now time.Time) {
	before := len(v.goneAt)
	maps.DeleteFunc(v.goneAt, func(key serviceVersion, at time.Time) bool {
		expired := now.Sub(at) > skew.Lifetime
		if expired {
			v.expired[key] = true
		}
		return expired
	})
	if len(v.goneAt) != before {
		v.publish()
	}
}

// publish replaces known and mixed.
func (v *softwareVersions) publish() {
	known, mixed := map[string][]string{}, map[string][]string{}
	for key := range v.servers {
		known[key.service] = append(known[key.service], key.version)
	}
	for key := range v.goneAt {
		known[key.service] = append(known[key.service], key.version)
	}
	for service, list := range known {
		slices.Sort(list)
		if len(list) > 1 {
			mixed[service] = list
		}
	}
	v.known.Store(&known)
	v.mixed.Store(&mixed)
}

// Versions returns, by service, the sorted software versions at which streams may have begun that clients may still take
// up. The result must not be modified.
func (d *Directory) Versions() map[string][]string { return *d.versions.known.Load() }

// MixedVersions returns the part of Versions for services with more than one. The result must not be modified.
func (d *Directory) MixedVersions() map[string][]string { return *d.versions.mixed.Load() }

// ObserveVersions records that servers of a service may have had the given software versions until now.
func (d *Directory) ObserveVersions(service string, versions []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, version := range versions {
		key := serviceVersion{service, version}
		if d.versions.servers[key] == 0 {
			d.versions.goneAt[key] = now
			delete(d.versions.expired, key)
		}
	}
	d.versions.publish()
}

// VersionExpired reports whether a software version was known and no stream that began at it can be resumed any more.
func (d *Directory) VersionExpired(service, version string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.versions.expired[serviceVersion{service, version}]
}
