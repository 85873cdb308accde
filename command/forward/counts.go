package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/verdict"
)

// Counts are the counters and the latency histogram of requests.
type Counts struct {
	set      *metrics.Set
	answered *metrics.Counter
	seconds  *metrics.Histogram
}

// NewCounts returns Counts in set.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		set: set, answered: set.NewCounter(`martenport_requests_total{outcome="answered"}`),
		seconds: set.NewHistogram("martenport_request_seconds"),
	}
}

// end counts how a request ended; failure is nil for an answered one.
func (c *Counts) end(failure *verdict.Failure, took time.Duration) {
	c.seconds.Update(took.Seconds())
	if failure == nil {
		c.answered.Inc()
		return
	}
	c.set.GetOrCreateCounter(`martenport_requests_total{outcome="` + string(failure.Reason) + `",verdict="` + failure.Verdict.String() + `"}`).Inc()
}
