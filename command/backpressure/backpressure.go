// Package backpressure keeps what backend servers say in answers of what they take: a limit of
// requests a second from all instances together, and a rest in which one instance sends nothing.
// It is pure: times are passed in, and nothing is sent.
//
// A word is of one process, and holds until a newer one of that process. Answers overtake each
// other, so an answer is known to be newer than a word only if its request was sent after the
// word had been read. Of two answers that cannot be ordered the stricter counts: an engine that
// still needs its limit is not overrun, and one that does not says so in its next answer.
//
// Instances tell each other of limits, with ages and not with times: no two clocks are compared.
// What was told may have been on its way for Transit, and counts as sent so much earlier.
package backpressure

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Transit bounds how long it is on its way what one instance tells another: that of one call.
const Transit = 500 * time.Millisecond

// Limit is what is known of a server's limit, by the clock of this instance.
type Limit struct {
	Server string
	Born   int64
	// Named: it takes Rate requests a second; else it takes what comes.
	Named bool
	Rate  float64
	// The answer that says so was read at Heard, and its request sent at Sent.
	Sent, Heard time.Time
}

// Snapshot is a Limit as one instance tells another.
type Snapshot struct {
	Server            string
	Born              int64
	Named             bool
	Rate              float64
	SentAge, HeardAge time.Duration
}

// snapshot returns what another instance is told.
func (l Limit) snapshot(now time.Time) Snapshot {
	return Snapshot{Server: l.Server, Born: l.Born, Named: l.Named, Rate: l.Rate, SentAge: now.Sub(l.Sent), HeardAge: now.Sub(l.Heard)}
}

// limit returns what was told, by this instance's clock.
func (t Snapshot) limit(now time.Time) Limit {
	return Limit{Server: t.Server, Born: t.Born, Named: t.Named, Rate: t.Rate, Sent: now.Add(-t.SentAge - Transit), Heard: now.Add(-t.HeardAge)}
}

// limitOf returns what a server's word says of its limit.
func limitOf(w serving.Advisory) Limit {
	return Limit{Server: w.Server, Born: w.Born, Named: w.Limited, Rate: w.Rate, Sent: w.Sent, Heard: w.Heard}
}

// replaces reports whether l is to be believed in place of what was known before.
func (l Limit) replaces(known Limit) bool {
	switch {
	case serving.BornBefore(known.Born, l.Born):
		return true
	case serving.BornBefore(l.Born, known.Born):
		return false
	case !l.Sent.Before(known.Heard):
		return true
	case !known.Sent.Before(l.Heard):
		return false
	default:
		return l.stricter(known)
	}
}

// stricter reports whether l lets less through than another.
func (l Limit) stricter(other Limit) bool {
	return l.Named && (!other.Named || l.Rate < other.Rate)
}

// sameWord reports whether two limits say the same of the same process.
func (l Limit) sameWord(other Limit) bool {
	return l.Born == other.Born && l.Named == other.Named && l.Rate == other.Rate
}
