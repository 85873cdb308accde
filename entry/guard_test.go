package entry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/serving"
)

// TestGuardLimits checks that connections that exceed the idle limit or the header limit are closed, and that those
// with a request in progress are not.
func TestGuardLimits(t *testing.T) {
	g := newConnGuard(func() serving.Limits {
		return serving.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: 2 * time.Second}
	}, nil, nil)
	now := time.Now()
	conn := func(p phase, age time.Duration) *clientConn {
		server, peer := net.Pipe()
		t.Cleanup(func() { _ = server.Close(); _ = peer.Close() })
		c := newClientConn(server, nil)
		c.phase, c.phaseStart = p, now.Add(-age)
		g.conns[c] = struct{}{}
		return c
	}
	over := []*clientConn{conn(phaseIdle, 11*time.Second), conn(phaseReceiving, 3*time.Second)}
	within := []*clientConn{conn(phaseIdle, 9*time.Second), conn(phaseReceiving, time.Second), conn(phaseServing, time.Hour)}
	if closed := g.closeExpired(now); closed.count != 2 || closed.idle != 1 {
		t.Errorf("closed %+v, want the idle and the slow one", closed)
	}
	for _, c := range over {
		if c.closing != closeRequested {
			t.Errorf("the %s connection over its limit is not closed", c.phase)
		}
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("the %s connection over its limit can be read from", c.phase)
		}
	}
	for _, c := range within {
		if c.closing != closeNone {
			t.Errorf("the %s connection within its limit is closed", c.phase)
		}
	}
	if g.noRequests() {
		t.Error("noRequests returns true while a request is being served")
	}
}

// TestCloseWriteIsForwarded checks that CloseWrite reaches the underlying connection. net/http closes its write
// half first if it answers before it has read the whole request, so that the answer is not lost to a reset.
func TestCloseWriteIsForwarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	clients := newClientServer(nil, func() serving.Limits { return serving.Limits{} }, testIntake(), metrics.NewSet(), discardLog())
	server, err := clientListener{l, clients}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	half, ok := server.(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("net/http finds no CloseWrite")
	}
	if err := half.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = client.SetReadDeadline(time.Now().Add(10 * time.Second)) // only reached if there is no EOF
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want EOF", err)
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if n, err := server.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the read half is closed as well: %v", err)
	}
}
