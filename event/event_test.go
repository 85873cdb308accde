package event

import (
	"testing"

	"pgregory.net/rapid"
)

// TestCauseBeforeEffect checks that the stamp returned by Observe is later than the
// observed one, for any sequence of clocks and clock skews.
func TestCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := []*Clock{{}, {}, {}}
		last := Stamp{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			c := clocks[rapid.IntRange(0, 2).Draw(t, "clock")]
			observed := Stamp{Wall: last.Wall + rapid.Int64Range(0, 1e12).Draw(t, "skew"), Logical: last.Logical}
			next := c.Observe(observed)
			if next.Compare(observed) <= 0 {
				t.Fatalf("stamp %v is not after the observed stamp %v", next, observed)
			}
			last = next
		}
	})
}

// TestRecorderKeepsNewest checks that a full Recorder drops the oldest events, and
// that filters and limits apply.
func TestRecorderKeepsNewest(t *testing.T) {
	r := NewRecorder("p", &Clock{}, 3, nil)
	for _, m := range []string{"a", "b", "a", "c", "a"} {
		r.Record(Event{Kind: KindWake, Model: m})
	}
	if got := r.Select(Filter{}); len(got) != 3 || got[0].Model != "a" || got[1].Model != "c" {
		t.Errorf("kept events %v, want a, c, a", got)
	}
	if got := r.Select(Filter{Model: "a", Limit: 1}); len(got) != 1 || got[0].Process != "p" {
		t.Errorf("selected events %v, want one of process p", got)
	}
}
