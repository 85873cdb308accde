package entry

import (
	"context"
	"testing"

	"github.com/martenport/martenport/platform"
)

// TestInvalidServerEntry checks that a server whose entry another writer has replaced with an invalid one is not
// used, that other servers are, and that it is used again when its own entry is restored.
func TestInvalidServerEntry(t *testing.T) {
	f := newFleet(t, 2)
	known := func(id string, want bool) func() bool {
		return func() bool {
			for _, r := range f.instances {
				if _, found := r.dir.Server(id); found != want {
					return false
				}
			}
			return true
		}
	}
	f.stopAnnouncing["e1"]()
	key := platform.PrefixServers + "e1"
	f.await("invalid entry written", func() bool {
		obj, err := f.store.Get(t.Context(), key)
		if err != nil {
			return false
		}
		_, err = f.store.Put(t.Context(), key, []byte(`{"service":"llm","address":7}`), obj.Version)
		return err == nil
	})
	f.await("server with an invalid entry not used", known("e1", false))
	if !known("e2", true)() {
		t.Error("another server is not used either")
	}
	ctx, stopAnnouncing := context.WithCancel(context.Background())
	t.Cleanup(stopAnnouncing)
	go f.servers["e1"].Announce(ctx, f.store, testHeartbeat)
	f.await("server used again", known("e1", true))
}
