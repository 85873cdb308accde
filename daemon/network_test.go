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

// network is loopback in memory, which virtual time can wait on. It can cut
// failure domains off from each other and from the platform.
type network struct {
	bytes atomic.Int64 // written by all instances

	mu        sync.Mutex
	listeners map[string]*listener // guarded by mu; by address
	away      map[string]bool      // guarded by mu; domains that are cut off
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

// conn is one direction's end of a connection. Once it has lost a write to a
// cut it stays silent, as a real one would until its timeouts.
type conn struct {
	net.Conn
	net      *network
	from, to string
	address  string // of the instance that was dialled
	dead     atomic.Bool
}

func (c *conn) Write(p []byte) (int, error) {
	if c.dead.Load() || c.net.cut(c.from, c.to) {
		c.dead.Store(true)
		return len(p), nil
	}
	c.net.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, away: map[string]bool{}}
}

// platformDomain stands for the platform in cuts.
const platformDomain = "platform"

func (n *network) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from != to && (n.away[from] || n.away[to])
}

func (n *network) setAway(domain string, away bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.away[domain] = away
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
			return nil, errors.New("nobody listens there")
		}
		if n.cut(from, l.domain) {
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

// cutStore is the platform as seen from a failure domain.
type cutStore struct {
	store.Store
	net    *network
	domain string
}

func (s cutStore) reach(ctx context.Context) error {
	if !s.net.cut(s.domain, platformDomain) {
		return nil
	}
	return store.ErrUnavailable
}

func (s cutStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.reach(ctx); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s cutStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.reach(ctx); err != nil {
		return store.Snapshot{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s cutStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	if err := s.reach(ctx); err != nil {
		return store.Object{}, err
	}
	return s.Store.Put(ctx, key, value, version)
}

func (s cutStore) Watch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	if err := s.reach(ctx); err != nil {
		return store.Snapshot{}, err
	}
	snap, err := s.Store.Watch(ctx, prefix, revision)
	if reachErr := s.reach(ctx); reachErr != nil {
		return store.Snapshot{}, reachErr
	}
	return snap, err
}

// cutEngine is an engine as reached from a failure domain.
type cutEngine struct {
	backend.Engine
	net      *network
	name     string
	from, to string
}

// silent reports whether nobody reaches the engine.
func (e cutEngine) silent() bool { return e.net.cut(e.from, e.to) || e.net.cut("", e.name) }

func (e cutEngine) Report(ctx context.Context, after uint64) (backend.Report, error) {
	if e.silent() {
		return backend.Report{}, backend.ErrUnknown
	}
	return e.Engine.Report(ctx, after)
}

func (e cutEngine) Fence(ctx context.Context, epoch uint64) (backend.Report, error) {
	if e.silent() {
		return backend.Report{}, backend.ErrUnknown
	}
	return e.Engine.Fence(ctx, epoch)
}

func (e cutEngine) Load(ctx context.Context, o backend.Order) (backend.Ack, error) {
	if e.silent() {
		return backend.Ack{}, backend.ErrRefused
	}
	return e.Engine.Load(ctx, o)
}

func (e cutEngine) Generate(ctx context.Context, a backend.Attempt) (backend.Stream, error) {
	if e.silent() {
		return nil, verdict.Refuse(verdict.ReasonBackend, "no route to %s", e.to)
	}
	return e.Engine.Generate(ctx, a)
}
