package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspension: time goes on while the machine is suspended; noise of reading the clocks,
// and a reading that took long, is no suspension.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jump, ok := time.Duration(0), true
		defer Replace(func() (time.Duration, bool) { return jump, ok })()
		began := Exact()
		step := func(to time.Duration, readable bool, want time.Duration) {
			t.Helper()
			jump, ok = to, readable
			if got := Exact().Sub(began); got != want {
				t.Errorf("%s after the start, want %s", got, want)
			}
		}
		step(0, true, 0)
		step(leastSuspension-1, true, 0)
		step(3*time.Second, false, 0)
		step(3*time.Second, true, 3*time.Second)
		step(3*time.Second+time.Millisecond, true, 3*time.Second)
		step(3*time.Second-time.Millisecond, true, 3*time.Second)
		step(8*time.Second, true, 8*time.Second)
		jump = 9 * time.Second
		time.Sleep(lookInterval)
		if got, want := Since(began), 9*time.Second+lookInterval; got != want {
			t.Errorf("Now is %s after the start, want %s", got, want)
		}
		if got := Until(began.Add(10 * time.Second)); got != time.Second-lookInterval {
			t.Errorf("%s until ten seconds after the start", got)
		}
	})
}

// TestReal: without a suspension the time is that of the steady clock.
func TestReal(t *testing.T) {
	before := time.Now()
	if got := Exact(); got.Before(before) || got.After(time.Now()) {
		t.Errorf("%s is not the time", got)
	}
}
