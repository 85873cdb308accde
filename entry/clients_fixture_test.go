package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/serving"
)

// Clients and connections for the tests of clientServer.

const (
	testRequest = "GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n"
	// testServeTime is the duration of a request.
	testServeTime = 2 * time.Second
	// testCloseTime and testReadTime are the delays of a process with little CPU time when it closes a connection,
	// and after it has read from one.
	testCloseTime = 500 * time.Millisecond
	testReadTime  = 50 * time.Millisecond
)

// testClients runs a clientServer with its connGuard on pipes.
type testClients struct {
	t        *testing.T
	clients  *clientServer
	limits   atomic.Pointer[serving.Limits]
	accepted chan net.Conn
}

// testIntake returns a budget of clients' requests that they do not exhaust.
func testIntake() *intake.Budget { return newIntake(0, 0, metrics.NewSet(), discardLog()) }

func newTestClients(t *testing.T, limits serving.Limits) *testClients {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newTestClientsWith(t, limits, serveSlowly, log)
}

func newTestClientsWith(t *testing.T, limits serving.Limits, handler http.HandlerFunc, log logrus.FieldLogger) *testClients {
	s := &testClients{t: t, accepted: make(chan net.Conn)}
	s.limits.Store(&limits)
	s.clients = newClientServer(handler, func() serving.Limits { return *s.limits.Load() }, testIntake(), metrics.NewSet(), log)
	listener := &pipeListener{accepted: s.accepted, closed: make(chan struct{})}
	ctx, stop := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { s.clients.guard.run(ctx) })
	work.Go(func() { _ = s.clients.serve(listener) })
	t.Cleanup(func() {
		stop()
		time.Sleep(time.Minute) // until the server has noticed that all clients have closed
		_ = s.clients.server.Close()
		work.Wait()
	})
	return s
}

// serveSlowly answers as the ingress does: it sets and resets a read deadline for the body, and aborts when the
// client is gone.
func serveSlowly(w http.ResponseWriter, r *http.Request) {
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(testServeTime / 2))
	_ = conn.SetReadDeadline(time.Time{})
	select {
	case <-time.After(testServeTime):
		fmt.Fprint(w, "whole")
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// connect opens a connection.
func (s *testClients) connect() *testConn {
	client, server := net.Pipe()
	c := &testConn{Conn: client, t: s.t, answers: bufio.NewReader(client), server: &slowConn{Conn: server}}
	s.accepted <- c.server
	s.t.Cleanup(func() { _ = client.Close() })
	return c
}

// connectIdle opens n connections that are idle after a first answer.
func (s *testClients) connectIdle(n int) []*testConn {
	all := make([]*testConn, n)
	var requests sync.WaitGroup
	for i := range all {
		all[i] = s.connect()
		requests.Go(func() { all[i].request() })
	}
	requests.Wait()
	return all
}

// sendSpread sends a request on each connection, evenly spread over half a second from first on, and waits for the
// answers.
func (s *testClients) sendSpread(all []*testConn, first time.Time) {
	step := time.Second / 2 / time.Duration(len(all))
	var requests sync.WaitGroup
	for i, c := range all {
		requests.Go(func() {
			time.Sleep(time.Until(first.Add(time.Duration(i) * step)))
			c.server.read.Store(0)
			c.answered = c.request()
		})
	}
	requests.Wait()
}

// checkReadRequestsAnswered checks that each request that the server has read was answered.
func (s *testClients) checkReadRequestsAnswered(all []*testConn) {
	s.t.Helper()
	read, lost := 0, 0
	for _, c := range all {
		if c.server.read.Load() < int64(len(testRequest)) {
			continue // the connection was closed before it arrived
		}
		read++
		if !c.answered {
			lost++
		}
	}
	if lost > 0 || read == 0 {
		s.t.Errorf("%d requests sent, %d read, %d of these not answered", len(all), read, lost)
	}
}

// testConn is a client's end of a connection.
type testConn struct {
	net.Conn
	t        *testing.T
	answers  *bufio.Reader
	server   *slowConn
	answered bool
}

func (c *testConn) write(text string) { _, _ = io.WriteString(c.Conn, text) }

// request sends a request and reports whether it got a complete answer.
func (c *testConn) request() bool {
	c.write(testRequest)
	return c.readAnswer()
}

func (c *testConn) readAnswer() bool {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "whole"
}

// slowConn is a server's end of a connection in a process that is sometimes not scheduled.
type slowConn struct {
	net.Conn
	// read counts the bytes that the server has read.
	read atomic.Int64
	// readTime and closeTime are added delays of a read and of the close, in nanoseconds.
	readTime, closeTime atomic.Int64
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	if n > 0 {
		time.Sleep(time.Duration(c.readTime.Load()))
	}
	return n, err
}

func (c *slowConn) Close() error {
	time.Sleep(time.Duration(c.closeTime.Load()))
	return c.Conn.Close()
}

// pipeListener accepts one end of each pipe.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
