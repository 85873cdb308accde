// Package tcpdial opens TCP connections that detect an unresponsive peer, and tells the end of a
// connection from a reset. In a partition, if the peer's machine loses power, or if a middlebox has
// dropped the connection's state, no packets arrive at all, and with the kernel's defaults a
// connection waits for minutes.
package tcpdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Params configure connections.
type Params struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// UnackedTimeout is how long the peer may leave sent data or a keep-alive probe
	// unacknowledged before the connection is closed: several round trips, with room for a lost
	// packet. 0 sets no limit.
	UnackedTimeout time.Duration
	// ResetOnClose makes Close reset the connection, so that bytes in transit are dropped rather
	// than delivered later.
	ResetOnClose bool
}

// probeInterval is how long a connection is idle before the peer is probed, and the interval
// between probes. It is the shortest that the kernel supports.
const probeInterval = time.Second

// probeCount is the kernel's own limit on unanswered probes. The kernel applies UnackedTimeout to probes instead, whatever
// their count: an idle connection ends at the first probe that is due after it.
const probeCount = 3

// Dial connects to a TCP address.
func (p Params) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: p.Connect}
	if p.UnackedTimeout > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
		dialer.Control = p.control
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && p.ResetOnClose {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "tcpdial: reset on close")
		}
	}
	return conn, nil
}

// control sets the limit on unacknowledged data before the connection is opened.
func (p Params) control(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.UnackedTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, sockoptErr), "tcpdial: limit on silence")
}
