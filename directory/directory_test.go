package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

var start = time.Unix(1000, 0)

func server(id string, revision store.Revision, draining bool) serving.Server {
	return serving.Server{ID: id, Service: "s", Address: "a", Revision: revision, Draining: draining}
}

// TestOlderRevisionsIgnored guards against late pages of the store: an older revision changes nothing, and a
// draining server stays draining.
func TestOlderRevisionsIgnored(t *testing.T) {
	d := New()
	d.ApplyServer(server("x", 5, true), start)
	d.ApplyServer(server("x", 4, false), start)
	if got := d.Servers("s"); len(got) != 0 {
		t.Errorf("draining server is offered: %v", got)
	}
	d.ApplyServer(server("x", 6, false), start)
	if got := d.Servers("s"); len(got) != 0 {
		t.Error("draining server is offered again")
	}
	d.RemoveServer("x", 7, start)
	d.ApplyServer(server("x", 6, false), start)
	if _, known := d.Server("x"); known {
		t.Error("older page added a removed server again")
	}
	d.ApplyServer(server("y", 8, false), start)
	d.RemoveServer("y", 7, start)
	if _, known := d.Server("y"); !known {
		t.Error("removal older than the announcement was applied")
	}
	d.RemoveServer("y", 9, start)
	d.ApplyServer(server("y", 10, false), start)
	if got := d.Servers("s"); len(got) != 1 {
		t.Error("server not offered after its lapsed entry was written again")
	}
}

// TestConfigurationNeverReverts: an older or equal version never replaces the configuration in force.
func TestConfigurationNeverReverts(t *testing.T) {
	d := New()
	if !d.ApplyConfig(&serving.Config{Version: 7}) || d.ApplyConfig(&serving.Config{Version: 7}) || d.ApplyConfig(&serving.Config{Version: 4}) {
		t.Error("applied a version that is not newer")
	}
	if d.Config().Version != 7 {
		t.Errorf("version %d in force", d.Config().Version)
	}
}

// TestRelayConverges applies random changes to one directory and relays its deltas to another, from any starting
// point. In the end both must know the same servers.
func TestRelayConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := New(), New()
		revision, seen := store.Revision(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision++
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")
			switch rapid.SampledFrom([]string{"announce", "announce", "drain", "remove", "lapse", "list", "relay", "relay", "come back"}).Draw(t, "what") {
			case "announce":
				from.ApplyServer(server(id, revision, false), start)
			case "drain":
				from.ApplyServer(server(id, revision, true), start)
			case "remove":
				from.RemoveServer(id, revision, start)
			case "lapse": // found later than at its revision
				from.RemoveServer(id, revision-1, start)
			case "come back":
				revision = store.RevisionOf(revision.Era()+1, revision.Number()/2)
				from.SetRevision(revision, start)
			case "list": // the other directory lists the store itself
				from.SetRevision(revision, start)
				for _, s := range from.All() {
					to.ApplyServer(s, start)
				}
				for _, id := range to.IDs() {
					if _, known := from.Server(id); !known {
						to.RemoveServer(id, revision, start)
					}
				}
				to.SetRevision(revision, start)
				seen = 0
			case "relay":
				delta := from.Since(seen, to.Revision())
				to.ApplyDelta(delta, start)
				seen = delta.Change
			}
		}
		to.ApplyDelta(from.Since(seen, to.Revision()), start)
		if revision.Era() > 0 && from.Digest() != to.Digest() { // then request a full delta after RestoreGrace
			to.ApplyDelta(from.Since(0, AllServers), start.Add(RestoreGrace))
		}
		if from.Digest() != to.Digest() {
			t.Fatal("digests differ after all deltas were applied")
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			x, xKnown := from.Server(id)
			y, yKnown := to.Server(id)
			if xKnown != yKnown || x.Draining != y.Draining {
				t.Fatalf("%s: %v %+v, relayed %v %+v", id, xKnown, x, yKnown, y)
			}
		}
	})
}

// TestViewsOfSupersededHolderIgnored: views of a holder with a lower fencing token must not be applied.
func TestViewsOfSupersededHolderIgnored(t *testing.T) {
	d := New()
	d.ApplyServer(serving.Server{ID: "e", Service: "s", Revision: 1}, start)
	unit := serving.Unit{Model: "m"}
	view := []EngineView{{Engine: "e", Units: []UnitView{{Unit: unit}}}}
	d.ApplyViews(2, []EngineView{{Engine: "e"}}, nil, start)
	d.ApplyViews(1, view, nil, start)
	if got := d.Replicas("s", unit, start); len(got) != 0 {
		t.Errorf("replicas %v from a view of a superseded holder", got)
	}
	d.ApplyViews(2, view, nil, start)
	if got := d.Replicas("s", unit, start); len(got) != 1 {
		t.Errorf("replicas %v, want the one in the view", got)
	}
}

// TestRelayFindsDifference: an instance saw an entry lapse while the holder did not. When the entry is written
// again, nothing has changed for the holder, so its deltas never contain the server. The digests must differ, and a
// full delta must repair the difference. The same holds for a server that only the other instance still knows.
func TestRelayFindsDifference(t *testing.T) {
	holder, other := New(), New()
	holder.ApplyServer(server("x", 1, false), start)
	holder.SetRevision(1, start)
	other.ApplyDelta(holder.Since(0, 0), start)
	other.RemoveServer("x", 2, start)
	other.ApplyServer(server("gone", 3, false), start)
	other.SetRevision(3, start)
	seen := holder.Since(0, other.Revision()).Change
	holder.ApplyServer(server("x", 4, false), start) // the entry is written again
	holder.SetRevision(5, start)                     // and that of the other server has been removed
	delta := holder.Since(seen, other.Revision())
	other.ApplyDelta(delta, start)
	if delta.Digest == other.Digest() {
		t.Fatal("directories that differ have the same digest")
	}
	delta = holder.Since(seen, AllServers)
	removed := other.ApplyDelta(delta, start).Removed
	if _, known := other.Server("x"); !known || delta.Digest != other.Digest() {
		t.Errorf("after a full delta the server is known: %v", known)
	}
	if len(removed) != 1 || removed[0] != "gone" {
		t.Errorf("servers removed by a full delta: %v", removed)
	}
	other.ApplyServer(server("newer", 9, false), start)
	if removed := other.ApplyDelta(holder.Since(0, AllServers), start).Removed; len(removed) != 0 {
		t.Errorf("a server that is newer than the delta was removed: %v", removed)
	}
}

// TestEngineNotOfferedForMissingUnit: an engine that reported that it does not have a unit is not offered for it
// until the holder sends a new view of the engine, or for one second. It is still offered for other units.
func TestEngineNotOfferedForMissingUnit(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.ApplyServer(serving.Server{ID: "e", Service: "llm", Revision: 1}, now)
	one, two := serving.Unit{Model: "m1"}, serving.Unit{Model: "m2"}
	view := []EngineView{{Engine: "e", Units: []UnitView{{Unit: one}, {Unit: two}}}}
	d.ApplyViews(1, view, nil, now)
	offered := func(unit serving.Unit, at time.Time) bool { return len(d.Replicas("llm", unit, at)) > 0 }
	d.ReportMissingUnit("e", one, now)
	if offered(one, now) || !offered(two, now) {
		t.Errorf("offered for the missing unit: %v, for the other unit: %v", offered(one, now), offered(two, now))
	}
	if !offered(one, now.Add(missingUnitTTL)) {
		t.Error("not offered after missingUnitTTL")
	}
	d.ApplyViews(1, nil, nil, now)
	if offered(one, now) {
		t.Error("offered again without a new view of the engine")
	}
	d.ApplyViews(1, view, nil, now)
	if !offered(one, now) {
		t.Error("not offered after a new view of the engine")
	}
}

// TestComplete: a directory that was listed for the first time a moment ago may lack servers whose entries are
// written again. So may a directory that has just removed servers because another one lacks them.
func TestComplete(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	if d.RemovalsComplete(now) {
		t.Error("complete before servers were listed")
	}
	d.ApplyServer(serving.Server{ID: "a", Service: "llm", Revision: 1}, now)
	d.SetRevision(1, now)
	if d.RemovalsComplete(now.Add(LapseGrace - time.Millisecond)) {
		t.Error("complete while lapsed entries may be written again")
	}
	now = now.Add(LapseGrace)
	d.SetRevision(2, now)
	if !d.RemovalsComplete(now) {
		t.Error("not complete after LapseGrace")
	}
	d.ApplyDelta(Delta{Full: true, Revision: 3}, now)
	if _, known := d.Server("a"); known || d.RemovalsComplete(now) {
		t.Errorf("server still known: %v, or complete right after a full delta of another directory", known)
	}
	if !d.RemovalsComplete(now.Add(LapseGrace)) {
		t.Error("not complete although no entry was written again within LapseGrace")
	}
}
