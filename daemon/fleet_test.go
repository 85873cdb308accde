package daemon

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/settings"
)

// node is one instance in a test fleet.
type node struct {
	*Core
	domain string
	stop   context.CancelFunc
	peers  *listener
}

// testFleet runs instances, engines and the store in one process and in virtual time.
type testFleet struct {
	t        *testing.T
	net      *network
	platform *standin.Platform
	engines  map[string]*standin.Engine
	weights  *standin.WeightStore
	domains  []string
	declared string
	nodes    []*node
	running  sync.WaitGroup
}

// fleetShape is the size and the declaration of a test fleet.
type fleetShape struct {
	domains, nodesPerDomain, enginesPerDomain int
	// models is the YAML list of models.
	models string
	// tailWeight is the declared tail weight.
	tailWeight float64
}

// newTestFleet starts a fleet and waits until all engines have an orderer.
func newTestFleet(t *testing.T, shape fleetShape) *testFleet {
	f := &testFleet{t: t, net: newNetwork(), platform: standin.NewPlatform(), engines: map[string]*standin.Engine{}}
	f.weights = standin.NewWeightStore(3, 4)
	var engines strings.Builder
	for d := range shape.domains {
		domain := fmt.Sprintf("d%d", d)
		f.domains = append(f.domains, domain)
		for i := range shape.enginesPerDomain {
			name := fmt.Sprintf("%s-e%d", domain, i)
			f.engines[name] = standin.NewEngine(standin.EngineParams{
				Name: name, MemoryBytes: 80 << 30, Fencing: true, StepTime: 5 * time.Millisecond, MaxBatch: 32,
				Speeds: standin.DefaultSpeeds(), Weights: f.weights,
			})
			fmt.Fprintf(&engines, "  - {name: %s, failureDomain: %s, address: \"%s:1\", memory: 80GiB, fencing: true}\n", name, domain, name)
		}
	}
	f.declared = fmt.Sprintf("failureDomains: [%s]\ntailWeight: %v\nweightStore: {startsPerSecond: 3, streams: 4}\nengines:\n%s",
		strings.Join(f.domains, ", "), shape.tailWeight, engines.String())
	for i := range shape.nodesPerDomain {
		for _, domain := range f.domains {
			f.start(fmt.Sprintf("%s-i%d", domain, i), domain)
		}
	}
	f.accept(f.nodes[0], shape.models)
	f.awaitOrderers()
	return f
}

// testSettings returns settings for an instance in tests. It listens on free ports.
func testSettings(name, domain string) settings.Settings {
	return settings.Settings{
		Name: name, FailureDomain: domain, Listen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		PlatformURL: "http://127.0.0.1:1", PlatformRate: 50, MaxRequests: 2000, Memory: 1024, MaxPerModel: 2000, MaxPerCaller: 2000,
		MaxPromptBytes: 1 << 20, MaxTokens: 8192, MaxTimeout: 24 * time.Hour, KeyRetention: 24 * time.Hour, HeldAnswers: 1000,
		DrainLimit: time.Minute, Events: 2000, LogLevel: "info", Tick: time.Second, Settle: 2 * time.Second, Workers: 4,
	}
}

// runDaemon starts an instance with its listeners and stops it when the test ends.
func runDaemon(t testing.TB, s settings.Settings) *Daemon {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	d, err := New(s, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = d.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return d
}

// start adds an instance to the fleet and runs it.
func (f *testFleet) start(name, domain string) *node {
	s := testSettings(name, domain)
	if len(f.nodes) > 0 {
		s.Peers = []string{f.nodes[0].PeerAddress()}
	}
	address := name + ":1"
	deps := Dependencies{
		Store: partitionableStore{f.platform, f.net, domain}, Peer: f.net.dial(domain),
		Engine: func(e declaration.Engine) backend.Engine {
			return partitionableEngine{f.engines[e.Name], f.net, e.Name, domain, e.FailureDomain}
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{Core: NewCore(s, deps, address, nil), domain: domain, stop: stop, peers: f.net.listen(address, domain)}
	f.nodes = append(f.nodes, n)
	f.running.Go(func() { n.Run(ctx) })
	f.running.Go(func() { n.ServePeers(n.peers) })
	return n
}

// PeerAddress returns the address at which other instances reach the node.
func (n *node) PeerAddress() string { return n.tables.Members.Self().PeerAddress }

// kill stops an instance abruptly and closes its connections.
func (f *testFleet) kill(n *node) {
	n.stop()
	_ = n.peers.Close()
	n.Core.peers.Close()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	delete(f.net.listeners, n.peers.address)
	for _, c := range f.net.conns {
		if c.address == n.peers.address {
			_ = c.Close()
		}
	}
}

// close stops all instances and engines.
func (f *testFleet) close() {
	for _, n := range f.nodes {
		f.kill(n)
	}
	f.net.close()
	f.running.Wait()
	for _, e := range f.engines {
		e.Restart()
	}
	time.Sleep(time.Minute) // let calls in progress end
}

// accept plans and confirms the fleet's declaration with the given models.
func (f *testFleet) accept(n *node, models string) {
	f.t.Helper()
	if err := f.tryAccept(n, models); err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) tryAccept(n *node, models string) error {
	source := []byte(f.declared + "models:\n" + models)
	plan, err := n.intents.Plan(f.t.Context(), source)
	if err != nil {
		return err
	}
	accepted, err := n.intents.Confirm(f.t.Context(), plan.ID, plan.BaseGeneration, source)
	if err == nil {
		peer.ApplyDeclaration(n.tables, n.events, accepted, "operator")
	}
	return err
}

// awaitUntil waits until the condition holds, at most limit, and returns the virtual
// time that it took.
func (f *testFleet) awaitUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			f.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// awaitOrderers waits until every instance knows the orderer of every engine.
func (f *testFleet) awaitOrderers() {
	f.t.Helper()
	f.awaitUntil("every instance knows every engine's orderer", 2*time.Minute, func() bool {
		for _, n := range f.nodes {
			known := 0
			for _, e := range n.tables.Engines.All() {
				if e.Orderer != "" {
					known++
				}
			}
			if known < len(f.engines) {
				return false
			}
		}
		return true
	})
}

// generate sends a request for 4 tokens to the node.
func (n *node) generate(model, prompt string, timeout time.Duration) (*martenportv1.GenerateResponse, error) {
	return n.generateAs(&martenportv1.GenerateRequest{
		Model: model, Prompt: prompt, MaxTokens: 4, TimeoutMs: timeout.Milliseconds(), Idempotent: true,
	})
}

func (n *node) generateAs(req *martenportv1.GenerateRequest) (*martenportv1.GenerateResponse, error) {
	return n.Generate(context.Background(), req)
}

// loads returns the number of loads over all engines.
func (f *testFleet) loads() int {
	n := 0
	for _, e := range f.engines {
		n += e.Tally().Loads
	}
	return n
}

// replicas returns the number of engines that hold the model.
func (f *testFleet) replicas(model string) int {
	n := 0
	for _, e := range f.engines {
		if e.Holds(model) {
			n++
		}
	}
	return n
}

// checkCounts fails the test unless every accepted request has exactly one outcome
// and none is running.
func (f *testFleet) checkCounts() {
	f.t.Helper()
	for _, n := range f.nodes {
		if c := n.gate.Counts(); c.Accepted != c.Sum() || c.Running != 0 {
			f.t.Errorf("counts at %s: %+v, want none running and Accepted the sum of the others", n.settings.Name, c)
		}
	}
}

// trace formats the kept events of all nodes that match the filter.
func (f *testFleet) trace(filter event.Filter) string {
	var b strings.Builder
	for _, n := range f.nodes {
		for _, e := range n.events.Select(filter) {
			fmt.Fprintf(&b, "%s %s %s engine=%s model=%s %s\n", time.Unix(0, e.Stamp.Wall).Format("04:05.000"), e.Process, e.Kind, e.Engine, e.Model, e.Detail)
		}
	}
	return b.String()
}

// bubble runs f in virtual time (a synctest bubble) from a benchmark.
func bubble(b *testing.B, f func(t *testing.T)) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) },
	}})
	if !ok {
		b.Fatal("failed in virtual time")
	}
}

func unitOf(n *node, model string) backend.Unit {
	return backend.Unit{Model: model, Version: n.tables.Config.Index().Models[model].Version}
}

func modelFilter(model string) event.Filter { return event.Filter{Model: model} }
