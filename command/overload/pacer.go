package overload

import "time"

// PacerParams bound the work that a Pacer allows.
type PacerParams struct {
	// PauseFactor is the pause after a run, as a multiple of its duration: the runs take at most 1/(1+PauseFactor) of
	// the time.
	PauseFactor float64
	// MaxPause bounds the pause, and thus the delay of a request for a run.
	MaxPause time.Duration
}

// Pacer coalesces requests for a run of a decision that covers all requests so far. It answers the load in which
// requests arrive faster than the decision can be made. A request after a pause runs at once; others share the run
// that is due when the pause ends. It is not safe for concurrent use.
type Pacer struct {
	params  PacerParams
	next    time.Time
	pending bool
}

// NewPacer returns a Pacer that allows a run at once.
func NewPacer(p PacerParams) *Pacer { return &Pacer{params: p} }

// Request reports whether a run may begin now. If not, a run is due at the time that Due returns.
func (p *Pacer) Request(now time.Time) bool {
	p.pending = now.Before(p.next)
	return !p.pending
}

// Due returns when a run is due that was requested and not allowed. ok is false if there is none.
func (p *Pacer) Due() (at time.Time, ok bool) { return p.next, p.pending }

// Ran records a run that ended now, for whatever reason it was made. It covers all requests so far.
func (p *Pacer) Ran(now time.Time, took time.Duration) {
	pause := time.Duration(p.params.PauseFactor * float64(max(0, took)))
	p.next, p.pending = now.Add(min(pause, p.params.MaxPause)), false
}
