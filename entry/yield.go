package entry

import (
	"time"

	"github.com/martenport/martenport/command/intake"
)

// yieldAge is how long a connection has to have been idle to yield to a new one. Clients send their first request right after they
// connect.
const yieldAge = time.Second

// yieldingShare is the part of the connections that may be closing to make room for others. They take their places until then.
const yieldingShare = 8

// makeRoom closes one of most connections so that there is room for another one, and reports whether it did: one without a request
// so far, else one whose request does not progress, else one that has been idle for longest.
func (g *connGuard) makeRoom(most int) bool {
	unused, idle, yielding := g.yieldCandidates(time.Now())
	switch {
	case yielding > most/yieldingShare:
		return false
	case unused != nil && g.yield(unused), g.intake.EndSlow(intake.CauseConnections), idle != nil && g.yield(idle):
		g.ends.count(endYielded, 1)
		return true
	}
	return false
}

// yieldCandidates returns the connections that have been idle for longest, one without and one with an earlier request, and how many
// are closing to make room.
func (g *connGuard) yieldCandidates(now time.Time) (unused, idle *clientConn, yielding int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var unusedAge, idleAge time.Duration
	for c := range g.conns {
		c.mu.Lock()
		age := now.Sub(c.phaseStart)
		switch {
		case c.yielding:
			yielding++
		case c.phase != phaseIdle || age < yieldAge:
		case !c.answered && age > unusedAge:
			unused, unusedAge = c, age
		case c.answered && age > idleAge:
			idle, idleAge = c, age
		}
		c.mu.Unlock()
	}
	return unused, idle, yielding
}

// yield closes a connection unless a request has arrived on it, and reports whether it is idle.
func (g *connGuard) yield(c *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle {
		return false
	}
	c.yielding = true
	c.requestClose()
	return true
}
