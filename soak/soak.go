// Package soak runs the real programs as separate processes on loopback and
// disturbs them from outside: signals, proxies that delay, reset, silence or cut one
// way what passes between them, servers that fail what they are asked, and
// configurations. Some clients open a connection for each request, others keep one.
// What callers and backend servers see is checked against the promises; logs are kept
// but not judged.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// Params of one run.
type Params struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Entries, Engines and Plain are how many processes of each there are; Plain are
	// those of the two plain services together.
	Entries, Engines, Plain int
	// Dir is where programs and logs go.
	Dir string
}

// Breach is a promise that was broken.
type Breach struct{ Promise, Detail string }

// Result of one run.
type Result struct {
	Requests, Answered, Refused, Failed int
	Faults                              []string
	// KeptClear counts the requests sent on kept connections that nothing disturbed,
	// and Repeats the arrivals at servers beyond the first of each request.
	KeptClear, Repeats int
	// Ended are the engines that requests ended.
	Ended int
	// Budget tells how near the repeated sends to each service came to the bound.
	Budget   []string
	Breaches []Breach
}

// Times of a run.
const (
	// settleTime lets everything come back before the last checks: longer than
	// a take-over of the lease.
	settleTime = 12 * time.Second
	// leaseMS is the least time between orders of two holders.
	leaseMS = 1000
	// graceTime is from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
	// work is what a plain request takes, and the pause between events: long
	// enough that many are under way when something breaks.
	work = 40 * time.Millisecond
	// comeBack bounds the last checks' requests.
	comeBack = 30 * time.Second
)

// subnets is how many ranges of addresses there are for runs.
const subnets = 250

// mostProcesses is how many entry instances, and how many servers, a run has
// addresses for.
const mostProcesses = 250

// models are what engines can load; two fit.
var models = []string{"m1", "m2", "m3", "m4", "m5"}

// run is one soak under way.
type run struct {
	params  Params
	random  *rand.Rand
	logs    string
	subnet  int // of subnets
	store   *process
	storeAt string
	client  *platform.Client
	entries []*process
	ways    []*proxy // to the store, by entry
	servers []*process
	doors   []*proxy // to each server
	addr    []string // of each server
	seen    seen

	troubles *troubles
	poisons  *poisonings
	// storeCalm knows how the store fares.
	storeCalm storeCalm
	herd      *herd
	settings  settings
}

// Run starts the processes, disturbs them, and checks. Its error says that the
// soak itself failed.
func Run(ctx context.Context, p Params) (Result, error) {
	r := &run{
		params: p, random: rand.New(rand.NewPCG(p.Seed, 1)), logs: filepath.Join(p.Dir, fmt.Sprintf("seed-%d", p.Seed)),
		seen:     newSeen(p.Entries),
		troubles: newTroubles(), poisons: newPoisonings(), storeCalm: storeCalm{active: map[string]bool{}}, herd: newHerd(), settings: settings{random: rand.New(rand.NewPCG(p.Seed, 2))},
	}
	if p.Entries > mostProcesses || p.Engines+p.Plain > mostProcesses {
		return Result{}, errors.Newf("soak: %d entries, %d servers: there are addresses for %d of each", p.Entries, p.Engines+p.Plain, mostProcesses)
	}
	alone, err := r.claim(subnets)
	if err != nil {
		return Result{}, err
	}
	defer alone.Close()
	if err := os.MkdirAll(r.logs, 0o700); err != nil {
		return Result{}, errors.Wrap(err, "soak")
	}
	if err := build(p.Dir); err != nil {
		return Result{}, err
	}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	clients, stopClients := context.WithCancel(ctx)
	for i := range p.Engines {
		go r.superviseEngine(clients, i)
	}
	traffic := r.startClients(clients)
	faults := r.disturb(ctx)
	r.heal()
	pause.For(ctx, settleTime)
	stopClients()
	result := traffic()
	result.Faults = faults
	r.collectAll()
	result.Budget, result.Repeats = r.seen.budgetUses()
	result.Breaches = append(result.Breaches, r.seen.breaches()...)
	result.Ended = r.poisons.count()
	result.Breaches = append(result.Breaches, r.poisonBreaches()...)
	result.Breaches = append(result.Breaches, r.comesBack(ctx)...)
	return result, nil
}

// claim takes addresses that no other run uses, until the listener that it returns is
// closed: those of the seed, or else the next free of so many.
func (r *run) claim(tries int) (net.Listener, error) {
	for n := range tries {
		r.subnet = int((r.params.Seed + uint64(n)) % subnets)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.254:7000", r.subnet)); err == nil {
			return l, nil
		}
	}
	return nil, errors.Newf("soak: other runs use the addresses 127.1.%d.x and the next %d", r.params.Seed%subnets, tries-1)
}

// start starts the store, the servers and the entry instances.
func (r *run) start(ctx context.Context) error {
	r.storeAt = fmt.Sprintf("127.1.%d.1:7000", r.subnet)
	r.store = r.process("store", "martendev", func() []string { return []string{"platform", "--listen", r.storeAt} })
	if err := r.store.start(); err != nil {
		return err
	}
	r.client = platform.NewClient(platform.ClientParams{BaseURL: "http://" + r.storeAt, CallTimeout: time.Second, WatchWait: time.Second, CallsPerSecond: 1000})
	if err := r.await(ctx, "store", func() bool { return r.configure(ctx) == nil }); err != nil {
		return err
	}
	if !r.store.runs() {
		return errors.Newf("soak: another process answers at the store's address %s", r.storeAt)
	}
	for i := range r.params.Engines + r.params.Plain {
		if err := r.addServer(i); err != nil {
			return err
		}
	}
	for i := range r.params.Entries {
		if err := r.addEntry(i); err != nil {
			return err
		}
	}
	return r.await(ctx, "entry instances", r.allReady)
}

func (r *run) process(name, program string, args func() []string) *process {
	return &process{name: name, path: filepath.Join(r.params.Dir, program), args: args, logs: r.logs}
}

func (r *run) addServer(i int) error {
	address := fmt.Sprintf("127.3.%d.%d:9000", r.subnet, 1+i)
	door, err := newProxy(address)
	if err != nil {
		return errors.Wrap(err, "soak: proxy")
	}
	name := fmt.Sprintf("server-%d", i)
	p := r.process(name, "martendev", nil)
	p.args = func() []string {
		args := []string{"server", "--listen", address, "--announced", door.address(), "--store", "http://" + r.storeAt, "--id", r.serverID(i, p.starts), "--work", work.String()}
		args = append(args, "--service", r.serviceAt(i))
		if i >= r.params.Engines {
			return args
		}
		args = append(args, "--poison", poison, "--state", r.stateFile(i, p.starts))
		for _, m := range models {
			args = append(args, "--model", m)
		}
		if p.starts == 0 { // a restarted engine is empty
			args = append(args, "--loaded", models[i%len(models)], "--loaded", models[(i+1)%len(models)])
		}
		return args
	}
	r.servers, r.doors, r.addr = append(r.servers, p), append(r.doors, door), append(r.addr, address)
	return p.start()
}

// serverID is the id of a start of a server.
func (r *run) serverID(server, start int) string { return fmt.Sprintf("server-%d-%d", server, start) }

// serviceAt is the service of a server: the engines come first, then those of the
// plain services by turns.
func (r *run) serviceAt(server int) string {
	switch {
	case server < r.params.Engines:
		return engines
	case (server-r.params.Engines)%2 == 0:
		return plain
	default:
		return side
	}
}

func (r *run) addEntry(i int) error {
	way, err := newProxy(r.storeAt)
	if err != nil {
		return errors.Wrap(err, "soak: proxy")
	}
	ip := r.entryIP(i)
	text := fmt.Sprintf(`nodeName = "entry-%d"
ip = "%s"
zone = "z%d"
internalPorts = [7380, 7390]
listen = { frontend = "%s:8100", ready = "%s:8101" }
limits = { cpuShare = 1.0, cores = 1 }
bounds = { drainMs = 2000, graceS = %v, leaseMs = %d, budgetRatio = %v, budgetWindowS = %v, budgetExtra = %d, revokeFailClosed = true, revokeMs = %d, quotaWindowS = %v, quotaOverage = %v, quotaSlack = %v }
platform = { address = "%s" }
`, i, ip, i%3, ip, ip, graceTime.Seconds(), leaseMS, budgetRatio, budgetWindow.Seconds(), budgetExtra(r.params.Entries), revokeBound.Milliseconds(), quotaWindow.Seconds(), quotaOverage, quotaSlack, way.address())
	path := filepath.Join(r.logs, fmt.Sprintf("entry-%d.toml", i))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	p := r.process(fmt.Sprintf("entry-%d", i), "martenentryd", func() []string { return []string{"--settings", path} })
	r.entries, r.ways = append(r.entries, p), append(r.ways, way)
	return p.start()
}

func (r *run) entryIP(i int) string { return fmt.Sprintf("127.2.%d.%d", r.subnet, 1+i) }

func (r *run) entryAddress(i int) string { return r.entryIP(i) + ":8100" }

func (r *run) await(ctx context.Context, what string, holds func() bool) error {
	for limit := time.Now().Add(comeBack); time.Now().Before(limit); {
		if holds() {
			return nil
		}
		if !pause.For(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return errors.Newf("soak: %s did not come up in %s", what, comeBack)
}

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

// collect takes over what a server has seen so far; one that does not answer has
// nothing more to tell.
func (r *run) collect(i int) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := client.Get("http://" + r.addr[i] + standin.PathState)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var state standin.State
	if json.NewDecoder(resp.Body).Decode(&state) == nil {
		r.seen.add(fmt.Sprintf("%s start %d", r.servers[i].name, r.servers[i].starts), state)
	}
}

func (r *run) collectAll() {
	for i := range r.servers {
		r.collect(i)
	}
}

// stop ends every process that the run has started.
func (r *run) stop() {
	for _, p := range append(append(append([]*process{}, r.entries...), r.servers...), r.store) {
		if p != nil {
			p.end(syscall.SIGKILL, time.Second)
		}
	}
	for _, p := range append(r.ways, r.doors...) {
		p.close()
	}
}
