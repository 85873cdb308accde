// Package backpressure keeps the load advisories that backend servers attach to their answers: a limit
// on the requests per second from all instances together, and a retry-after period in which the receiving
// instance must send nothing. It is pure: the current time is passed in, and nothing is sent.
//
// An advisory applies to one process, until a newer advisory of that process. Answers may overtake each
// other, so an answer is known to be newer than an advisory only if its request was sent after the advisory
// had been read. Of two answers that cannot be ordered, the stricter one applies: an engine that still
// needs its limit is not overloaded, and one that no longer needs it repeats that in its next answer.
//
// Instances exchange limits as snapshots with ages instead of times, since clocks of different machines are
// never compared. A snapshot may have been in transit for up to Transit, so its request counts as sent that
// much earlier.
package backpressure

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Transit bounds the time for which a snapshot is in transit between instances: the duration of one
// call.
const Transit = 500 * time.Millisecond

// Limit is what is known of the limits of a server. Its times are by this instance's clock.
type Limit struct {
	// Service is the server's service; empty if unknown.
	Server, Service string
	Born            int64
	// Advertised is set if the server advertises a limit of Rate requests per second. Otherwise it accepts
	// requests without a limit.
	Advertised bool
	Rate       float64
	// Brittle is set if the server states that it ends if it has to reject more than Tolerated requests in a second.
	Brittle   bool
	Tolerated int
	// SentAt is when the request was sent whose answer had the advisory, and ReadAt when that answer was
	// read.
	SentAt, ReadAt time.Time
}

// Snapshot is a Limit as sent to other instances, with ages instead of times.
type Snapshot struct {
	Server, Service   string
	Born              int64
	Named             bool
	Rate              float64
	Brittle           bool
	Tolerated         int
	SentAge, HeardAge time.Duration
}

// snapshot returns the limit as sent to other instances.
func (l Limit) snapshot(now time.Time) Snapshot {
	return Snapshot{
		Server: l.Server, Service: l.Service, Born: l.Born, Named: l.Advertised, Rate: l.Rate, Brittle: l.Brittle, Tolerated: l.Tolerated,
		SentAge: now.Sub(l.SentAt), HeardAge: now.Sub(l.ReadAt),
	}
}

// limit returns a received snapshot by this instance's clock.
func (s Snapshot) limit(now time.Time) Limit {
	return Limit{
		Server: s.Server, Service: s.Service, Born: s.Born, Advertised: s.Named, Rate: s.Rate, Brittle: s.Brittle, Tolerated: s.Tolerated,
		SentAt: now.Add(-s.SentAge - Transit), ReadAt: now.Add(-s.HeardAge),
	}
}

// limitOf returns the limit in a server's advisory.
func limitOf(a serving.Advisory) Limit {
	return Limit{
		Server: a.Server, Service: a.Service, Born: a.Born, Advertised: a.Limited, Rate: a.Rate, Brittle: a.Brittle, Tolerated: a.Tolerated, SentAt: a.SentAt, ReadAt: a.ReceivedAt,
	}
}

// supersedes reports whether l replaces the known limit.
func (l Limit) supersedes(known Limit) bool {
	switch {
	case serving.StartedBefore(known.Born, l.Born):
		return true
	case serving.StartedBefore(l.Born, known.Born):
		return false
	case !l.SentAt.Before(known.ReadAt):
		return true
	case !known.SentAt.Before(l.ReadAt):
		return false
	default:
		return l.stricter(known)
	}
}

// stricter reports whether l allows fewer requests than other.
func (l Limit) stricter(other Limit) bool {
	if l.Advertised != other.Advertised || l.Rate != other.Rate {
		return l.Advertised && (!other.Advertised || l.Rate < other.Rate)
	}
	return l.Brittle && (!other.Brittle || l.Tolerated < other.Tolerated)
}

// equivalent reports whether two limits of the same process have the same value.
func (l Limit) equivalent(other Limit) bool {
	return l.Born == other.Born && l.Advertised == other.Advertised && l.Rate == other.Rate && l.Brittle == other.Brittle && l.Tolerated == other.Tolerated
}
