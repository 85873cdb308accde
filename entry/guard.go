package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// connGuard ends connections of clients that are idle, or send their headers, for
// longer than the configuration allows, and those that are idle once the instance
// leaves. net/http's own limits are fixed when a server starts, the configured ones
// are not; its Shutdown drops requests that it reads on connections it ends.
type connGuard struct {
	limits func() serving.Limits
	ends   *connEndRecorder

	mu       sync.Mutex               // taken before a connection's
	conns    map[*clientConn]struct{} // guarded by mu
	draining bool                     // guarded by mu
}

func newConnGuard(limits func() serving.Limits, ends *connEndRecorder) *connGuard {
	return &connGuard{limits: limits, ends: ends, conns: map[*clientConn]struct{}{}}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext makes the connection known to handlers.
func (g *connGuard) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection of a request, nil if it is not known.
func connFromContext(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// connState is an http.Server's ConnState hook. The connections are clientConns.
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
		c.markIdle(g.limits())
		g.closeIfDraining(c)
	case http.StateClosed, http.StateHijacked:
		g.ends.closed(c)
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

// trackHandlers notes which requests a handler has.
func (g *connGuard) trackHandlers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connFromContext(r.Context()); c != nil {
			c.markHandled()
		}
		next.ServeHTTP(w, r)
	})
}

// connCheckInterval is how often connections are looked at.
const connCheckInterval = 250 * time.Millisecond

// run ends what has outlasted its limit until ctx ends.
func (g *connGuard) run(ctx context.Context) {
	for pause.For(ctx, connCheckInterval) {
		if expired := g.closeExpired(time.Now()); expired.count > 0 {
			g.logExpired(expired)
		}
	}
}

// expiredConns sums the connections up that one look has ended.
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

// closeExpired ends the connections that have outlasted their limit. Each is judged
// and ended in one step under its lock.
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

// firstRequestWait is how long an instance that leaves waits for the first request
// on a connection: clients send it as they connect.
const firstRequestWait = 500 * time.Millisecond

// neverUsed reports whether no request has come long after the client connected. c.mu
// must be held.
func (c *clientConn) neverUsed(now time.Time) bool {
	return c.phase == phaseIdle && !c.answered && now.Sub(c.phaseStart) > firstRequestWait
}

// logExpired logs which connections one look has ended.
func (g *connGuard) logExpired(o expiredConns) {
	g.ends.count(endLimit, o.count)
	g.ends.log.WithFields(logrus.Fields{
		"idle": o.idle, "slow_headers": o.count - o.idle, "idle_limit_ms": o.limits.IdleTimeout.Milliseconds(),
		"header_limit_ms": o.limits.HeaderTimeout.Milliseconds(), "oldest_ms": o.oldest.Milliseconds(), "youngest_ms": o.youngest.Milliseconds(),
	}).Info("connections over their limit are ended")
}

// beginDrain ends kept connections that are idle, and from now on as they become so.
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

// countPhases counts the connections in each phase.
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

// empty reports whether there are no connections.
func (g *connGuard) empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) == 0
}
