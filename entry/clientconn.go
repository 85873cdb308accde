package entry

import (
	"net"
	"sync"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseIdle: nothing of a request has come.
	phaseIdle phase = iota
	// phaseReceiving: something of a request has come, its headers not whole.
	phaseReceiving
	// phaseServing: the headers have been read, the answer has not ended.
	phaseServing
)

func (p phase) String() string {
	return [...]string{"idle", "receiving", "serving"}[p]
}

// clientConn is a client's connection. It notes what net/http does not tell:
// that bytes of a request have come, and what ended the connection.
type clientConn struct {
	net.Conn

	mu sync.Mutex // guards what follows
	// phase is what the connection is used for, since when.
	phase phase
	since time.Time
	// handled: a handler has the request; cut: it has ended without a whole answer.
	handled, cut bool
	// readErr and writeErr are the first errors of reading and writing.
	readErr, writeErr error
}

func newClientConn(c net.Conn) *clientConn {
	return &clientConn{Conn: c, since: time.Now()}
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == phaseIdle {
		c.enter(phaseReceiving)
	}
	if err != nil && c.readErr == nil {
		c.readErr = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr == nil {
			c.writeErr = err
		}
	}
	return n, err
}

// CloseWrite has net/http let an answer arrive before it closes a connection
// from which not all has been read.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// enter changes the phase. c.mu must be held.
func (c *clientConn) enter(p phase) {
	c.phase, c.since = p, time.Now()
}

// rest notes that an answer has ended and the next request may come.
func (c *clientConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle)
	c.handled = false
	c.readErr = nil // a read that net/http itself has ended
}

// serve notes that the headers of a request have been read.
func (c *clientConn) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseServing)
}

// hand notes that a handler has the request.
func (c *clientConn) hand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}
