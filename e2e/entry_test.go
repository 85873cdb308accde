package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// entryFleet is a store, entry instances and backend servers of the users' platform, each in a process of its own.
type entryFleet struct {
	t            *testing.T
	storeAddress string
	storeProcess *process
	store        *platform.Client
	servers      map[string]*process
	// addresses are those of the servers, which they keep over restarts.
	addresses map[string]string
	// instances are the addresses of the entry instances for clients, entries their processes and settings their settings
	// files.
	instances []string
	entries   []*process
	settings  []string
	// graceS is the grace period in the settings of instances that are started from now on, in seconds.
	graceS int
	// memoryMB and maxFDs limit the memory in MiB and the descriptors of such instances; 0 for no limit.
	memoryMB, maxFDs int
}

// Names in the configuration of an entryFleet.
const (
	engineService = "models"
	plainService  = "plain"
	clientHost    = "h.example"
)

// newEntryFleet starts the store and writes a configuration whose route and service names are those of the tests.
func newEntryFleet(t *testing.T) *entryFleet {
	t.Helper()
	return newEntryFleetWith(t, func(*standin.Config) {})
}

// newEntryFleetWith does the same with a configuration that change has changed.
func newEntryFleetWith(t *testing.T, change func(*standin.Config)) *entryFleet {
	t.Helper()
	f := &entryFleet{t: t, storeAddress: freeAddress(t), servers: map[string]*process{}, addresses: map[string]string{}, graceS: 8}
	f.storeProcess, _ = startProcess(t, "address=", "martendev", "platform", "--listen", f.storeAddress)
	f.store = platform.NewClient(platform.ClientParams{BaseURL: "http://" + f.storeAddress, CallTimeout: time.Second, WatchWait: time.Second, CallsPerSecond: 100})
	config := standin.Config{
		Version: 1, PlainServices: []string{plainService}, EngineService: engineService,
		Models: map[string]standin.ServerModel{"m1": {MemoryMB: 100, AdapterMB: 1}}, MemoryMB: 210, AdapterSlots: 2, EngineSlots: 64,
		RemoteLoad: time.Second, LoadsPerSecond: 1,
		Routes: []standin.Route{
			f.route("stream", engineService, standin.StreamRoute), f.route("once", engineService, standin.StreamRoute),
			f.route("safe", plainService, standin.SafeRoute), f.route("unsafe", plainService, standin.UnsafeRoute),
		},
	}
	change(&config)
	if err := config.Write(t.Context(), f.store); err != nil {
		t.Fatal(err)
	}
	return f
}

// route returns a route. Streams of the route named stream may be taken up.
func (f *entryFleet) route(name, service string, kind standin.RouteKind) standin.Route {
	return standin.Route{
		Name: name, Host: clientHost, Service: service, Kind: kind, Timeout: 20 * time.Second, Objective: 2 * time.Second,
		Attempts: 3, Resumable: name == "stream", Public: true,
	}
}

// startServer starts a server, or starts it again under its ID and address.
func (f *entryFleet) startServer(id, service string, args ...string) {
	f.t.Helper()
	if f.addresses[id] == "" {
		f.addresses[id] = freeAddress(f.t)
	}
	args = append([]string{"server", "--listen", f.addresses[id], "--store", "http://" + f.storeAddress, "--id", id, "--service", service}, args...)
	f.servers[id], _ = startProcess(f.t, "address=", "martendev", args...)
}

// startEntry starts an entry instance and waits until it is ready.
func (f *entryFleet) startEntry() {
	f.t.Helper()
	ip, _, err := net.SplitHostPort(freeAddress(f.t))
	if err != nil {
		f.t.Fatal(err)
	}
	settings := fmt.Sprintf(`nodeName = "entry-%[2]d"
ip = "%[1]s"
zone = "a"
internalPorts = [7380, 7390]
listen = { frontend = "%[1]s:8100", ready = "%[1]s:8101" }
limits = { cpuShare = 1.0, cores = 1, memoryMb = %[5]d, maxFds = %[6]d }
bounds = { drainMs = 2000, graceS = %[4]d, leaseMs = 1000, budgetRatio = 1.0, budgetWindowS = 10, budgetExtra = 500 }
platform = { address = "%[3]s" }
`, ip, len(f.instances), f.storeAddress, f.graceS, f.memoryMB, f.maxFDs)
	file := filepath.Join(f.t.TempDir(), "entry.toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.instances, f.settings, f.entries = append(f.instances, ip+":8100"), append(f.settings, file), append(f.entries, nil)
	f.restartEntry(len(f.instances) - 1)
	await(f.t, "the entry instance serves", func() bool {
		a := f.send(len(f.instances)-1, "stream", "first")
		return a.whole && a.text == wholeStream
	})
}

// restartEntry starts the process of an entry instance.
func (f *entryFleet) restartEntry(instance int) {
	f.t.Helper()
	f.entries[instance], _ = startProcess(f.t, "", "martenentryd", "--settings", f.settings[instance])
}

// wholeStream is a complete stream of the model m1 by a server without a stated version.
var wholeStream = func() string {
	var b strings.Builder
	for i := range standin.StreamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: m1\n\n", i+1)
	}
	return b.String()
}()

// state returns what a server has recorded since its start.
func (f *entryFleet) state(server string) standin.State {
	f.t.Helper()
	var state standin.State
	resp, err := http.Get("http://" + f.addresses[server] + standin.PathState)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		f.t.Fatal(err)
	}
	return state
}
