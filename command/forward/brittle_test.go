package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestBrittleServersWithoutRoomRefuseInTime guards against requests that are held to their deadline, or sent to servers that end
// if they have to reject them.
func TestBrittleServersWithoutRoomRefuseInTime(t *testing.T) {
	for route, model := range map[string]string{"safe": "", "unsafe": "", "stream": "warm", "once": "warm"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, reply{status: 503, notExecuted: true})
			f.limiter.brittle = map[string]int{"s1": 2, "s2": 2, "s3": 2, "e1": 2, "e2": 2}
			f.placer.place = Place{Engine: "e1", Ready: time.Now()}
			_, _ = f.serve(route, model, 0) // each server rejects it once
			sends := len(f.servers.attempts)
			begun := time.Now()
			_, failure := f.serve(route, model, 0)
			if failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter < time.Second {
				t.Errorf("%s: %+v, want a refusal with a Retry-After", route, failure)
			}
			if held := time.Since(begun); held > 2*maxBrittleWait {
				t.Errorf("%s: held for %s", route, held)
			}
			if len(f.servers.attempts) > sends {
				t.Errorf("%s: sent %d times to servers that had no room a moment ago", route, len(f.servers.attempts)-sends)
			}
		})
	}
}

// TestRefusalForBrittleServersTellsWhenToReturn guards against a Retry-After in the past where the room at brittle servers is taken
// by other requests (soak seed 127).
func TestRefusalForBrittleServersTellsWhenToReturn(t *testing.T) {
	for route, model := range map[string]string{"safe": "", "unsafe": "", "stream": "warm", "once": "warm"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, reply{status: 200, body: "done"})
			f.limiter.brittle = map[string]int{}
			for _, s := range f.dir.All() {
				f.limiter.brittle[s.ID] = 2
				f.forwarder.gate.Begin(s.ID)
			}
			f.placer.place, f.placer.delay = Place{Engine: "e1", Ready: time.Now()}, 45*time.Millisecond
			begun := time.Now()
			_, failure := f.serve(route, model, 0)
			if failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter < time.Second {
				t.Errorf("%s: %+v, want a refusal with a Retry-After", route, failure)
			}
			if held := time.Since(begun); held > 2*maxBrittleWait || len(f.servers.attempts) > 0 {
				t.Errorf("%s: held for %s, sent %d times", route, held, len(f.servers.attempts))
			}
		})
	}
}

// TestHeldBackUntilDeadlineTellsWhenToReturn guards against a refusal without a Retry-After of a request that servers held
// back while it waited for a place, until its time was over (soak seed 103).
func TestHeldBackUntilDeadlineTellsWhenToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, body: "done"})
		f.limiter.brittle = map[string]int{}
		for _, s := range f.dir.All() {
			f.limiter.brittle[s.ID] = 2
			f.forwarder.gate.Begin(s.ID)
		}
		f.placer.place, f.placer.delay = Place{Engine: "e1", Ready: time.Now()}, time.Minute
		_, failure := f.serve("stream", "warm", 2*time.Second)
		if failure == nil || failure.Reason != verdict.ReasonDeadline || failure.RetryAfter < time.Second {
			t.Errorf("%+v, want a refusal with a Retry-After", failure)
		}
	})
}
