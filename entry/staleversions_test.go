package entry

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// newStaleFleet starts instances with engines of versions v1 and v2. The last instance is certain that all have v1, as one
// whose list of servers is somewhat old may be.
func newStaleFleet(t *testing.T, instances int) (f *versionFleet, stale *running) {
	t.Helper()
	f = newVersionFleet(t, instances-1, "v1", "v2")
	until := clock.Now().Add(maxServersAge * 100)
	f.beforeRun = func(i *Instance) {
		i.origins.dir, i.origins.marks = directory.New(), &versionMarks{isFirstHolder: func() bool { return false }, serversAge: func(time.Time) time.Duration { return time.Hour }}
		i.origins.dir.ApplyServer(serving.Server{ID: "old", Service: "llm", Version: "v1", Revision: 1}, clock.Now())
		i.origins.marks.certainUntil.Store(&until)
	}
	first := f.instances[0]
	stale = f.addInstance(instances)
	f.awaitServers(2)
	f.await("instances known", func() bool {
		names, ok := stale.members.refreshNames(t.Context())
		return stale.origins.archive.restored.Load() && ok && len(names) == instances && first.members.readList(t.Context())
	})
	return f, stale
}

// beginAtV2 begins a stream at version v2, of which the instance stale keeps no copy of the origin.
func (f *versionFleet) beginAtV2(stale *running) attempt {
	f.t.Helper()
	for range 1000 {
		a := attempt{id: newAttemptID(), leaveAfter: 3}
		candidates, copies := f.instances[0].origins.keepers(f.t.Context(), a.id)
		if slices.Contains(candidates[0][:copies], stale.members.self.Address) {
			continue
		}
		if got := f.send(f.instances[0], a); slices.Contains(got.versions, "v2") {
			return a
		}
	}
	f.t.Fatal("no stream began at v2")
	return attempt{}
}

// TestStaleInstanceJoinsNoVersions guards against streams that go on at the version that an instance takes for the only one
// although they began at a newer one.
func TestStaleInstanceJoinsNoVersions(t *testing.T) {
	f, stale := newStaleFleet(t, 4)
	begun := f.beginAtV2(stale)
	checkRefused := func(what string, a attempt) {
		t.Helper()
		if got := f.send(stale, a); got.status != http.StatusServiceUnavailable || len(got.versions) > 0 {
			t.Errorf("%s: %+v, want a refusal", what, got)
		}
	}
	checkRefused("its origin is lost", attempt{id: newAttemptID(), lastEvent: 3, resumes: "lost"})
	checkRefused("no attempt named", attempt{id: newAttemptID(), lastEvent: 3})
	if got := f.send(stale, attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id}); slices.Contains(got.versions, "v1") {
		t.Errorf("%+v, began at v2", got)
	}
}

// TestIsolatedInstanceJoinsNoVersions guards against the same at an instance that gets no answer from any other one.
func TestIsolatedInstanceJoinsNoVersions(t *testing.T) {
	f, stale := newStaleFleet(t, 4)
	begun := f.beginAtV2(stale)
	for _, r := range f.instances[:3] {
		r.kill()
		<-r.done
	}
	if got := f.send(stale, attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id}); slices.Contains(got.versions, "v1") {
		t.Errorf("%+v, began at v2", got)
	}
}

// TestLastInstanceKeepsVersion guards against streams that are refused for good because no other instance answers.
func TestLastInstanceKeepsVersion(t *testing.T) {
	f := newVersionFleet(t, 2, "v1", "v1")
	f.await("certain", func() bool { return f.instances[0].marks.certain() && f.instances[1].marks.certain() })
	begun := attempt{id: newAttemptID(), leaveAfter: 3}
	f.send(f.instances[0], begun)
	f.instances[0].kill()
	<-f.instances[0].done
	f.await("the rest of the stream", func() bool {
		return f.send(f.instances[1], attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id}).lastID == standin.StreamEvents
	})
}
