package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// answering is a serving.Handler that answers each request.
type answering struct{}

func (answering) Serve(_ context.Context, _ *serving.Request, w http.ResponseWriter) *verdict.Failure {
	_, _ = io.WriteString(w, "whole")
	return nil
}

// newLimitedClients starts a clientServer that keeps most connections, and returns its address.
func newLimitedClients(t *testing.T, most int) (*clientServer, string) {
	t.Helper()
	limits := func() serving.Limits { return serving.Limits{IdleTimeout: time.Minute, BodyBytes: 1 << 20} }
	c := newClientServer(platform.NewIngress(answering{}, limits, requestHolding), limits, testIntake(), metrics.NewSet(), discardLog())
	c.maxConns, c.admit = most, func(open int) bool { return open < most }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go c.guard.run(t.Context())
	go func() { _ = c.serve(l) }()
	t.Cleanup(func() { _ = c.server.Close() })
	return c, l.Addr().String()
}

// stall opens a connection with a request whose body does not come as a whole.
func stall(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprint(conn, "POST /p HTTP/1.1\r\nHost: h\r\nMartenport-Attempt-Id: a\r\nMartenport-Deadline-Ms: 600000\r\nContent-Length: 10\r\n\r\npart"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitTrue waits until the condition holds.
func awaitTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const patience = 30 * time.Second
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

// statusOn returns the status of the answer on a connection; 0 if it ends without one.
func statusOn(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestStalledRequestYieldsConnection guards against requests that do not progress and keep all others out.
func TestStalledRequestYieldsConnection(t *testing.T) {
	const most = 4
	c, address := newLimitedClients(t, most)
	stalled := make([]net.Conn, most)
	for i := range stalled {
		stalled[i] = stall(t, address)
	}
	awaitTrue(t, "the stalled requests are not being read", func() bool { return c.guard.countPhases()[phaseServing] == most })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	awaitTrue(t, "no other request is answered", func() bool {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/p", strings.NewReader("body"))
		req.Header.Set("Martenport-Attempt-Id", "b")
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	refused := make(chan int, most)
	for _, conn := range stalled {
		go func() { refused <- statusOn(conn) }()
	}
	if status := <-refused; status != http.StatusServiceUnavailable {
		t.Errorf("a stalled request that yields is answered %d", status)
	}
}

// TestUnusedConnectionYields checks that connections without a request and idle ones yield, and that those whose requests have just
// begun do not.
func TestUnusedConnectionYields(t *testing.T) {
	c, address := newLimitedClients(t, 2)
	begun := func() {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	begun()
	awaitTrue(t, "the connection is not accepted", func() bool { return c.guard.openConnections() == 1 })
	if c.guard.makeRoom(1) {
		t.Error("a connection yields that was just opened")
	}
	awaitTrue(t, "an unused connection does not yield", func() bool { return c.guard.makeRoom(1) })
	awaitTrue(t, "the connection that yields is not closed", c.guard.noConnections)
}

// TestStalledRequestDelaysPlannedStop guards against a planned stop that waits for requests that do not progress until the grace
// period is over, and then cuts them off.
func TestStalledRequestDelaysPlannedStop(t *testing.T) {
	c, address := newLimitedClients(t, 4)
	conn := stall(t, address)
	awaitTrue(t, "the stalled request is not being read", func() bool { return c.guard.countPhases()[phaseServing] == 1 })
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		c.drain(time.Now().Add(time.Hour))
	}()
	if status := statusOn(conn); status != http.StatusServiceUnavailable {
		t.Errorf("the stalled request is answered %d", status)
	}
	<-drained
}
