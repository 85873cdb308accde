package brittle

import (
	"time"
)

const (
	// turnoverWindow is the time over which ends and refusals are counted.
	turnoverWindow = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused request is to return.
	minRetryAfter, maxRetryAfter = 200 * time.Millisecond, 3 * time.Second
)

// turnover estimates when a server has room for a refused request: when as many requests have ended as were refused
// before it.
type turnover struct{ ended, refused []time.Time }

// end records the end of a request.
func (t *turnover) end(now time.Time) { t.ended = append(recent(t.ended, now), now) }

// refuse records a refusal, and returns the time after which the request is to return.
func (t *turnover) refuse(now time.Time) time.Duration {
	t.ended, t.refused = recent(t.ended, now), append(recent(t.refused, now), now)
	wait := turnoverWindow * time.Duration(len(t.refused)) / time.Duration(max(1, len(t.ended)))
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// recent returns the times within turnoverWindow.
func recent(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= turnoverWindow {
		times = times[1:]
	}
	return times
}
