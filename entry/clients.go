package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/serving"
)

// clients serves the connections of clients.
type clients struct {
	guard  *guard
	server *http.Server
	log    logrus.FieldLogger
}

// maxHeaderBytes is net/http's own bound; the configured one is below it.
const maxHeaderBytes = 64 << 10

func newClients(handler http.Handler, limits func() serving.Limits, set *metrics.Set, log logrus.FieldLogger) *clients {
	ends := &connEnds{log: log, set: set}
	g := newGuard(limits)
	g.ends = ends
	return &clients{guard: g, log: log, server: &http.Server{
		Handler: g.wrap(ends.report(handler)), MaxHeaderBytes: maxHeaderBytes, ConnState: g.connState, ConnContext: g.connContext,
	}}
}

// serve answers clients that connect to l until the server is ended.
func (c *clients) serve(l net.Listener) error {
	return c.server.Serve(clientListener{l})
}

// clientListener accepts clientConns.
type clientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newClientConn(c), nil
}

// drainCheck is how often connections are looked at while an instance leaves.
const drainCheck = 50 * time.Millisecond

// drain lets requests end, until limit at the latest, and ends all connections.
func (c *clients) drain(limit time.Time) {
	for time.Now().Before(limit) && !c.guard.idle() {
		time.Sleep(drainCheck)
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		c.guard.reportLeft(err)
		_ = c.server.Close()
	}
}
