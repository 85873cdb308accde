package lease

import (
	"time"

	"github.com/martenport/martenport/store"
)

// Observation states that a revision of the record existed at a time. The renewal that created the revision, and
// every renewal before it, had been sent by then. The zero Observation states nothing.
type Observation struct {
	Revision store.Revision
	// At is read from the clock of the instance that keeps the observation, which must go on while the machine is
	// suspended. Otherwise At is too early, and a successor that counts its waiting time from it sends orders too early.
	At time.Time
}

// supersedes reports whether o gives a better bound than other: it is of a newer revision, or of the same one at an
// earlier time.
func (o Observation) supersedes(other Observation) bool {
	if o.Revision != other.Revision {
		return o.Revision > other.Revision
	}
	return o.At.Before(other.At)
}

// RenewalAge is an observation sent to another instance, which has a different clock. Age is a lower bound of the
// time between sending the renewal and sending this message.
type RenewalAge struct {
	Revision store.Revision
	Age      time.Duration
}

// Observe records that the record was at revision at the given time.
func (l *Lease) Observe(revision store.Revision, at time.Time) {
	if o := (Observation{Revision: revision, At: at}); revision > 0 && o.supersedes(l.latest) {
		l.latest = o
	}
}

// ObserveRemote records what another instance reported in a response that arrived at the time now.
func (l *Lease) ObserveRemote(a RenewalAge, now time.Time) {
	l.Observe(a.Revision, now.Add(-max(0, a.Age)))
}

// RenewalAge returns what to report to other instances at the time now. A holder knows when it last renewed the lease;
// other instances report what they have observed.
func (l *Lease) RenewalAge(now time.Time) RenewalAge {
	if l.held {
		return RenewalAge{Revision: l.revision, Age: max(0, now.Sub(l.renewed))}
	}
	return RenewalAge{Revision: l.latest.Revision, Age: max(0, now.Sub(l.latest.At))}
}

// lastRenewal returns the latest time at which the previous holder can have sent its last renewal. previous is its
// record, replacedRevision the revision of that record when it was replaced. It returns now if the revision does not show
// the last renewal: the renewals of the previous holder did not change the record (Renewals is 0), or the newest
// observation is of another revision or later than now.
func (l *Lease) lastRenewal(previous Record, replacedRevision store.Revision, now time.Time) time.Time {
	if previous.Renewals == 0 || l.latest.Revision != replacedRevision || l.latest.At.After(now) {
		return now
	}
	return l.latest.At
}
