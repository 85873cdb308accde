// Package tcpdial opens TCP connections that notice when the peer has fallen
// silent: a partition, a machine without power, or a connection that some box on
// the way has forgotten answers with nothing at all, and without limits of its own
// a connection waits for minutes.
package tcpdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Params set what a connection puts up with.
type Params struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Silence is how long the peer may leave what was sent, or a probe,
	// unacknowledged before the connection is given up. It is several round trips,
	// with room for a lost packet. 0 sets no limit.
	Silence time.Duration
	// ResetOnClose has Close reset the connection, so that bytes that are still
	// under way are dropped rather than delivered later.
	ResetOnClose bool
}

// probeInterval is how long a connection is quiet before the peer is probed, and
// the pause between probes: the shortest that the kernel knows.
const probeInterval = time.Second

// probeCount is the kernel's own limit on probes without an answer; Silence
// decides first.
const probeCount = 3

// Dial connects to a TCP address.
func (p Params) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: p.Connect}
	if p.Silence > 0 {
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

// control sets the limit on silence before the connection is opened.
func (p Params) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.Silence.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "tcpdial: limit on silence")
}
