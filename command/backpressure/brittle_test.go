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

// TestNewcomersOfBrittleServiceAreBrittle guards against servers that end because nobody has heard from them yet that they are
// brittle, while others of their service say so.
func TestNewcomersOfBrittleServiceAreBrittle(t *testing.T) {
	here, there := NewLedger(), NewLedger()
	state := func(server string, born int64, brittle bool, tolerated, ms int) {
		here.Observe(serving.Advisory{Server: server, Service: "llm", Born: born, Brittle: brittle, Tolerated: tolerated, SentAt: at(ms), ReceivedAt: at(ms + 5)}, at(ms+5))
		snapshots, _ := here.Since(0, at(ms+10))
		there.Merge(snapshots, at(ms+10))
	}
	check := func(what, id, service string, born int64, want int) {
		t.Helper()
		for name, l := range map[string]*Ledger{"here": here, "there": there} {
			n, ok := l.Brittle(serving.Server{ID: id, Service: service, Born: born})
			if ok != (want >= 0) || ok && n != want {
				t.Errorf("%s, %s: %d, %t, want %d", what, name, n, ok, want)
			}
		}
	}
	check("nothing stated", "new", "llm", 9, -1)
	state("e1", 1, true, 4, 0)
	state("e2", 1, true, 3, 100)
	check("a new server", "new", "llm", 9, 3)
	check("the next process", "e1", "llm", 2, 3)
	check("another service", "new", "plain", 9, -1)
	state("new", 9, false, 0, 200)
	if _, ok := here.Brittle(serving.Server{ID: "new", Service: "llm", Born: 9}); ok {
		t.Error("brittle after an answer that does not state it")
	}
	state("e1", 1, true, 4, 3000)
	check("others have stated it since", "new", "llm", 9, 3)
	state("e1", 1, false, 0, 6000)
	state("e2", 1, false, 0, 6000)
	check("withdrawn by all", "new", "llm", 9, -1)
}
