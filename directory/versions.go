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

// softwareVersions tracks the software versions at which streams that clients may still take up can have begun.
type softwareVersions struct {
	// servers is the number of known servers of each version, and goneAt when the last server of a version was
	// removed.
	servers map[serviceVersion]int
	goneAt  map[serviceVersion]time.Time
	// mixed has the versions of services that have more than one; nil if there is no such service. It is replaced,
	// never modified, and read without a lock.
	mixed atomic.Pointer[map[string][]string]
}

func newSoftwareVersions() *softwareVersions {
	return &softwareVersions{servers: map[serviceVersion]int{}, goneAt: map[serviceVersion]time.Time{}}
}

// add counts a server that became known.
func (v *softwareVersions) add(s serving.Server) {
	key := serviceVersion{s.Service, s.Version}
	v.servers[key]++
	if v.servers[key] == 1 {
		delete(v.goneAt, key)
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

// expire forgets versions whose last server was removed too long ago for a stream to be taken up.
func (v *softwareVersions) expire(now time.Time) {
	before := len(v.goneAt)
	maps.DeleteFunc(v.goneAt, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > skew.Lifetime })
	if len(v.goneAt) != before {
		v.publish()
	}
}

// publish replaces mixed.
func (v *softwareVersions) publish() {
	versions := map[string][]string{}
	for key := range v.servers {
		versions[key.service] = append(versions[key.service], key.version)
	}
	for key := range v.goneAt {
		versions[key.service] = append(versions[key.service], key.version)
	}
	maps.DeleteFunc(versions, func(_ string, list []string) bool { return len(list) < 2 })
	if len(versions) == 0 {
		v.mixed.Store(nil)
		return
	}
	for _, list := range versions {
		slices.Sort(list)
	}
	v.mixed.Store(&versions)
}

// MixedVersions returns, by service, the software versions at which streams may have begun that clients may still take
// up, for services with more than one. The result must not be modified.
func (d *Directory) MixedVersions() map[string][]string {
	if mixed := d.versions.mixed.Load(); mixed != nil {
		return *mixed
	}
	return nil
}

// ObserveVersions records that servers of a service may have had the given software versions until now.
func (d *Directory) ObserveVersions(service string, versions []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, version := range versions {
		key := serviceVersion{service, version}
		if d.versions.servers[key] == 0 {
			d.versions.goneAt[key] = now
		}
	}
	d.versions.publish()
}
