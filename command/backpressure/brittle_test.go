package backpressure

import (
	"testing"

	"github.com/martenport/martenport/serving"
)

// TestBrittleIsSharedAndEnds checks that what a server states of its rejections reaches other instances, holds for its process
// only, and ends with an answer that does not state it.
func TestBrittleIsSharedAndEnds(t *testing.T) {
	here, there := NewLedger(), NewLedger()
	brittle := serving.Advisory{Server: "e", Born: 1, Brittle: true, Tolerated: 3, SentAt: at(0), ReceivedAt: at(5)}
	if c := here.Observe(brittle, at(5)); !c.Limit {
		t.Error("not recorded as a change")
	}
	snapshots, seen := here.Since(0, at(10))
	there.Merge(snapshots, at(10))
	for name, l := range map[string]*Ledger{"here": here, "there": there} {
		if n, ok := l.Brittle(serving.Server{ID: "e", Born: 1}); !ok || n != 3 {
			t.Errorf("%s: %d, %t", name, n, ok)
		}
		if _, ok := l.Brittle(serving.Server{ID: "e", Born: 2}); ok {
			t.Errorf("%s: holds for the next process", name)
		}
		if _, limited := l.Limit(serving.Server{ID: "e", Born: 1}); limited || l.CountBrittle() != 1 {
			t.Errorf("%s: limited %t, %d brittle", name, limited, l.CountBrittle())
		}
	}
	here.Observe(serving.Advisory{Server: "e", Born: 1, SentAt: at(2000), ReceivedAt: at(2005)}, at(2005))
	snapshots, _ = here.Since(seen, at(2010))
	there.Merge(snapshots, at(2010))
	for name, l := range map[string]*Ledger{"here": here, "there": there} {
		if _, ok := l.Brittle(serving.Server{ID: "e", Born: 1}); ok {
			t.Errorf("%s: brittle after an answer that does not state it", name)
		}
	}
}
