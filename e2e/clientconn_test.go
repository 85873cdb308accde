package e2e

import (
	"bytes"
	"context"
	"net"
)

// dialOldProtocol opens a connection on which requests are sent as those of HTTP/1.0, so that answers have no chunks.
func dialOldProtocol(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return oldProtocolConn{conn}, nil
}

// dialWithSmallBuffer opens a connection with room for a few events, so that a client that reads slowly holds its stream up.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(4 << 10)
}

// oldProtocolConn replaces the protocol version in what is written.
type oldProtocolConn struct{ net.Conn }

// Write implements net.Conn.
func (c oldProtocolConn) Write(p []byte) (int, error) {
	_, err := c.Conn.Write(bytes.Replace(p, []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1))
	return len(p), err
}
