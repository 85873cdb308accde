package entry

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/serving"
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

// ending is how far the end of a connection has come.
type ending int

const (
	// endNone: the connection stays.
	endNone ending = iota
	// endAsked: the next read ends it, unless something has come by then.
	endAsked
	// endLooking: its reader looks for the last time.
	endLooking
)

// clientConn is a client's connection. It knows what net/http does not tell, that
// bytes of a request have come, and what ended the connection.
//
// It is never closed from outside while net/http may be reading from it: closed
// between two steps of the reader, it would lose a request that has been read, or is
// being served already. Instead end sets a read deadline in the past, and the reader
// itself finds out whether something has come: then the connection stays and the
// request is served; else net/http closes it.
type clientConn struct {
	net.Conn

	mu sync.Mutex // guards what follows; taken after guard.mu
	// phase is what the connection is used for, since when.
	phase phase
	since time.Time
	// idleLimit is the larger of those in force as the last request was read, of which the
	// client has been told, and as the connection became idle.
	idleLimit time.Duration
	// kept: a request has been answered on the connection.
	kept bool
	// ending is set in the phases idle and receiving only.
	ending ending
	// readDeadline is what net/http has set; it is in force while ending is endNone.
	readDeadline time.Time
	// handled: a handler has the request; cut: it has ended without a whole answer.
	handled, cut bool
	// readErr and writeErr are the first errors of reading and writing.
	readErr, writeErr error
}

func newClientConn(c net.Conn) *clientConn {
	return &clientConn{Conn: c, since: time.Now()}
}

// lastLook is how long the reader of a connection that is to end looks for a request
// that has come. A read whose deadline is over does not look at all, and a
// request may have come while the process had no processor. It only has to be longer
// than such a reader needs from here to its read.
const lastLook = 100 * time.Millisecond

// longAgo is a read deadline that is over.
var longAgo = time.Unix(1, 0)

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.looksAgain() {
		n, err = c.Conn.Read(p)
	}
	c.noteRead(n, err)
	return n, err
}

// looksAgain reports whether a read whose deadline is over is to look for the last time.
func (c *clientConn) looksAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != endAsked {
		return false // a deadline of net/http's, or the last look is over
	}
	c.ending = endLooking
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastLook))
	return true
}

func (c *clientConn) noteRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == phaseIdle {
		c.enter(phaseReceiving)
		c.stay()
	}
	if err != nil && c.readErr == nil {
		c.readErr = err
	}
}

// end has the connection's reader end it, unless a request has come. c.mu must be held.
func (c *clientConn) end() {
	if c.ending != endNone || c.phase == phaseServing {
		return
	}
	c.ending = endAsked
	_ = c.Conn.SetReadDeadline(longAgo)
}

// stay takes an end back. c.mu must be held.
func (c *clientConn) stay() {
	if c.ending == endNone {
		return
	}
	c.ending = endNone
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline implements net.Conn. net/http sets deadlines as an idle phase begins
// and ends; that must not take back an end asked for meanwhile.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending != endNone {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *clientConn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
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
func (c *clientConn) rest(limits serving.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle)
	c.idleLimit = max(c.idleLimit, limits.IdleTimeout)
	c.kept, c.handled = true, false
	c.readErr = nil // a read that net/http itself has ended
}

// serve notes that the headers of a request have been read.
func (c *clientConn) serve(limits serving.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = limits.IdleTimeout
	c.enter(phaseServing)
	c.stay()
}

// hand notes that a handler has the request.
func (c *clientConn) hand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// over reports whether the connection has outlasted its limit. A limit of 0 is none;
// without one on headers, a request that has begun is given as long as one that has not.
// c.mu must be held.
func (c *clientConn) over(now time.Time, limits serving.Limits) bool {
	limit := time.Duration(0)
	switch {
	case c.phase == phaseReceiving && limits.HeaderTimeout > 0:
		limit = limits.HeaderTimeout
	case c.phase != phaseServing && limits.IdleTimeout > 0:
		// Clients use a connection for as long as the limit allowed that they
		// knew when it became idle.
		limit = max(limits.IdleTimeout, c.idleLimit)
	}
	return limit > 0 && now.Sub(c.since) > limit
}
