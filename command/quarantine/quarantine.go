// Package quarantine decides which requests are kept away from backend servers because servers
// crash while running them.
//
// A request is identified by its fingerprint, across all attempts and instances. A crash of a server
// counts against every request that was running there, because a single crash does not show which of
// them caused it, or whether any did. A request that is answered is cleared of all its crashes. A
// request with SuspectAfter crashes becomes a suspect: it runs isolated, that is, on one server at a
// time and never on a server that is running another suspect, so that the next crash identifies the
// cause. A request with QuarantineAfter crashes, at least one of them during an isolated run, is
// quarantined: it is refused permanently, and the other requests that were running on the crashed
// servers are cleared of those crashes.
//
// Each instance has a Ledger. Ledgers converge when they are merged, in any order and any number of
// times. Trials are the isolated runs that the lease holder has permitted. The package is pure: the
// current time is passed in.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Crash counts at which the state of a request changes.
const (
	// SuspectAfter is the number of crashes from which a request runs isolated. With 1, all requests
	// on a server that crashed for an unrelated reason would have to wait for each other.
	SuspectAfter = 2
	// QuarantineAfter is the number of crashes from which a request is refused, provided that one of
	// them happened during an isolated run. That condition is needed because servers that crash at
	// the same time count equally against all requests running on them, and a request that many
	// clients send runs on every server.
	QuarantineAfter = 3
	// QuarantineAfterIsolated is the number of crashes during isolated runs from which a request is refused even if
	// others were running on each of the servers. It bounds what a request costs that cannot be told apart from them.
	QuarantineAfterIsolated = 3
)

// Incarnation is one run of a backend server process.
type Incarnation struct {
	Server string
	// Born is the start time in milliseconds since the Unix epoch; 0 if the server does not report it.
	Born int64
	// Version is the version of the server's software.
	Version string
}

// IncarnationOf returns the incarnation that the server announced.
func IncarnationOf(s serving.Server) Incarnation {
	return Incarnation{Server: s.ID, Born: s.Born, Version: s.Version}
}

// State is how a request is treated.
type State int

// The states, from the mildest to the most severe.
const (
	// Clear requests run without restriction.
	Clear State = iota
	// Suspect requests run isolated.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// String returns the name of the state as it appears in logs and to operators.
func (s State) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[s]
}

// Record is the state of one request in a ledger.
type Record struct {
	Fingerprint serving.Fingerprint
	// Subject describes the request for operators.
	Subject string
	// Parts are the hashes of the recorded parts of the request's prompt. It is empty for parts.
	Parts []uint64
	// Crashes are the incarnations that crashed while running the request. Cleared are those whose
	// crashes no longer count against it. Both are sorted by compareIncarnations.
	Crashes, Cleared []Incarnation
	// Isolated is the subset of Crashes that happened during isolated runs, and Alone the subset of these that no other
	// request is known to have caused.
	Isolated, Alone []Incarnation
	// Begun are the software versions at which an answer to a request with the part has begun, sorted. Crashes of servers of
	// these versions do not count. It is empty for requests.
	Begun []string
	// Pending are crashes during isolated runs that are not yet in Alone, because another request may
	// be the cause.
	Pending []PendingCrash
	// Grace is the time after the first event of an isolated run during which a crash counts.
	Grace time.Duration
	// Age is the time since the last change.
	Age time.Duration
}

// State returns how the request is treated.
func (r *Record) State() State {
	switch n := len(r.Crashes); {
	case n >= QuarantineAfter && (len(r.Alone) > 0 || r.isolatedTooOften()):
		return Quarantined
	case n >= SuspectAfter:
		return Suspect
	default:
		return Clear
	}
}

// isolatedTooOften reports whether servers crashed under the request in so many isolated runs that it is refused whatever
// else ran there.
func (r *Record) isolatedTooOften() bool { return len(r.Isolated) >= QuarantineAfterIsolated }

// lifetime returns how long after its last change the record is valid.
func (r *Record) lifetime() time.Duration {
	if r.State() == Quarantined {
		return quarantineLifetime
	}
	return suspicionLifetime
}

// same reports whether two records have the same content, apart from subjects and ages.
func (r *Record) same(other Record) bool {
	return slices.Equal(r.Crashes, other.Crashes) && slices.Equal(r.Cleared, other.Cleared) &&
		slices.Equal(r.Isolated, other.Isolated) && slices.Equal(r.Alone, other.Alone) && slices.Equal(r.Begun, other.Begun) &&
		slices.EqualFunc(r.Pending, other.Pending, func(a, b PendingCrash) bool { return a.Incarnation == b.Incarnation }) &&
		r.Grace == other.Grace
}

// compareIncarnations orders incarnations by start time.
func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Version, b.Version))
}

// Escalation is the escalation of a request to a more severe state.
type Escalation struct {
	Record
	NewState State
}

// Grace periods of isolated runs.
const (
	// MinGrace is the minimum time for which a suspect has to run after its first event before
	// another one may run on the same server. A request that crashes servers when it starts does so
	// within tens of milliseconds.
	MinGrace = 250 * time.Millisecond
	// maxGrace bounds the grace period of requests that crash servers later.
	maxGrace = 30 * time.Second
	// graceFactor is the ratio of the next grace period to the run time at a crash that came after
	// the grace period.
	graceFactor = 2
)
