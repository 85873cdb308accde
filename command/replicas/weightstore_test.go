package replicas

import (
	"math"
	"testing"
	"time"
)

// simulatedStore gives a number of concurrent loads full speed, and slows down loads that start beyond it for their whole
// duration.
type simulatedStore struct {
	fullSpeed int
	nominal   time.Duration
	learned   weightStore
	loads     []simulatedLoad
}

type simulatedLoad struct {
	started, promised time.Time
	duration          time.Duration
	concurrency       int
}

// step ends loads that are done and starts as many as the store may have. For each ended load it returns the error of its
// promised duration, as a share of the actual one.
func (s *simulatedStore) step(now time.Time) (promiseErrors []float64) {
	var running []simulatedLoad
	for _, l := range s.loads {
		if now.Sub(l.started) < l.duration {
			s.learned.recordRunning(now.Sub(l.started), s.nominal, l.concurrency, now)
			running = append(running, l)
			continue
		}
		s.learned.recordEnded(now.Sub(l.started)+reportDelay, s.nominal, l.concurrency, now)
		promiseErrors = append(promiseErrors, math.Abs(l.promised.Sub(l.started.Add(l.duration)).Seconds())/l.duration.Seconds())
	}
	s.loads = running
	for len(s.loads) < s.learned.limit() {
		concurrency := len(s.loads) + 1
		takes := time.Duration(float64(s.nominal) * max(1, float64(concurrency)/float64(s.fullSpeed)))
		s.loads = append(s.loads, simulatedLoad{
			started: now, promised: now.Add(s.learned.duration(s.nominal, concurrency)), duration: takes, concurrency: concurrency,
		})
	}
	return promiseErrors
}

// TestWeightStoreSpeedIsLearned: any number of concurrent loads with full speed is learned within a few loads. After that
// this many loads run, and their expected durations are right.
func TestWeightStoreSpeedIsLearned(t *testing.T) {
	for _, full := range []int{1, 2, 4, 6, 16} {
		now := time.Unix(1000, 0)
		s := simulatedStore{fullSpeed: full, nominal: 6 * time.Second, learned: weightStore{fullSpeedLoads: DefaultParams().RemoteConcurrency}}
		wrong, total := 0, 0
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			for _, promiseError := range s.step(now) {
				total++
				if promiseError > 0.2 {
					wrong++
				}
			}
		}
		if got := s.learned.limit(); got > full || got < full-1 {
			t.Errorf("full speed for %d concurrent loads: %d allowed after a minute", full, got)
		}
		if 2*wrong > total {
			t.Errorf("full speed for %d concurrent loads: %d of %d promised durations wrong by more than a fifth", full, wrong, total)
		}
	}
}

// TestSlowLoadIsDetectedWhileRunning: that loads share the bandwidth is learned before they end.
func TestSlowLoadIsDetectedWhileRunning(t *testing.T) {
	now := time.Unix(1000, 0)
	w := weightStore{fullSpeedLoads: 4}
	w.recordRunning(12*time.Second, 13*time.Second, 4, now)
	if w.limit() != 4 {
		t.Errorf("%d concurrent loads allowed before any is late, want 4", w.limit())
	}
	w.recordRunning(26*time.Second+reportDelay, 13*time.Second, 4, now)
	if w.limit() != 2 {
		t.Errorf("%d concurrent loads allowed after the last of four takes twice its duration, want 2", w.limit())
	}
	if got := w.duration(13*time.Second, 4); got != 26*time.Second {
		t.Errorf("last of four loads is expected to take %s, want 26 s", got)
	}
}

// TestSlowLoadWithoutSharingIsIgnored: a slow load that ran alone, and a short load whose end is observed late, do not
// lower the allowed concurrency.
func TestSlowLoadWithoutSharingIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	w := weightStore{fullSpeedLoads: 4}
	w.recordEnded(30*time.Second, 10*time.Second, 1, now)
	w.recordRunning(30*time.Second, 10*time.Second, 1, now)
	w.recordEnded(2*time.Second+reportDelay, 2*time.Second, 3, now)
	if w.limit() != 4 {
		t.Errorf("%d concurrent loads allowed, want 4", w.limit())
	}
}

// TestSlowConcurrencyIsRetried: a number of concurrent loads that was slow is not tried again for a while, and is tried
// afterwards.
func TestSlowConcurrencyIsRetried(t *testing.T) {
	now := time.Unix(1000, 0)
	w := weightStore{fullSpeedLoads: 2}
	w.recordEnded(20*time.Second, 10*time.Second, 2, now)
	w.recordEnded(10*time.Second, 10*time.Second, 1, now.Add(time.Second))
	if w.limit() != 1 {
		t.Errorf("%d concurrent loads allowed right after two were slow, want 1", w.limit())
	}
	w.recordEnded(10*time.Second, 10*time.Second, 1, now.Add(slowRetryInterval+time.Second))
	if w.limit() != 2 {
		t.Errorf("%d concurrent loads allowed long after two were slow, want 2", w.limit())
	}
}
