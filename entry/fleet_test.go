package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// fleet is entry instances before stand-ins of the platform, on loopback.
type fleet struct {
	t         *testing.T
	store     *standin.Platform
	storeURL  string
	servers   map[string]*standin.Server
	silence   map[string]context.CancelFunc // ends a server's announcements
	instances []*running
	options   Options
	version   int64
	// workspaces are in each configuration, and change is made to each instance's settings.
	workspaces []standin.Workspace
	change     func(s *platform.Settings)
	// logs takes the lines of all instances; nil if nobody does.
	logs io.Writer
	// prepare is called with each instance before it runs.
	prepare func(i *Instance)
}

// running is one instance.
type running struct {
	*Instance
	address, ready string
	stop           context.CancelFunc
	done           chan struct{}
}

// Times of the stand-ins: loads are short, but longer than a request's way.
const (
	testLoad      = 150 * time.Millisecond
	testHeartbeat = 200 * time.Millisecond
	// eventually bounds what must come about; it decides nothing but how long a
	// failed test takes.
	eventually = 30 * time.Second
)

// newFleet starts a store with a configuration, two engines for four models of
// which each has room for two, one plain service, and n instances.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetWith(t, n, Options{})
}

func newFleetWith(t *testing.T, n int, o Options) *fleet {
	t.Helper()
	return (&fleet{t: t, options: o}).start(n)
}

// start starts what newFleet says.
func (f *fleet) start(n int) *fleet {
	t := f.t
	t.Helper()
	t.Parallel()
	f.store, f.servers, f.silence = standin.NewPlatform(), map[string]*standin.Server{}, map[string]context.CancelFunc{}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	f.storeURL = strings.TrimPrefix(server.URL, "http://")
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

func (f *fleet) addServer(id, service string, loaded []string) {
	f.addServerWith(id, service, loaded, 5*time.Millisecond)
}

// addServerWith starts a server with a pause between the events of its streams.
func (f *fleet) addServerWith(id, service string, loaded []string, eventPause time.Duration) {
	p := standin.ServerParams{ID: id, Service: service, FailureDomain: "a", EventPause: eventPause, Work: 5 * time.Millisecond}
	if service == "llm" {
		p.Models, p.MemoryMB, p.AdapterSlots, p.Loaded = testModels, testMemoryMB, testAdapterSlots, loaded
	}
	s, err := standin.NewServer("127.0.0.1", p)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, silence := context.WithCancel(context.Background())
	f.t.Cleanup(silence)
	f.t.Cleanup(s.Stop)
	f.servers[id], f.silence[id] = s, silence
	go s.Announce(ctx, f.store, testHeartbeat)
}

// testModels are what engines can load; two fit.
var testModels = map[string]standin.ServerModel{
	"m1": {MemoryMB: 100, AdapterMB: 1, Load: testLoad}, "m2": {MemoryMB: 100, AdapterMB: 1, Load: testLoad},
	"m3": {MemoryMB: 100, AdapterMB: 1, Load: testLoad}, "m4": {MemoryMB: 100, AdapterMB: 1, Load: testLoad},
}

// Room of an engine.
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
		RemoteLoad: 500 * time.Millisecond, LoadsPerSecond: 3, Workspaces: f.workspaces,
	}
	kinds := map[string]standin.RouteKind{"stream": standin.StreamRoute, "safe": standin.SafeRoute}
	for _, name := range routes {
		r := standin.Route{Name: name, Host: "h.example", Service: "plain", Kind: kinds[name], Timeout: 20 * time.Second, Objective: time.Second, Attempts: 3}
		switch r.Kind {
		case "":
			r.Kind = standin.UnsafeRoute
		case standin.StreamRoute:
			r.Service, r.Resumable = "llm", true
		}
		c.Routes = append(c.Routes, r)
	}
	if err := c.Write(context.Background(), f.store); err != nil {
		f.t.Fatal(err)
	}
}

// Ports of all instances, which have addresses of their own. Two ports that are free one after
// the other may be the same one.
const (
	testClientsPort = "8100"
	testReadyPort   = "8101"
)

// addInstance starts the instance of a machine, each at an address of its own.
func (f *fleet) addInstance(machine int) *running {
	f.t.Helper()
	ip := standin.UniqueLoopbackIP()
	s := platform.Settings{NodeName: "node-" + strconv.Itoa(machine), IP: ip, Zone: "a", InternalPorts: []int{7380, 7390}}
	s.Listen.Frontend, s.Listen.Ready = net.JoinHostPort(ip, testClientsPort), net.JoinHostPort(ip, testReadyPort)
	s.Platform.Address = f.storeURL
	s.Bounds.GraceS, s.Bounds.LeaseMS, s.Bounds.DrainMS = 8, 300, 2000
	s.Bounds.BudgetRatio, s.Bounds.BudgetWindowS, s.Bounds.BudgetExtra = 0.2, 10, 100
	if f.change != nil {
		f.change(&s)
	}
	if err := s.Check(); err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if f.logs != nil {
		log.SetOutput(f.logs)
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: time.StampMilli})
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Instance: New(s, writeSettings(f.t, s), f.options, log), address: s.Listen.Frontend, ready: s.Listen.Ready, stop: stop, done: make(chan struct{})}
	if f.prepare != nil {
		f.prepare(r.Instance)
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

// writeSettings writes settings to a file as the platform does.
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

func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for limit := time.Now().Add(eventually); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			f.t.Fatalf("not in time: %s", what)
		}
	}
}

// attempts counts what was given out, over all tests.
var attempts atomic.Int64

// answer is what a client got.
type answer struct {
	id, body string
	status   int
	after    time.Duration
	err      error
}

// ask sends one request to an instance.
func (f *fleet) ask(r *running, route, model string) answer { return f.askWith(r, route, model, "") }

// askWith sends one request with a key, none if empty.
func (f *fleet) askWith(r *running, route, model, key string) answer {
	a := answer{id: fmt.Sprintf("try-%d", attempts.Add(1))}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+r.address+"/"+route+"/x?q=1", strings.NewReader("body"))
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
		a.after = time.Duration(s * float64(time.Second))
	}
	return a
}

// askUntilServed repeats a request while it is refused, as told.
func (f *fleet) askUntilServed(r *running, route, model string) answer {
	f.t.Helper()
	var a answer
	f.await(route+" "+model+" served", func() bool {
		a = f.ask(r, route, model)
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(a.after)
		}
		return a.err == nil && a.status == http.StatusOK
	})
	return a
}

// wholeStream is what a stream of a model must bring.
func wholeStream(model string) string {
	var b strings.Builder
	for i := range standin.StreamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, model)
	}
	return b.String()
}

// checkPromises looks at what the backend servers have seen.
func (f *fleet) checkPromises() {
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
				f.t.Errorf("%s: %s and %s order within %v", id, last.Holder, o.Holder, o.At.Sub(last.At))
			}
			last = o
		}
	}
}

// runs adds up how often an attempt ran, over all servers.
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
