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

// guard ends connections of clients that are idle, or send their headers, for
// longer than the configuration allows, and those that are idle once the instance
// leaves. net/http's own limits are fixed when a server starts, the configured ones
// are not; its Shutdown drops requests that it reads on connections it ends.
type guard struct {
	limits func() serving.Limits
	ends   *connEnds

	mu      sync.Mutex               // taken before a connection's
	conns   map[*clientConn]struct{} // guarded by mu
	leaving bool                     // guarded by mu
}

func newGuard(limits func() serving.Limits, ends *connEnds) *guard {
	return &guard{limits: limits, ends: ends, conns: map[*clientConn]struct{}{}}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext makes the connection known to handlers.
func (g *guard) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, nil if it is not known.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// connState is an http.Server's ConnState hook. The connections are clientConns.
func (g *guard) connState(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	switch state {
	case http.StateNew:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns[c] = struct{}{}
	case http.StateActive:
		c.serve(g.limits())
	case http.StateIdle:
		c.rest(g.limits())
		g.endIfLeaving(c)
	case http.StateClosed, http.StateHijacked:
		g.ends.closed(c)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, c)
	}
}

func (g *guard) endIfLeaving(c *clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leaving {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// wrap notes which requests a handler has.
func (g *guard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil {
			c.hand()
		}
		next.ServeHTTP(w, r)
	})
}

// guardInterval is how often connections are looked at.
const guardInterval = 250 * time.Millisecond

// run ends what has outlasted its limit until ctx ends.
func (g *guard) run(ctx context.Context) {
	for pause.For(ctx, guardInterval) {
		if ended := g.endOutlasted(time.Now()); ended.count > 0 {
			g.report(ended)
		}
	}
}

// outlasted sums the connections up that one look has ended.
type outlasted struct {
	count, idle      int
	oldest, youngest time.Duration
	limits           serving.Limits
}

func (o *outlasted) add(p phase, age time.Duration) {
	o.oldest = max(o.oldest, age)
	if o.count == 0 || age < o.youngest {
		o.youngest = age
	}
	o.count++
	if p == phaseIdle {
		o.idle++
	}
}

// endOutlasted ends the connections that have outlasted their limit. Each is judged
// and ended in one step under its lock.
func (g *guard) endOutlasted(now time.Time) outlasted {
	ended := outlasted{limits: g.limits()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.mu.Lock()
		if c.ending == endNone && (c.over(now, ended.limits) || g.leaving && c.unused(now)) {
			c.end()
			ended.add(c.phase, now.Sub(c.since))
		}
		c.mu.Unlock()
	}
	return ended
}

// firstRequestTime is how long an instance that leaves waits for the first request
// on a connection: clients send it as they connect.
const firstRequestTime = 500 * time.Millisecond

// unused reports whether no request has come long after the client connected. c.mu
// must be held.
func (c *clientConn) unused(now time.Time) bool {
	return c.phase == phaseIdle && !c.kept && now.Sub(c.since) > firstRequestTime
}

// report logs which connections one look has ended.
func (g *guard) report(o outlasted) {
	g.ends.count(endLimit, o.count)
	g.ends.log.WithFields(logrus.Fields{
		"idle": o.idle, "slow_headers": o.count - o.idle, "idle_limit_ms": o.limits.IdleTimeout.Milliseconds(),
		"header_limit_ms": o.limits.HeaderTimeout.Milliseconds(), "oldest_ms": o.oldest.Milliseconds(), "youngest_ms": o.youngest.Milliseconds(),
	}).Info("connections over their limit are ended")
}

// leave ends kept connections that are idle, and from now on as they become so.
func (g *guard) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	for c := range g.conns {
		c.mu.Lock()
		if c.phase == phaseIdle && c.kept {
			c.end()
		}
		c.mu.Unlock()
	}
}

// phases counts the connections in each phase.
func (g *guard) phases() map[phase]int {
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

// idle reports whether no request is being read or served.
func (g *guard) idle() bool {
	counts := g.phases()
	return counts[phaseReceiving]+counts[phaseServing] == 0
}

// empty reports whether there are no connections.
func (g *guard) empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) == 0
}
