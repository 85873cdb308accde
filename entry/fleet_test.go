package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// fleet is a set of entry instances with stand-ins of the platform and the servers, on loopback addresses.
type fleet struct {
	t              *testing.T
	store          *standin.Platform
	storeURL       string
	servers        map[string]*standin.Server
	stopAnnouncing map[string]context.CancelFunc // by server id
	instances      []*running
	options        Options
	version        int64
	// workspaces are part of each configuration. editSettings changes the settings of each instance.
	workspaces   []standin.Workspace
	editSettings func(s *platform.Settings)
	// logOutput receives the log lines of all instances; discarded if nil.
	logOutput io.Writer
	// links are the instances' paths to servers, by machine; a test that sets it to an empty map can cut them.
	links map[int]*serverLink
	// network, if set, returns how the instance on a machine opens connections.
	network func(machine int) network
	// plainWork is the run time of requests on plain servers; 5 ms if 0.
	plainWork time.Duration
	// beforeRun is called with each instance before it runs.
	beforeRun func(i *Instance)
	// wrapStore wraps the handler of the store, unless it is nil.
	wrapStore func(http.Handler) http.Handler
}

// running is a running instance.
type running struct {
	*Instance
	address, ready string
	stop           context.CancelFunc
	done           chan struct{}
}

// Times of the stand-ins. Model loads are short, but longer than the round trip of a request.
const (
	testLoadTime  = 150 * time.Millisecond
	testHeartbeat = 200 * time.Millisecond
	// awaitTimeout is the time after which await fails a test. It only determines how long a failed test takes.
	awaitTimeout = 30 * time.Second
)

// newFleet starts a store with a configuration, two engines with memory for two of the four models each, one plain
// server (without models), and n instances, and waits until all instances are ready.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetWith(t, n, Options{})
}

func newFleetWith(t *testing.T, n int, o Options) *fleet {
	t.Helper()
	return (&fleet{t: t, options: o}).start(n)
}

// start starts the store, servers and instances listed at newFleet.
func (f *fleet) start(n int) *fleet {
	t := f.t
	t.Helper()
	t.Parallel()
	f.startStore()
	f.configure("stream", "unsafe", "safe")
	for _, id := range []string{"e1", "e2"} {
		f.addServer(id, "llm", map[string][]string{"e1": {"m1", "m2"}, "e2": {"m1", "m3"}}[id])
	}
	f.addServer("p1", "plain", nil)
	for i := range n {
		f.addInstance(i)
	}
	f.await("instances ready", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { return !r.Ready() || len(r.dir.IDs()) < 3 })
	})
	return f
}

// startStore starts the store.
func (f *fleet) startStore() {
	f.store, f.servers, f.stopAnnouncing = standin.NewPlatform(), map[string]*standin.Server{}, map[string]context.CancelFunc{}
	handler := f.store.Handler()
	if f.wrapStore != nil {
		handler = f.wrapStore(handler)
	}
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	f.storeURL = strings.TrimPrefix(server.URL, "http://")
}

func (f *fleet) addServer(id, service string, loaded []string) {
	f.addServerWith(id, service, loaded, 5*time.Millisecond)
}

// addServerWith starts a server with the given pause between the events of its streams.
func (f *fleet) addServerWith(id, service string, loaded []string, eventPause time.Duration) {
	p := standin.ServerParams{ID: id, Service: service, FailureDomain: "a", EventPause: eventPause, Work: max(5*time.Millisecond, f.plainWork)}
	if service == "llm" {
		p.Models, p.MemoryMB, p.AdapterSlots, p.Loaded = testModels, testMemoryMB, testAdapterSlots, loaded
	}
	s, err := standin.NewServer("127.0.0.1", p)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stopAnnouncing := context.WithCancel(context.Background())
	f.t.Cleanup(stopAnnouncing)
	f.t.Cleanup(s.Stop)
	f.servers[id], f.stopAnnouncing[id] = s, stopAnnouncing
	go s.Announce(ctx, f.store, testHeartbeat)
}

// testModels are the models that engines can load. An engine has memory for two of them.
var testModels = map[string]standin.ServerModel{
	"m1": {MemoryMB: 100, AdapterMB: 1, Load: testLoadTime}, "m2": {MemoryMB: 100, AdapterMB: 1, Load: testLoadTime},
	"m3": {MemoryMB: 100, AdapterMB: 1, Load: testLoadTime}, "m4": {MemoryMB: 100, AdapterMB: 1, Load: testLoadTime},
}

// Capacity of an engine.
const (
	testMemoryMB     = 210
	testAdapterSlots = 2
)

// configure writes the next configuration, with the named routes.
func (f *fleet) configure(routes ...string) {
	f.t.Helper()
	f.version++
	c := standin.Config{
		Version: f.version, PlainServices: []string{"plain"}, EngineService: "llm", Models: testModels, MemoryMB: testMemoryMB, AdapterSlots: testAdapterSlots,
		RemoteLoad: 500 * time.Millisecond, LoadsPerSecond: 3, Workspaces: f.workspaces, Backups: true,
	}
	kinds := map[string]standin.RouteKind{"stream": standin.StreamRoute, "once": standin.StreamRoute, "safe": standin.SafeRoute}
	for _, name := range routes {
		r := standin.Route{Name: name, Host: "h.example", Service: "plain", Kind: kinds[name], Timeout: 20 * time.Second, Objective: time.Second, Attempts: 3}
		switch r.Kind {
		case "":
			r.Kind = standin.UnsafeRoute
		case standin.StreamRoute:
			r.Service, r.Resumable = "llm", name != "once"
		}
		c.Routes = append(c.Routes, r)
	}
	if err := c.Write(context.Background(), f.store); err != nil {
		f.t.Fatal(err)
	}
}

// Ports of all instances, which have different addresses. The ports are fixed because two successive searches for a
// free port may return the same one.
const (
	testClientsPort = "8100"
	testReadyPort   = "8101"
)

// addInstance starts an instance at its own loopback address. Its node name is derived from the number machine.
func (f *fleet) addInstance(machine int) *running {
	f.t.Helper()
	ip := standin.UniqueLoopbackIP()
	s := platform.Settings{NodeName: "node-" + strconv.Itoa(machine), IP: ip, Zone: "a", InternalPorts: []int{7380, 7390}}
	s.Listen.Frontend, s.Listen.Ready = net.JoinHostPort(ip, testClientsPort), net.JoinHostPort(ip, testReadyPort)
	s.Platform.Address = f.storeURL
	s.Bounds.GraceS, s.Bounds.LeaseMS, s.Bounds.DrainMS = 8, 300, 2000
	s.Bounds.BudgetRatio, s.Bounds.BudgetWindowS, s.Bounds.BudgetExtra = 0.2, 10, 100
	if f.editSettings != nil {
		f.editSettings(&s)
	}
	if err := s.Check(); err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if f.logOutput != nil {
		log.SetOutput(f.logOutput)
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: time.StampMilli})
	}
	ctx, stop := context.WithCancel(context.Background())
	n := network{peers: rpcpool.DialTCP}
	if f.links != nil {
		f.links[machine] = newServerLink()
		n.servers = f.links[machine].dial
	}
	if f.network != nil {
		n = f.network(machine)
	}
	r := &running{Instance: newInstance(s, writeSettings(f.t, s), f.options, n, log), address: s.Listen.Frontend, ready: s.Listen.Ready, stop: stop, done: make(chan struct{})}
	if f.beforeRun != nil {
		f.beforeRun(r.Instance)
	}
	go func() {
		defer close(r.done)
		if err := r.Run(ctx); err != nil {
			f.t.Errorf("instance %d: %v", machine, err)
		}
	}()
	f.t.Cleanup(func() { r.stop(); <-r.done })
	f.instances = append(f.instances, r)
	return r
}

// writeSettings writes settings to a file in the platform's format.
func writeSettings(t *testing.T, s platform.Settings) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(s); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// await waits until condition holds, and fails the test after awaitTimeout.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// attemptsIssued is the number of attempt ids issued in all tests.
var attemptsIssued atomic.Int64

// answer is the outcome of a request of a client.
type answer struct {
	id, body   string
	status     int
	retryAfter time.Duration
	err        error
}

// request sends a request to an instance.
func (f *fleet) request(r *running, route, model string) answer {
	return f.requestWithKey(r, route, model, "")
}

// requestWithKey sends a request with a key, or without one if key is empty.
func (f *fleet) requestWithKey(r *running, route, model, key string) answer {
	return f.requestUntilDone(context.Background(), r, route, model, key)
}

// requestUntilDone is requestWithKey by a client that leaves when ctx is done.
func (f *fleet) requestUntilDone(ctx context.Context, r *running, route, model, key string) answer {
	a := answer{id: fmt.Sprintf("try-%d", attemptsIssued.Add(1))}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/"+route+"/x?q=1", strings.NewReader("body"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header = standin.ClientHeader(a.id, model, 15*time.Second)
	if key != "" {
		req.Header.Set(standin.KeyHeader, key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(body), err
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

// outcome returns the status and the error that the client got, without the address.
func (a answer) outcome() string {
	if e := (*url.Error)(nil); errors.As(a.err, &e) {
		return fmt.Sprint(a.status, " ", e.Err)
	}
	return fmt.Sprint(a.status, " ", a.err)
}

// requestUntilServed retries a request until it is served, with the pauses that Retry-After demands.
func (f *fleet) requestUntilServed(r *running, route, model string) answer {
	f.t.Helper()
	var a answer
	f.await(route+" "+model+" served", func() bool {
		a = f.request(r, route, model)
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(a.retryAfter)
		}
		return a.err == nil && a.status == http.StatusOK
	})
	return a
}

// wholeStream returns the complete stream of a model.
func wholeStream(model string) string {
	var b strings.Builder
	for i := range standin.StreamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, model)
	}
	return b.String()
}

// checkServerInvariants checks that no server recorded a violation, that fencing tokens never decrease, and that
// orders of two holders are at least the lease duration apart.
func (f *fleet) checkServerInvariants() {
	f.t.Helper()
	for id, s := range f.servers {
		for _, v := range s.Violations() {
			f.t.Errorf("%s: %s", id, v)
		}
		var last standin.ReceivedOrder
		for _, o := range s.Orders() {
			if o.Fence < last.Fence {
				f.t.Errorf("%s: token %d of %s after %d of %s", id, o.Fence, o.Holder, last.Fence, last.Holder)
			}
			if last.Holder != "" && o.Holder != last.Holder && o.At.Sub(last.At) < 300*time.Millisecond {
				f.t.Errorf("%s: orders of %s and %s within %v", id, last.Holder, o.Holder, o.At.Sub(last.At))
			}
			last = o
		}
	}
}

// runs returns the number of times that the attempt with the given id ran, summed over all servers.
func (f *fleet) runs(id string) int {
	n := 0
	for _, s := range f.servers {
		n += s.Runs()[id]
	}
	return n
}

// holder returns the instance that holds the lease, nil if none does.
func (f *fleet) holder() *running {
	for _, r := range f.instances {
		select {
		case <-r.done:
		default:
			if r.Instance.holder.Holds() {
				return r
			}
		}
	}
	return nil
}
