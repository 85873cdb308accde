package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// connGuard closes clients' connections that are idle or sending headers for longer than the
// configuration allows, and idle ones once the instance drains. The limits built into net/http are
// fixed when a server starts, whereas the configured ones may change, and its Shutdown drops requests
// that it is reading on connections that it closes.
type connGuard struct {
	limits func() serving.Limits
	intake *intake.Budget
	ends   *connEndRecorder
	// yieldLines limits the log lines about connections that are closed to make room.
	yieldLines *boundedlog.Lines

	// leaving: the instance waits for its requests to end, and not for those that do not progress.
	leaving atomic.Bool

	mu       sync.Mutex               // acquired before a clientConn's
	conns    map[*clientConn]struct{} // guarded by mu
	draining bool                     // guarded by mu

	// largest is the largest size of a body that the budget was last set to. Only run uses it.
	largest int64
}

func newConnGuard(limits func() serving.Limits, budget *intake.Budget, ends *connEndRecorder) *connGuard {
	return &connGuard{limits: limits, intake: budget, ends: ends, yieldLines: boundedlog.NewLines(yieldLogInterval), conns: map[*clientConn]struct{}{}}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext adds the connection to the context of its requests.
func (g *connGuard) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection of a request, nil if it is unknown.
func connFromContext(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// requestHolding returns what the request with the given context takes.
func requestHolding(ctx context.Context) *intake.Holding {
	return connFromContext(ctx).requestHolding()
}

// connState is an http.Server's ConnState hook. All connections must be clientConns.
func (g *connGuard) connState(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	switch state {
	case http.StateNew:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns[c] = struct{}{}
	case http.StateActive:
		c.markServing(g.limits())
	case http.StateIdle:
		c.releaseHolding()
		c.markIdle(g.limits())
		g.closeIfDraining(c)
	case http.StateClosed, http.StateHijacked:
		g.ends.closed(c)
		c.releaseHolding()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, c)
	}
}

func (g *connGuard) closeIfDraining(c *clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestClose()
}

// trackHandlers records that a request has reached a handler, and has arrived as a whole if it has no body.
func (g *connGuard) trackHandlers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connFromContext(r.Context()); c != nil {
			c.markHandled()
			if r.ContentLength == 0 {
				_ = c.requestHolding().Complete() // one that was refused meanwhile is answered by the handler
			}
		}
		next.ServeHTTP(w, r)
	})
}

// run closes connections that exceed their limits, and ends requests that arrive too slowly, until ctx ends.
func (g *connGuard) run(ctx context.Context) {
	for pause.For(ctx, intake.CheckInterval) {
		g.setLargest(g.limits().BodyBytes)
		g.intake.Check()
		for g.leaving.Load() && g.intake.EndSlow(intake.CauseShutdown) {
		}
		if expired := g.closeExpired(time.Now()); expired.count > 0 {
			g.logExpired(expired)
		}
	}
}

// setLargest makes the budget hold a body of the largest size, and logs if there is no room for one.
func (g *connGuard) setLargest(size int64) {
	hasRoom := g.intake.SetLargest(size)
	if size != g.largest && !hasRoom {
		g.ends.log.WithField("max_body_bytes", size).Error("the process's memory has no room for a body of the largest size: give it more, or lower the limit")
	}
	g.largest = size
}

// expiredConns summarizes the connections that one check has closed.
type expiredConns struct {
	count, idle      int
	oldest, youngest time.Duration
	limits           serving.Limits
}

func (o *expiredConns) add(p phase, age time.Duration) {
	o.oldest = max(o.oldest, age)
	if o.count == 0 || age < o.youngest {
		o.youngest = age
	}
	o.count++
	if p == phaseIdle {
		o.idle++
	}
}

// closeExpired closes the connections that exceed their limits. Each is checked and closed without
// releasing its lock in between.
func (g *connGuard) closeExpired(now time.Time) expiredConns {
	expired := expiredConns{limits: g.limits()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.mu.Lock()
		if c.closing == closeNone && (c.exceedsLimit(now, expired.limits) || g.draining && c.neverUsed(now)) {
			c.requestClose()
			expired.add(c.phase, now.Sub(c.phaseStart))
		}
		c.mu.Unlock()
	}
	return expired
}

// firstRequestWait is how long an instance that drains waits for the first request on a connection.
// Clients send it right after they connect.
const firstRequestWait = 500 * time.Millisecond

// neverUsed reports whether no request has arrived within firstRequestWait of the client's connecting.
// c.mu must be held.
func (c *clientConn) neverUsed(now time.Time) bool {
	return c.phase == phaseIdle && !c.answered && now.Sub(c.phaseStart) > firstRequestWait
}

// logExpired logs which connections one check has closed.
func (g *connGuard) logExpired(o expiredConns) {
	g.ends.count(endLimit, o.count)
	g.ends.log.WithFields(logrus.Fields{
		"idle": o.idle, "slow_headers": o.count - o.idle, "idle_limit_ms": o.limits.IdleTimeout.Milliseconds(),
		"header_limit_ms": o.limits.HeaderTimeout.Milliseconds(), "oldest_ms": o.oldest.Milliseconds(), "youngest_ms": o.youngest.Milliseconds(),
	}).Info("connections over their limit are ended")
}

// beginDrain closes idle connections that have served a request, and makes others be closed when they
// become idle.
func (g *connGuard) beginDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for c := range g.conns {
		c.mu.Lock()
		if c.phase == phaseIdle && c.answered {
			c.requestClose()
		}
		c.mu.Unlock()
	}
}

// countPhases returns the number of connections in each phase.
func (g *connGuard) countPhases() map[phase]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[phase]int{}
	for c := range g.conns {
		c.mu.Lock()
		counts[c.phase]++
		c.mu.Unlock()
	}
	return counts
}

// noRequests reports whether no request is being read or served.
func (g *connGuard) noRequests() bool {
	counts := g.countPhases()
	return counts[phaseReceiving]+counts[phaseServing] == 0
}

// openConnections returns the number of connections.
func (g *connGuard) openConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// noConnections reports whether there are no connections.
func (g *connGuard) noConnections() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) == 0
}
