package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// serveLimited starts a server of h under the budget b, and returns its address.
func serveLimited(t *testing.T, b *Budget, h http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(b.Limit(h, func(err error) error { return errors.Wrap(err, "refused") }))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// sendPart sends a request with all but the last byte of its body, and returns the connection.
func sendPart(t *testing.T, address string, size int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // only reached if the connection stays
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestUnreadBodyKeepsConnection guards against a connection that stays since its handler has not read a body that does not come.
func TestUnreadBodyKeepsConnection(t *testing.T) {
	address := serveLimited(t, newTestBudget(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	r := bufio.NewReader(sendPart(t, address, 100))
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Fatalf("answer %+v, %v", resp, err)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is not closed: %v", err)
	}
}

// hasSlow reports whether a request is slow of which so many bytes have arrived.
func hasSlow(b *Budget, arrived int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.slow(func(h, other *Holding) bool { return h.charged > other.charged })
	return h != nil && h.arrived.Load() == arrived
}

// TestMessagesShareBudget checks that a body that does not come yields to another one, whose handler reads it as a whole, and that a
// handler that does not read is not taken for a slow client.
func TestMessagesShareBudget(t *testing.T) {
	const size = testShare / messageCopies / 2
	b := newTestBudget()
	ends := map[int64]chan error{size: make(chan error, 1), size + 1: make(chan error, 1)} // by the length of the body
	address := serveLimited(t, b, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		ends[r.ContentLength] <- err
		if err == nil {
			<-r.Context().Done()
		}
	})
	_ = sendPart(t, address, size)
	for !hasSlow(b, size-1) {
		b.Check()
		time.Sleep(time.Millisecond)
	}
	whole := sendPart(t, address, size+1)
	if _, err := io.WriteString(whole, "x"); err != nil {
		t.Fatal(err)
	}
	if err := <-ends[size]; causeOf(err) != CauseMemory {
		t.Errorf("the body that does not come: %v", err)
	}
	if err := <-ends[size+1]; err != nil {
		t.Errorf("the whole body: %v", err)
	}
	for range graceChecks {
		b.Check()
	}
	if bytes, _ := b.Used(); bytes < messageCopies*size-freeBytes {
		t.Errorf("%d bytes are charged: the request that is served has ended", bytes)
	}
}
