package e2e

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestCallsWithoutEndTakeMemory guards against calls without end at the port for other instances, which end the instance.
func TestCallsWithoutEndTakeMemory(t *testing.T) {
	const (
		conns, most = 6, 32 << 20
		begin       = "\xfc\x7f\xff\xff\xff" // the length of a message of 2 GiB
		patience    = 20 * time.Second
	)
	f := newEntryFleet(t)
	f.announceServer(t.Context(), "plain", plainService)
	f.announceServer(t.Context(), "engine", engineService)
	f.startEntry()
	before := f.entries[0].peakMemoryKB()
	host, _, err := net.SplitHostPort(f.instances[0])
	if err != nil {
		t.Fatal(err)
	}
	block := strings.Repeat("x", 64<<10)
	for range conns {
		conn, err := net.Dial("tcp", net.JoinHostPort(host, "7380"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(patience))
		_, err = io.WriteString(conn, begin)
		for sent := 0; err == nil && sent < most; sent += len(block) {
			_, err = io.WriteString(conn, block)
		}
	}
	if a := f.send(0, "stream", "beside"); !a.whole || a.text != wholeStream {
		t.Errorf("a request beside such calls: %d %.80q", a.status, a.text)
	}
	if peak := f.entries[0].peakMemoryKB(); peak > 2*before {
		t.Errorf("the instance had %d KB of memory at most, %d KB without such calls", peak, before)
	} else {
		t.Logf("the instance had %d KB of memory at most, %d KB without such calls", peak, before)
	}
}
