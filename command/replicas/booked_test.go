package replicas

import (
	"math"
	"testing"
	"time"
)

// TestServedRateTooLowAfterStart guards against waits told to clients that are several times too long since a holder
// averages over a time in which it did not run.
func TestServedRateTooLowAfterStart(t *testing.T) {
	const step, perStep = 100 * time.Millisecond, 4
	start := time.Unix(1000, 0)
	f := testFleet(start, testSpec("m1"), []string{"m1"})
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		f.RecordArrivals("m1", Arrivals{Count: 2 * perStep, Weight: 1, Deferrable: 2 * perStep, Served: perStep}, now)
		if now.Sub(start) < 5*step {
			continue
		}
		const want = perStep / 0.1
		if rate := f.ServedRate("m1", now); math.Abs(rate-want) > 0.25*want {
			t.Errorf("%.0f requests per second after %s, want about %.0f", rate, now.Sub(start), want)
		}
		if share := f.LessBooked("m1", 0.5, want/2, now); math.Abs(share-0.25) > 0.06 {
			t.Errorf("a share of %.2f after %s with a quarter booked, want about .25", share, now.Sub(start))
		}
	}
}
