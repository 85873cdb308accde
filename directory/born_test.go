package directory

import (
	"testing"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// TestBornAgain: a server that starts again under its id is another process: what was known
// of the one before, and what is still said of it, counts no more.
func TestBornAgain(t *testing.T) {
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
		t.Fatal("a draining server is offered")
	}
	before := d.Digest()
	d.ApplyServer(at(20, 3, false), start)
	if s, _ := d.Server("e"); s.Draining || s.Born != 20 {
		t.Errorf("%+v, want the new process, which does not drain", s)
	}
	if offered(d) {
		t.Error("offered for what the process before held")
	}
	if d.Digest() == before {
		t.Error("the same digest as before")
	}
	d.ApplyViews(1, view(10), nil, start)
	if offered(d) {
		t.Error("offered by word of the process before")
	}
	d.ApplyServer(at(10, 4, true), start)
	if s, _ := d.Server("e"); s.Born != 20 || s.Draining {
		t.Errorf("%+v by a late entry of the process before", s)
	}
	d.ApplyViews(1, view(20), nil, start)
	if !offered(d) {
		t.Error("not offered for what the new process holds")
	}
	d.RemoveServer("e", 5, start)
	d.ApplyServer(at(20, 6, true), start)
	d.RemoveServer("e", 7, start)
	d.ApplyServer(at(30, 8, false), start)
	if s, known := d.Server("e"); !known || s.Draining {
		t.Errorf("%+v, %v: a process after one that drained and left", s, known)
	}
}
