package lab

import (
	"context"
	"net"
	"sync"
)

// connKey is the context key of a request's channel.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// repeatingListener accepts channels on which an answer can be given twice.
type repeatingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l repeatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: c}, nil
}

// repeatingConn is a channel on which an answer is given once more at the point where the next answer is
// expected.
type repeatingConn struct {
	net.Conn

	mu sync.Mutex
	// extra is the answer to repeat, "" if there is none. written: the answer has been given for the first
	// time; due: the next request has arrived. Guarded by mu.
	extra        string
	written, due bool
}

func (c *repeatingConn) repeat(answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extra, c.written, c.due = answer, false, false
}

// Read implements net.Conn.
func (c *repeatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.written {
		c.due = true
	}
	return n, err
}

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	extra := ""
	if c.due {
		extra, c.extra, c.written, c.due = c.extra, "", false, false
	} else if c.extra != "" {
		c.written = true
	}
	c.mu.Unlock()
	if extra != "" {
		if _, err := c.Conn.Write([]byte(extra)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
