package entry

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/serving"
)

// phase is the state of a connection in the HTTP request cycle.
type phase int

const (
	// phaseIdle: no byte of a request has been read.
	phaseIdle phase = iota
	// phaseReceiving: part of a request has been read, but not all of its headers.
	phaseReceiving
	// phaseServing: the headers have been read and the answer has not ended.
	phaseServing
)

func (p phase) String() string {
	return [...]string{"idle", "receiving", "serving"}[p]
}

// closeState is the progress of closing a connection.
type closeState int

const (
	// closeNone: the connection is not being closed.
	closeNone closeState = iota
	// closeRequested: the next read closes the connection unless data has arrived by then.
	closeRequested
	// closeFinalRead: the reader makes its last attempt to read.
	closeFinalRead
)

// clientConn is a client's connection. It records what net/http does not expose: whether bytes of a
// request have arrived, and what ended the connection.
//
// It is never closed from outside while net/http may be reading from it. A close between two steps of
// the reader would lose a request that has been read or is already being served. Instead, requestClose
// sets a read deadline in the past and the reader checks whether data has arrived. If so, the
// connection stays open and the request is served; otherwise net/http closes it.
type clientConn struct {
	net.Conn
	intake *intake.Budget

	mu sync.Mutex // guards the fields below; acquired after connGuard.mu and the intake's
	// holding is what the request takes that is being received or served; nil if there is none.
	holding *intake.Holding
	// yielding: the connection is being closed because another needs its place, or because its request is not read.
	yielding bool
	// phase is the connection's phase, which began at phaseStart.
	phase      phase
	phaseStart time.Time
	// idleLimit is the larger of two limits: the one in force when the last request was read, which
	// was announced to the client, and the one in force when the connection became idle.
	idleLimit time.Duration
	// answered: a request has been answered on the connection.
	answered bool
	// closing is not closeNone only in the phases idle and receiving.
	closing closeState
	// readDeadline is the deadline set by net/http. It is in force while closing is closeNone.
	readDeadline time.Time
	// handled: a handler has the request; aborted: the handler has ended without a complete answer.
	handled, aborted bool
	// resetting: closing the connection resets it; ended: the handler has ended with a complete answer since that was set.
	resetting, ended bool
	// readErr and writeErr are the first read and write errors.
	readErr, writeErr error
}

func newClientConn(c net.Conn, budget *intake.Budget) *clientConn {
	return &clientConn{Conn: c, intake: budget, phaseStart: time.Now()}
}

// resetUntilEnded makes the connection be reset if it is closed before markEnded is called, also by the kernel when the
// process is killed. Without chunks, which HTTP/1.0 lacks, the end of a connection is the end of an answer, so that a part of
// one would look complete.
func (c *clientConn) resetUntilEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetting, c.ended = c.setLinger(0), false
}

// markEnded records that the handler has ended with a complete answer. The rest of it is sent before Close is called.
func (c *clientConn) markEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// defaultLinger has the kernel send what is left in the background when a connection is closed.
const defaultLinger = -1

// setLinger sets SO_LINGER, and reports whether that was possible.
func (c *clientConn) setLinger(seconds int) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	return ok && tcp.SetLinger(seconds) == nil
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if c.resetting && c.ended {
		c.setLinger(defaultLinger)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// finalReadTimeout is how long the reader of a connection to be closed waits for a request that may
// have arrived. A read whose deadline has passed does not check for data at all, and a request may
// have arrived while the process was not scheduled. The timeout only has to be longer than the reader
// takes from here to its read.
const finalReadTimeout = 100 * time.Millisecond

// expiredDeadline is a read deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginFinalRead() {
		n, err = c.Conn.Read(p)
	}
	c.recordRead(n, err)
	if c.chargeHead(p[:n]) != nil || err != nil && c.isHeadRefused() {
		_ = c.Close() // net/http may take what has come of a line for a malformed one and would answer 400
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// isHeadRefused reports whether the connection is being closed because the head of its request is not read any further.
func (c *clientConn) isHeadRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielding && c.phase == phaseReceiving
}

// headerOverhead is the memory in bytes that a header takes beyond its text, in the maps of net/http and of the request.
const headerOverhead = 256

// chargeHead charges what has been read to the request, unless that is part of a body, which its reader charges.
func (c *clientConn) chargeHead(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	c.mu.Lock()
	isBody := c.phase == phaseServing
	c.mu.Unlock()
	if isBody {
		return nil
	}
	h := c.requestHolding()
	h.Progress(len(p))
	return h.Charge(int64(len(p) + headerOverhead*bytes.Count(p, []byte{'\n'})))
}

// requestHolding returns the holding of the request that is being received or served.
func (c *clientConn) requestHolding() *intake.Holding {
	c.mu.Lock()
	h := c.holding
	c.mu.Unlock()
	if h != nil {
		return h
	}
	begun := c.intake.Begin(c.interrupt) // without c.mu, which is acquired after the budget's
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = begun
	return begun
}

// releaseHolding ends the holding of the request.
func (c *clientConn) releaseHolding() {
	c.mu.Lock()
	h := c.holding
	c.holding = nil
	c.mu.Unlock()
	if h != nil {
		h.Release()
	}
}

// interrupt ends the reading of a request that is refused. If its head is being received the connection is closed, else the reader
// of its body answers it.
func (c *clientConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yielding = true
	if c.phase == phaseServing {
		_ = c.Conn.SetReadDeadline(expiredDeadline)
		return
	}
	c.requestClose()
}

// beginFinalRead reports whether a read whose deadline has passed is to be retried one last time.
func (c *clientConn) beginFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing != closeRequested {
		return false // the deadline is net/http's, or the final read has timed out
	}
	c.closing = closeFinalRead
	_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
	return true
}

func (c *clientConn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == phaseIdle {
		c.setPhase(phaseReceiving)
		c.cancelClose()
	}
	if err != nil && c.readErr == nil {
		c.readErr = err
	}
}

// requestClose makes the reader close the connection unless a request has arrived. c.mu must be held.
func (c *clientConn) requestClose() {
	if c.closing != closeNone || c.phase == phaseServing {
		return
	}
	c.closing = closeRequested
	_ = c.Conn.SetReadDeadline(expiredDeadline)
}

// cancelClose revokes a close request. c.mu must be held.
func (c *clientConn) cancelClose() {
	if c.closing == closeNone {
		return
	}
	c.closing, c.yielding = closeNone, false
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline implements net.Conn. net/http sets deadlines when an idle phase begins and ends;
// that must not revoke a close requested meanwhile.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closing != closeNone {
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

// CloseWrite lets net/http deliver an answer before it closes a connection with unread data.
func (c *clientConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// setPhase changes the phase. c.mu must be held.
func (c *clientConn) setPhase(p phase) {
	c.phase, c.phaseStart = p, time.Now()
}

// markIdle records that an answer has ended and the next request may arrive.
func (c *clientConn) markIdle(limits serving.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(phaseIdle)
	c.idleLimit = max(c.idleLimit, limits.IdleTimeout)
	c.answered, c.handled = true, false
	c.readErr = nil // a read that net/http itself has interrupted
}

// markServing records that the headers of a request have been read.
func (c *clientConn) markServing(limits serving.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = limits.IdleTimeout
	c.setPhase(phaseServing)
	c.cancelClose()
}

// markHandled records that a handler has the request.
func (c *clientConn) markHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// exceedsLimit reports whether the connection has been in its phase for longer than its limit. A limit
// of 0 means none. Without a header limit, a connection in phaseReceiving has the idle limit. c.mu
// must be held.
func (c *clientConn) exceedsLimit(now time.Time, limits serving.Limits) bool {
	limit := time.Duration(0)
	switch {
	case c.phase == phaseReceiving && limits.HeaderTimeout > 0:
		limit = limits.HeaderTimeout
	case c.phase != phaseServing && limits.IdleTimeout > 0:
		// A client reuses a connection for as long as the limit allowed that it knew when the
		// connection became idle.
		limit = max(limits.IdleTimeout, c.idleLimit)
	}
	return limit > 0 && now.Sub(c.phaseStart) > limit
}
