package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestWordsAreJudged: what reaches a server after it has said something is seen to be too much, from
// instances in touch alone.
func TestWordsAreJudged(t *testing.T) {
	limit, rest, leaving := standin.Words{Limit: "2"}, standin.Words{Rest: "2"}, standin.Words{Leaving: true}
	for name, c := range map[string]struct {
		said    standin.Words
		n       int
		gap     time.Duration
		away    bool // the instance is not in touch
		promise string
	}{
		"limit held":                      {said: limit, n: 40, gap: 400 * time.Millisecond},
		"limit broken":                    {said: limit, n: 40, gap: 200 * time.Millisecond, promise: "a server's limit is held to"},
		"limit broken before it is bound": {said: limit, n: 28, gap: 100 * time.Millisecond},
		"limit broken while not in touch": {said: limit, n: 40, gap: 200 * time.Millisecond, away: true},
		"left alone":                      {said: leaving, n: 5, gap: 500 * time.Millisecond},
		"sent while it leaves":            {said: leaving, n: 6, gap: 510 * time.Millisecond, promise: "a leaving server gets nothing new"},
		"rest":                            {said: rest, n: 10, gap: 1300 * time.Millisecond},
		"no rest":                         {said: rest, n: 10, gap: 300 * time.Millisecond, promise: "a server gets the rest that it asks for"},
		"nothing said":                    {n: 100, gap: time.Millisecond},
	} {
		s := newSeen(2)
		var list []standin.Arrival
		for i := range c.n {
			id := strconv.Itoa(i)
			s.tries[id] = try{id: id, entry: 1, clear: true, inTouch: !c.away}
			list = append(list, standin.Arrival{ID: id, Said: c.said, At: time.Unix(100, 0).Add(time.Duration(i) * c.gap)})
		}
		s.servers["e start 1"] = standin.State{Arrivals: list}
		found := s.saidBreaches()
		switch {
		case c.promise == "" && len(found) > 0:
			t.Errorf("%s: %v", name, found)
		case c.promise != "" && (len(found) == 0 || found[0].Promise != c.promise):
			t.Errorf("%s: %v, want %s", name, found, c.promise)
		}
	}
}
