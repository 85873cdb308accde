// Package soak runs the real programs as separate processes on loopback and injects faults from outside: signals
// to processes, TCP proxies that delay, reset or block traffic in one or both directions, servers that fail their
// requests, and configuration changes. Some clients open a connection per request, others reuse one. What clients
// and backend servers observe is checked against the guarantees of the system; logs are kept, but not checked.
package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// Params are the parameters of a run.
type Params struct {
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Entries, Engines and PlainServers are the numbers of entry instances, of engines, and of servers of the two
	// services that have no engines, together.
	Entries, Engines, PlainServers int
	// Dir is the directory of the built programs and the logs.
	Dir string
	// EntryProgram is the program of the entry instances; the built one if empty.
	EntryProgram string
}

// Violation is an observation that contradicts a guarantee of the system.
type Violation struct{ Guarantee, Detail string }

// Result is the outcome of a run.
type Result struct {
	Requests, Answered, Refused, Failed int
	Faults                              []string
	// UndisturbedReused counts the requests sent on reused connections while nothing on their path was disturbed.
	// RepeatedSends counts how often a request reached a server again after the first time.
	UndisturbedReused, RepeatedSends int
	// EnginesCrashed counts the crashes of engines due to a poison request, which crashes each engine that runs it.
	EnginesCrashed int
	// Budget says, for each service, how close the repeated sends came to the bound of the retry budget.
	Budget     []string
	Violations []Violation
	classes    map[string]*classCounts
}

// Times of a run.
const (
	// settleTime is the time between the end of the faults and the final checks. It is longer than a takeover of
	// the lease.
	settleTime = 12 * time.Second
	// holderGapMS is the setting leaseMs: the minimum time between the orders of two successive lease holders.
	holderGapMS = 1000
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 8 * time.Second
	// requestWork is how long a server takes for a request that is not streamed, and for each event of a stream: long
	// enough that many requests are in progress when a fault occurs.
	requestWork = 40 * time.Millisecond
	// recoveryTimeout bounds each wait for the start of processes, and in the final checks the wait until an instance
	// serves a route or model again.
	recoveryTimeout = 30 * time.Second
)

// subnets is the number of address ranges available to runs.
const subnets = 250

// maxProcesses is the number of entry instances, and of servers, that fit in a run's address range.
const maxProcesses = 250

// models are the models that engines can load. An engine has room for two.
var models = []string{"m1", "m2", "m3", "m4", "m5"}

// run is the state of a soak run.
type run struct {
	params          Params
	random          *rand.Rand
	logs            string
	subnet          int // number of the run's address range, below subnets
	store           *process
	storeAddress    string
	client          *platform.Client
	entries         []*process
	storeProxies    []*proxy         // to the store, one per entry instance
	peerLinks       []map[int]*proxy // by source and target; none in a run without peer links
	servers         []*process
	serverProxies   []*proxy // one per server
	serverAddresses []string // one per server
	history         history

	// disturbances counts the faults of servers and of the connections to them.
	disturbances *disturbanceTracker
	// poisons records the poison requests and the engines that they crashed.
	poisons *poisonLog
	// brittle records which services are brittle, and the servers that ended because of rejections.
	brittle *brittleServices
	// storeFaults records the faults of the store.
	storeFaults storeFaultTracker
	// waker makes clients that wait between requests send at about the same time.
	waker *clientWaker
	// takeUps counts streams that clients begin and take up.
	takeUps takeUps
	// entryMemory records instances that exceed their memory.
	entryMemory memoryLog
	// software holds the IDs of servers and the software versions of engines.
	software *softwareLog
	// concentrated is the instance that most new connections come to, and avoided one that none comes to, plus 1; 0 if there is
	// none.
	concentrated, avoided atomic.Int64
	// config is the state of the generated configurations.
	config configState
}

// Run starts the processes, injects faults and checks the guarantees. An error means that the soak itself failed;
// violations are in the result.
func Run(ctx context.Context, p Params) (Result, error) {
	r := newRun(p, fmt.Sprintf("seed-%d", p.Seed))
	if p.Entries > maxProcesses || p.Engines+p.PlainServers > maxProcesses {
		return Result{}, errors.Newf("soak: %d entry instances and %d servers requested, at most %d of each are supported", p.Entries, p.Engines+p.PlainServers, maxProcesses)
	}
	subnetClaim, err := r.prepare()
	if err != nil {
		return Result{}, err
	}
	defer subnetClaim.Close()
	r.setFirstStarts()
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	for i := range r.servers {
		go r.superviseServer(clientCtx, i)
	}
	waitClients := r.startClients(clientCtx)
	faults := r.injectFaults(ctx)
	r.endAllFaults()
	pause.For(ctx, settleTime)
	stopClients()
	result := waitClients()
	result.Faults = faults
	r.collectAllStates()
	result.Budget, result.RepeatedSends = r.history.budgetSummary()
	result.Violations = append(result.Violations, r.history.violations()...)
	result.EnginesCrashed = r.poisons.count()
	result.Violations = append(result.Violations, r.poisonViolations()...)
	result.Violations = append(result.Violations, r.takeUps.violations()...)
	result.Violations = append(result.Violations, r.entryMemory.violations()...)
	result.Violations = append(result.Violations, r.brittle.violations(r.serversByService())...)
	result.Violations = append(result.Violations, r.checkRecovery(ctx)...)
	return result, nil
}

// newRun returns a run whose logs are in the given folder within that of the built programs.
func newRun(p Params, logs string) *run {
	return &run{
		params: p, random: rand.New(rand.NewPCG(p.Seed, 1)), logs: filepath.Join(p.Dir, logs),
		history:      newHistory(p.Entries),
		disturbances: newDisturbanceTracker(), poisons: newPoisonLog(), brittle: newBrittleServices(), storeFaults: storeFaultTracker{active: map[string]bool{}}, waker: newClientWaker(), config: configState{random: rand.New(rand.NewPCG(p.Seed, 2))},
		software: newSoftwareLog(),
	}
}

// prepare reserves an address range, creates the folder of the logs and builds the programs. The range is reserved until
// the returned listener is closed.
func (r *run) prepare() (net.Listener, error) {
	subnetClaim, err := r.claimSubnet(subnets)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(r.logs, 0o700); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "soak: create log directory"), subnetClaim.Close())
	}
	if err := build(r.params.Dir); err != nil {
		return nil, errors.CombineErrors(err, subnetClaim.Close())
	}
	return subnetClaim, nil
}

// claimSubnet reserves an address range that no other run uses. It tries the range that the seed selects and then those
// after it, as many as tries in all. The range is reserved until the returned listener is closed.
func (r *run) claimSubnet(tries int) (net.Listener, error) {
	for n := range tries {
		r.subnet = int((r.params.Seed + uint64(n)) % subnets)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.254:7000", r.subnet)); err == nil {
			return l, nil
		}
	}
	return nil, errors.Newf("soak: no free address range: other runs use 127.1.%d.x and the next %d ranges", r.params.Seed%subnets, tries-1)
}

// start starts the store, the servers and the entry instances, and waits until all instances are ready.
func (r *run) start(ctx context.Context) error {
	r.storeAddress = fmt.Sprintf("127.1.%d.1:7000", r.subnet)
	r.store = r.newProcess("store", "martendev", func() []string { return []string{"platform", "--listen", r.storeAddress} })
	if err := r.store.start(); err != nil {
		return err
	}
	r.client = platform.NewClient(platform.ClientParams{BaseURL: "http://" + r.storeAddress, CallTimeout: time.Second, WatchWait: time.Second, CallsPerSecond: 1000})
	if err := r.await(ctx, "store", func() bool { return r.writeConfig(ctx) == nil }); err != nil {
		return err
	}
	if !r.store.running() {
		return errors.Newf("soak: another process answers at the store's address %s", r.storeAddress)
	}
	for i := range r.params.Engines + r.params.PlainServers {
		if err := r.startServer(i); err != nil {
			return err
		}
	}
	for i := range r.params.Entries {
		if err := r.startEntry(i); err != nil {
			return err
		}
	}
	return r.await(ctx, "entry instances", r.allReady)
}

// newProcess returns a process of a built program, which is not started yet. args is called at each start.
func (r *run) newProcess(name, program string, args func() []string) *process {
	return &process{name: name, path: filepath.Join(r.params.Dir, program), args: args, logs: r.logs}
}

// startServer starts server i and the proxy through which entry instances reach it.
func (r *run) startServer(i int) error {
	address := fmt.Sprintf("127.3.%d.%d:9000", r.subnet, 1+i)
	serverProxy, err := newProxy(address)
	if err != nil {
		return errors.Wrap(err, "soak: start proxy")
	}
	name := fmt.Sprintf("server-%d", i)
	p := r.newProcess(name, "martendev", nil)
	p.args = func() []string {
		id, how := r.software.begin(i, p.starts)
		args := []string{"server", "--listen", address, "--announced", serverProxy.address(), "--store", "http://" + r.storeAddress, "--id", id, "--work", r.engineWork(i).String()}
		args = append(args, "--service", r.serverService(i), "--domain", domainOf(i), "--state", r.stateFile(i, p.starts))
		args = append(args, r.brittleArgs(i)...)
		if i%unframedServers == unframedServers-1 {
			args = append(args, "--unframed")
		}
		if i >= r.params.Engines {
			return args
		}
		args = append(args, "--poison", poison, "--poison-part", deadly, "--version", how.version)
		for _, m := range models {
			args = append(args, "--model", m)
		}
		if how.omitsStart {
			args = append(args, "--omit-start")
		}
		if how.load > 0 {
			args = append(args, "--load", how.load.String())
		}
		for _, m := range how.loaded {
			args = append(args, "--loaded", m)
		}
		return args
	}
	r.servers, r.serverProxies, r.serverAddresses = append(r.servers, p), append(r.serverProxies, serverProxy), append(r.serverAddresses, address)
	return p.start()
}

// unframedServers is how often a server sends answers with neither a length nor chunks: one in so many.
const unframedServers = 5

// serverService returns the service of a server: engines come first, the others alternate between the two
// services that have no engines.
func (r *run) serverService(server int) string {
	switch {
	case server < r.params.Engines:
		return engineService
	case (server-r.params.Engines)%2 == 0:
		return mainService
	default:
		return sideService
	}
}

// startEntry writes the settings of entry instance i and starts it and its proxy to the store.
func (r *run) startEntry(i int) error {
	storeProxy, err := r.newStoreProxy(i)
	if err != nil {
		return errors.Wrap(err, "soak: start proxy")
	}
	ip := r.entryIP(i)
	settings := fmt.Sprintf(`nodeName = "entry-%d"
ip = "%s"
zone = "%s"
internalPorts = [7380, 7390]
listen = { frontend = "%s:8100", ready = "%s:8101" }
limits = { cpuShare = 1.0, cores = 1, memoryMb = %d, maxFds = %d }
bounds = { drainMs = 2000, graceS = %v, leaseMs = %d, budgetRatio = %v, budgetWindowS = %v, budgetExtra = %d, revokeFailClosed = true, revokeMs = %d, quotaWindowS = %v, quotaOverage = %v, quotaSlack = %v }
platform = { address = "%s" }
`, i, ip, domainOf(i), ip, ip, entryMemoryMB, entryFDs, gracePeriod.Seconds(), holderGapMS, budgetRatio, budgetWindow.Seconds(), budgetExtra(r.params.Entries), revokeBound.Milliseconds(), quotaWindow.Seconds(), quotaOverage, quotaSlack, storeProxy.address())
	path := filepath.Join(r.logs, fmt.Sprintf("entry-%d.toml", i))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "soak: write settings of an entry instance")
	}
	p := r.newProcess(fmt.Sprintf("entry-%d", i), "martenentryd", func() []string { return []string{"--settings", path} })
	p.path = cmp.Or(r.params.EntryProgram, p.path)
	r.entries, r.storeProxies = append(r.entries, p), append(r.storeProxies, storeProxy)
	return p.start()
}

// domainOf returns the failure domain of an entry instance or a server.
func domainOf(i int) string { return fmt.Sprintf("z%d", i%failureDomains) }

// failureDomains is the number of failure domains.
const failureDomains = 3

func (r *run) entryIP(i int) string { return fmt.Sprintf("127.2.%d.%d", r.subnet, 1+i) }

func (r *run) entryAddress(i int) string { return r.entryIP(i) + ":8100" }

// await waits until the condition holds, at most recoveryTimeout. what names the awaited thing in the error.
func (r *run) await(ctx context.Context, what string, condition func() bool) error {
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); {
		if condition() {
			return nil
		}
		if !pause.For(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return errors.Newf("soak: %s did not come up in %s", what, recoveryTimeout)
}

// allReady reports whether all entry instances report that they are ready.
func (r *run) allReady() bool {
	for i := range r.entries {
		resp, err := http.Get(strings.Replace("http://"+r.entryAddress(i)+standin.PathReady, ":8100", ":8101", 1))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// collectState adds the state of a server to the history. It does nothing if the server does not answer.
func (r *run) collectState(i int) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := client.Get("http://" + r.serverAddresses[i] + standin.PathState)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var state standin.State
	if json.NewDecoder(resp.Body).Decode(&state) == nil {
		r.history.addServerState(fmt.Sprintf("%s start %d", r.servers[i].name, r.servers[i].starts), state)
	}
}

// collectAllStates adds the states of all servers that answer to the history.
func (r *run) collectAllStates() {
	for i := range r.servers {
		r.collectState(i)
	}
}

// stop ends all processes and proxies of the run.
func (r *run) stop() {
	for _, p := range append(append(append([]*process{}, r.entries...), r.servers...), r.store) {
		if p != nil {
			p.stop(syscall.SIGKILL, time.Second)
		}
	}
	for _, p := range append(r.storeProxies, r.serverProxies...) {
		p.close()
	}
	for _, links := range r.peerLinks {
		for _, p := range links {
			p.close()
		}
	}
}
