package boundedlog

import (
	"testing"
	"time"
)

// TestServerLinesAreBounded guards against a log line for each answer of a server, or none about others meanwhile.
func TestServerLinesAreBounded(t *testing.T) {
	l, start := NewLines(time.Second), time.Now()
	lines, omitted := 0, 0
	for ms := range 2500 {
		if n, due := l.Due("a", start.Add(time.Duration(ms)*time.Millisecond)); due {
			lines, omitted = lines+1, omitted+n
		}
	}
	if lines != 3 || omitted != 1998 {
		t.Errorf("%d lines, %d omitted before them; want 3 and 1998", lines, omitted)
	}
	if _, due := l.Due("b", start); !due {
		t.Error("no line about another server")
	}
}
