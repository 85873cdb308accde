package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/serving"
)

// fakeServers has one server, which the providing instance may not reach.
type fakeServers struct {
	server            serving.Server
	refused, isolated bool
}

func (f *fakeServers) Server(id string) (serving.Server, bool) { return f.server, id == f.server.ID }

func (f *fakeServers) Isolated(string) bool { return f.isolated }

func (f *fakeServers) Connect(ctx context.Context, s serving.Server) (net.Conn, error) {
	if f.refused || f.isolated {
		return nil, errors.New("refused")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetLinger(0)
}

// fixture is a server, and instances that provide tunnels to it.
type fixture struct {
	t        *testing.T
	listener net.Listener
	server   serving.Server
	provided []*fakeServers
	tunnels  []*Server
	http     []*httptest.Server
}

func newFixture(t *testing.T, instances int) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &fixture{t: t, listener: l, server: serving.Server{ID: "e1", Service: "llm", Address: l.Addr().String()}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range instances {
		servers := &fakeServers{server: f.server}
		s := NewServer(servers, metrics.NewSet(), log)
		f.provided, f.tunnels, f.http = append(f.provided, servers), append(f.tunnels, s), append(f.http, httptest.NewServer(s))
		t.Cleanup(f.http[len(f.http)-1].Close)
	}
	return f
}

// client returns a client that knows all instances.
func (f *fixture) client() *Client {
	var instances []Instance
	for i, s := range f.http {
		instances = append(instances, Instance{Name: string(rune('a' + i)), Address: s.Listener.Addr().String()})
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetLinger(0)
	}
	return NewClient("", dial, func(context.Context) []Instance { return instances })
}

// open opens a tunnel and returns both ends of it.
func (f *fixture) open() (client *Conn, server net.Conn) {
	f.t.Helper()
	client, err := f.client().Dial(f.t.Context(), f.server)
	if err != nil {
		f.t.Fatal(err)
	}
	server, err = f.listener.Accept()
	if err != nil {
		f.t.Fatal(err)
	}
	for _, c := range []net.Conn{client, server} {
		f.t.Cleanup(func() { _ = c.Close() })
		if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			f.t.Fatal(err)
		}
	}
	return client, server
}

// openMidAnswer opens a tunnel through which the first half of an answer has come.
func (f *fixture) openMidAnswer() (client *Conn, server net.Conn) {
	f.t.Helper()
	client, server = f.open()
	const half = "half"
	if _, err := io.WriteString(server, half); err != nil {
		f.t.Fatal(err)
	}
	if _, err := io.ReadFull(client, make([]byte, len(half))); err != nil {
		f.t.Fatal(err)
	}
	return client, server
}

// TestTunnelCarriesRequestAndAnswer sends a request and an answer that ends with its connection.
func TestTunnelCarriesRequestAndAnswer(t *testing.T) {
	f := newFixture(t, 1)
	client, server := f.open()
	if _, err := io.WriteString(client, "request\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := bufio.NewReader(server).ReadString('\n'); got != "request\n" {
		t.Fatalf("the server got %q, %v", got, err)
	}
	want := make([]byte, 3*bufferSize+1)
	if _, err := server.Write(want); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if got, err := io.ReadAll(client); err != nil || len(got) != len(want) {
		t.Errorf("%d bytes of %d, %v", len(got), len(want), err)
	}
	if client.Via != "a" {
		t.Errorf("via %q", client.Via)
	}
}

// TestLostProviderIsNoEndOfAnswer guards against an answer without a length that looks complete because the providing instance
// ended.
func TestLostProviderIsNoEndOfAnswer(t *testing.T) {
	f := newFixture(t, 1)
	client, server := f.openMidAnswer()
	defer server.Close()
	if err := client.Conn.(*net.TCPConn).CloseRead(); err != nil { // reads return the end of the stream, as when a process ends
		t.Fatal(err)
	}
	if n, err := client.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("read %d, %v; want an error other than the end", n, err)
	}
}

// TestBrokenServerConnectionIsNoEndOfAnswer guards against an answer without a length that looks complete because the
// server's connection was reset.
func TestBrokenServerConnectionIsNoEndOfAnswer(t *testing.T) {
	f := newFixture(t, 1)
	client, server := f.openMidAnswer()
	_ = server.(*net.TCPConn).SetLinger(0)
	_ = server.Close()
	if n, err := client.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("read %d, %v; want an error other than the end", n, err)
	}
}

// TestAbandonedRequestEndsAtServer guards against servers that go on with a request whose client has left.
func TestAbandonedRequestEndsAtServer(t *testing.T) {
	f := newFixture(t, 1)
	client, server := f.open()
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	if _, err := server.Read(make([]byte, 1)); err == nil || err == io.EOF || isTimeout(err) {
		t.Errorf("%v; want a reset", err)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// TestOnlyKnownServers checks that tunnels lead to servers of the directory that do not leave, at their own address.
func TestOnlyKnownServers(t *testing.T) {
	for name, change := range map[string]func(f *fixture) serving.Server{
		"unknown":         func(f *fixture) serving.Server { return serving.Server{ID: "e2", Address: f.server.Address} },
		"another address": func(*fixture) serving.Server { return serving.Server{ID: "e1", Address: "127.0.0.1:1"} },
		"leaving": func(f *fixture) serving.Server {
			f.provided[0].server.Draining = true
			return f.server
		},
		"provider leaves": func(f *fixture) serving.Server {
			f.tunnels[0].Refuse()
			return f.server
		},
	} {
		f := newFixture(t, 1)
		if conn, err := f.client().Dial(t.Context(), change(f)); err == nil || !errors.Is(err, ErrNoInstance) {
			t.Errorf("%s: %v, %v", name, conn, err)
		}
	}
}

// TestIsolatedInstancesAreSkipped guards against an instance that is refused tunnels although one of the others reaches the
// server.
func TestIsolatedInstancesAreSkipped(t *testing.T) {
	f := newFixture(t, maxAsked)
	for _, p := range f.provided[1:] {
		p.isolated = true
	}
	c := f.client()
	for range 20 {
		conn, err := c.Dial(t.Context(), f.server)
		if err != nil {
			t.Fatal(err)
		}
		if conn.Via != "a" {
			t.Errorf("via %s", conn.Via)
		}
		_ = conn.Close()
	}
}

// TestSilentInstanceIsPassedOver guards against requests that wait for an instance that answers nothing while another one
// would open a tunnel.
func TestSilentInstanceIsPassedOver(t *testing.T) {
	f := newFixture(t, 1)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	c := f.client()
	works := c.instances(t.Context())[0]
	c.instances = func(context.Context) []Instance {
		return []Instance{{Name: "silent", Address: silent.Addr().String()}, works}
	}
	for range 10 {
		conn, err := c.Dial(t.Context(), f.server)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
}

// TestServerDown checks that it is told apart whether a server is down or no instance reaches servers.
func TestServerDown(t *testing.T) {
	f := newFixture(t, 3)
	for i, p := range f.provided {
		p.refused, p.isolated = true, i > 0
	}
	if _, err := f.client().Dial(t.Context(), f.server); !errors.Is(err, ErrServerDown) {
		t.Errorf("%v; want that the server is down, as one of the instances that reach others says", err)
	}
	f.provided[0].isolated = true
	if _, err := f.client().Dial(t.Context(), f.server); !errors.Is(err, ErrIsolated) {
		t.Errorf("%v; want that nobody reaches servers", err)
	}
	f.http, f.provided = nil, nil
	if _, err := f.client().Dial(t.Context(), f.server); !errors.Is(err, ErrNoInstance) {
		t.Errorf("%v without other instances", err)
	}
}

// TestShutdownWaitsForTunnels guards against requests that are cut off because the instance that provides their tunnel
// shuts down.
func TestShutdownWaitsForTunnels(t *testing.T) {
	f := newFixture(t, 1)
	client, server := f.open()
	f.tunnels[0].Refuse()
	waited := make(chan struct{})
	go func() {
		f.tunnels[0].Wait(context.Background())
		close(waited)
	}()
	select {
	case <-waited:
		t.Fatal("the shutdown did not wait for the tunnel")
	case <-time.After(5 * waitInterval):
	}
	if _, err := io.WriteString(server, "answer"); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if got, err := io.ReadAll(client); err != nil || string(got) != "answer" {
		t.Errorf("%q, %v", got, err)
	}
	_ = client.Close()
	<-waited
}

// TestOtherMethods checks that only tunnels are served.
func TestOtherMethods(t *testing.T) {
	f := newFixture(t, 1)
	resp, err := http.Get(f.http[0].URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("status %d", resp.StatusCode)
	}
}
