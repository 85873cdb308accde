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

// memoryWay is a way that can be cut: what is sent is lost, and no connection opens.
type memoryWay struct {
	mu  sync.Mutex
	cut bool // guarded by mu
	// silent is the last connection that has fallen silent, by the number of its opening, and
	// opened the last one; guarded by mu.
	silent, opened int
}

// open returns the number of a new connection.
func (w *memoryWay) open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened++
	return w.opened
}

// silence has all open connections be silent from now on.
func (w *memoryWay) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = w.opened
}

// loses reports whether what is sent on a connection is lost.
func (w *memoryWay) loses(conn int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut || conn <= w.silent
}

func (w *memoryWay) set(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *memoryWay) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// memoryConnect is how long opening a connection on a way that is cut takes to fail.
const memoryConnect = 1200 * time.Millisecond

// memoryConn is one end of a connection on a way.
type memoryConn struct {
	net.Conn
	way    *memoryWay
	number int
}

// Write implements net.Conn.
func (c memoryConn) Write(b []byte) (int, error) {
	if c.way.loses(c.number) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (l *memoryListener) dial(ctx context.Context, way *memoryWay) (net.Conn, error) {
	if way.isCut() {
		pause.For(ctx, memoryConnect)
		return nil, os.ErrDeadlineExceeded
	}
	here, there := net.Pipe()
	number := way.open()
	select {
	case l.conns <- memoryConn{there, way, number}:
	case <-l.ended:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, here, there)
	return memoryConn{here, way, number}, nil
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

// end closes the listener and all its connections.
func (l *memoryListener) end() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		_ = conn.Close()
	}
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
