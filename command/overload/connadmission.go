package overload

import "time"

// ConnAdmissionParams bound the connections that an instance keeps.
type ConnAdmissionParams struct {
	// MaxOpen is the number of open connections from which new ones are closed; 0 for no limit.
	MaxOpen int
	// MaxDelay is the delay of the instance's own work above which new connections are closed.
	MaxDelay time.Duration
	// MinShare is the share of new connections that is kept whatever the delay.
	MinShare float64
}

// DefaultConnAdmissionParams returns the parameters for at most maxOpen connections. Clients abandon a connection on
// which nothing was read within a second; it takes accepting it and reading the request, two delays, and the others
// that came before it have to be read, too.
func DefaultConnAdmissionParams(maxOpen int) ConnAdmissionParams {
	return ConnAdmissionParams{MaxOpen: maxOpen, MaxDelay: 250 * time.Millisecond, MinShare: 0.05}
}

const (
	// delaySmoothing is the weight of the newest sample of the delay.
	delaySmoothing = 0.5
	// shareDecrease and shareIncrease are how the share changes with each sample, so that it falls faster than it rises.
	shareDecrease = 0.7
	shareIncrease = 0.05
)

// ConnAdmission decides which new connections an instance keeps. It answers the load in which most new connections of
// many instances come to one: what that one cannot read in time it closes unread, and the client connects to another
// instance at once instead of a second later. It is not safe for concurrent use.
type ConnAdmission struct {
	params ConnAdmissionParams
	delay  time.Duration
	// closed is the share of new connections that are closed.
	closed float64
}

// NewConnAdmission returns a ConnAdmission that keeps all connections.
func NewConnAdmission(p ConnAdmissionParams) *ConnAdmission { return &ConnAdmission{params: p} }

// Observe records by how much later than planned a piece of the instance's own work has run.
func (a *ConnAdmission) Observe(delay time.Duration) {
	a.delay += time.Duration(delaySmoothing * float64(delay-a.delay))
	kept := 1 - a.closed
	if a.delay > a.params.MaxDelay {
		kept *= shareDecrease
	} else {
		kept += shareIncrease
	}
	a.closed = 1 - min(1, max(a.params.MinShare, kept))
}

// Reset forgets the delays so far, since the machine was suspended or the process frozen.
func (a *ConnAdmission) Reset() { a.delay, a.closed = 0, 0 }

// Admit reports whether to keep a new connection beside the given number of open ones. random is uniform in [0, 1).
func (a *ConnAdmission) Admit(open int, random float64) bool {
	return (a.params.MaxOpen <= 0 || open < a.params.MaxOpen) && random >= a.closed
}
