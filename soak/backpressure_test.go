package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestBackpressureChecksFindViolations: the checks must find requests beyond a reported limit, rest or leaving
// server, and must ignore requests of instances that are not stable, which may not know the report.
func TestBackpressureChecksFindViolations(t *testing.T) {
	limit, rest, leaving := standin.Backpressure{Limit: "2"}, standin.Backpressure{Rest: "2"}, standin.Backpressure{Leaving: true}
	for name, c := range map[string]struct {
		signals   standin.Backpressure
		n         int
		gap       time.Duration
		unstable  bool // the instance is not stable
		guarantee string
	}{
		"limit held":                      {signals: limit, n: 40, gap: 400 * time.Millisecond},
		"limit broken":                    {signals: limit, n: 40, gap: 200 * time.Millisecond, guarantee: "a server's limit is held to"},
		"limit broken before it is bound": {signals: limit, n: 28, gap: 100 * time.Millisecond},
		"limit broken while not in touch": {signals: limit, n: 40, gap: 200 * time.Millisecond, unstable: true},
		"left alone":                      {signals: leaving, n: 5, gap: 500 * time.Millisecond},
		"sent while it leaves":            {signals: leaving, n: 6, gap: 510 * time.Millisecond, guarantee: "a leaving server gets nothing new"},
		"rest":                            {signals: rest, n: 10, gap: 1300 * time.Millisecond},
		"no rest":                         {signals: rest, n: 10, gap: 300 * time.Millisecond, guarantee: "a server gets the rest that it asks for"},
		"nothing said":                    {n: 100, gap: time.Millisecond},
	} {
		s := newHistory(2)
		var list []standin.Arrival
		for i := range c.n {
			id := strconv.Itoa(i)
			s.requests[id] = clientRequest{id: id, entry: 1, undisturbed: true, entryStable: !c.unstable}
			list = append(list, standin.Arrival{ID: id, Said: c.signals, At: time.Unix(100, 0).Add(time.Duration(i) * c.gap)})
		}
		s.servers["e start 1"] = standin.State{Arrivals: list}
		found := s.backpressureViolations()
		switch {
		case c.guarantee == "" && len(found) > 0:
			t.Errorf("%s: got violations %v, want none", name, found)
		case c.guarantee != "" && (len(found) == 0 || found[0].Guarantee != c.guarantee):
			t.Errorf("%s: got violations %v, want %s", name, found, c.guarantee)
		}
	}
}
