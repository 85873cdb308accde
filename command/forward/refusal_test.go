package forward

import (
	"testing"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// TestDrawFor checks that a place is asked for within half of the objective and within the time for which
// clients honour Retry-After, also for requests without objective, deadline or fingerprint.
func TestDrawFor(t *testing.T) {
	const fingerprint = serving.Fingerprint("00000000000000ff0123456789abcdef")
	for name, c := range map[string]struct {
		route        serving.Route
		timeout      time.Duration
		fingerprint  serving.Fingerprint
		request      uint64
		within, left time.Duration
	}{
		"urgent":                 {serving.Route{Objective: time.Second, Timeout: 9 * time.Second}, 0, fingerprint, 255, 500 * time.Millisecond, 3 * time.Second},
		"returning, little left": {serving.Route{Objective: 5 * time.Second, Timeout: 9 * time.Second}, 3 * time.Second, fingerprint, 255, 2500 * time.Millisecond, time.Second},
		"no objective":           {serving.Route{Timeout: 9 * time.Second}, 0, fingerprint, 255, 3 * time.Second, 3 * time.Second},
		"nothing known":          {serving.Route{}, 0, "", 0, defaultTimeout / 3, defaultTimeout / 3},
		"bad fingerprint":        {serving.Route{}, 0, "not hexadecimal", 0, defaultTimeout / 3, defaultTimeout / 3},
	} {
		r := &serving.Request{Arrived: clock.Now(), Timeout: c.timeout, Fingerprint: c.fingerprint}
		d := drawFor(&c.route, r, 7)
		const tolerance = 100 * time.Millisecond
		if d.Cost != 7 || d.Request != c.request || (d.Within-c.within).Abs() > tolerance || (d.Left-c.left).Abs() > tolerance {
			t.Errorf("%s: %+v, want request %d within %s of %s", name, d, c.request, c.within, c.left)
		}
	}
}
