package soak

import (
	"bufio"
	"net"
	"time"
)

// openConns are the connections that a client keeps open, by the instance's address.
type openConns map[string]openConn

// openConn is a connection that has carried requests, the last one until lastAnswer.
type openConn struct {
	net.Conn
	reader     *bufio.Reader
	lastAnswer time.Time
}

// send sends a request on the connection to an instance. It opens one if there is none, or if that was idle for too long.
func (c openConns) send(address string, idleTimeout time.Duration, req *clientRequest) {
	conn, open := c[address]
	if open && time.Since(conn.lastAnswer) > idleTimeout*4/5 {
		_ = conn.Close()
		open = false
	}
	req.reusedConn = open
	if !open {
		dialed, err := dialEntry(address)
		if err != nil {
			return
		}
		conn = openConn{Conn: dialed, reader: bufio.NewReader(dialed)}
	}
	delete(c, address)
	if !req.exchange(conn, conn.reader) {
		_ = conn.Close()
		return
	}
	conn.lastAnswer = time.Now()
	c[address] = conn
}

// close closes all connections.
func (c openConns) close() {
	for _, conn := range c {
		_ = conn.Close()
	}
}
