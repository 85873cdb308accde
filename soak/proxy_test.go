package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestHeldBytesOfResetAreDropped: what a partition holds up is delivered after it
// if its sender still waits, and lost if it has reset the connection meanwhile.
func TestHeldBytesOfResetAreDropped(t *testing.T) {
	for _, reset := range []bool{false, true} {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer target.Close()
		p, err := newProxy(target.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer p.close()
		client, err := net.Dial("tcp", p.address())
		if err != nil {
			t.Fatal(err)
		}
		server, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		p.set(silent)
		if _, err := client.Write([]byte("order")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // the proxy has read it
		if reset {
			_ = client.(*net.TCPConn).SetLinger(0)
		}
		if err := client.Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		p.set(pass)
		got, _ := io.ReadAll(server)
		if want := map[bool]string{false: "order", true: ""}[reset]; string(got) != want {
			t.Errorf("reset %v: the target got %q, want %q", reset, got, want)
		}
	}
}
