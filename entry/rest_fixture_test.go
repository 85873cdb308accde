package entry

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/rpcpool"
)

// restFleet is a loadFleet that records what its instances send and receive.
type restFleet struct {
	*loadFleet
	traces []*serverTrace
}

// newRestFleet starts the instances and engines, without the load.
func newRestFleet(t *testing.T) *restFleet {
	t.Helper()
	f := &restFleet{}
	f.loadFleet = startLoadFleet(&fleet{t: t, network: func(int) network {
		trace := &serverTrace{sent: map[string][]time.Time{}, rests: map[string][]time.Time{}}
		f.traces = append(f.traces, trace)
		return network{peers: rpcpool.DialTCP, servers: trace.dial}
	}})
	return f
}

// serverTrace records one instance's attempts, and answers that ask for a rest, at the instance's end of the connections: an
// attempt that a slow server reads late was sent before.
type serverTrace struct {
	mu sync.Mutex
	// sent has the times at which attempts were written, and rests those at which answers were read, by the server's address;
	// guarded by mu.
	sent, rests map[string][]time.Time
}

func (s *serverTrace) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &tracedConn{Conn: conn, trace: s, server: address}, nil
}

// sentInRest returns the maximum number of attempts that were sent to a server during a rest, and the number of answers that
// asked for one.
func (s *serverTrace) sentInRest(server string) (most, rests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, read := range s.rests[server] {
		n := 0
		for _, at := range s.sent[server] {
			if after := at.Sub(read); after > restSettleTime && after < restTime {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(s.rests[server])
}

// tracedConn is a connection to a server.
type tracedConn struct {
	net.Conn
	trace  *serverTrace
	server string
}

// Write implements net.Conn.
func (c *tracedConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("Martenport-Attempt-Id: ")) {
		c.trace.mu.Lock()
		c.trace.sent[c.server] = append(c.trace.sent[c.server], time.Now())
		c.trace.mu.Unlock()
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *tracedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if bytes.Contains(b[:n], []byte("Retry-After: ")) {
		c.trace.mu.Lock()
		c.trace.rests[c.server] = append(c.trace.rests[c.server], time.Now())
		c.trace.mu.Unlock()
	}
	return n, err
}
