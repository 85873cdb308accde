package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/verdict"
)

// network is an in-memory network that works in virtual time. It can partition failure
// domains, single engines and the store from each other.
type network struct {
	bytes atomic.Int64 // number of bytes written by all instances

	mu        sync.Mutex
	listeners map[string]*listener // guarded by mu; by address
	isolated  map[string]bool      // guarded by mu; partitioned failure domains and engines
	conns     []*conn              // guarded by mu
}

type listener struct {
	address string
	domain  string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// conn is one end of a connection. Once a write was lost in a partition, all later
// writes are dropped too, as on a TCP connection until its time-outs.
type conn struct {
	net.Conn
	net      *network
	from, to string
	address  string // address of the dialled instance
	broken   atomic.Bool
}

func (c *conn) Write(p []byte) (int, error) {
	if c.broken.Load() || c.net.partitioned(c.from, c.to) {
		c.broken.Store(true)
		return len(p), nil
	}
	c.net.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, isolated: map[string]bool{}}
}

// platformDomain is the pseudo failure domain of the store.
const platformDomain = "platform"

// partitioned reports whether messages between two failure domains are dropped.
func (n *network) partitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from != to && (n.isolated[from] || n.isolated[to])
}

// setPartitioned partitions a failure domain or an engine from all others, or heals
// the partition.
func (n *network) setPartitioned(domain string, away bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[domain] = away
}

func (n *network) listen(address, domain string) *listener {
	l := &listener{address: address, domain: domain, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *network) dial(from string) rpcpool.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l, found := n.listeners[address]
		n.mu.Unlock()
		if !found {
			return nil, errors.New("no listener at this address")
		}
		if n.partitioned(from, l.domain) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		here, there := net.Pipe()
		a := &conn{Conn: here, net: n, from: from, to: l.domain, address: address}
		b := &conn{Conn: there, net: n, from: l.domain, to: from, address: address}
		n.mu.Lock()
		n.conns = append(n.conns, a, b)
		n.mu.Unlock()
		select {
		case l.accept <- b:
			return a, nil
		case <-l.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// partitionableStore is the store as accessed from a failure domain.
type partitionableStore struct {
	store.Store
	net    *network
	domain string
}

// reach returns ErrUnavailable while the store cannot be reached.
func (s partitionableStore) reach(ctx context.Context) error {
	if !s.net.partitioned(s.domain, platformDomain) {
		return nil
	}
	return store.ErrUnavailable
}

func (s partitionableStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.reach(ctx); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s partitionableStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.reach(ctx); err != nil {
		return store.Snapshot{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s partitionableStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	if err := s.reach(ctx); err != nil {
		return store.Object{}, err
	}
	return s.Store.Put(ctx, key, value, version)
}

func (s partitionableStore) Watch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	if err := s.reach(ctx); err != nil {
		return store.Snapshot{}, err
	}
	snap, err := s.Store.Watch(ctx, prefix, revision)
	if reachErr := s.reach(ctx); reachErr != nil {
		return store.Snapshot{}, reachErr
	}
	return snap, err
}

// partitionableEngine is an engine as accessed from a failure domain.
type partitionableEngine struct {
	backend.Engine
	net      *network
	name     string
	from, to string
}

// unreachable reports whether the engine cannot be reached from this failure domain.
func (e partitionableEngine) unreachable() bool {
	return e.net.partitioned(e.from, e.to) || e.net.partitioned("", e.name)
}

func (e partitionableEngine) Report(ctx context.Context, after uint64) (backend.Report, error) {
	if e.unreachable() {
		return backend.Report{}, backend.ErrUnknown
	}
	return e.Engine.Report(ctx, after)
}

func (e partitionableEngine) Fence(ctx context.Context, epoch uint64) (backend.Report, error) {
	if e.unreachable() {
		return backend.Report{}, backend.ErrUnknown
	}
	return e.Engine.Fence(ctx, epoch)
}

func (e partitionableEngine) Load(ctx context.Context, o backend.Order) (backend.Ack, error) {
	if e.unreachable() {
		return backend.Ack{}, backend.ErrRefused
	}
	return e.Engine.Load(ctx, o)
}

func (e partitionableEngine) Generate(ctx context.Context, a backend.Attempt) (backend.Stream, error) {
	if e.unreachable() {
		return nil, verdict.Refuse(verdict.ReasonBackend, "no route to %s", e.to)
	}
	return e.Engine.Generate(ctx, a)
}
