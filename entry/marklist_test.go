package entry

import (
	"strings"
	"testing"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// TestVersionThatLeftUnseenJoinsVersions guards against an instance on its own that takes a new list of servers for the knowledge
// that there was no other version, while one came and left that it has not heard of.
func TestVersionThatLeftUnseenJoinsVersions(t *testing.T) {
	f := newAloneFleet(t, 3)
	f.isolate()
	f.store.DelayWatches(standin.LateWatches{Prefix: platform.PrefixServers, Watcher: aloneWatcher, Delay: store.MaxWatchDelay})
	f.addVersion("v2", "v2", "m1")
	f.await("the version marked", func() bool { return strings.Contains(markOf(t, f.store, "llm"), "v2") })
	f.removeServer("v2")
	if got := f.send(f.alone, attempt{id: newAttemptID(), lastEvent: 3, resumes: "began at v2"}); len(got.versions) > 0 {
		t.Errorf("%+v, began at v2", got)
	}
}

// TestMarkTellsOnlyVersion guards against a mark that is not asked for or taken for what it is not, and against streams that are
// refused for a version at which none began that can still be resumed.
func TestMarkTellsOnlyVersion(t *testing.T) {
	for name, c := range map[string]struct {
		mark     string
		down     bool // the store
		restored bool // the store, after the mark was written
		listed   bool // an instance has not answered
		want     bool
	}{
		"it names that version":                     {mark: oneVersionMark, want: true},
		"another one too":                           {mark: `{"versions":["v1","v2"]}`},
		"another one":                               {mark: `{"versions":["v2"]}`},
		"an expired one too":                        {mark: `{"versions":["v0","v1"]}`, want: true},
		"there is none":                             {},
		"it cannot be read":                         {mark: `{"versions":"v1"}`},
		"its writer did not know all":               {mark: `{"versions":["v1"],"unsure":true}`},
		"it is that of a copy":                      {mark: oneVersionMark, restored: true},
		"the store is down":                         {mark: oneVersionMark, down: true, want: true},
		"the store is down, and one did not answer": {mark: oneVersionMark, down: true, listed: true},
		"it names that version, one did not answer": {mark: oneVersionMark, listed: true, want: true},
		"another one too, and one did not answer":   {mark: `{"versions":["v1","v2"]}`, listed: true},
	} {
		p, dir := standin.NewPlatform(), directory.New()
		if c.mark != "" {
			if _, err := p.Put(t.Context(), prefixVersions+"s", []byte(c.mark), 0); err != nil {
				t.Fatal(err)
			}
		}
		if c.restored {
			p.Restore(p.Copy())
		}
		p.SetDown(c.down)
		now := clock.Now()
		dir.ApplyServer(serving.Server{ID: "a", Service: "s", Version: "v0", Revision: 1}, now)
		dir.RemoveServer("a", 2, now.Add(-2*skew.Lifetime))
		dir.Sweep(now)
		o := newTestOrigins(dir, &versionMarks{})
		o.marked = newMarkList(p)
		answer := forward.OriginAnswer{OnlyVersion: "v1", Listed: c.listed}
		if got := o.confirmOnly(t.Context(), clock.Exact(), "s", answer); got != c.want {
			t.Errorf("%s: confirmed %t, want %t", name, got, c.want)
		}
	}
}
