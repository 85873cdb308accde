package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/internal/standin"
)

// answerCutter ends connections to servers after a number of bytes, as a server that stops within an answer does.
type answerCutter struct {
	mu sync.Mutex
	// left is the number of bytes that connections deliver from now on, each of them; negative for all. Guarded by mu.
	left  int64
	conns map[*cutConn]struct{} // guarded by mu
	// ended is the number of connections that were ended.
	ended atomic.Int64
}

func newAnswerCutter() *answerCutter {
	return &answerCutter{left: -1, conns: map[*cutConn]struct{}{}}
}

// cutAfter ends all connections after the given number of bytes, or none if it is negative.
func (c *answerCutter) cutAfter(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = n
	for conn := range c.conns {
		conn.left.Store(n)
	}
}

// dial opens a connection to a server.
func (c *answerCutter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := &cutConn{Conn: conn, cutter: c}
	cut.left.Store(c.left)
	c.conns[cut] = struct{}{}
	return cut, nil
}

type cutConn struct {
	net.Conn
	cutter *answerCutter
	left   atomic.Int64
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	left := c.left.Load()
	switch {
	case left < 0:
		return n, err
	case int64(n) < left:
		c.left.Add(-int64(n))
		return n, err
	}
	c.left.Store(0)
	c.cutter.ended.Add(1)
	_ = c.Close() // the server's end is closed, too
	return int(left), io.EOF
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.cutter.mu.Lock()
	delete(c.cutter.conns, c)
	c.cutter.mu.Unlock()
	return c.Conn.Close()
}

// clientAnswer is what a client got on its connection. whole is whether it ends as its head says.
type clientAnswer struct {
	id, body string
	status   int
	whole    bool
}

// requestAs sends a request of the given protocol version on a connection of its own.
func (f *fleet) requestAs(r *running, protocol, route, model string) clientAnswer {
	a := clientAnswer{id: fmt.Sprintf("try-%d", attemptsIssued.Add(1))}
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /%s/x?q=1 %s\r\nHost: h.example\r\nContent-Length: 4\r\n", route, protocol)
	_ = standin.ClientHeader(a.id, model, 3*time.Second).Write(&text)
	text.WriteString("\r\nbody")
	if _, err := conn.Write(text.Bytes()); err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.body, a.status, a.whole = string(body), resp.StatusCode, err == nil
	return a
}

// TestAnswerCutInHeadLooksWhole guards against an answer of a server that stops within its head, or within a body with a
// length or chunks, and that clients take for whole or for one that says that the request has not run.
func TestAnswerCutInHeadLooksWhole(t *testing.T) {
	for _, path := range []string{"direct", "tunnel"} {
		for _, route := range []string{"unsafe", "safe", "stream", "once"} {
			t.Run(path+" "+route, func(t *testing.T) { testCutAnswers(t, path == "tunnel", route) })
		}
	}
}

func testCutAnswers(t *testing.T, tunnel bool, route string) {
	cutter, refused := newAnswerCutter(), newServerLink()
	f := (&fleet{t: t, network: func(machine int) network {
		if tunnel && machine == 0 {
			return network{peers: rpcpool.DialTCP, servers: refused.dial}
		}
		return network{peers: rpcpool.DialTCP, servers: cutter.dial}
	}}).start(2)
	f.configure("unsafe", "safe", "stream", "once")
	if tunnel {
		refused.set(cutRefused)
	}
	model, want := "m1", wholeStream("m1")
	if route == "unsafe" || route == "safe" {
		model, want = "", "POST /"+route+"/x?q=1 body"
	}
	whole := func() bool { return f.requestAs(f.instances[0], "HTTP/1.1", route, model).body == want }
	f.await("a whole answer", whole)
	const longest, step = 700, 37
	failed := 0
	for after := int64(0); after < longest; after += step {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			f.await("a whole answer", whole)
			cutter.cutAfter(after)
			a := f.requestAs(f.instances[0], protocol, route, model)
			cutter.cutAfter(-1)
			f.checkCutAnswer(a, route, want, fmt.Sprintf("%s, cut after %d bytes", protocol, after))
			if !a.whole || a.status != http.StatusOK {
				failed++
			}
		}
	}
	if failed == 0 {
		t.Errorf("all answers are whole, %d connections were ended", cutter.ended.Load())
	}
}

// checkCutAnswer checks one answer: a 200 that ends well is whole, and a request that has run is not refused as one that has
// not.
func (f *fleet) checkCutAnswer(a clientAnswer, route, want, when string) {
	f.t.Helper()
	if a.whole && a.status == http.StatusOK && a.body != want {
		f.t.Errorf("%s: a part looks whole: %q", when, a.body)
	}
	promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if route == "safe" || !promised {
		return
	}
	for id, s := range f.servers {
		if s.Runs()[a.id] > 0 && !strings.HasPrefix(id, "e") {
			f.t.Errorf("%s: refused with %d, and ran at %s", when, a.status, id)
		}
	}
}
