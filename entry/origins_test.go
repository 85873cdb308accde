package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
	"github.com/sirupsen/logrus"
)

// replaceInstances ends all instances, calls between, and starts new processes of the same names.
func (f *versionFleet) replaceInstances(end func(*running), between func()) {
	f.t.Helper()
	n := len(f.instances)
	for _, r := range f.instances {
		end(r)
	}
	for _, r := range f.instances {
		<-r.done
	}
	f.instances = nil
	between()
	for i := range n {
		f.addInstance(i)
	}
	f.await("new instances ready", func() bool {
		for _, r := range f.instances {
			if !r.Ready() || !r.marks.certain() {
				return false
			}
		}
		return true
	})
}

// removeArchives removes the archived origins of all instances, as in a store that came back from an older copy.
func (f *versionFleet) removeArchives() {
	f.t.Helper()
	for _, obj := range f.archives() {
		if err := f.store.Delete(f.t.Context(), obj.Key, obj.Version); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *versionFleet) archives() []store.Object {
	f.t.Helper()
	var objects []store.Object
	for _, prefix := range []string{prefixOrigins, prefixRecentOrigins} {
		snap, err := f.store.List(f.t.Context(), prefix)
		if err != nil {
			f.t.Fatal(err)
		}
		objects = append(objects, snap.Objects...)
	}
	return objects
}

// TestOriginOutlivesAllInstances guards against streams that do not go on after all instances were killed, since nobody
// knows which version began them.
func TestOriginOutlivesAllInstances(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1.1", "v1", "v1.1")
	var begun []attempt
	var versions []string
	for range 20 {
		a := attempt{id: newAttemptID(), leaveAfter: 3}
		got := f.send(f.instances[0], a)
		if len(got.versions) == 0 {
			t.Fatalf("%v: no event of a new stream", got)
		}
		begun, versions = append(begun, a), append(versions, got.versions[0])
	}
	f.await("origins archived", func() bool {
		archived := 0
		for _, obj := range f.archives() {
			var digests skew.Digests
			if err := json.Unmarshal(obj.Value, &digests); err != nil {
				t.Fatal(err)
			}
			archived += digests.Restore(skew.NewOrigins(), &skew.Window{}, time.Now())
		}
		return archived >= 2*len(begun)
	})
	f.replaceInstances((*running).kill, func() {})
	f.await("new addresses of all instances known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			return len(r.members.list(t.Context())) != len(f.instances) || slices.ContainsFunc(f.instances, func(other *running) bool {
				return !slices.Contains(r.members.list(t.Context()), other.members.self)
			})
		})
	})
	for i, a := range begun {
		got := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: 3, resumes: a.id})
		if got.lastID != standin.StreamEvents || slices.ContainsFunc(got.versions, func(v string) bool { return v != versions[i] }) {
			t.Errorf("began at %s: %+v, want the rest at that version", versions[i], got)
		}
	}
}

// TestOriginOutlivesInstance guards against streams that do not go on, or go on at another version, because the instance
// that relayed their beginning is gone.
func TestOriginOutlivesInstance(t *testing.T) {
	f := newVersionFleet(t, 4, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")
	for round := range 3 {
		first := f.instances[0]
		var begun []attempt
		var versions []string
		for range 20 {
			a := attempt{id: newAttemptID(), leaveAfter: 3}
			got := f.send(first, a)
			if len(got.versions) == 0 {
				t.Fatalf("%v: no event of a new stream", got)
			}
			begun, versions = append(begun, a), append(versions, got.versions[0])
		}
		first.stop()
		<-first.done
		f.instances = f.instances[1:]
		for i, a := range begun {
			got := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: 3, resumes: a.id})
			f.takenUp++
			if len(got.versions) > 0 {
				f.wentOn++
			}
			for _, v := range got.versions {
				if v != versions[i] {
					t.Fatalf("began at %s, went on at %s", versions[i], v)
				}
			}
		}
		f.addInstance(10 + round)
		f.awaitServers(6)
	}
	f.begun, f.beginnings = 60, 60
	f.check()
}

// TestStreamOfOneVersionGoesOnBesideSecond guards against streams that began before servers of a second software version
// appeared, and that no other instance lets go on once theirs is gone.
func TestStreamOfOneVersionGoesOnBesideSecond(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1")
	f.await("certain", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { return !r.marks.certain() })
	})
	var begun []attempt
	for range 20 {
		a := attempt{id: newAttemptID(), leaveAfter: 3}
		f.send(f.instances[0], a)
		begun = append(begun, a)
	}
	f.addVersion("v2", "v2", "m1")
	f.awaitServers(3)
	f.await("origins kept by others", func() bool {
		return !slices.ContainsFunc(f.instances[1:], func(r *running) bool { return r.origins.table.Len() < len(begun) })
	})
	f.instances[0].kill()
	<-f.instances[0].done
	f.instances = f.instances[1:]
	for _, a := range begun {
		got := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: 3, resumes: a.id})
		if got.lastID != standin.StreamEvents || slices.Contains(got.versions, "v2") {
			t.Errorf("%+v, want the rest at v1", got)
		}
	}
}

// TestUnknownOriginIsRefused guards against a version that is guessed where no instance knows which one began a stream, and
// no archive has it.
func TestUnknownOriginIsRefused(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1.1")
	f.await("marks written", func() bool {
		obj, err := f.store.Get(t.Context(), prefixVersions+"llm")
		return err == nil && len(obj.Value) > 0
	})
	begun := attempt{id: newAttemptID(), leaveAfter: 3}
	f.send(f.instances[0], begun)
	check := func(what string, a attempt) {
		t.Helper()
		if got := f.send(f.instances[0], a); got.status != http.StatusServiceUnavailable || len(got.versions) > 0 {
			t.Errorf("%s: %+v, want a refusal", what, got)
		}
	}
	check("no attempt named", attempt{id: newAttemptID(), lastEvent: 3})
	check("unknown attempt", attempt{id: newAttemptID(), lastEvent: 3, resumes: "never"})
	f.replaceInstances(func(r *running) { r.stop() }, f.removeArchives)
	check("all instances are new", attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id})
	f.removeServer("v1")
	f.awaitServers(1)
	check("the other version is gone", attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id})
	f.replaceInstances(func(r *running) { r.stop() }, f.removeArchives)
	check("all instances are new, and the other version was gone", attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id})
}

// TestOneVersionGoesOn guards against streams that are refused although all servers have one version.
func TestOneVersionGoesOn(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1")
	f.await("certain", func() bool { return f.instances[0].marks.certain() && f.instances[1].marks.certain() })
	begun := attempt{id: newAttemptID(), leaveAfter: 3}
	f.send(f.instances[0], begun)
	for name, a := range map[string]attempt{
		"another instance": {id: newAttemptID(), lastEvent: 3, resumes: begun.id}, "no attempt named": {id: newAttemptID(), lastEvent: 3},
	} {
		if got := f.send(f.instances[1], a); got.lastID != standin.StreamEvents {
			t.Errorf("%s: %+v", name, got)
		}
	}
	f.replaceInstances(func(r *running) { r.stop() }, func() {})
	if got := f.send(f.instances[0], attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id}); got.lastID != standin.StreamEvents {
		t.Errorf("after all instances were replaced: %+v", got)
	}
	for _, r := range f.instances {
		if n := r.origins.table.Len(); n > 0 {
			t.Errorf("%d origins recorded at %s", n, r.follower.name)
		}
	}
}

// TestCertainOfVersions guards against an instance that goes by an old list of servers: it is certain of the versions
// only while its list is current, and after a gap only once it has read the marks again.
func TestCertainOfVersions(t *testing.T) {
	p, dir, age := standin.NewPlatform(), directory.New(), time.Duration(0)
	dir.ApplyServer(serving.Server{ID: "a", Service: "s", Version: "v1", Revision: 1}, clock.Now())
	one := writeMark(t, p)
	holds := false
	m := &versionMarks{store: p, dir: dir, isHolder: func() bool { return holds }, isFirstHolder: func() bool { return false }, serversAge: func(time.Time) time.Duration { return age }, log: logrus.New()}
	o := newTestOrigins(dir, m)
	if !o.mixed("s") {
		t.Error("certain before the marks were read")
	}
	m.update(t.Context())
	if o.mixed("s") {
		t.Error("not certain with a current list")
	}
	past := clock.Now()
	m.certainUntil.Store(&past)
	age = maxServersAge + 1
	m.update(t.Context())
	if !o.mixed("s") {
		t.Error("certain with an old list")
	}
	if _, err := p.Put(t.Context(), prefixVersions+"s", []byte(`{"versions":["v1","v2"]}`), one.Version); err != nil {
		t.Fatal(err)
	}
	age = 0
	m.update(t.Context())
	if !o.mixed("s") || !m.certain() {
		t.Error("a version that came and went meanwhile is not known")
	}
	holds = true
	m.update(t.Context())
	if got := markOf(t, p, "s"); got != `{"versions":["v1","v2"]}` {
		t.Errorf("mark %s of an earlier holder", got)
	}
	dir.Sweep(clock.Now().Add(skew.Lifetime + time.Second))
	m.update(t.Context())
	if got := markOf(t, p, "s"); got != oneVersionMark {
		t.Errorf("mark %s after the other version has expired", got)
	}
}

// TestArchiveOfOrigins guards against an archive that is never written again: its entry was written by another process,
// cannot be decoded, or is gone with a store that came back from an older copy.
func TestArchiveOfOrigins(t *testing.T) {
	p := standin.NewPlatform()
	a := &originArchive{store: p, key: prefixOrigins + "a", table: skew.NewOrigins(), dir: directory.New(), log: discardLog()}
	if !a.restore(t.Context()) {
		t.Fatal("no archive: not restored")
	}
	archived := func() int {
		obj, err := p.Get(t.Context(), a.key)
		if err != nil {
			return 0
		}
		var digests skew.Digests
		if err := json.Unmarshal(obj.Value, &digests); err != nil {
			t.Fatal(err)
		}
		return digests.Restore(skew.NewOrigins(), &skew.Window{}, time.Now())
	}
	for n, value := range []string{"", `{"s":{"v1":"AAAAAAAAAAAAAAAAAAAAAA=="}}`, `no JSON`, "gone"} {
		if value != "" {
			obj, err := p.Get(t.Context(), a.key)
			if err != nil {
				t.Fatal(err)
			}
			if value == "gone" {
				err = p.Delete(t.Context(), a.key, obj.Version)
			} else {
				_, err = p.Put(t.Context(), a.key, []byte(value), obj.Version)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		a.window.Add(skew.Entry{Attempt: strconv.Itoa(n), Origin: skew.Origin{Service: "s", Version: "v1"}}, time.Now())
		a.update(t.Context())
		a.update(t.Context())
		want := n + 1
		if n > 0 {
			want++ // what the other process wrote
		}
		if got := archived(); got != want {
			t.Errorf("%q: %d origins archived, want %d", value, got, want)
		}
	}
}

// TestStreamOfStoppedInstanceGoesOnBesideSecond guards against streams that no instance lets go on beside a second software
// version because the instance that began them was stopped before that appeared.
func TestStreamOfStoppedInstanceGoesOnBesideSecond(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1")
	f.await("certain", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { return !r.marks.certain() })
	})
	var begun []attempt
	for range 20 {
		a := attempt{id: newAttemptID(), leaveAfter: 3}
		f.send(f.instances[0], a)
		begun = append(begun, a)
	}
	f.instances[0].stop()
	<-f.instances[0].done
	f.instances = f.instances[1:]
	f.addVersion("v2", "v2", "m1")
	f.awaitServers(3)
	for _, a := range begun {
		got := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: 3, resumes: a.id})
		if got.lastID != standin.StreamEvents || slices.Contains(got.versions, "v2") {
			t.Errorf("%+v, want the rest at v1", got)
		}
	}
}
