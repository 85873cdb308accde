package entry

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cut is how the path from an instance to all servers is broken.
type cut int

const (
	notCut cut = iota
	// cutRefused resets open connections and refuses new ones.
	cutRefused
	// cutSilent lets nothing through and answers nothing.
	cutSilent
	// cutNew refuses new connections; open ones work.
	cutNew
)

// linkTimeout is after how long a connection without acknowledgements ends.
const linkTimeout = 1500 * time.Millisecond

// serverLink is the path from one instance to all servers.
type serverLink struct {
	mu    sync.Mutex
	cut   cut                    // guarded by mu
	conns map[*linkConn]struct{} // guarded by mu
}

func newServerLink() *serverLink { return &serverLink{conns: map[*linkConn]struct{}{}} }

// set breaks or restores the path.
func (l *serverLink) set(c cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
	for conn := range l.conns {
		switch c {
		case cutRefused:
			_ = conn.Conn.Close()
		case cutSilent:
			conn.silence()
		}
	}
}

// dial opens a connection to a server.
func (l *serverLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	current := l.cut
	l.mu.Unlock()
	switch current {
	case cutRefused, cutNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case cutSilent:
		ctx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, link: l, silent: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	switch l.cut { // the path may have been broken while the connection was opened
	case cutRefused:
		_ = conn.Close()
	case cutSilent:
		c.silence()
	}
	return c, nil
}

// linkConn is a connection that can fall silent.
type linkConn struct {
	net.Conn
	link   *serverLink
	once   sync.Once
	silent chan struct{}
}

// silence makes the connection deliver nothing more. Like one whose peer acknowledges nothing, it ends with a timeout.
func (c *linkConn) silence() {
	c.once.Do(func() {
		close(c.silent)
		time.AfterFunc(linkTimeout, func() { _ = c.Conn.Close() })
		_ = c.SetReadDeadline(time.Now().Add(linkTimeout))
	})
}

func (c *linkConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.isSilent() || err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
