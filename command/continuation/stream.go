// Package continuation decides how a stream that may run only once outlives the engine it runs on.
//
// While such a stream runs, its engine sends the stream's memory to a backup engine. If the stream
// breaks off, it goes on there, after the last event that the client has received. The package
// decides which engine keeps the backup (Ledger) and when a broken stream goes on (Stream). It does
// no I/O.
package continuation

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// State is the state of a Stream.
type State int

// The states of a Stream. Ended is final.
const (
	// Running means that the stream may run on its engine.
	Running State = iota + 1
	// Broken means that the stream broke off and has not gone on yet.
	Broken
	// Continuing means that it goes on at the backup engine, but has not been sent there yet.
	Continuing
	// Ended means that the stream is complete, or that it cannot go on.
	Ended
)

// Params bound the continuations of a stream.
type Params struct {
	// MaxContinuations is how often a stream may go on at another engine.
	MaxContinuations int
	// MaxChecks is how often the engine before is asked whether it still works on the stream, at
	// intervals of CheckPause.
	MaxChecks  int
	CheckPause time.Duration
	// UnreachableAfter is how long an engine must have been unreachable to count as gone.
	UnreachableAfter time.Duration
	// MaxListAge is the age that an engine's list of its runs may have: engines answer with values that are some hundred
	// milliseconds old. The checks go on for that long.
	MaxListAge time.Duration
}

// DefaultParams returns the default parameters. The checks end well before clients abandon a silent
// stream, which they do after two seconds or more.
func DefaultParams() Params {
	return Params{
		MaxContinuations: 2, MaxChecks: 14, CheckPause: 50 * time.Millisecond, UnreachableAfter: 600 * time.Millisecond,
		MaxListAge: 600 * time.Millisecond,
	}
}

// Outcome is why a stream did not go on, or that it did.
type Outcome string

// The outcomes. Their number is bounded, since they are labels of a metric.
const (
	// Continued means that the stream goes on at its backup engine.
	Continued Outcome = "continued"
	// NoBackup means that no engine keeps a backup.
	NoBackup Outcome = "no_backup"
	// TooMany means that the stream has gone on as often as it may.
	TooMany Outcome = "too_many"
	// TooLate means that the client has left, or the backup has lapsed, before the stream could go on.
	TooLate Outcome = "too_late"
	// StillRunning means that the engine before may still work on the stream.
	StillRunning Outcome = "still_running"
	// Refused means that the backup engine did not take the stream.
	Refused Outcome = "refused"
)

// Action is what to do next for a broken stream.
type Action int

// The actions.
const (
	// Check means to ask the engine before whether it still works on the stream.
	Check Action = iota + 1
	// Pause means to wait for Params.CheckPause.
	Pause
	// Continue means to send the stream to its backup engine.
	Continue
	// Stop means that the stream cannot go on.
	Stop
)

// Stream is a stream that may run only once. It is not safe for concurrent use.
type Stream struct {
	params        Params
	state         State
	engine        string
	backup        string
	continuations int
	outcome       Outcome
	// giveUp is when it is too late to go on.
	giveUp time.Time
	// firstEvent is when the engine sent its first event, zero if it sent none.
	firstEvent time.Time
	checks     int
	run        serving.RunState
	// heardAt is when the engine before was last asked and answered, or when the stream broke off.
	heardAt time.Time
	// paused is set if a pause follows the last check.
	paused bool
}

// New returns a Stream that has not been sent yet.
func New(p Params) *Stream { return &Stream{params: p} }

// State returns the state of the stream, 0 before the first send.
func (s *Stream) State() State { return s.state }

// Outcome returns what became of the stream the last time that it broke off.
func (s *Stream) Outcome() Outcome { return s.outcome }

// Engine returns the engine that the stream was last sent to, and Backup the one that keeps its
// memory, "" if there is none.
func (s *Stream) Engine() string { return s.engine }

// Backup returns the engine that keeps the memory of the stream; "" if there is none.
func (s *Stream) Backup() string { return s.backup }

// Sent records that the stream is sent to an engine, which sends its memory to backup ("" for
// none). It reports whether this is allowed: only at first, and to the backup engine of a stream
// that is to continue.
func (s *Stream) Sent(engine, backup string) bool {
	switch {
	case s.state == 0:
	case s.state == Continuing && engine == s.backup:
		s.continuations++
	default:
		return false
	}
	s.state, s.engine, s.backup = Running, engine, backup
	return true
}

// NotSent records that the first send did not reach the engine, so that the stream can be sent
// anew. It has no effect after a continuation.
func (s *Stream) NotSent() {
	if s.state == Running && s.continuations == 0 {
		s.state, s.engine, s.backup = 0, "", ""
	}
}

// Broke records that the stream broke off. firstEvent is when its engine sent the first event, zero if
// it sent none, and giveUp is when it is too late to go on.
func (s *Stream) Broke(now, firstEvent, giveUp time.Time) {
	if s.state != Running {
		return
	}
	s.state, s.heardAt, s.firstEvent, s.giveUp = Broken, now, firstEvent, giveUp
	s.checks, s.run, s.paused = 0, serving.RunUnknown, false
}

// Checked records what the engine before said of the stream when it was asked at asked. A run that
// it does not list has stopped only if it had begun before the list was made.
func (s *Stream) Checked(run serving.RunState, asked time.Time) {
	if run == serving.RunNotListed && (s.firstEvent.IsZero() || asked.Sub(s.firstEvent) < s.params.MaxListAge) {
		run = serving.RunActive
	}
	if run != serving.RunUnknown {
		s.heardAt = asked
	}
	s.checks++
	s.run, s.paused = run, false
}

// Next returns what to do for a stream that broke off. The stream goes on only once the engine
// before does not work on it any more.
func (s *Stream) Next(now time.Time) Action {
	switch {
	case s.state != Broken:
		return s.stop(Refused)
	case s.backup == "":
		return s.stop(NoBackup)
	case s.continuations >= s.params.MaxContinuations:
		return s.stop(TooMany)
	case !now.Before(s.giveUp):
		return s.stop(TooLate)
	case s.checks == 0:
		return Check
	case s.run == serving.RunGone, s.run == serving.RunNotListed, s.run == serving.RunUnknown && now.Sub(s.heardAt) >= s.params.UnreachableAfter:
		s.state, s.outcome = Continuing, Continued
		return Continue
	case !s.paused:
		s.paused = true
		return Pause
	case s.run == serving.RunActive && s.checks >= s.params.MaxChecks:
		return s.stop(StillRunning)
	default:
		return Check
	}
}

// End records that the stream is complete or will not go on.
func (s *Stream) End() { s.state = Ended }

// GiveUp records that the request ended before it was decided whether the stream goes on.
func (s *Stream) GiveUp() { s.stop(TooLate) }

// Refuse records that the backup engine did not take the stream.
func (s *Stream) Refuse() { s.stop(Refused) }

func (s *Stream) stop(o Outcome) Action {
	if s.state != Ended {
		s.state, s.outcome = Ended, o
	}
	return Stop
}
