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
	// waitedLonger and waitedShorter observe by how much waits were longer and shorter than first
	// estimated.
	waitedLonger, waitedShorter *metrics.Histogram
	// refusalsLogged and refusalsOmitted count refusals with and without a log line of their own.
	refusalsLogged, refusalsOmitted *metrics.Counter

	accepted, refused, failed, cancelled atomic.Int64
}

// Totals are the numbers of requests accepted, ended (by outcome) and running. Accepted is the sum
// of the others.
type Totals struct{ Accepted, Answered, Refused, Failed, Cancelled, Running int64 }

// Totals returns the counts so far. The numbers of ended requests are read before that of accepted
// ones, so a request that ends during the call counts as running.
func (c *Counts) Totals() Totals {
	t := Totals{Answered: int64(c.answered.Get()), Refused: c.refused.Load(), Failed: c.failed.Load(), Cancelled: c.cancelled.Load()}
	t.Accepted = c.accepted.Load()
	t.Running = t.Accepted - t.Answered - t.Refused - t.Failed - t.Cancelled
	return t
}

// requestAccepted counts an accepted request.
func (c *Counts) requestAccepted() { c.accepted.Add(1) }

// NewCounts returns Counts with metrics registered in set.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		set: set, answered: set.NewCounter(`martenport_requests_total{outcome="answered"}`),
		seconds:         set.NewHistogram("martenport_request_seconds"),
		waitedLonger:    set.NewHistogram(`martenport_prospect_error_seconds{ended="later"}`),
		waitedShorter:   set.NewHistogram(`martenport_prospect_error_seconds{ended="sooner"}`),
		refusalsLogged:  set.NewCounter(`martenport_refusal_lines_total{line="written"}`),
		refusalsOmitted: set.NewCounter(`martenport_refusal_lines_total{line="left_out"}`),
	}
}

// repeatedSend counts a repeated send that the budget allowed or denied. Services come from the
// configuration, so the number of counters is small.
func (c *Counts) repeatedSend(service string, allowed bool) {
	outcome := "denied"
	if allowed {
		outcome = "allowed"
	}
	c.set.GetOrCreateCounter(`martenport_repeated_sends_total{service="` + service + `",outcome="` + outcome + `"}`).Inc()
}

// turn counts what became of a request for which there was no room: "begun" if its turn had come, "listed" if it
// got a turn, "too_late" if that would come too late, "unknown" if no holder says.
func (c *Counts) turn(what string) {
	c.set.GetOrCreateCounter(`martenport_waitlist_total{what="` + what + `"}`).Inc()
}

// streamResumed counts a stream that a client resumes, by what is known of its origin.
func (c *Counts) streamResumed(outcome string) {
	c.set.GetOrCreateCounter(`martenport_streams_taken_up_total{origin="` + outcome + `"}`).Inc()
}

// serverReplaced counts an answer of a server that was replaced by one of another software version since the request was
// sent.
func (c *Counts) serverReplaced(service string) {
	c.set.GetOrCreateCounter(`martenport_answers_of_replaced_servers_total{service="` + service + `"}`).Inc()
}

// resumedUnderOverload counts a stream that a client resumes and that the share to admit does not cover: "admitted" if it
// was sent all the same, "no_room" if the queue of its engine is too long, "no_credit" if too many others were admitted.
func (c *Counts) resumedUnderOverload(what string) {
	c.set.GetOrCreateCounter(`martenport_streams_taken_up_under_overload_total{what="` + what + `"}`).Inc()
}

// eventOutOfOrder counts an event of a server that did not follow those that the client has: "repeated" by a run that went
// on, or "misplaced", which breaks the server's part of the stream off, as data does that is "no_event". It counts a part that
// "ended_before" the last one.
func (c *Counts) eventOutOfOrder(what string) {
	c.set.GetOrCreateCounter(`martenport_events_out_of_order_total{what="` + what + `"}`).Inc()
}

// serverFull counts a refusal by an engine that was full.
func (c *Counts) serverFull(service string) {
	c.set.GetOrCreateCounter(`martenport_full_engine_refusals_total{service="` + service + `"}`).Inc()
}

// brittleRejection counts a request that a brittle server rejected.
func (c *Counts) brittleRejection(service string) {
	c.set.GetOrCreateCounter(`martenport_brittle_rejections_total{service="` + service + `"}`).Inc()
}

// waitEstimateError records the difference between the estimated and the actual wait.
func (c *Counts) waitEstimateError(estimated, waited time.Duration) {
	if waited >= estimated {
		c.waitedLonger.Update((waited - estimated).Seconds())
	} else {
		c.waitedShorter.Update((estimated - waited).Seconds())
	}
}

// requestEnded counts an ended request and records its latency; failure is nil for an answered one.
func (c *Counts) requestEnded(failure *verdict.Failure, latency time.Duration) {
	c.seconds.Update(latency.Seconds())
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
