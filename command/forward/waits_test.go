package forward

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/serving"
)

// TestWaitTimes: the cause that a request waited for longest is reported, WaitLoad only if no other
// cause is known, and the cause of an immediate refusal if the request did not wait.
func TestWaitTimes(t *testing.T) {
	var w waitTimes
	if w.longestCause() != "" || w.total() != 0 {
		t.Errorf("waited %s for %q before it began", w.total(), w.longestCause())
	}
	w.setCause(serving.WaitLoad)
	w.setCause(serving.WaitCopies)
	if w.longestCause() != serving.WaitCopies {
		t.Errorf("refused for %q", w.longestCause())
	}
	w.add(300 * time.Millisecond)
	w.setCause(serving.WaitLoad)
	w.add(300 * time.Millisecond)
	w.setCause(serving.WaitHolder)
	w.add(500 * time.Millisecond)
	if w.longestCause() != serving.WaitCopies || w.total() != 1100*time.Millisecond {
		t.Errorf("waited %s, longest for %q", w.total(), w.longestCause())
	}
}

// TestWaitEstimateError: the difference between the first estimate and the actual wait is recorded
// in the histogram for its sign.
func TestWaitEstimateError(t *testing.T) {
	counts := NewCounts(metrics.NewSet())
	for _, waited := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
		var w waitTimes
		w.setEstimate(2 * time.Second)
		w.setEstimate(time.Minute) // only the first estimate counts
		w.add(waited)
		w.recordEstimateError(counts)
	}
	observed := map[*metrics.Histogram]int{}
	for _, h := range []*metrics.Histogram{counts.waitedLonger, counts.waitedShorter} {
		h.VisitNonZeroBuckets(func(_ string, n uint64) { observed[h] += int(n) })
	}
	if observed[counts.waitedLonger] != 2 || observed[counts.waitedShorter] != 1 {
		t.Errorf("%d longer and %d shorter, want 2 and 1", observed[counts.waitedLonger], observed[counts.waitedShorter])
	}
}

// TestTotalsConsistent: at any time each accepted request is counted once, either as running or by
// its outcome. Guards against a request that has just ended being counted twice, by its outcome and
// by its connection; found in CI on a loaded machine.
func TestTotalsConsistent(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	stop := make(chan struct{})
	inconsistent := make(chan Totals, 1)
	go func() {
		defer close(inconsistent)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if c := f.forwarder.counts.Totals(); c.Running < 0 || c.Accepted != c.Answered+c.Refused+c.Failed+c.Cancelled+c.Running {
				inconsistent <- c
				return
			}
		}
	}()
	for range 200 {
		f.serve("safe", "", 0)
		f.serve("nowhere", "", 0)
	}
	close(stop)
	if c, found := <-inconsistent; found {
		t.Errorf("%+v do not add up", c)
	}
	if c := f.forwarder.counts.Totals(); c.Accepted != 400 || c.Answered != 200 || c.Refused != 200 {
		t.Errorf("%+v, want 200 answered and 200 refused", c)
	}
}
