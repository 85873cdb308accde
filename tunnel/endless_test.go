package tunnel

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestServersWithoutEndTakeMemoryInTunnels guards against bytes without end from servers that one side of many tunnels keeps
// while the other side does not take them.
func TestServersWithoutEndTakeMemoryInTunnels(t *testing.T) {
	const tunnels, mostSent, mostKept = 32, 16 << 20, 256 << 10 // for each tunnel
	f := newFixture(t, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sent atomic.Int64
	block := strings.Repeat("x", 64<<10)
	var clients, servers []net.Conn
	for range tunnels {
		client, server := f.open()
		clients, servers = append(clients, client), append(servers, server)
	}
	for _, server := range servers {
		go func() {
			for taken := 0; taken < 2*mostSent; taken += len(block) {
				n, err := io.WriteString(server, block)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
	}
	for _, client := range clients { // one byte shows that the tunnel carries bytes; the rest is not read
		if _, err := io.ReadFull(client, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	for last := int64(-1); last != sent.Load(); time.Sleep(200 * time.Millisecond) {
		last = sent.Load()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d tunnels: %d bytes taken of the servers, %d of them kept by both sides", tunnels, sent.Load(), kept)
	if sent.Load() > tunnels*mostSent || kept > tunnels*mostKept {
		t.Errorf("%d bytes were taken in %d tunnels, and %d kept", sent.Load(), tunnels, kept)
	}
}
