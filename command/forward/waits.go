package forward

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// waitTimes records what one request has waited for and for how long.
type waitTimes struct {
	// current is the cause of the current wait, and durations the time waited for each cause.
	current   serving.Wait
	durations map[serving.Wait]time.Duration
	// estimate is the first estimate of the waiting time.
	estimate time.Duration
}

// setCause sets the cause of the current wait. WaitLoad is set only if no cause is known yet: it is
// less specific than the others.
func (w *waitTimes) setCause(cause serving.Wait) {
	if cause != "" && (cause != serving.WaitLoad || w.current == "") {
		w.current = cause
	}
}

// setEstimate records the estimated waiting time; only the first estimate is kept.
func (w *waitTimes) setEstimate(wait time.Duration) {
	if w.estimate == 0 {
		w.estimate = wait
	}
}

// add adds to the time waited for the current cause.
func (w *waitTimes) add(d time.Duration) {
	if w.durations == nil {
		w.durations = map[serving.Wait]time.Duration{}
	}
	w.durations[w.current] += d
}

// total returns the total waiting time.
func (w *waitTimes) total() time.Duration {
	total := time.Duration(0)
	for _, d := range w.durations {
		total += d
	}
	return total
}

// longestCause returns the cause that the request waited for longest. If the request did not wait,
// it is the cause of its immediate refusal, or empty.
func (w *waitTimes) longestCause() serving.Wait {
	if len(w.durations) == 0 {
		return w.current
	}
	var longest serving.Wait
	for cause, d := range w.durations {
		if longest == "" || d > w.durations[longest] {
			longest = cause
		}
	}
	return longest
}

// recordEstimateError records the error of the first estimate.
func (w *waitTimes) recordEstimateError(counts *Counts) {
	if w.estimate > 0 {
		counts.waitEstimateError(w.estimate, w.total())
	}
}
