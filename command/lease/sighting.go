package lease

import (
	"time"

	"github.com/martenport/martenport/store"
)

// Sighting says of a revision of the record that it was there at some time: the renewal
// that made it had been sent by then, and with it every renewal before. The zero
// Sighting says nothing.
type Sighting struct {
	Revision store.Revision
	// At is by the clock of the instance that keeps the sighting. It must count
	// suspensions of the machine up to the moment: a time too early would let a
	// successor order too early.
	At time.Time
}

// better reports whether s says more than other: of a newer revision, or of an earlier time.
func (s Sighting) better(other Sighting) bool {
	if s.Revision != other.Revision {
		return s.Revision > other.Revision
	}
	return s.At.Before(other.At)
}

// Standing is a sighting on its way to another instance, whose clock is another: Age is
// at least how long before it was sent the renewal had been sent.
type Standing struct {
	Revision store.Revision
	Age      time.Duration
}

// Saw notes that the record was at revision at a time.
func (l *Lease) Saw(revision store.Revision, at time.Time) {
	if s := (Sighting{Revision: revision, At: at}); revision > 0 && s.better(l.seen) {
		l.seen = s
	}
}

// Heard notes what another instance has told, in an answer that came at now.
func (l *Lease) Heard(s Standing, now time.Time) { l.Saw(s.Revision, now.Add(-max(0, s.Age))) }

// Standing returns what to tell others at now: a holder knows when it renewed the lease
// last, another instance what it has seen.
func (l *Lease) Standing(now time.Time) Standing {
	if l.held {
		return Standing{Revision: l.revision, Age: max(0, now.Sub(l.renewed))}
	}
	return Standing{Revision: l.seen.Revision, Age: max(0, now.Sub(l.seen.At))}
}

// lastRenewal returns when the holder that was replaced at a revision has sent its last
// renewal, at the latest.
func (l *Lease) lastRenewal(previous Record, replaced store.Revision, now time.Time) time.Time {
	if previous.Renewals == 0 || l.seen.Revision != replaced || l.seen.At.After(now) {
		return now
	}
	return l.seen.At
}
