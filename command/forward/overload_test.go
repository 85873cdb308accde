package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestOverloadIsRefusedAtOnce: a request for a model of which more is asked for than its
// engines serve is refused at once, has not run, and is told when to come back. One of the
// first rank, and one for another model, are sent.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name     string
			busy     string
			priority int
			refused  bool
		}{{"busy model", "warm", 1, true}, {"first rank", "warm", 0, false}, {"another model", "other", 1, false}} {
			f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
			f.dir.Config().Match("h", "/stream/").Priority = c.priority
			f.dir.ApplyViews(1, nil, nil, time.Now())
			f.dir.ApplyAdmissions(map[string]float64{c.busy: 0})
			start := time.Now()
			_, failure := f.serve("stream", "warm", 5*time.Second)
			if refused := failure != nil; refused != c.refused || time.Since(start) > 10*time.Millisecond {
				t.Errorf("%s: %v after %s, want refused %t, at once", c.name, failure, time.Since(start), c.refused)
			}
			if failure == nil {
				continue
			}
			if failure.Verdict != verdict.NotRun || failure.Reason != verdict.ReasonQueueFull || failure.RetryAfter != overloadRetry {
				t.Errorf("%s: %+v, want not run, and a time to come back", c.name, failure)
			}
			if len(f.servers.attempts) != 0 {
				t.Errorf("%s: %d sends", c.name, len(f.servers.attempts))
			}
		}
	})
}

// TestOldWordRefusesNothing: what the holder said of a model's load is not taken when it has
// been silent for long.
func TestOldWordRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
		f.dir.Config().Match("h", "/stream/").Priority = 1
		f.dir.ApplyViews(1, nil, nil, time.Now())
		f.dir.ApplyAdmissions(map[string]float64{"warm": 0})
		time.Sleep(10 * time.Second)
		if _, failure := f.serve("stream", "warm", 5*time.Second); failure != nil {
			t.Error(failure)
		}
	})
}
