package entry

import (
	"slices"
	"testing"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// TestVersionKnownToOneInstanceIsJoined guards against a stream that began through an instance that is cut off from the others and
// learned of a new version before them, and that goes on at another one since all that are asked for its origin answer.
func TestVersionKnownToOneInstanceIsJoined(t *testing.T) {
	f := newAloneFleet(t, 6)
	f.addEngine(standin.ServerParams{ID: "other", Version: "v1", Loaded: []string{"m2"}})
	f.removeServer("v0")
	f.await("the engine known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			servers := r.dir.Servers("llm")
			return len(servers) != 1 || servers[0].ID != "other" || !r.marks.certain()
		})
	})
	f.isolate()
	f.store.DelayWatches(standin.LateWatches{Prefix: platform.PrefixServers, Watcher: "127.0.0.1", Delay: store.MaxWatchDelay})
	asked := f.instances[0]
	begun := attempt{id: f.attemptNotKeptBy(asked, f.alone), leaveAfter: 3}
	f.addVersion("v2", "v2", "m1")
	f.await("the engine known to the lone instance", func() bool {
		_, known := f.alone.dir.Server("v2")
		return known
	})
	switch got := f.send(f.alone, begun); {
	case slices.Contains(got.versions, "v1"):
		t.Fatalf("%+v, no engine of v1 has the model", got)
	case len(got.versions) == 0:
		return // it does not begin while nobody hears of it
	}
	if got := f.send(asked, attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id}); slices.Contains(got.versions, "v1") {
		t.Errorf("%+v, began at v2", got)
	}
}

// attemptNotKeptBy returns the ID of an attempt whose origin an instance does not ask another one for.
func (f *versionFleet) attemptNotKeptBy(asking, other *running) string {
	f.t.Helper()
	for range 1000 {
		id := newAttemptID()
		candidates, _ := asking.origins.keepers(f.t.Context(), id)
		if !slices.Contains(slices.Concat(candidates...), other.members.self.Address) {
			return id
		}
	}
	f.t.Fatal("no such attempt")
	return ""
}
