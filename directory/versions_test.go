package directory

import (
	"testing"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// TestMixedVersions: a service counts as having several software versions while servers of two are known, and until no
// stream of the one that is gone can be taken up.
func TestMixedVersions(t *testing.T) {
	d := New()
	add := func(id, version string, revision store.Revision) {
		d.ApplyServer(serving.Server{ID: id, Service: "s", Version: version, Revision: revision}, start)
	}
	check := func(what string, want int) {
		t.Helper()
		if got := d.MixedVersions()["s"]; len(got) != want {
			t.Errorf("%s: versions %v, want %d", what, got, want)
		}
	}
	add("a", "v1", 1)
	add("b", "v1", 2)
	d.RemoveServer("b", 3, start)
	check("one version", 0)
	add("c", "v2", 4)
	add("c", "v2", 5) // written again
	check("two versions", 2)
	d.RemoveServer("c", 6, start)
	d.Sweep(start.Add(skew.Lifetime))
	check("streams may still be taken up", 2)
	d.Sweep(start.Add(skew.Lifetime + 1))
	check("too late", 0)
	add("a", "v2", 7)
	check("the process has new software", 2)
	d.Sweep(start.Add(2 * skew.Lifetime))
	check("too late for the earlier process", 0)
	d.ObserveVersions("s", []string{"v2", "v3"}, start)
	check("told of an earlier version", 2)
}

// TestVersionUnderSameIDIsRelayed guards against instances that keep to the earlier version of a server which announces no start
// and is updated in place.
func TestVersionUnderSameIDIsRelayed(t *testing.T) {
	holder, follower := New(), New()
	holder.ApplyServer(serving.Server{ID: "a", Service: "s", Address: "a:1", Version: "v1", Revision: 1}, start)
	first := holder.Since(0, 0)
	follower.ApplyDelta(first, start)
	holder.ApplyServer(serving.Server{ID: "a", Service: "s", Address: "a:1", Version: "v2", Revision: 2}, start)
	follower.ApplyDelta(holder.Since(first.Change, follower.Revision()), start)
	if s, _ := follower.Server("a"); s.Version != "v2" || len(follower.Versions()["s"]) != 2 {
		t.Errorf("version %s, versions of the service %v", s.Version, follower.Versions()["s"])
	}
}

// TestReturnedVersionPassesForExpired guards against a version that counts as expired although it serves again, or may have.
func TestReturnedVersionPassesForExpired(t *testing.T) {
	for name, returns := range map[string]func(d *Directory){
		"serves again": func(d *Directory) {
			d.ApplyServer(serving.Server{ID: "b", Service: "s", Version: "v1", Revision: 3}, start)
		},
		"may have served": func(d *Directory) { d.ObserveVersions("s", []string{"v1"}, start) },
	} {
		d := New()
		d.ApplyServer(serving.Server{ID: "a", Service: "s", Version: "v1", Revision: 1}, start)
		d.RemoveServer("a", 2, start.Add(-2*skew.Lifetime))
		if d.VersionExpired("s", "v1") {
			t.Error("expired before its time has been looked at")
		}
		d.Sweep(start)
		if !d.VersionExpired("s", "v1") || d.VersionExpired("s", "v2") {
			t.Error("not expired, or one that was never known is")
		}
		if returns(d); d.VersionExpired("s", "v1") {
			t.Errorf("%s: expired", name)
		}
	}
}
