package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestGuardLimits: connections that are idle, or slow with their headers, for longer
// than the configuration allows are closed; those that are served are not.
func TestGuardLimits(t *testing.T) {
	g := newGuard(func() serving.Limits {
		return serving.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: 2 * time.Second}
	})
	now := time.Now()
	conn := func(state http.ConnState, age time.Duration, serving bool) net.Conn {
		c, peer := net.Pipe()
		t.Cleanup(func() { _ = c.Close(); _ = peer.Close() })
		g.conns[c] = connState{state: state, since: now.Add(-age), serving: serving}
		return c
	}
	idle, slow := conn(http.StateIdle, 11*time.Second, false), conn(http.StateActive, 3*time.Second, false)
	conn(http.StateIdle, 9*time.Second, false)
	conn(http.StateActive, time.Second, false)
	conn(http.StateActive, time.Hour, true)
	old := g.outlasted(now)
	if len(old) != 2 || (old[0] != idle && old[1] != idle) || (old[0] != slow && old[1] != slow) {
		t.Errorf("%d connections are closed, want the idle and the slow one", len(old))
	}
	if g.idle() {
		t.Error("a request is being served, and the guard says that none is")
	}
}
