package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPacerBounds: whatever the requests and the durations of the runs, no request waits longer than the maximum
// pause, and the pauses take at least their share.
func TestPacerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := PacerParams{PauseFactor: rapid.Float64Range(0, 10).Draw(t, "factor"), MaxPause: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "max"))}
		p := NewPacer(params)
		now := time.Unix(1000, 0)
		var ended time.Time
		var took time.Duration
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "gap")))
			allowed := p.Request(now)
			pause := min(params.MaxPause, time.Duration(params.PauseFactor*float64(took)))
			if !ended.IsZero() && allowed != (now.Sub(ended) >= pause) {
				t.Fatalf("allowed %t, %s after a run whose pause is %s", allowed, now.Sub(ended), pause)
			}
			at, pending := p.Due()
			if pending == allowed {
				t.Fatalf("allowed %t and due %t", allowed, pending)
			}
			if !allowed {
				if at.Sub(now) > params.MaxPause {
					t.Fatalf("due in %s, more than %s", at.Sub(now), params.MaxPause)
				}
				continue
			}
			took = time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "took"))
			ended, took = now.Add(max(0, took)), max(0, took)
			now = ended
			p.Ran(ended, took)
		}
	})
}

// TestPacerOtherRunCoversRequests: a run made for another reason leaves nothing pending.
func TestPacerOtherRunCoversRequests(t *testing.T) {
	p, now := NewPacer(PacerParams{PauseFactor: 4, MaxPause: time.Second}), time.Unix(1000, 0)
	p.Ran(now, 10*time.Millisecond)
	if p.Request(now.Add(time.Millisecond)) {
		t.Fatal("allowed within the pause")
	}
	p.Ran(now.Add(2*time.Millisecond), time.Millisecond)
	if _, pending := p.Due(); pending {
		t.Error("a request is pending after a run")
	}
}
