package directory

import (
	"testing"

	"github.com/martenport/martenport/store"
)

// TestLaterEraWinsOverHigherRevision: after a restore of the store revision numbers are reused. An entry of the
// later era must win although its number is lower, and an entry of the earlier era must be ignored.
func TestLaterEraWinsOverHigherRevision(t *testing.T) {
	d := New()
	d.ApplyServer(server("x", store.RevisionOf(0, 100), false), start)
	d.ApplyServer(server("x", store.RevisionOf(1, 90), true), start)
	d.ApplyServer(server("x", store.RevisionOf(0, 110), false), start)
	if len(d.Servers("s")) != 0 {
		t.Error("offered after it announced that it is draining")
	}
	if d.RemoveServer("x", store.RevisionOf(0, 120), start) || !d.RemoveServer("x", store.RevisionOf(1, 91), start) {
		t.Error("want it removed at a revision of the later era only")
	}
}

// TestRestoredEntryOfRemovedServer: a backup of the store may contain the entry of a server that was removed. Such
// an entry is ignored during RestoreGrace and applies after it. An entry of the earlier era that was written after
// the removal still applies.
func TestRestoredEntryOfRemovedServer(t *testing.T) {
	d := New()
	d.ApplyServer(server("x", store.RevisionOf(0, 100), false), start)
	d.RemoveServer("x", store.RevisionOf(0, 105), start)
	copied := server("x", store.RevisionOf(1, 100), false)
	d.ApplyServer(copied, start)
	d.ApplyServer(copied, start.Add(RestoreGrace-1))
	if len(d.Servers("s")) != 0 {
		t.Error("offered because of a restored entry of a removed server")
	}
	d.ApplyServer(server("x", store.RevisionOf(0, 106), false), start)
	if len(d.Servers("s")) != 1 {
		t.Error("not offered after an entry that was written after the removal")
	}
	d.RemoveServer("x", store.RevisionOf(0, 107), start)
	d.ApplyServer(copied, start.Add(RestoreGrace))
	if len(d.Servers("s")) != 1 {
		t.Error("not offered although its entry still exists after RestoreGrace")
	}
}
