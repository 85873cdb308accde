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

// guard closes connections of clients that are idle, or send their headers,
// for longer than the configuration allows. net/http's own limits are fixed
// when a server starts, the configured ones are not.
type guard struct {
	limits func() serving.Limits
	ends   *connEnds

	mu    sync.Mutex
	conns map[net.Conn]connState // guarded by mu
}

type connState struct {
	state http.ConnState
	since time.Time
	// serving: the handler has the request.
	serving bool
}

func newGuard(limits func() serving.Limits) *guard {
	return &guard{limits: limits, conns: map[net.Conn]connState{}}
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

// connState is an http.Server's ConnState hook.
func (g *guard) connState(c net.Conn, state http.ConnState) {
	g.note(c.(*clientConn), state)
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.conns, c)
		return
	}
	g.conns[c] = connState{state: state, since: time.Now()}
}

// note passes a change of state on to the connection.
func (g *guard) note(c *clientConn, state http.ConnState) {
	switch state {
	case http.StateActive:
		c.serve()
	case http.StateIdle:
		c.rest()
	case http.StateClosed:
		g.ends.closed(c)
	}
}

// wrap marks connections whose headers have been read.
func (g *guard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil {
			c.hand()
			g.mu.Lock()
			g.conns[c] = connState{state: http.StateActive, since: time.Now(), serving: true}
			g.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// guardInterval is how often connections are looked at.
const guardInterval = 250 * time.Millisecond

// run closes what has outlasted its limit until ctx ends.
func (g *guard) run(ctx context.Context) {
	for pause.For(ctx, guardInterval) {
		old := g.outlasted(time.Now())
		g.reportOutlasted(old)
		for _, c := range old {
			_ = c.Close()
		}
	}
}

// reportOutlasted logs which connections are closed, one line a look.
func (g *guard) reportOutlasted(old []net.Conn) {
	if len(old) == 0 {
		return
	}
	limits := g.limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	var oldest, youngest time.Duration
	idle := 0
	for n, c := range old {
		s := g.conns[c]
		age := time.Since(s.since)
		oldest = max(oldest, age)
		if n == 0 || age < youngest {
			youngest = age
		}
		if s.state != http.StateActive {
			idle++
		}
	}
	g.ends.count(endLimit, len(old))
	g.ends.log.WithFields(logrus.Fields{
		"idle": idle, "slow_headers": len(old) - idle, "idle_limit_ms": limits.IdleTimeout.Milliseconds(), "header_limit_ms": limits.HeaderTimeout.Milliseconds(),
		"oldest_ms": oldest.Milliseconds(), "youngest_ms": youngest.Milliseconds(),
	}).Info("connections over their limit are closed")
}

// reportLeft logs the connections that are cut off at the end of the grace.
func (g *guard) reportLeft(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := map[phase]int{}
	for c := range g.conns {
		cc := c.(*clientConn)
		cc.mu.Lock()
		left[cc.phase]++
		cc.mu.Unlock()
	}
	g.ends.count(endGrace, len(g.conns))
	g.ends.log.WithFields(logrus.Fields{
		"error": err, "idle": left[phaseIdle], "receiving": left[phaseReceiving], "serving": left[phaseServing],
	}).Warn("connections cut off at the end of the grace")
}

func (g *guard) outlasted(now time.Time) []net.Conn {
	limits := g.limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	var old []net.Conn
	for c, s := range g.conns {
		limit := limits.IdleTimeout
		if s.state == http.StateActive {
			limit = limits.HeaderTimeout
		}
		if !s.serving && limit > 0 && now.Sub(s.since) > limit {
			old = append(old, c)
		}
	}
	return old
}

// idle reports whether no request is being read or served.
func (g *guard) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.conns {
		if s.state == http.StateActive {
			return false
		}
	}
	return true
}
