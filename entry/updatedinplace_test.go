package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// updateInPlace ends a server, and starts it again under its ID and address with another version.
func (f *versionFleet) updateInPlace(p standin.ServerParams) {
	f.t.Helper()
	before := f.servers[p.ID]
	f.stopAnnouncing[p.ID]()
	before.Stop()
	s, err := standin.NewServerAt(before.Address(), p)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	f.t.Cleanup(s.Stop)
	f.servers[p.ID], f.stopAnnouncing[p.ID] = s, stop
	go s.Announce(ctx, f.store, testHeartbeat)
}

// TestServerUpdatedInPlaceJoinsNoVersions guards against streams that are joined from two versions, since only the holder learns
// that a server which announces no start has another version.
func TestServerUpdatedInPlaceJoinsNoVersions(t *testing.T) {
	const streams = 20
	f := newVersionFleet(t, 4, "v1")
	p := standin.ServerParams{
		ID: "updated", Service: "llm", FailureDomain: "a", Version: "v1", OmitStart: true,
		EventPause: 5 * time.Millisecond, MemoryMB: testMemoryMB, AdapterSlots: testAdapterSlots, Models: testModels, Loaded: []string{"m1"},
	}
	f.addEngine(p)
	f.awaitServers(2)
	p.Version = "v2"
	f.updateInPlace(p)
	time.Sleep(maxServersAge) // all lists of servers are newer than the update
	joined, whole := 0, 0
	for range streams {
		begun := attempt{id: newAttemptID(), leaveAfter: 3}
		first := f.send(f.randomInstance(), begun)
		rest := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: first.lastID, resumes: begun.id})
		versions := slices.Concat(first.versions, rest.versions)
		if slices.Contains(versions, "v1") && slices.Contains(versions, "v2") {
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
