package balance

import (
	"testing"
	"time"
)

// TestRoomWait: the pause begins with the time of one completion, doubles with each refusal and is bounded.
func TestRoomWait(t *testing.T) {
	for _, c := range []struct {
		latency         time.Duration
		slots, refusals int
		random          float64
		want            time.Duration
	}{
		{2400 * time.Millisecond, 24, 0, 0.5, 100 * time.Millisecond},
		{2400 * time.Millisecond, 24, 1, 0.5, 200 * time.Millisecond},
		{2400 * time.Millisecond, 24, 2, 0.5, 400 * time.Millisecond},
		{2400 * time.Millisecond, 24, 60, 0.5, maxRoomWait},
		{1200 * time.Millisecond, 24, 60, 0.5, 300 * time.Millisecond},
		{1200 * time.Millisecond, 24, 60, 0, 225 * time.Millisecond},
		{time.Millisecond, 24, 0, 0.5, minRoomWait},
		{time.Second, 0, 0, 0.5, 250 * time.Millisecond},
	} {
		if got := roomWait(c.latency, c.slots, c.refusals, c.random); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}

// TestRefusalsOfOneMomentCountOnce: requests that were sent before the first refusal do not prolong the pause, and a
// success ends the series of refusals.
func TestRefusalsOfOneMomentCountOnce(t *testing.T) {
	b := New(DefaultParams())
	first, began := b.RecordFull("a", 24, now)
	again, repeated := b.RecordFull("a", 24, now.Add(time.Millisecond))
	if !began || repeated || again != first {
		t.Errorf("%s %t, then %s %t", first, began, again, repeated)
	}
	if _, began := b.RecordFull("a", 24, first); began {
		t.Error("the second pause is reported as a new one")
	}
	b.Start("a", "")(Succeeded, first.Add(time.Second))
	if _, began := b.RecordFull("a", 24, first.Add(2*time.Second)); !began {
		t.Error("not a new pause after a success")
	}
}
