package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/serving"
)

// clientServer serves the clients' connections.
type clientServer struct {
	guard    *connGuard
	server   *http.Server
	connEnds *connEndRecorder
	// listener is set before acceptStarted is closed. acceptEnded is closed after the last connection
	// has been accepted.
	listener                   net.Listener
	acceptStarted, acceptEnded chan struct{}
	// admit decides whether to keep a new connection beside the given number of open ones; set before serve.
	admit func(open int) bool
	// maxConns is the number of connections from which others yield to new ones, 0 for no limit; set before serve.
	maxConns int
}

// maxHeaderBytes is net/http's own limit. The configured one is lower.
const maxHeaderBytes = 64 << 10

func newClientServer(handler http.Handler, limits func() serving.Limits, budget *intake.Budget, set *metrics.Set, log logrus.FieldLogger) *clientServer {
	ends := &connEndRecorder{log: log, set: set}
	g := newConnGuard(limits, budget, ends)
	return &clientServer{admit: func(int) bool { return true }, guard: g, connEnds: ends, acceptStarted: make(chan struct{}), acceptEnded: make(chan struct{}), server: &http.Server{
		Handler: g.trackHandlers(ends.logAborted(handler)), MaxHeaderBytes: maxHeaderBytes, ConnState: g.connState, ConnContext: g.connContext,
	}}
}

// serve accepts clients on l until drain is called or an error occurs. It must be called only once.
func (c *clientServer) serve(l net.Listener) error {
	c.listener = l
	close(c.acceptStarted)
	defer close(c.acceptEnded)
	return c.server.Serve(clientListener{Listener: l, clients: c})
}

// clientListener wraps accepted connections in clientConn, and closes those that are not admitted unread, so that their
// clients connect to other instances.
type clientListener struct {
	net.Listener
	clients *clientServer
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.clients.hasRoom() {
			return newClientConn(c, l.clients.guard.intake), nil
		}
		_ = c.Close()
		l.clients.connEnds.count(endNotAdmitted, 1)
	}
}

// hasRoom reports whether to keep a new connection. If there are too many, another one yields if possible.
func (c *clientServer) hasRoom() bool {
	open := c.guard.openConnections()
	if c.maxConns > 0 && open >= c.maxConns && c.guard.makeRoom(c.maxConns) {
		open = c.maxConns - 1
	}
	return c.admit(open)
}

// drainPollInterval is how often drain checks the connections.
const drainPollInterval = 50 * time.Millisecond

// idleCloseLead is how long before the deadline idle connections are closed although others still
// serve requests. It is over twice the time that closing them takes: the final read, which finds a request
// that has arrived meanwhile (finalReadTimeout), and the wait for the first request on a connection without
// any (firstRequestWait).
const idleCloseLead = 2 * time.Second

// drain waits for requests to end, until deadline at the latest, and closes all connections. It
// waits until serve has been called. Idle connections stay open while requests are being served, until
// idleCloseLead before deadline at the latest: a request that arrives on one of them is answered and its
// connection closed, whereas a request that is in flight when its connection closes has to be sent again.
// http.Server.Shutdown is not used
// because it drops requests that it reads after it has begun.
func (c *clientServer) drain(deadline time.Time) {
	c.guard.leaving.Store(true)
	c.waitUntil(deadline.Add(-idleCloseLead), c.guard.noRequests)
	c.guard.beginDrain()
	<-c.acceptStarted
	_ = c.listener.Close()
	<-c.acceptEnded
	c.waitUntil(deadline, c.guard.noConnections)
	if !c.guard.noConnections() {
		c.connEnds.logCutOff(c.guard.countPhases())
	}
	_ = c.server.Close()
}

func (c *clientServer) waitUntil(deadline time.Time, done func() bool) {
	for time.Now().Before(deadline) && !done() {
		time.Sleep(drainPollInterval)
	}
}
