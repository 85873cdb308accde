package forward

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/verdict"
)

// Counts are the counters and the latency histogram of requests.
type Counts struct {
	set      *metrics.Set
	answered *metrics.Counter
	seconds  *metrics.Histogram
	// later and sooner are by how much waits ended later and sooner than promised.
	later, sooner *metrics.Histogram

	begun, refused, failed, cancelled atomic.Int64
}

// Totals are how many requests were accepted, have ended in which way, and run.
// Accepted is the sum of the others.
type Totals struct{ Accepted, Answered, Refused, Failed, Cancelled, Running int64 }

// Totals returns the counts so far. A request that ends meanwhile counts as running:
// those that have ended are read first.
func (c *Counts) Totals() Totals {
	t := Totals{Answered: int64(c.answered.Get()), Refused: c.refused.Load(), Failed: c.failed.Load(), Cancelled: c.cancelled.Load()}
	t.Accepted = c.begun.Load()
	t.Running = t.Accepted - t.Answered - t.Refused - t.Failed - t.Cancelled
	return t
}

// begin counts a request that was accepted.
func (c *Counts) begin() { c.begun.Add(1) }

// NewCounts returns Counts in set.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		set: set, answered: set.NewCounter(`martenport_requests_total{outcome="answered"}`),
		seconds: set.NewHistogram("martenport_request_seconds"),
		later:   set.NewHistogram(`martenport_prospect_error_seconds{ended="later"}`),
		sooner:  set.NewHistogram(`martenport_prospect_error_seconds{ended="sooner"}`),
	}
}

// repeat counts a repeated send that the budget allowed or denied. Services are
// those of the configuration, so the counters are few.
func (c *Counts) repeat(service string, allowed bool) {
	outcome := "denied"
	if allowed {
		outcome = "allowed"
	}
	c.set.GetOrCreateCounter(`martenport_repeated_sends_total{service="` + service + `",outcome="` + outcome + `"}`).Inc()
}

// prospect counts by how much a wait differed from what was promised.
func (c *Counts) prospect(promised, waited time.Duration) {
	if waited >= promised {
		c.later.Update((waited - promised).Seconds())
	} else {
		c.sooner.Update((promised - waited).Seconds())
	}
}

// end counts how a request ended; failure is nil for an answered one.
func (c *Counts) end(failure *verdict.Failure, took time.Duration) {
	c.seconds.Update(took.Seconds())
	if failure == nil {
		c.answered.Inc()
		return
	}
	switch {
	case failure.Reason == verdict.ReasonCancelled:
		c.cancelled.Add(1)
	case failure.Verdict == verdict.NotRun:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	c.set.GetOrCreateCounter(`martenport_requests_total{outcome="` + string(failure.Reason) + `",verdict="` + failure.Verdict.String() + `"}`).Inc()
}
