package connlimit

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// dial opens a connection to a listener and returns both ends.
func dial(t *testing.T, l net.Listener, accepts bool) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if !accepts {
		go func() { _, _ = l.Accept() }()
		return client, nil
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// isOpen reports whether a connection is open at the other end.
func isOpen(c net.Conn) bool {
	const patience = 100 * time.Millisecond
	_ = c.SetReadDeadline(time.Now().Add(patience))
	_, err := c.Read(make([]byte, 1))
	netErr, timedOut := err.(net.Error)
	return timedOut && netErr.Timeout()
}

func newListener(t *testing.T, most int, full Full) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(l, "test", most, full, metrics.NewSet(), log)
}

// TestOldestConnectionIsClosed checks that the oldest connection makes room for a new one, and that one that was closed has left
// its place.
func TestOldestConnectionIsClosed(t *testing.T) {
	l := newListener(t, 2, CloseOldest)
	first, _ := dial(t, l, true)
	second, secondServer := dial(t, l, true)
	third, _ := dial(t, l, true)
	if isOpen(first) || !isOpen(second) || !isOpen(third) {
		t.Error("the first connection is not the only one that was closed")
	}
	_ = secondServer.Close()
	fourth, _ := dial(t, l, true)
	if !isOpen(third) || !isOpen(fourth) {
		t.Error("a connection was closed although there was room")
	}
}

// TestNewConnectionIsClosed checks that a new connection is closed if the others are kept.
func TestNewConnectionIsClosed(t *testing.T) {
	l := newListener(t, 1, CloseNew)
	first, _ := dial(t, l, true)
	second, _ := dial(t, l, false)
	await := time.Now().Add(20 * time.Second)
	for isOpen(second) {
		if time.Now().After(await) {
			t.Fatal("the second connection is open")
		}
	}
	if !isOpen(first) {
		t.Error("the first connection is closed")
	}
}
