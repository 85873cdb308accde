package tcpdial

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestLimits: the kernel has the limits that were asked for, which is what a
// silent peer meets; there is no silent peer on loopback.
func TestLimits(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := Params{Connect: time.Second, Silence: 1500 * time.Millisecond, ResetOnClose: true}.Dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for name, want := range map[int]int{unix.TCP_USER_TIMEOUT: 1500, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1} {
		if got := option(t, conn, unix.IPPROTO_TCP, name); got != want {
			t.Errorf("option %d is %d, want %d", name, got, want)
		}
	}
	if got := option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE); got == 0 {
		t.Error("the peer is not probed")
	}
}

func option(t *testing.T, conn net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestResetOnClose: closing resets, so that the peer does not take what it got for
// a whole message.
func TestResetOnClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := Params{ResetOnClose: true}.Dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Read(make([]byte, 1)); err == nil || err.Error() == "EOF" {
		t.Errorf("the peer read %v, want a reset", err)
	}
}
