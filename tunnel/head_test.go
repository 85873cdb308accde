package tunnel

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/martenport/martenport/serving"
)

// meteredConn counts the bytes read from a connection.
type meteredConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessHeadOfInstanceTakesMemory guards against answers to requests for a tunnel, from whatever listens at the address of
// an instance that is gone, that are read as long as they come.
func TestEndlessHeadOfInstanceTakesMemory(t *testing.T) {
	for name, head := range map[string][2]string{
		"status line": {"HTTP/1.1 200 ", "x"}, "header": {"HTTP/1.1 200 OK\r\nX-Long: ", "x"}, "headers": {"HTTP/1.1 200 OK\r\n", "X-Many: x\r\n"}, "no HTTP": {"", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			dial := func(context.Context, string, string) (net.Conn, error) {
				own, other := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, other) }()
				go func() {
					defer other.Close()
					_, err := io.WriteString(other, head[0])
					block := strings.Repeat(head[1], 1000)
					for sent := 0; err == nil && sent < 4<<20; sent += len(block) {
						_, err = io.WriteString(other, block)
					}
				}()
				return meteredConn{own, &read}, nil
			}
			instances := func(context.Context) []Instance { return []Instance{{Name: "a", Address: "a"}} }
			conn, err := NewClient("", dial, instances).Dial(t.Context(), serving.Server{ID: "e1", Address: "127.0.0.1:1"})
			if err == nil {
				t.Errorf("a tunnel was opened: %v", conn)
			}
			if read.Load() > 2*maxHead {
				t.Errorf("%d bytes read", read.Load())
			}
		})
	}
}
