package entry

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// memoryListener accepts connections within the process.
type memoryListener struct {
	conns chan net.Conn
	ended chan struct{}
	once  sync.Once

	mu   sync.Mutex
	open []net.Conn // guarded by mu
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), ended: make(chan struct{})}
}

// memoryLink is a network path that can be cut: data that is sent is lost, and no connection can be opened.
type memoryLink struct {
	mu  sync.Mutex
	cut bool // guarded by mu
	// lastSilent and lastOpened are numbers of connections, in the order of their opening. Connections up to
	// lastSilent lose all data; guarded by mu.
	lastSilent, lastOpened int
}

// open returns the number of a new connection.
func (l *memoryLink) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastOpened++
	return l.lastOpened
}

// dropOpenConns makes all open connections lose all data from now on, without closing them.
func (l *memoryLink) dropOpenConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSilent = l.lastOpened
}

// drops reports whether data sent on a connection is lost.
func (l *memoryLink) drops(conn int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || conn <= l.lastSilent
}

func (l *memoryLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *memoryLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// memoryConnectTimeout is the time after which opening a connection on a cut link fails.
const memoryConnectTimeout = 1200 * time.Millisecond

// memoryConn is one end of a connection on a link.
type memoryConn struct {
	net.Conn
	link   *memoryLink
	number int
}

// Write implements net.Conn.
func (c memoryConn) Write(b []byte) (int, error) {
	if c.link.drops(c.number) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (l *memoryListener) dial(ctx context.Context, link *memoryLink) (net.Conn, error) {
	if link.isCut() {
		pause.For(ctx, memoryConnectTimeout)
		return nil, os.ErrDeadlineExceeded
	}
	client, server := net.Pipe()
	number := link.open()
	select {
	case l.conns <- memoryConn{server, link, number}:
	case <-l.ended:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, client, server)
	return memoryConn{client, link, number}, nil
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

// closeAll closes the listener and all its connections.
func (l *memoryListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		_ = conn.Close()
	}
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
