package entry

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// TestTakenUpStreamKeepsVersionOverUnseenReplacement guards against streams that go on at a software version that
// replaced another one while no instance ran.
func TestTakenUpStreamKeepsVersionOverUnseenReplacement(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1")
	f.await("certain", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { return !r.marks.certain() })
	})
	for n := 0; n < 100 && markOf(t, f.store, "llm") == ""; n++ {
		time.Sleep(20 * time.Millisecond)
	}
	var begun []attempt
	for range 12 {
		a := attempt{id: newAttemptID(), leaveAfter: 3}
		f.send(f.instances[0], a)
		begun = append(begun, a)
	}
	f.replaceInstances((*running).kill, func() {
		f.removeServer("v0")
		f.removeServer("v1")
		f.addVersion("new-0", "v2", "m1")
		f.addVersion("new-1", "v2", "m1")
	})
	f.awaitServers(2)
	joined, went := 0, 0
	for _, a := range begun {
		got := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: 3, resumes: a.id})
		if slices.Contains(got.versions, "v2") {
			joined++
		}
		if got := f.send(f.randomInstance(), attempt{id: newAttemptID()}); got.lastID == standin.StreamEvents {
			went++
		}
	}
	if joined > 0 || went < len(begun) {
		t.Errorf("%d of %d streams of v1 go on at v2, %d new streams served", joined, len(begun), went)
	}
}

// newMarks returns marks of an instance that knows one server, of version v1 of the service s.
func newMarks(t *testing.T, s store.Store, isHolder func() bool) *versionMarks {
	t.Helper()
	dir := directory.New()
	dir.ApplyServer(serving.Server{ID: "a", Service: "s", Version: "v1", Revision: 1}, clock.Now())
	return &versionMarks{store: s, dir: dir, isHolder: isHolder, isFirstHolder: isHolder, serversAge: func(time.Time) time.Duration { return 0 }, log: discardLog()}
}

// TestNewHolderKeepsVersionsOfMark guards against a mark that a new holder overwrites although it names a version whose
// servers the holder has not seen.
func TestNewHolderKeepsVersionsOfMark(t *testing.T) {
	p, holds := standin.NewPlatform(), false
	one := writeMark(t, p)
	m := newMarks(t, p, func() bool { return holds })
	m.update(t.Context())
	const both = `{"versions":["v1","v2"]}`
	if _, err := p.Put(t.Context(), prefixVersions+"s", []byte(both), one.Version); err != nil {
		t.Fatal(err)
	}
	holds = true
	m.update(t.Context())
	if got := markOf(t, p, "s"); got != both {
		t.Errorf("mark %s, want %s", got, both)
	}
	if versions, certain := newTestOrigins(m.dir, m).Versions("s"); !certain || len(versions) != 2 {
		t.Errorf("versions %v, certain %t", versions, certain)
	}
}

// refusingStore refuses to create marks.
type refusingStore struct {
	store.Store
	refused int
}

// Put implements store.Store.
func (r *refusingStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	if strings.HasPrefix(key, prefixVersions) {
		r.refused++
		return store.Object{}, store.ErrRefused
	}
	return r.Store.Put(ctx, key, value, version)
}

// TestMissingMarkPassesForOneVersion guards against an instance that starts, finds no mark, and is certain that all streams
// began at the version that serves now.
func TestMissingMarkPassesForOneVersion(t *testing.T) {
	for name, holder := range map[string]bool{"holder": true, "other instance": false} {
		s := &refusingStore{Store: standin.NewPlatform()}
		m := newMarks(t, s, func() bool { return holder })
		for range 20 {
			m.update(t.Context())
		}
		if versions, certain := newTestOrigins(m.dir, m).Versions("s"); certain {
			t.Errorf("%s: certain of %v", name, versions)
		}
		if s.refused > 1 {
			t.Errorf("%s: %d writes after the first was refused", name, s.refused-1)
		}
	}
}

// updateFor updates marks for some time, as run does.
func updateFor(t *testing.T, d time.Duration, all ...*versionMarks) {
	t.Helper()
	for range d / marksInterval {
		for _, m := range all {
			m.update(t.Context())
		}
		time.Sleep(marksInterval)
	}
}

// TestMarkOfNewHolderPassesForSure guards against a mark that a holder writes which found none and has just started, and that
// makes others certain.
func TestMarkOfNewHolderPassesForSure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		m := newMarks(t, p, func() bool { return true })
		m.isFirstHolder = func() bool { return false }
		other := newMarks(t, p, func() bool { return false })
		for _, sure := range []bool{false, true} {
			updateFor(t, 40*marksInterval, m, other)
			if m.certain() != sure || other.certain() != sure {
				t.Errorf("certain %t, another instance %t, want %t; mark %s", m.certain(), other.certain(), sure, markOf(t, p, "s"))
			}
			updateFor(t, skew.Lifetime, m)
		}
	})
}

// TestMarkOfCopyPassesForCurrent guards against an instance that starts after the store came back from a copy, and takes the
// copy's mark for that of the last holder.
func TestMarkOfCopyPassesForCurrent(t *testing.T) {
	p := standin.NewPlatform()
	before := newMarks(t, p, func() bool { return true })
	before.update(t.Context())
	p.Restore(p.Copy(), prefixVersions)
	started := newMarks(t, p, func() bool { return false })
	started.update(t.Context())
	if started.certain() {
		t.Error("certain with the mark of a copy")
	}
	before.restored.Store(true)
	before.update(t.Context())
	started.readAgainAt = time.Time{}
	started.update(t.Context())
	if !started.certain() {
		t.Errorf("not certain with mark %s of an instance that has run throughout", markOf(t, p, "s"))
	}
}

// TestUnreadableMarkPassesForNone guards against an instance that starts and is certain although a mark cannot be read.
func TestUnreadableMarkPassesForNone(t *testing.T) {
	p, holds := standin.NewPlatform(), false
	if _, err := p.Put(t.Context(), prefixVersions+"s", []byte(`{"versions":"v2"}`), 0); err != nil {
		t.Fatal(err)
	}
	m := newMarks(t, p, func() bool { return holds })
	m.isFirstHolder = func() bool { return false }
	m.update(t.Context())
	holds = true
	m.update(t.Context())
	if got := markOf(t, p, "s"); got != `{"versions":["v1"],"unsure":true}` || m.certain() {
		t.Errorf("mark %s of a new holder, certain %t", got, m.certain())
	}
}

// TestPartlyReadableMarkPassesForSure guards against an instance that starts and is certain of the versions that it could read of a
// mark, and against a holder that knows all and leaves such a mark as it is.
func TestPartlyReadableMarkPassesForSure(t *testing.T) {
	for _, value := range []string{`{"versions":["v1",2]}`, `{"versions":["v1"],"unsure":"yes"}`, `{"versions":["v1"],"era":"x"}`} {
		p := standin.NewPlatform()
		if _, err := p.Put(t.Context(), prefixVersions+"s", []byte(value), 0); err != nil {
			t.Fatal(err)
		}
		m := newMarks(t, p, func() bool { return false })
		m.update(t.Context())
		if m.certain() {
			t.Errorf("%s: certain of %q", value, m.dir.Versions()["s"])
		}
		holder := newMarks(t, p, func() bool { return true })
		holder.update(t.Context())
		obj, err := p.Get(t.Context(), prefixVersions+"s")
		if err != nil {
			t.Fatal(err)
		}
		if mark, err := decodeMark(obj); err != nil || mark.Unsure || !slices.Contains(mark.Versions, "v1") {
			t.Errorf("%s: mark %s of a holder that knows all", value, obj.Value)
		}
	}
}

// TestArchivedVersionIsKnown guards against a process that starts and holds the version of the servers for the only one,
// although an earlier process kept origins of another that no holder had marked.
func TestArchivedVersionIsKnown(t *testing.T) {
	p := standin.NewPlatform()
	writeMark(t, p)
	m := newMarks(t, p, func() bool { return false })
	m.update(t.Context())
	archived := &originArchive{store: p, key: prefixOrigins + "a", table: skew.NewOrigins(), dir: directory.New(), log: discardLog()}
	archived.window.Add(skew.Entry{Attempt: "begun", Origin: skew.Origin{Service: "s", Version: "v2"}}, time.Now())
	archived.update(t.Context())
	o := newTestOrigins(m.dir, m)
	o.archive = &originArchive{store: p, key: archived.key, table: o.table, dir: m.dir, log: discardLog()}
	if _, certain := o.Versions("s"); certain {
		t.Error("certain before the archive is read")
	}
	if !o.archive.restore(t.Context()) {
		t.Fatal("not restored")
	}
	if versions, certain := o.Versions("s"); !certain || len(versions) != 2 {
		t.Errorf("versions %v, certain %t", versions, certain)
	}
}

// newTestOrigins returns origins of an instance that has read its archive.
func newTestOrigins(dir *directory.Directory, m *versionMarks) *streamOrigins {
	table := skew.NewOrigins()
	o := &streamOrigins{table: table, dir: dir, marks: m, archive: &originArchive{store: standin.NewPlatform(), table: table, dir: dir, log: discardLog()}}
	o.archive.restored.Store(true)
	return o
}

// TestKeptOriginOfUnknownVersion guards against an instance that is certain of one version although it keeps the origin of
// a stream of another one, whose servers it has not heard of.
func TestKeptOriginOfUnknownVersion(t *testing.T) {
	p := standin.NewPlatform()
	writeMark(t, p)
	m := newMarks(t, p, func() bool { return false })
	m.update(t.Context())
	o := newTestOrigins(m.dir, m)
	o.keep(skew.Entry{Attempt: "begun", Origin: skew.Origin{Service: "s", Version: "v2"}}, clock.Now())
	if versions, certain := o.Versions("s"); !certain || len(versions) != 2 {
		t.Errorf("versions %v, certain %t", versions, certain)
	}
}

// TestMarkIsWrittenAfterRestore guards against a mark that is missing for good once the store came back from a copy.
func TestMarkIsWrittenAfterRestore(t *testing.T) {
	p := standin.NewPlatform()
	m := newMarks(t, p, func() bool { return true })
	m.update(t.Context())
	obj, err := p.Get(t.Context(), prefixVersions+"s")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Delete(t.Context(), obj.Key, obj.Version); err != nil {
		t.Fatal(err)
	}
	(&Instance{marks: m, members: &members{eraChanged: make(chan struct{}, 1)}, follower: &follower{}}).handleStoreRestored(false)
	m.update(t.Context())
	if got := markOf(t, p, "s"); got != oneVersionMark {
		t.Errorf("mark %q", got)
	}
}

// oneVersionMark is the mark of a service whose servers have version v1.
const oneVersionMark = `{"versions":["v1"]}`

// writeMark writes the mark of the service s, as the holder does when its first server appears.
func writeMark(t *testing.T, s store.Store) store.Object {
	t.Helper()
	obj, err := s.Put(t.Context(), prefixVersions+"s", []byte(oneVersionMark), 0)
	if err != nil {
		t.Fatal(err)
	}
	return obj
}

// markOf returns the mark of a service, "" if there is none.
func markOf(t *testing.T, s store.Store, service string) string {
	t.Helper()
	obj, err := s.Get(t.Context(), prefixVersions+service)
	if err != nil {
		return ""
	}
	return string(obj.Value)
}

// TestVersionsMissedByPausedInstance guards against an instance that is certain after a pause, in which a version came and left.
func TestVersionsMissedByPausedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		one := writeMark(t, p)
		m := newMarks(t, p, func() bool { return false })
		m.update(t.Context())
		if _, err := p.Put(t.Context(), prefixVersions+"s", []byte(`{"versions":["v1","v2"]}`), one.Version); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * maxServersAge)
		m.update(t.Context())
		if versions, certain := newTestOrigins(m.dir, m).Versions("s"); certain && len(versions) != 2 {
			t.Errorf("certain of %v", versions)
		}
	})
}

// TestCutOffInstanceKnowsAllVersions guards against a holder that marks versions as sure because it started long ago, although it
// was cut off from the store for most of that time.
func TestCutOffInstanceKnowsAllVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, holds, age := standin.NewPlatform(), false, time.Duration(0)
		m := newMarks(t, p, func() bool { return holds })
		m.isFirstHolder = func() bool { return false }
		m.serversAge = func(time.Time) time.Duration { return age }
		m.update(t.Context())
		age = skew.Lifetime
		time.Sleep(skew.Lifetime + time.Second)
		m.update(t.Context())
		holds, age = true, 0
		m.update(t.Context())
		if m.certain() {
			t.Errorf("certain with mark %s", markOf(t, p, "s"))
		}
	})
}
