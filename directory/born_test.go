package directory

import (
	"testing"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// TestServerRestartsUnderSameID: a server that restarts under its id is a new process. What was known of the earlier
// process, and late messages about it, must not apply to the new one.
func TestServerRestartsUnderSameID(t *testing.T) {
	at := func(born int64, revision store.Revision, draining bool) serving.Server {
		return serving.Server{ID: "e", Service: "s", Born: born, Revision: revision, Draining: draining}
	}
	unit := serving.Unit{Model: "m"}
	view := func(born int64) []EngineView {
		return []EngineView{{Engine: "e", Born: born, Units: []UnitView{{Unit: unit}}}}
	}
	offered := func(d *Directory) bool { return len(d.Replicas("s", unit, start)) > 0 }
	d := New()
	d.ApplyServer(at(10, 1, false), start)
	d.ApplyViews(1, view(10), nil, start)
	d.ApplyServer(at(10, 2, true), start)
	if offered(d) {
		t.Fatal("draining server is offered")
	}
	before := d.Digest()
	d.ApplyServer(at(20, 3, false), start)
	if s, _ := d.Server("e"); s.Draining || s.Born != 20 {
		t.Errorf("got %+v, want the new process, which is not draining", s)
	}
	if offered(d) {
		t.Error("offered for a unit that the earlier process had")
	}
	if d.Digest() == before {
		t.Error("digest did not change with the process")
	}
	d.ApplyViews(1, view(10), nil, start)
	if offered(d) {
		t.Error("offered because of a view of the earlier process")
	}
	d.ApplyServer(at(10, 4, true), start)
	if s, _ := d.Server("e"); s.Born != 20 || s.Draining {
		t.Errorf("got %+v after a late entry of the earlier process", s)
	}
	d.ApplyViews(1, view(20), nil, start)
	if !offered(d) {
		t.Error("not offered for a unit that the new process has")
	}
	d.RemoveServer("e", 5, start)
	d.ApplyServer(at(20, 6, true), start)
	d.RemoveServer("e", 7, start)
	d.ApplyServer(at(30, 8, false), start)
	if s, known := d.Server("e"); !known || s.Draining {
		t.Errorf("got %+v, known %v, for a process that follows one that drained and left", s, known)
	}
}
