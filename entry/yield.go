package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/internal/clock"
)

// yieldAge is how long a connection has to have been idle to yield to a new one. Clients send their first request right after they
// connect.
const yieldAge = time.Second

// yieldingShare: one in so many connections may be closing to make room for others. They take their places until then.
const yieldingShare = 8

// yieldLogInterval is the time between two log lines about connections of one kind that are closed to make room.
const yieldLogInterval = 10 * time.Second

// makeRoom closes one of most connections so that there is room for another one, and reports whether it did.
func (g *connGuard) makeRoom(most int) bool {
	unused, idle, yielding := g.yieldCandidates(time.Now())
	if yielding > most/yieldingShare {
		return false
	}
	kind := g.closeForRoom(unused, idle)
	if kind == "" {
		return false
	}
	g.ends.count(endYielded, 1)
	if omitted, due := g.yieldLines.Due(kind, clock.Now()); due {
		g.ends.log.WithFields(logrus.Fields{"kind": kind, "limit": most, "yielding": yielding, "omitted": omitted}).Warn("connection closed to make room for another")
	}
	return true
}

// closeForRoom closes the connection without a request so far, else one whose request does not progress, else the idle one. It returns
// which kind that is, "" if there is none.
func (g *connGuard) closeForRoom(unused, idle *clientConn) string {
	if unused != nil && g.yield(unused) {
		return "unused"
	}
	if g.intake.EndSlow(intake.CauseConnections) {
		return "slow"
	}
	if idle != nil && g.yield(idle) {
		return "idle"
	}
	return ""
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
