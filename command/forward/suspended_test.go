package forward

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/verdict"
)

// TestSuspendedInstance: a request that waits for a load while the machine is suspended is sent
// with the time remaining by the client's clock, and is not sent if that time has passed.
func TestSuspendedInstance(t *testing.T) {
	tests := map[string]struct {
		suspended    time.Duration
		sends        int
		maxRemaining time.Duration
	}{
		"not at all": {0, 1, 3700 * time.Millisecond},
		"for a time": {2 * time.Second, 1, 1700 * time.Millisecond},
		"for longer": {5 * time.Second, 0, 0},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			var ahead atomic.Int64
			defer clock.ReplaceOffsetReader(func() (time.Duration, bool) { return time.Duration(ahead.Load()), true })()
			f := newFixture(t, reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"})
			f.placer.place = Place{Engine: "e1", Ready: clock.Now().Add(300 * time.Millisecond)}
			go func() {
				time.Sleep(100 * time.Millisecond)
				ahead.Store(int64(test.suspended))
			}()
			_, failure := f.serve("stream", "cold", 4*time.Second)
			if len(f.servers.attempts) != test.sends {
				t.Fatalf("%s: %d sends, want %d (%v)", name, len(f.servers.attempts), test.sends, failure)
			}
			if test.sends == 0 {
				if failure == nil || failure.Reason != verdict.ReasonDeadline || failure.Verdict != verdict.NotRun || failure.RetryAfter <= 0 {
					t.Errorf("%s: %+v, want a refusal for the deadline that tells when to return", name, failure)
				}
				return
			}
			if left := f.servers.attempts[0].Remaining; left > test.maxRemaining {
				t.Errorf("%s: sent with %s remaining, want at most %s", name, left, test.maxRemaining)
			}
		})
	}
}
