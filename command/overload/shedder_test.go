package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testInterval = 50 * time.Millisecond
	testBalancer = 2500 * time.Millisecond
	testBearable = 40 * time.Millisecond
)

// instance plays an instance whose pauses take longer than planned.
type instance struct {
	lag     Lag
	shedder *Shedder
	start   time.Time
	now     time.Time
	shed    time.Duration
	begun   int
}

func newInstance() *instance {
	start := time.Unix(1000, 0)
	return &instance{shedder: NewShedder(DefaultShedderParams(testBalancer), start), start: start, now: start}
}

// run plays pauses with a delay until a time after the start.
func (i *instance) run(until, delay time.Duration) {
	for i.now.Sub(i.start) < until {
		i.pause(delay, 0)
	}
}

// pause plays one pause with a delay, during which the machine is suspended for a while.
func (i *instance) pause(delay, suspended time.Duration) {
	took := testInterval + delay
	was := i.shedder.Shedding()
	i.now = i.now.Add(took + suspended)
	if was {
		i.shed += took + suspended
	}
	if !i.lag.Observe(i.now, testInterval, took) {
		i.shedder.Interrupted(i.now)
		return
	}
	if i.shedder.Update(i.lag.Value(), testBearable, i.now) && i.shedder.Shedding() {
		i.begun++
	}
}

// TestShedsWhileLagging: an instance that lags sheds, bounded in time, and is ready for long in between; connections
// are closed only once the load balancer sends new ones elsewhere.
func TestShedsWhileLagging(t *testing.T) {
	i := newInstance()
	p := DefaultShedderParams(testBalancer)
	i.run(p.MinReady-testInterval, 2*testBearable)
	if i.shedder.Shedding() {
		t.Fatal("sheds right after its start")
	}
	for !i.shedder.Shedding() && i.now.Sub(i.start) < 2*p.MinReady {
		i.pause(2*testBearable, 0)
	}
	if !i.shedder.Shedding() || i.shedder.Closing(i.now) {
		t.Fatalf("shedding %t, closing %t, want shedding alone", i.shedder.Shedding(), i.shedder.Closing(i.now))
	}
	if !i.shedder.Closing(i.now.Add(testBalancer)) {
		t.Error("closes no connections once the load balancer knows")
	}
	i.run(10*time.Minute, 2*testBearable)
	share := i.shed.Seconds() / (10 * time.Minute).Seconds()
	if i.begun < 5 || share > 0.105 {
		t.Errorf("shed %d times, for %.3f of the time, want about a tenth", i.begun, share)
	}
}

// TestNoShortageNoShedding: single delays, however long, and lag below the bound do not count.
func TestNoShortageNoShedding(t *testing.T) {
	i := newInstance()
	for n := 0; i.now.Sub(i.start) < 5*time.Minute; n++ {
		delay := testBearable - time.Millisecond
		if n%6 == 0 {
			delay = 900 * time.Millisecond
		}
		i.pause(delay, 0)
	}
	if i.begun != 0 {
		t.Errorf("shed %d times", i.begun)
	}
}

// TestFrozenMachineIsNoLag: neither suspensions nor a frozen process count, and either ends shedding.
func TestFrozenMachineIsNoLag(t *testing.T) {
	for _, c := range []struct {
		name             string
		delay, suspended time.Duration
	}{{"suspended", 0, 10 * time.Second}, {"frozen", 10 * time.Second, 0}, {"clock jumps ahead", 0, time.Hour}, {"clock jumps back", 0, -time.Minute}} {
		i := newInstance()
		for i.begun == 0 && i.now.Sub(i.start) < 5*time.Minute {
			i.pause(2*testBearable, 0)
		}
		if !i.shedder.Shedding() {
			t.Fatal("not shedding")
		}
		i.pause(c.delay, c.suspended)
		if i.shedder.Shedding() || i.lag.Value() != 0 {
			t.Errorf("%s: shedding %t, lag %s, want neither", c.name, i.shedder.Shedding(), i.lag.Value())
		}
		i = newInstance()
		i.run(time.Minute, 0)
		for range 50 {
			i.pause(c.delay, c.suspended)
		}
		i.run(i.now.Sub(i.start)+time.Minute, 0)
		if i.begun != 0 {
			t.Errorf("%s: shed %d times", c.name, i.begun)
		}
	}
}

// TestSheddingBounded: whatever the lag does, shedding lasts no longer than its maximum, begins only after the minimum
// time of being ready, and never without objectives.
func TestSheddingBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultShedderParams(testBalancer)
		now := time.Unix(1000, 0)
		s := NewShedder(p, now)
		changed := now
		for range rapid.IntRange(1, 300).Draw(t, "updates") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "gap")))
			lag := time.Duration(rapid.Int64Range(0, int64(4*testBearable)).Draw(t, "lag"))
			bearable := time.Duration(rapid.SampledFrom([]int64{0, int64(testBearable), int64(testBearable), int64(testBearable), int64(testBearable)}).Draw(t, "bearable"))
			was := s.Shedding()
			if !s.Update(lag, bearable, now) {
				if was && now.Sub(changed) >= p.MaxDuration {
					t.Fatalf("still shedding after %s", now.Sub(changed))
				}
				continue
			}
			if s.Shedding() && (bearable == 0 || now.Sub(changed) < p.MinReady) {
				t.Fatalf("sheds %s after the last time, bearable %s", now.Sub(changed), bearable)
			}
			if !s.Shedding() && bearable > 0 && now.Sub(changed) < p.MinDuration {
				t.Fatalf("shed for only %s", now.Sub(changed))
			}
			changed = now
		}
	})
}

// TestBearableLag: the bound follows the shortest objective, is lower at the holder, and absent without objectives.
func TestBearableLag(t *testing.T) {
	for _, c := range []struct {
		objective time.Duration
		holder    bool
		want      time.Duration
	}{{0, false, 0}, {0, true, 0}, {-time.Second, true, 0}, {time.Millisecond, false, minBearableLag}, {800 * time.Millisecond, false, 100 * time.Millisecond}, {800 * time.Millisecond, true, 50 * time.Millisecond}} {
		if got := BearableLag(c.objective, c.holder); got != c.want {
			t.Errorf("objective %s, holder %t: %s, want %s", c.objective, c.holder, got, c.want)
		}
	}
}
