package tcpdial

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestUnreadEndIsSeen guards against a connection that counts as open because what came before its end is not read yet.
func TestUnreadEndIsSeen(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			conn, other := connPair(t)
			if _, err := io.WriteString(other, "not read"); err != nil {
				t.Fatal(err)
			}
			if !Established(conn) {
				t.Error("an open connection does not count as one")
			}
			_ = other.SetLinger(linger)
			_ = other.Close()
			for deadline := time.Now().Add(10 * time.Second); Established(conn); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("a connection that was closed counts as open")
				}
			}
		})
	}
	own, other := net.Pipe()
	defer own.Close()
	defer other.Close()
	if Established(own) {
		t.Error("nothing is known of a pipe")
	}
}
