package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// guard closes connections of clients that are idle, or send their headers,
// for longer than the configuration allows. net/http's own limits are fixed
// when a server starts, the configured ones are not.
type guard struct {
	limits func() serving.Limits

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

// connState is an http.Server's ConnState hook.
func (g *guard) connState(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.conns, c)
		return
	}
	g.conns[c] = connState{state: state, since: time.Now()}
}

// wrap marks connections whose headers have been read.
func (g *guard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
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
		for _, c := range g.outlasted(time.Now()) {
			_ = c.Close()
		}
	}
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
