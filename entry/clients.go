package entry

import (
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
	ends   *connEnds
	// listener is set before accepting is closed; ended is closed after the last
	// connection has been accepted.
	listener         net.Listener
	accepting, ended chan struct{}
}

// maxHeaderBytes is net/http's own bound; the configured one is below it.
const maxHeaderBytes = 64 << 10

func newClients(handler http.Handler, limits func() serving.Limits, set *metrics.Set, log logrus.FieldLogger) *clients {
	ends := &connEnds{log: log, set: set}
	g := newGuard(limits, ends)
	return &clients{guard: g, ends: ends, accepting: make(chan struct{}), ended: make(chan struct{}), server: &http.Server{
		Handler: g.wrap(ends.report(handler)), MaxHeaderBytes: maxHeaderBytes, ConnState: g.connState, ConnContext: g.connContext,
	}}
}

// serve answers clients that connect to l until drain or an error. It must be called
// once.
func (c *clients) serve(l net.Listener) error {
	c.listener = l
	close(c.accepting)
	defer close(c.ended)
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

// endingTime is how long before the limit connections are ended that rest while others
// are still served: over twice what a last look and a first request take.
const endingTime = 2 * time.Second

// drain lets requests end, until limit at the latest, and ends all connections. serve
// must have been called or be about to. Idle connections stay while requests are served:
// a request on them is answered and its connection closed, whereas one that crosses
// the end has to be sent anew. http.Server's Shutdown is not used: it drops requests that
// it reads after it has begun.
func (c *clients) drain(limit time.Time) {
	c.await(limit.Add(-endingTime), c.guard.idle)
	c.guard.leave()
	<-c.accepting
	_ = c.listener.Close()
	<-c.ended
	c.await(limit, c.guard.empty)
	if !c.guard.empty() {
		c.ends.reportLeft(c.guard.phases())
	}
	_ = c.server.Close()
}

func (c *clients) await(limit time.Time, done func() bool) {
	for time.Now().Before(limit) && !done() {
		time.Sleep(drainCheck)
	}
}
