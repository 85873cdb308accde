// Package rpcpool keeps one net/rpc connection to each address that is called.
package rpcpool

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/tcpdial"
)

// ErrUnreachable means that no response arrived; the call may have been carried out.
var ErrUnreachable = errors.New("rpc: no answer")

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// unackedTimeout is how long an instance may leave sent data unacknowledged: many round trips, with
// room for one lost packet (1 s).
const unackedTimeout = 1200 * time.Millisecond

// DialTCP is the Dial that is used outside of tests.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpdial.Params{UnackedTimeout: unackedTimeout}.Dial(ctx, "tcp", address)
}

// Pool is a set of connections. It is safe for concurrent use.
type Pool struct {
	dial   Dial
	budget *Budget

	mu    sync.Mutex
	conns map[string]*client // by address; guarded by mu
}

// client is one connection.
type client struct {
	*rpc.Client
	received *received
}

// maxReplyBytes bounds what is received between two responses on a connection.
const maxReplyBytes = 16 << 20

var errReplyTooLarge = errors.Newf("rpc: more than %d bytes without a response", maxReplyBytes)

// received counts what is received on a connection.
type received struct {
	// reads is the number of reads that returned data, and bytes the number of bytes since the last response.
	reads, bytes atomic.Int64
}

// countingConn counts what it receives. Reading fails after maxReplyBytes without a response.
type countingConn struct {
	net.Conn
	received *received
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	if c.received.bytes.Load() > maxReplyBytes {
		return 0, errReplyTooLarge
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.reads.Add(1)
		c.received.bytes.Add(int64(n))
	}
	return n, err
}

func newClient(raw net.Conn) *client {
	r := &received{}
	return &client{Client: rpc.NewClient(countingConn{Conn: raw, received: r}), received: r}
}

// New returns an empty pool.
func New(dial Dial) *Pool {
	return &Pool{dial: dial, budget: NewBudget(), conns: map[string]*client{}}
}

// Call makes one call and waits for its response until ctx ends. reply must not be used after an
// error, since a late response may still be written to it. If the call exceeds its deadline and no
// data at all has arrived on the connection meanwhile, the connection is closed: it may be dead,
// while a new one would work.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := p.conn(ctx, address)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	readsBefore := conn.received.reads.Load()
	pending := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		conn.received.bytes.Store(0)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.received.reads.Load() == readsBefore {
			p.drop(address, conn)
		}
		return errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
	if pending.Error != nil {
		p.drop(address, conn)
		return errors.Wrap(ErrUnreachable, pending.Error.Error())
	}
	return nil
}

func (p *Pool) conn(ctx context.Context, address string) (*client, error) {
	p.mu.Lock()
	conn, found := p.conns[address]
	p.mu.Unlock()
	if found {
		return conn, nil
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, found := p.conns[address]; found {
		_ = raw.Close()
		return conn, nil
	}
	conn = newClient(p.budget.Limit(raw))
	p.conns[address] = conn
	return conn, nil
}

func (p *Pool) drop(address string, conn *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	_ = conn.Close()
}

// Disconnect closes the connection to an address that does not respond, so that the next call opens
// a new one.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	conn, found := p.conns[address]
	p.mu.Unlock()
	if found {
		p.drop(address, conn)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}
