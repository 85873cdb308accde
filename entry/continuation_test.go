package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// testEventPause leaves time to end an engine in the middle of a stream, and lets a stream run for
// longer than the list of an engine's runs may be old.
const testEventPause = 100 * time.Millisecond

// newStreamFleet starts an instance and two engines that have the model m1, with a route whose streams
// must not be repeated.
func newStreamFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, 1)
	f.configure("once", "stream", "unsafe", "safe")
	for _, id := range []string{"e1", "e2"} {
		f.servers[id].Stop()
		f.stopAnnouncing[id]()
		f.await("entry of "+id+" removed", func() bool {
			obj, err := f.store.Get(t.Context(), platform.PrefixServers+id)
			return err == nil && f.store.Delete(t.Context(), platform.PrefixServers+id, obj.Version) == nil
		})
		f.addServerWith("slow-"+id, "llm", []string{"m1"}, testEventPause)
	}
	r := f.instances[0]
	f.await("only the slow engines are known, and the budget has a send for each", func() bool {
		ready := len(r.dir.Servers("llm")) == 2 && r.dir.Config().Match("h.example", "/once/x") != nil
		return ready && r.budget.State("llm", time.Now()).Level >= 2
	})
	return f
}

// runningEngine waits until a slow engine works on a stream and another one has its backup, and
// returns them.
func (f *fleet) runningEngine() (engine, backup *standin.Server) {
	f.t.Helper()
	a, b := f.servers["slow-e1"], f.servers["slow-e2"]
	f.await("a stream with a backup", func() bool { return a.Active() > 0 && b.Backups() > 0 || b.Active() > 0 && a.Backups() > 0 })
	if a.Active() > 0 {
		return a, b
	}
	return b, a
}

// checkNoBackups checks that no engine keeps a backup any more, and that none is counted.
func (f *fleet) checkNoBackups(engines ...*standin.Server) {
	f.t.Helper()
	f.await("backups freed", func() bool {
		for _, e := range engines {
			if e.Backups() > 0 {
				return false
			}
		}
		var metrics strings.Builder
		f.instances[0].set.WritePrometheus(&metrics)
		return strings.Contains(metrics.String(), "martenport_stream_backups 0\n")
	})
}

// TestStreamOutlivesEngine checks that a stream that must not be repeated goes on at its backup engine
// when its engine is killed: the client gets every event once, in one run.
func TestStreamOutlivesEngine(t *testing.T) {
	f := newStreamFleet(t)
	got := make(chan answer, 1)
	go func() { got <- f.request(f.instances[0], "once", "m1") }()
	engine, backup := f.runningEngine()
	engine.Stop()
	a := <-got
	if a.err != nil || a.body != wholeStream("m1") {
		t.Errorf("%+v", a)
	}
	if n := f.runs(a.id); n != 1 {
		t.Errorf("%d runs", n)
	}
	f.checkNoBackups(backup)
	f.checkServerInvariants()
}
