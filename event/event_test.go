package event

import (
	"testing"

	"pgregory.net/rapid"
)

// TestCauseBeforeEffect: whatever stamps processes exchange, a stamp taken
// after another was observed is later.
func TestCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := []*Clock{{}, {}, {}}
		last := Stamp{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			c := clocks[rapid.IntRange(0, 2).Draw(t, "clock")]
			ahead := Stamp{Wall: last.Wall + rapid.Int64Range(0, 1e12).Draw(t, "skew"), Logical: last.Logical}
			next := c.Observe(ahead)
			if next.Compare(ahead) <= 0 {
				t.Fatalf("%v is not after %v", next, ahead)
			}
			last = next
		}
	})
}

func TestRingKeepsTheNewest(t *testing.T) {
	r := NewRecorder("p", &Clock{}, 3, nil)
	for _, m := range []string{"a", "b", "a", "c", "a"} {
		r.Record(Event{Kind: KindWake, Model: m})
	}
	if got := r.Select(Filter{}); len(got) != 3 || got[0].Model != "a" || got[1].Model != "c" {
		t.Errorf("%v", got)
	}
	if got := r.Select(Filter{Model: "a", Limit: 1}); len(got) != 1 || got[0].Process != "p" {
		t.Errorf("%v", got)
	}
}
