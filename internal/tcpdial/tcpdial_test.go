package tcpdial

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSocketOptions checks that the configured limits are set in the kernel, which applies them to
// an unresponsive peer. An unresponsive peer itself cannot be simulated on loopback.
func TestSocketOptions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := Params{Connect: time.Second, UnackedTimeout: 1500 * time.Millisecond, ResetOnClose: true}.Dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for name, want := range map[int]int{unix.TCP_USER_TIMEOUT: 1500, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1} {
		if got := socketOption(t, conn, unix.IPPROTO_TCP, name); got != want {
			t.Errorf("option %d is %d, want %d", name, got, want)
		}
	}
	if got := socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE); got == 0 {
		t.Error("keep-alive probes are disabled")
	}
}

func socketOption(t *testing.T, conn net.Conn, level, name int) (value int) {
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

// TestResetOnClose checks that closing resets the connection, so that bytes in transit are dropped and
// the peer does not mistake those that it received for a complete message.
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
