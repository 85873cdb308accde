package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// TestOverloadIsRefusedAtOnce: a request for a model whose engines have far more than they
// can serve on time is refused at once, has not run, and is told when the queues are gone.
// One whose engines have room is sent.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			others  int
			refused bool
		}{{2, false}, {80, true}} {
			f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
			for _, id := range []string{"e1", "e2"} {
				server, _ := f.dir.Server(id)
				server.Slots, server.Revision = 12, server.Revision+1
				f.dir.ApplyServer(server, time.Now())
			}
			units := []directory.UnitView{{Unit: serving.Unit{Model: "warm"}}}
			views := []directory.EngineView{{Engine: "e1", Units: units}, {Engine: "e2", Units: units}}
			f.dir.ApplyViews(1, views, map[string]int{"e1": c.others, "e2": c.others}, time.Now())
			start := time.Now()
			_, failure := f.serve("stream", "warm", 5*time.Second)
			if refused := failure != nil; refused != c.refused || time.Since(start) > 10*time.Millisecond {
				t.Errorf("%d requests on each engine: %v after %s, want refused %t, at once", c.others, failure, time.Since(start), c.refused)
			}
			if !c.refused || failure == nil {
				continue
			}
			if failure.Verdict != verdict.NotRun || failure.Reason != verdict.ReasonQueueFull || failure.RetryAfter < time.Second {
				t.Errorf("%+v, want not run, and a time to come back", failure)
			}
			if len(f.servers.attempts) != 0 {
				t.Errorf("%d sends", len(f.servers.attempts))
			}
		}
	})
}
