package replicas

import "time"

// pace is how long unloads have taken of late, learned from the times at which
// engines accepted the loads after them.
type pace struct {
	// idle is for copies without requests: the next order is sent that long after
	// the unload.
	idle time.Duration
	// running is for copies in use, whose requests are waited for.
	running time.Duration
}

// How pace follows what is observed.
const (
	// paceGain is the weight of the newest unload of a copy in use.
	paceGain = 0.2
	// A load that comes too early is refused and costs the engine an order; one that
	// comes late costs it time. With these steps about one load in ten is refused.
	paceRaise = 4500 * time.Microsecond
	paceLower = 500 * time.Microsecond
	// inUseMargin longer than an idle copy takes, a copy was in use after all: two
	// tries of the next order.
	inUseMargin = 50 * time.Millisecond
)

// note takes over an unload after which the next order was accepted, with so many
// refused before it.
func (p *pace) note(took time.Duration, refused int, inUse bool) {
	if inUse || took > p.idle+inUseMargin {
		p.running += time.Duration(paceGain * float64(took-p.running))
	}
	switch {
	case inUse:
	case took > p.idle+inUseMargin:
		p.idle += paceRaise / 2 // if it happens often, idle copies take longer, too
	case refused > 0:
		p.idle += paceRaise
	default:
		p.idle = max(paceLower, p.idle-paceLower)
	}
}

// UnloadTime returns how long an engine is expected to unload a copy that no
// request uses.
func (f *Fleet) UnloadTime() time.Duration { return f.pace.idle }

// Began notes that an engine has accepted an operation's load, after so many
// refusals. began is when its last unload was accepted, zero if there was none.
func (f *Fleet) Began(op Operation, began time.Time, refused int, now time.Time) {
	if !began.IsZero() {
		f.pace.note(now.Sub(began), refused, op.InUse)
	}
	f.remoteBegan(op, now)
	f.Expect(op, now.Add(op.Duration))
}
