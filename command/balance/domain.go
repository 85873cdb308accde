package balance

import "time"

// domain is what the latest requests to the servers of a failure domain tell of it. Where a
// domain is cut off from the others, every request across the cut is lost, and an instance
// would have to learn that of each server by itself: within the domain four of five requests
// went out while its own servers had the models of most of them (99 of 157 lost requests of a
// domain that was cut off for six seconds).
type domain struct {
	// silent counts the requests in a row of which nothing was heard.
	silent int
	// until is until when the domain is avoided.
	until time.Time
}

// How a domain is avoided.
const (
	// suspectAfter requests in a row without any answer from its servers a domain seems
	// to be out of reach: one server that is dark does not get so many while others answer.
	suspectAfter = 3
	// suspectFor is for how long it is avoided then, twice as long with each request more
	// that is lost, up to maxSuspect: most cuts last for seconds. One answer ends it, and
	// requests for what no other domain has are sent all the time.
	suspectFor = 2 * time.Second
	maxSuspect = 8 * time.Second
)

// suspects needs mu. It reports whether a domain seems to be out of reach.
func (b *Balancer) suspects(name string, now time.Time) bool {
	d := b.domains[name]
	return d != nil && now.Before(d.until)
}

// noteDomain needs mu. It takes over what a request's end tells of the server's domain.
func (b *Balancer) noteDomain(name string, o Outcome, now time.Time) {
	if name == "" || o == Neutral {
		return
	}
	d := b.domains[name]
	if d == nil {
		d = &domain{}
		b.domains[name] = d
	}
	if o == Succeeded || o == Failed {
		*d = domain{}
		return
	}
	d.silent++
	if d.silent >= suspectAfter {
		d.until = now.Add(min(maxSuspect, suspectFor<<min(d.silent-suspectAfter, 8)))
	}
}
