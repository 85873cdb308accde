package directory

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// TestLeaveOutlastsEntries: a process that has said that it leaves is draining to its end,
// whatever entries and other instances say of it, and the one after it under its id is not.
func TestLeaveOutlastsEntries(t *testing.T) {
	entry := func(born int64, revision store.Revision) serving.Server {
		return serving.Server{ID: "e", Service: "s", Born: born, Revision: revision}
	}
	for name, born := range map[string]int64{"known birth": 10, "birth not said": 0} {
		d := New()
		d.ApplyServer(entry(born, 1), start)
		before, change := d.Digest(), d.Since(0, Everything).Change
		if !d.Leave(Leaver{"e", born}, start) || d.Leave(Leaver{"e", born}, start) {
			t.Errorf("%s: want it new once", name)
		}
		if d.Digest() == before || len(d.Since(change, 0).Servers) != 1 {
			t.Errorf("%s: others are not told", name)
		}
		d.ApplyServer(entry(born, 2), start)
		d.ApplyDelta(Delta{Servers: []serving.Server{entry(born, 3)}, Revision: 3}, start)
		if s, _ := d.Server("e"); !s.Draining || len(d.Servers("s")) != 0 {
			t.Errorf("%s: used again by an entry that says that it is ready", name)
		}
		d.RemoveServer("e", 4, start)
		d.Sweep(start.Add(time.Minute))
		d.ApplyServer(entry(born, 5), start.Add(time.Minute))
		if s, _ := d.Server("e"); !s.Draining {
			t.Errorf("%s: used again after its entry had lapsed", name)
		}
		if list := d.Leavers(); len(list) != 1 || list[0] != (Leaver{"e", born}) {
			t.Errorf("%s: %v", name, list)
		}
	}
	d := New()
	d.ApplyServer(entry(20, 1), start)
	if d.Leave(Leaver{"e", 10}, start) || len(d.Servers("s")) != 1 {
		t.Error("draining by the word of the process before")
	}
	d.Leave(Leaver{"e", 20}, start)
	d.ApplyServer(entry(30, 2), start)
	if len(d.Servers("s")) != 1 || len(d.Leavers()) != 0 {
		t.Error("the process after one that left is not used")
	}
}

// TestLeaveBeforeEntry: the word may come before the entry is known here.
func TestLeaveBeforeEntry(t *testing.T) {
	d := New()
	d.Leave(Leaver{"e", 10}, start)
	d.ApplyServer(serving.Server{ID: "e", Service: "s", Born: 10, Revision: 1}, start)
	if len(d.Servers("s")) != 0 || len(d.Leavers()) != 1 {
		t.Error("used though it leaves")
	}
}
