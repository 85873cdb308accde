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

// prefixVersions is the store's prefix of the marks of software versions, by service. The platform keeps the kind
// "versions" for itself.
const prefixVersions = "stream-versions/"

// versionMark is the entry of a service: the software versions at which streams may have begun that can be resumed.
type versionMark struct {
	Versions []string `json:"versions"`
	// Unsure is set if there may have been others: the holder that wrote the mark found none, and has not run long enough.
	Unsure bool `json:"unsure,omitempty"`
	// Era is that of the store when the mark was written. In a later one the mark is that of a copy.
	Era int64 `json:"era,omitempty"`
}

// versionMarks makes known which software versions the servers of each service have or had to instances that start or
// were cut off and did not see that. The holder writes a mark when the versions of a service change: also while there is
// one, since all its servers may be replaced while no instance runs. It removes a version when no stream that began at
// it can be resumed any more. An instance that starts is certain of nothing while a mark is missing or unsure: streams that
// are resumed go on only where their origin is known then.
type versionMarks struct {
	store    store.Store
	dir      *directory.Directory
	isHolder func() bool
	// isFirstHolder reports whether nobody has held the lease before this instance.
	isFirstHolder func() bool
	// serversAge returns the age of this instance's list of servers.
	serversAge func(now time.Time) time.Duration
	log        logrus.FieldLogger

	// certainUntil is until when this instance certainly knows all software versions; nil before it does.
	certainUntil atomic.Pointer[time.Time]

	// restored is set if the store came back from a copy, in which marks may be missing.
	restored atomic.Bool

	// open has the versions at which streams may begin, by service; nil before the marks are read.
	open atomic.Pointer[map[string][]string]

	// The following are used by run only. loaded is whether the marks have been read since the list of servers was last
	// too old, complete whether each service with servers had a sure one since, and wasComplete whether that was ever so.
	// known are the marks as last read or written, in era, and wasHolder whether this instance was the holder then.
	loaded, complete, wasComplete, wasHolder bool
	known                                    map[string]storedMark
	era                                      int64
	// named are the versions that the marks named when they were last read or written and that were known since, by service,
	// and unnamedSince is when other versions were first known.
	named        map[string][]string
	unnamedSince map[serviceVersion]time.Time
	// updatedAt is when update last began.
	updatedAt time.Time
	// followedSince is when the marks were first read since the list of servers was last too old. readAgainAt and readPause are
	// when missing ones are read again, and the pause after that. refusedUntil is when marks that the store refused are written
	// again.
	followedSince, readAgainAt, refusedUntil time.Time
	readPause                                time.Duration
}

// storedMark is a mark with its revision in the store.
type storedMark struct {
	versions []string
	unsure   bool
	revision store.Revision
}

// serviceVersion is a software version of a service's servers.
type serviceVersion struct{ service, version string }

// Timing of version marks.
const (
	marksInterval = 200 * time.Millisecond
	// noServersInterval applies while the list of servers is too old, or is not known yet: streams that clients resume may
	// be refused until it is, and checking that calls nobody.
	noServersInterval = 20 * time.Millisecond
	// minReadPause and maxReadPause are the first and the longest pause between two reads while a mark is missing, and
	// refusedInterval is the pause before a mark that the store refuses is written again.
	minReadPause    = 500 * time.Millisecond
	maxReadPause    = 4 * time.Second
	refusedInterval = 10 * time.Second
	// maxServersAge is the age of the list of servers up to which an instance relies on knowing all software versions. Streams
	// of a version that came since are known to the instances that keep their origins, which are asked first.
	maxServersAge = 3 * time.Second
	// maxHeldBackTime bounds how long the servers of a version are held back while no mark names it. The successor of a lost
	// holder has written the mark by then.
	maxHeldBackTime = 5 * time.Second
)

// certain reports whether this instance knows the software versions of all servers that streams may have begun at.
func (m *versionMarks) certain() bool {
	until := m.certainUntil.Load()
	return until != nil && clock.Now().Before(*until)
}

// run keeps the marks current until ctx ends.
func (m *versionMarks) run(ctx context.Context) {
	for wait := noServersInterval; pause.For(ctx, wait); {
		wait = marksInterval
		if !m.update(ctx) {
			wait = noServersInterval
		}
	}
}

// update reads the marks if this instance may have missed some, and writes them if it is the holder. It returns false,
// and does nothing, if the list of servers is too old.
func (m *versionMarks) update(ctx context.Context) bool {
	now := clock.Now()
	defer m.publishOpen(now)
	age := m.serversAge(now)
	paused := now.Sub(m.updatedAt) > maxServersAge // a list that is current again does not tell what came and left meanwhile
	m.updatedAt = now
	if paused || age > maxServersAge {
		m.loaded, m.followedSince = false, time.Time{}
	}
	if m.restored.Swap(false) {
		m.loaded = false
	}
	if age > maxServersAge {
		return false
	}
	m.read(ctx, now)
	if m.loaded {
		m.writeIfHolder(ctx, now)
	}
	if m.loaded && m.complete {
		until := now.Add(maxServersAge - age)
		m.certainUntil.Store(&until)
	}
	return true
}

// read reads the marks unless that was done, again as long as one is missing, since the service may have had versions that
// nobody has recorded, and again until the marks name all known versions.
func (m *versionMarks) read(ctx context.Context, now time.Time) {
	switch {
	case !m.loaded:
		m.loaded, m.complete, m.readPause = m.load(ctx), false, minReadPause
	case m.complete && (m.wasHolder || len(m.unnamedSince) == 0):
		m.readPause = minReadPause
		return
	case now.Before(m.readAgainAt):
		return
	default:
		m.load(ctx)
	}
	if m.loaded && m.followedSince.IsZero() {
		m.followedSince = now
	}
	m.readAgainAt = now.Add(m.readPause)
	m.readPause = min(maxReadPause, 2*m.readPause)
	m.setComplete(m.complete || m.loaded && !m.missing())
}

func (m *versionMarks) setComplete(complete bool) {
	m.complete = complete
	m.wasComplete = m.wasComplete || complete
}

// HoldsBack reports whether no stream should begin at a version of a service yet: the service's mark does not name it, so
// that instances that start after all others were killed would not know of the stream's version.
func (m *versionMarks) HoldsBack(service, version string) bool {
	open := m.open.Load()
	if open == nil {
		return false
	}
	versions, marked := (*open)[service]
	return marked && !slices.Contains(versions, version)
}

// publishOpen replaces open: a version that has expired is held back again until a mark names it.
func (m *versionMarks) publishOpen(now time.Time) {
	if m.named == nil {
		return
	}
	open, since := map[string][]string{}, map[serviceVersion]time.Time{}
	for service, known := range m.dir.Versions() {
		named := slices.DeleteFunc(slices.Clone(m.named[service]), func(v string) bool { return !slices.Contains(known, v) })
		m.named[service] = named
		if len(named) == 0 {
			continue
		}
		open[service] = slices.Clone(named)
		for _, version := range known {
			if slices.Contains(named, version) {
				continue
			}
			key := serviceVersion{service, version}
			since[key] = m.firstUnnamed(key, now)
			if now.Sub(since[key]) > maxHeldBackTime {
				open[service] = append(open[service], version)
				m.logUnnamed(key)
			}
		}
	}
	m.unnamedSince = since
	m.open.Store(&open)
}

// firstUnnamed returns since when a version is known that no mark names.
func (m *versionMarks) firstUnnamed(key serviceVersion, now time.Time) time.Time {
	if since, known := m.unnamedSince[key]; known {
		return since
	}
	return now
}

// logUnnamed logs that a version is no longer held back although no mark names it, once.
func (m *versionMarks) logUnnamed(key serviceVersion) {
	if m.HoldsBack(key.service, key.version) {
		m.log.WithFields(logrus.Fields{"service": key.service, "version": key.version}).Warn("streams begin at a software version that no mark names")
	}
}

// missing reports whether a service has no mark, or none that is sure and can be read, or no service is known.
func (m *versionMarks) missing() bool {
	services := m.dir.Versions()
	for service := range services {
		if mark := m.known[service]; mark.unsure || len(mark.versions) == 0 {
			return true
		}
	}
	return len(services) == 0
}

// knowsAll reports whether this instance knows the versions of services that have no mark: it has known all before, it is the
// first to hold the lease, or it has followed the servers for as long as streams can be resumed.
func (m *versionMarks) knowsAll(now time.Time) bool {
	return m.wasComplete || m.isFirstHolder() || now.Sub(m.followedSince) > skew.Lifetime
}

// writeIfHolder writes the marks if they are out of date and this instance is the holder.
func (m *versionMarks) writeIfHolder(ctx context.Context, now time.Time) {
	isHolder := m.isHolder()
	if !isHolder || m.wasHolder && m.upToDate(now) {
		m.wasHolder = isHolder
		return
	}
	m.wasHolder = !now.Before(m.refusedUntil) && m.load(ctx) && m.write(ctx, now)
	m.setComplete(m.wasHolder && !m.missing() || m.complete)
}

// decodeMark decodes a mark. One that can be read in part only is unsure: it may lack versions.
func decodeMark(obj store.Object) (versionMark, error) {
	var mark versionMark
	err := json.Unmarshal(obj.Value, &mark)
	mark.Unsure = mark.Unsure || err != nil
	return mark, err
}

// load reads the marks, and reports whether the store answered.
func (m *versionMarks) load(ctx context.Context) bool {
	snap, err := m.store.List(ctx, prefixVersions)
	if err != nil {
		return false
	}
	before := m.known
	m.known, m.named, m.era = map[string]storedMark{}, map[string][]string{}, snap.Revision.Era()
	for _, obj := range snap.Objects {
		mark, err := decodeMark(obj)
		if err != nil {
			m.log.WithFields(logrus.Fields{"key": obj.Key, "error": err}).Error("mark of software versions cannot be decoded")
		}
		service := obj.Key[len(prefixVersions):]
		m.known[service] = storedMark{versions: mark.Versions, unsure: mark.Unsure || mark.Era < m.era, revision: obj.Version}
		m.named[service] = mark.Versions
		m.observe(service, mark.Versions, before[service].versions)
	}
	if !m.loaded {
		m.log.WithField("services", len(m.known)).Info("marks of software versions read")
	}
	return true
}

// observe records versions that a mark names. While this instance has been the holder all the time, those of its own mark
// that it does not know any more have expired.
func (m *versionMarks) observe(service string, versions, own []string) {
	if m.loaded && m.wasHolder {
		versions = slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return slices.Contains(own, v) })
	}
	m.dir.ObserveVersions(service, versions, clock.Now())
}

// upToDate reports whether the marks as last read or written match what this instance knows.
func (m *versionMarks) upToDate(now time.Time) bool {
	knowsAll := m.knowsAll(now)
	return maps.EqualFunc(m.dir.Versions(), m.known, func(versions []string, mark storedMark) bool { return mark.states(versions, knowsAll) })
}

// states reports whether the mark names the versions, and is sure if they are all.
func (s storedMark) states(versions []string, all bool) bool {
	return slices.Equal(versions, s.versions) && (!s.unsure || !all)
}

// write makes the marks match what this instance knows, and reports whether the store carried that out.
func (m *versionMarks) write(ctx context.Context, now time.Time) bool {
	current, knowsAll := m.dir.Versions(), m.knowsAll(now)
	for service, versions := range current {
		mark := m.known[service]
		if mark.states(versions, knowsAll) {
			continue
		}
		unsure := !knowsAll && (mark.unsure || len(mark.versions) == 0)
		revision, err := store.WriteJSON(ctx, m.store, prefixVersions+service, versionMark{Versions: versions, Unsure: unsure, Era: m.era}, mark.revision)
		if err != nil {
			return m.logFailure(service, err)
		}
		m.known[service], m.named[service] = storedMark{versions: versions, unsure: unsure, revision: revision}, versions
		m.log.WithFields(logrus.Fields{"service": service, "versions": versions, "before": mark.versions, "unsure": unsure}).Info("software versions of servers")
	}
	for service, mark := range m.known {
		if _, still := current[service]; still {
			continue
		}
		if err := m.store.Delete(ctx, prefixVersions+service, mark.revision); err != nil {
			return m.logFailure(service, err)
		}
		delete(m.known, service)
		m.log.WithField("service", service).Info("no servers of a service")
	}
	return true
}

// logFailure logs that a mark could not be written. It returns false: the marks are read and written again.
func (m *versionMarks) logFailure(service string, err error) bool {
	switch log := m.log.WithFields(logrus.Fields{"service": service, "error": err}); {
	case errors.Is(err, store.ErrUnavailable):
	case errors.Is(err, store.ErrRefused):
		m.refusedUntil = clock.Now().Add(refusedInterval)
		log.Error("mark of software versions refused by the store")
	default:
		log.Info("mark of software versions could not be written")
	}
	return false
}
