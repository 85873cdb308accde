package tcpdial

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrReset is returned in place of io.EOF at the end of a connection that was reset, or that was closed here before its state
// was known. What was read may be a part of what the other end meant to send.
var ErrReset = errors.New("tcpdial: the connection was reset")

// stateCloseWait is the state of a TCP connection whose other end has closed its side, and only that.
const stateCloseWait = 8

// settleTime is how long a connection on which a write is under way is watched for a reset after the other end has closed its
// side. It is many round trips within a region: an end that takes nothing more resets the connection as soon as data arrives.
const settleTime = 20 * time.Millisecond

// settleStep is the time between two looks at such a connection.
const settleStep = 2 * time.Millisecond

// CheckEnd returns a connection whose reads return io.EOF only if the other end has closed its side, and ErrReset at any other end.
// The operating system reports a reset once, to the first call that meets it. If that is a write, the read beside it returns
// io.EOF as if the other end had sent everything.
//
// The own side must not be closed for writing alone. A connection that is no socket is returned as it is.
func CheckEnd(conn net.Conn) net.Conn {
	with, ok := conn.(syscall.Conn)
	if _, checked := conn.(*checkedConn); !ok || checked {
		return conn
	}
	raw, err := with.SyscallConn()
	if err != nil {
		return conn
	}
	return &checkedConn{Conn: conn, raw: raw, settle: settleTime}
}

// CheckEnds makes a function that opens connections return those of CheckEnd.
func CheckEnds(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return CheckEnd(conn), nil
	}
}

// checkedConn is a connection of CheckEnd.
type checkedConn struct {
	net.Conn
	raw syscall.RawConn
	// writes is the number of writes under way, and reset is set once one has failed because the connection was reset.
	writes atomic.Int64
	reset  atomic.Bool
	// settle is how long the connection is watched at its end.
	settle time.Duration
}

// SyscallConn implements syscall.Conn.
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.reset.Store(true)
	}
	return n, err
}

// Read implements net.Conn. After a write that failed, its user may close the connection before it is read.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.closedByPeer() || errors.Is(err, net.ErrClosed) && c.reset.Load() {
		err = ErrReset
	}
	return n, err
}

// closedByPeer reports whether the other end has closed its side and has not reset the connection.
func (c *checkedConn) closedByPeer() bool {
	if state(c.raw) != stateCloseWait {
		return false
	}
	if c.writes.Load() == 0 {
		return true
	}
	for settled := time.Now().Add(c.settle); time.Now().Before(settled); {
		time.Sleep(settleStep)
		if state(c.raw) != stateCloseWait {
			return false
		}
	}
	return true
}

// state returns the state of a TCP connection; 0 if it is not known, as after the connection was closed here.
func state(raw syscall.RawConn) uint8 {
	var state uint8
	_ = raw.Control(func(fd uintptr) { // fails only if the connection was closed here
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}
