package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspension checks that time passes while the machine is suspended, and that small differences
// between the two clocks and readings that took too long do not count as suspensions.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		offset, ok := time.Duration(0), true
		defer ReplaceOffsetReader(func() (time.Duration, bool) { return offset, ok })()
		began := Exact()
		step := func(newOffset time.Duration, readable bool, want time.Duration) {
			t.Helper()
			offset, ok = newOffset, readable
			if got := Exact().Sub(began); got != want {
				t.Errorf("%s after the start, want %s", got, want)
			}
		}
		step(0, true, 0)
		step(minSuspension-1, true, 0)
		step(3*time.Second, false, 0)
		step(3*time.Second, true, 3*time.Second)
		step(3*time.Second+time.Millisecond, true, 3*time.Second)
		step(3*time.Second-time.Millisecond, true, 3*time.Second)
		step(8*time.Second, true, 8*time.Second)
		offset = 9 * time.Second
		time.Sleep(checkInterval)
		if got, want := Since(began), 9*time.Second+checkInterval; got != want {
			t.Errorf("Now is %s after the start, want %s", got, want)
		}
		if got := Until(began.Add(10 * time.Second)); got != time.Second-checkInterval {
			t.Errorf("%s until ten seconds after the start", got)
		}
	})
}

// TestNoSuspension checks that without a suspension the time is that of the monotonic clock.
func TestNoSuspension(t *testing.T) {
	before := time.Now()
	if got := Exact(); got.Before(before) || got.After(time.Now()) {
		t.Errorf("%s is not the current time", got)
	}
}
