package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestOverloadRefusedImmediately: a request for a model whose demand exceeds the capacity of its
// engines is refused immediately as not run, with a Retry-After. Requests of the highest priority
// and requests for other models are sent.
func TestOverloadRefusedImmediately(t *testing.T) {
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
				t.Errorf("%s: %v after %s, want refused %t, immediately", c.name, failure, time.Since(start), c.refused)
			}
			if failure == nil {
				continue
			}
			if failure.Verdict != verdict.NotRun || failure.Reason != verdict.ReasonQueueFull || failure.RetryAfter != overloadRetryAfter {
				t.Errorf("%s: %+v, want not run, with a Retry-After", c.name, failure)
			}
			if len(f.servers.attempts) != 0 {
				t.Errorf("%s: %d sends", c.name, len(f.servers.attempts))
			}
		}
	})
}

// TestOutdatedAdmissionIgnored: the holder's last admission share for a model is not applied if the
// holder has been silent for a long time.
func TestOutdatedAdmissionIgnored(t *testing.T) {
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
