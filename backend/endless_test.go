package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/martenport/martenport/backend"
)

// rawServer starts a server that serves each connection, and closes it then.
func rawServer(t *testing.T, serve func(net.Conn)) (baseURL string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// endlessServer answers each request with begin, followed by piece without end, until the connection is closed, but for at
// most endlessBytes.
func endlessServer(t *testing.T, begin, piece string) (baseURL string) {
	return rawServer(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, begin)
		block := strings.Repeat(piece, 1+4096/len(piece))
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = io.WriteString(conn, block)
		}
	})
}

// endlessBytes is how much is sent at most, so that a test ends that does not close the connection.
const endlessBytes = 64 << 20

// countingTransport returns a transport like those of backend servers, and the number of bytes that it has read.
func countingTransport() (*http.Transport, *atomic.Int64) {
	var read atomic.Int64
	transport := backend.NewTransport()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return countingConn{conn, &read}, err
	}
	return transport, &read
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestHeadWithoutEnd guards against a backend server whose heads have no end, and that takes memory for each request.
func TestHeadWithoutEnd(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	for head, c := range map[string]struct{ begin, piece string }{
		"status line":           {"HTTP/1.1 200 ", "x"},
		"header":                {line + "X-Long: ", "x"},
		"headers":               {line, "X-Many: x\r\n"},
		"informational answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		for call, send := range map[string]func(ctx context.Context, h *backend.HTTP) error{
			"generate": func(ctx context.Context, h *backend.HTTP) error { _, err := readAll(ctx, h); return err },
			"call":     func(ctx context.Context, h *backend.HTTP) error { _, err := h.Call(ctx, backend.Call{}); return err },
			"report":   func(ctx context.Context, h *backend.HTTP) error { _, err := h.Report(ctx, 0); return err },
			"load":     func(ctx context.Context, h *backend.HTTP) error { _, err := h.Load(ctx, backend.Order{}); return err },
			"cancel":   func(ctx context.Context, h *backend.HTTP) error { return h.Cancel(ctx, "mine") },
		} {
			t.Run(call+" "+head, func(t *testing.T) {
				checkEndless(t, c.begin, c.piece, 64<<10, send)
			})
		}
	}
}

// TestTokenWithoutEnd guards against a token without end, which is kept in memory as a whole.
func TestTokenWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	const first = head + `{"attempt":"mine","sequence":0,"text":"x"}` + "\n"
	for name, c := range map[string]struct{ begin, piece string }{
		"text":         {head + `{"attempt":"mine","sequence":0,"text":"`, "x"},
		"list":         {head + `{"other":[`, "[],"},
		"blanks":       {head, " "},
		"blank lines":  {first, "\n"},
		"second token": {first + `{"text":"`, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			checkEndless(t, c.begin, c.piece, 4<<20, func(ctx context.Context, h *backend.HTTP) error { _, err := readAll(ctx, h); return err })
		})
	}
}

// checkEndless checks that a call of a server without end fails, and how much is read.
func checkEndless(t *testing.T, begin, piece string, most int64, send func(ctx context.Context, h *backend.HTTP) error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	transport, read := countingTransport()
	defer transport.CloseIdleConnections()
	err := send(ctx, backend.NewHTTP(endlessServer(t, begin, piece), &http.Client{Transport: transport}, ""))
	if n := read.Load(); err == nil || ctx.Err() != nil || n > most {
		t.Errorf("%v, %d bytes read, want at most %d", err, n, most)
	}
}
