package entry

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// splitRoutes makes routes to the service llm lead to another service as well, which is the same but for its name.
func (f *versionFleet) splitRoutes(other string) {
	f.t.Helper()
	config, revision, err := store.Read[map[string]any](f.t.Context(), f.store, platform.KeyConfig)
	if err != nil {
		f.t.Fatal(err)
	}
	f.version++
	config["version"] = f.version
	for _, service := range config["services"].([]any) {
		if s := service.(map[string]any); s["name"] == "llm" {
			second := maps.Clone(s)
			second["name"] = other
			config["services"] = append(config["services"].([]any), second)
		}
	}
	for _, route := range config["routes"].([]any) {
		if r := route.(map[string]any); r["service"] == "llm" {
			r["split"] = []any{map[string]any{"service": "llm", "weight": 1}, map[string]any{"service": other, "weight": 1}}
		}
	}
	text, err := json.Marshal(config)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.Put(f.t.Context(), platform.KeyConfig, text, revision); err != nil {
		f.t.Fatal(err)
	}
}

// TestStreamOfSplitRouteStaysAtItsService guards against streams that are joined from the versions of two services, each of
// which has one.
func TestStreamOfSplitRouteStaysAtItsService(t *testing.T) {
	const streams = 20
	f := newVersionFleet(t, 8, "v1")
	f.splitRoutes("other")
	s, err := standin.NewServer("127.0.0.1", standin.ServerParams{
		ID: "o", Service: "other", FailureDomain: "a", Version: "v2",
		EventPause: 5 * time.Millisecond, MemoryMB: testMemoryMB, AdapterSlots: testAdapterSlots, Models: testModels, Loaded: []string{"m1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	go s.Announce(t.Context(), f.store, testHeartbeat)
	f.await("both services known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			return len(r.dir.Config().Services) != 3 || len(r.dir.Servers("other")) != 1 || !r.marks.certain()
		})
	})
	var begun []attempt
	var beginnings []streamResult
	for range streams {
		a := attempt{id: newAttemptID(), leaveAfter: 3}
		begun, beginnings = append(begun, a), append(beginnings, f.send(f.randomInstance(), a))
	}
	time.Sleep(originTimeout) // the origins have been sent
	joined, whole := 0, 0
	for i, first := range beginnings {
		rest := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: first.lastID, resumes: begun[i].id})
		if versions := slices.Compact(slices.Concat(first.versions, rest.versions)); len(versions) > 1 {
			joined++
		}
		if rest.lastID == standin.StreamEvents {
			whole++
		}
	}
	if joined > 0 || whole < streams {
		t.Errorf("%d of %d streams joined, %d whole", joined, streams, whole)
	}
}
