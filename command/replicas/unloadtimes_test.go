package replicas

import (
	"testing"
	"time"
)

// TestUnloadTimeIsLearned: regardless of how long engines take to unload, after some loads the next order is sent shortly
// after the unload, and few orders are refused.
func TestUnloadTimeIsLearned(t *testing.T) {
	for _, unloadTime := range []time.Duration{20 * time.Millisecond, 55 * time.Millisecond, 110 * time.Millisecond} {
		p := unloadTimes{idle: 60 * time.Millisecond, inUse: 2 * time.Second}
		const retryInterval = 20 * time.Millisecond
		refused, late := 0, time.Duration(0)
		for i := range 400 {
			elapsed, retries := p.idle, 0
			for elapsed < unloadTime {
				elapsed += retryInterval
				retries++
			}
			if i >= 200 {
				refused += retries
				late += elapsed - unloadTime
			}
			p.observe(elapsed, retries, false)
		}
		if refused > 30 || late > 200*10*time.Millisecond {
			t.Errorf("unloads of %s: %d of 200 orders refused, %s late on average", unloadTime, refused, late/200)
		}
	}
}

// TestUnloadTimeOfCopiesInUse: unloads that wait for requests do not change the estimate for idle copies.
func TestUnloadTimeOfCopiesInUse(t *testing.T) {
	p := unloadTimes{idle: 60 * time.Millisecond, inUse: 2 * time.Second}
	for range 50 {
		p.observe(700*time.Millisecond, 5, true)
		p.observe(600*time.Millisecond, 4, false) // a request arrived meanwhile
		for range 8 {
			p.observe(p.idle, 0, false)
		}
	}
	if p.idle > 60*time.Millisecond {
		t.Errorf("unload of an idle copy is expected to take %s", p.idle)
	}
	if p.inUse < 600*time.Millisecond || p.inUse > 700*time.Millisecond {
		t.Errorf("unload of a copy in use is expected to take %s", p.inUse)
	}
}
