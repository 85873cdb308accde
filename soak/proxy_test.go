package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestHeldBytesOfResetAreDropped: data that a partition holds back is delivered after the partition if its sender
// closed the connection, but dropped if the sender reset it. A proxy that delivered
// it then had an engine accept an order long after its sender had given up.
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
		p.setMode(blockBoth)
		if _, err := client.Write([]byte("order")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // time for the proxy to read it
		if reset {
			_ = client.(*net.TCPConn).SetLinger(0)
		}
		if err := client.Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		p.setMode(passAll)
		got, _ := io.ReadAll(server)
		if want := map[bool]string{false: "order", true: ""}[reset]; string(got) != want {
			t.Errorf("reset %v: target received %q, want %q", reset, got, want)
		}
	}
}
