package directory

import (
	"testing"

	"github.com/martenport/martenport/store"
)

// TestLeavingWithReusedRevision: a word of a later era counts, though its number is lower, and one of an era before does not.
func TestLeavingWithReusedRevision(t *testing.T) {
	d := New()
	d.ApplyServer(server("x", store.RevisionOf(0, 100), false), start)
	d.ApplyServer(server("x", store.RevisionOf(1, 90), true), start)
	d.ApplyServer(server("x", store.RevisionOf(0, 110), false), start)
	if len(d.Servers("s")) != 0 {
		t.Error("offered after its word that it leaves")
	}
	if d.RemoveServer("x", store.RevisionOf(0, 120), start) || !d.RemoveServer("x", store.RevisionOf(1, 91), start) {
		t.Error("want it removed by a word of the later era alone")
	}
}

// TestGoneServerOfferedByCopy: an entry that came back counts for nothing in its grace, and a word of the era before does.
func TestGoneServerOfferedByCopy(t *testing.T) {
	d := New()
	d.ApplyServer(server("x", store.RevisionOf(0, 100), false), start)
	d.RemoveServer("x", store.RevisionOf(0, 105), start)
	copied := server("x", store.RevisionOf(1, 100), false)
	d.ApplyServer(copied, start)
	d.ApplyServer(copied, start.Add(CopiedGrace-1))
	if len(d.Servers("s")) != 0 {
		t.Error("offered by the entry of a server that was gone")
	}
	d.ApplyServer(server("x", store.RevisionOf(0, 106), false), start)
	if len(d.Servers("s")) != 1 {
		t.Error("not offered by an entry that was written after it was gone")
	}
	d.RemoveServer("x", store.RevisionOf(0, 107), start)
	d.ApplyServer(copied, start.Add(CopiedGrace))
	if len(d.Servers("s")) != 1 {
		t.Error("not offered though its entry outlasts the grace")
	}
}
