package directory

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// TestLeavingServerStaysDraining: a process that announced that it is leaving stays draining until it ends, whatever
// its entry in the store or other instances report. The announcement has no effect on the next process under its ID.
func TestLeavingServerStaysDraining(t *testing.T) {
	storeEntry := func(born int64, revision store.Revision) serving.Server {
		return serving.Server{ID: "e", Service: "s", Born: born, Revision: revision}
	}
	for name, born := range map[string]int64{"known birth": 10, "birth not said": 0} {
		d := New()
		d.ApplyServer(storeEntry(born, 1), start)
		before, change := d.Digest(), d.Since(0, AllServers).Change
		if !d.MarkLeaving(LeavingServer{"e", born}, start) || d.MarkLeaving(LeavingServer{"e", born}, start) {
			t.Errorf("%s: want the announcement reported as new exactly once", name)
		}
		if d.Digest() == before || len(d.Since(change, 0).Servers) != 1 {
			t.Errorf("%s: the change is not relayed to other instances", name)
		}
		d.ApplyServer(storeEntry(born, 2), start)
		d.ApplyDelta(Delta{Servers: []serving.Server{storeEntry(born, 3)}, Revision: 3}, start)
		if s, _ := d.Server("e"); !s.Draining || len(d.Servers("s")) != 0 {
			t.Errorf("%s: listed for new requests after an entry that is not draining", name)
		}
		d.RemoveServer("e", 4, start)
		d.Sweep(start.Add(time.Minute))
		d.ApplyServer(storeEntry(born, 5), start.Add(time.Minute))
		if s, _ := d.Server("e"); !s.Draining {
			t.Errorf("%s: not draining after its entry was removed and written again", name)
		}
		if list := d.LeavingServers(); len(list) != 1 || list[0] != (LeavingServer{"e", born}) {
			t.Errorf("%s: leaving servers %v, want only e", name, list)
		}
	}
	d := New()
	d.ApplyServer(storeEntry(20, 1), start)
	if d.MarkLeaving(LeavingServer{"e", 10}, start) || len(d.Servers("s")) != 1 {
		t.Error("draining because of an announcement of the earlier process")
	}
	d.MarkLeaving(LeavingServer{"e", 20}, start)
	d.ApplyServer(storeEntry(30, 2), start)
	if len(d.Servers("s")) != 1 || len(d.LeavingServers()) != 0 {
		t.Error("the process after one that left is not listed for new requests")
	}
}

// TestLeavingAnnouncedBeforeEntry: the announcement that a server is leaving may be received before its entry in the
// store is read.
func TestLeavingAnnouncedBeforeEntry(t *testing.T) {
	d := New()
	d.MarkLeaving(LeavingServer{"e", 10}, start)
	d.ApplyServer(serving.Server{ID: "e", Service: "s", Born: 10, Revision: 1}, start)
	if len(d.Servers("s")) != 0 || len(d.LeavingServers()) != 1 {
		t.Error("listed for new requests although it is leaving")
	}
}
