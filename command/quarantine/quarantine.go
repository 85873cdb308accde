// Package quarantine decides which requests are kept away from backend servers because
// servers end under them.
//
// A request is known by its fingerprint, over all tries and instances. Each end of a server
// counts against all requests that were under way there: which of them was the cause, if any
// was, cannot be told from one end. A request that is answered is cleared of all ends. One
// under which SuspectAfter servers have ended is a suspect: it runs alone, that is at one
// server at a time and at none where another suspect runs, so that the next end says which it
// was. One under which QuarantineAfter have ended, one of them under such a run, is
// quarantined: it is refused for good, and the other requests that were there are cleared of
// the ends that it explains.
//
// Each instance has a Ledger; they are merged in any order, as often as one likes, and come
// to the same. Trials is where the holder of the lease lets suspects run. The package is
// pure: times are passed in.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Numbers of ends of servers.
const (
	// SuspectAfter is from when a request runs alone. At one, all that ran on a server that
	// ended for a reason of its own would wait for each other.
	SuspectAfter = 2
	// QuarantineAfter is from when it is refused, if one of the ends was under a run of its own.
	// Servers that end at the same moment say of all that ran on them the same, and what many
	// clients ask for runs on each.
	QuarantineAfter = 3
)

// Incarnation is one start of a backend server.
type Incarnation struct {
	Server string
	// Born is when it started, in milliseconds of the Unix epoch, 0 if it does not say.
	Born int64
	// Version of its software.
	Version string
}

// IncarnationOf returns the incarnation of a server as it was announced.
func IncarnationOf(s serving.Server) Incarnation {
	return Incarnation{Server: s.ID, Born: s.Born, Version: s.Version}
}

// State says how a request is treated.
type State int

// The states.
const (
	// Clear requests run like all others.
	Clear State = iota
	// Suspect requests run alone.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// String names the state for logs and operators.
func (s State) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[s]
}

// Record is what is known of one request.
type Record struct {
	Fingerprint serving.Fingerprint
	// Subject says to people what the request is.
	Subject string
	// Crashes are the incarnations that ended while it was under way there, and Cleared those that
	// do not count against it any more, both in the order of compareIncarnations.
	Crashes, Cleared []Incarnation
	// Alone are those of Crashes that ended under a run of its own.
	Alone []Incarnation
	// Pending are ends under runs of its own that do not count as such yet, since another request may be the cause.
	Pending []PendingEnd
	// Grace is how long after the first event of a run alone the server's end counts.
	Grace time.Duration
	// Age is how long ago the last change was.
	Age time.Duration
}

// State returns how the request is treated.
func (r *Record) State() State {
	switch n := len(r.Crashes); {
	case n >= QuarantineAfter && len(r.Alone) > 0:
		return Quarantined
	case n >= SuspectAfter:
		return Suspect
	default:
		return Clear
	}
}

// lifetime is for how long after its last change the record counts.
func (r *Record) lifetime() time.Duration {
	if r.State() == Quarantined {
		return quarantineLifetime
	}
	return suspicionLifetime
}

// same reports whether another record says the same.
func (r *Record) same(other Record) bool {
	return slices.Equal(r.Crashes, other.Crashes) && slices.Equal(r.Cleared, other.Cleared) && slices.Equal(r.Alone, other.Alone) &&
		slices.EqualFunc(r.Pending, other.Pending, func(a, b PendingEnd) bool { return a.Incarnation == b.Incarnation }) && r.Grace == other.Grace
}

// compareIncarnations orders incarnations by their birth.
func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Version, b.Version))
}

// Raise is a change of a request's state for the worse.
type Raise struct {
	Record
	To State
}

// Graces of runs alone.
const (
	// leastGrace is how long a suspect has to go on after its first event before another
	// may run there: a request that ends servers when it begins does so within tens of
	// milliseconds.
	leastGrace = 250 * time.Millisecond
	// mostGrace bounds it for those that end servers later.
	mostGrace = 30 * time.Second
	// graceGrowth is how much longer than the end that came too late the next run is watched.
	graceGrowth = 2
)
