package tcpdial

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// endWait bounds what takes a round trip on loopback.
const endWait = 10 * time.Second

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	_ = conn.SetDeadline(time.Now().Add(endWait))
	return conn, accepted.(*net.TCPConn)
}

// writeUntilError writes until a write fails.
func writeUntilError(t *testing.T, conn net.Conn) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < endWait; {
		if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
			return
		}
	}
	t.Error("the connection is not reset")
}

// TestResetLooksLikeEnd guards against a reset that a write meets first, and after which the next read returns the end of what the
// other end has sent, and against an end that counts as a reset.
func TestResetLooksLikeEnd(t *testing.T) {
	const text = "some text"
	for name, c := range map[string]struct {
		end  func(t *testing.T, conn net.Conn, peer *net.TCPConn)
		want error
	}{
		"closed": {func(_ *testing.T, _ net.Conn, peer *net.TCPConn) { _ = peer.Close() }, io.EOF},
		"closed for writing, reads on": {func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			_ = peer.CloseWrite()
			go func() { _, _ = io.Copy(io.Discard, peer) }()
			for range 100 {
				if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
					t.Fatal(err)
				}
			}
		}, io.EOF},
		"closed for writing while a write waits": {func(_ *testing.T, conn net.Conn, peer *net.TCPConn) {
			go writeUntilError(t, conn)
			time.Sleep(50 * time.Millisecond)
			_ = peer.CloseWrite()
		}, io.EOF},
		"reset": {func(_ *testing.T, _ net.Conn, peer *net.TCPConn) {
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}, syscall.ECONNRESET},
		"reset that a write meets": {func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			_ = peer.SetLinger(0)
			_ = peer.Close()
			writeUntilError(t, conn)
		}, ErrReset},
		"reset that a write meets, closed here": {func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			_ = peer.SetLinger(0)
			_ = peer.Close()
			writeUntilError(t, conn)
			_ = conn.Close()
		}, ErrReset},
		"closed, then reset by a write": {func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			_ = peer.Close()
			writeUntilError(t, conn)
		}, ErrReset},
		"closed here": {func(_ *testing.T, conn net.Conn, _ *net.TCPConn) { _ = conn.Close() }, net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			own, peer := connPair(t)
			conn := CheckEnd(own)
			if _, err := io.WriteString(peer, text); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(conn, make([]byte, len(text))); err != nil {
				t.Fatal(err)
			}
			c.end(t, conn, peer)
			n, err := conn.Read(make([]byte, 1))
			if n > 0 || !errors.Is(err, c.want) {
				t.Errorf("read %d bytes, %v, want %v", n, err, c.want)
			}
		})
	}
}

// TestEndBeforeReset guards against an end that counts although the other end resets the connection while the write that was under way
// at the end waits.
func TestEndBeforeReset(t *testing.T) {
	own, peer := connPair(t)
	conn := CheckEnd(own).(*checkedConn)
	conn.settle = endWait
	go writeUntilError(t, conn)
	for conn.writes.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // until the buffers are full, so that a write is under way all the time
	_ = peer.CloseWrite()
	time.AfterFunc(50*time.Millisecond, func() {
		_ = peer.SetLinger(0)
		_ = peer.Close()
	})
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, ErrReset) {
		t.Errorf("read %v, want %v", err, ErrReset)
	}
}

// TestCheckEndOfOtherConns checks that connections that are no sockets, and those that are checked, are returned as they are, and
// that the operating system still knows the state of a checked one.
func TestCheckEndOfOtherConns(t *testing.T) {
	own, other := net.Pipe()
	defer own.Close()
	defer other.Close()
	if CheckEnd(own) != own {
		t.Error("a pipe is not returned as it is")
	}
	conn, _ := connPair(t)
	checked := CheckEnd(conn)
	if CheckEnd(checked) != checked {
		t.Error("a checked connection is checked again")
	}
	if !Established(checked) {
		t.Error("an open connection does not count as one")
	}
}
