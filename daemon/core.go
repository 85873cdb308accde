package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"connectrpc.com/grpchealth"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/command/dispatch"
	"github.com/martenport/martenport/command/intent"
	"github.com/martenport/martenport/command/orderer"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/command/routing"
	"github.com/martenport/martenport/command/runonce"
	"github.com/martenport/martenport/command/wake"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/query/timeline"
	"github.com/martenport/martenport/settings"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
)

// Dependencies are the clients and dial functions through which an instance reaches
// other systems.
type Dependencies struct {
	Store   store.Store
	Engine  func(declaration.Engine) backend.Engine
	Service func(address string) backend.Service
	Peer    rpcpool.Dial
}

// Core is an entry instance without its listeners. Tests and benchmarks run many of
// them in one process.
type Core struct {
	settings settings.Settings
	store    *monitoredStore

	events     *event.Recorder
	tables     *table.Tables
	peers      *peer.Client
	gossip     *peer.Gossip
	orders     *orderer.Manager
	waker      *wake.Waker
	gate       *admission.Gate
	queue      *admission.Queue
	dispatcher *dispatch.Dispatcher
	caller     *dispatch.Caller
	runs       *runonce.Registry
	intents    *intent.Intents
	timeline   *timeline.Collector
	running    *runningRequests
	health     *grpchealth.StaticChecker
	metrics    *instanceMetrics
}

// limitRetryAfter is the retry delay returned to callers whose request exceeds a
// limit.
const limitRetryAfter = time.Second

// NewCore returns an instance that other instances reach at peerAddress. Run starts
// its background work.
func NewCore(s settings.Settings, deps Dependencies, peerAddress string, log *logrus.Logger) *Core {
	clock := &event.Clock{}
	c := &Core{settings: s, running: newRunningRequests(), events: event.NewRecorder(s.Name, clock, s.Events, log)}
	c.tables = table.New(table.Member{
		Name: s.Name, FailureDomain: s.FailureDomain, PeerAddress: peerAddress, Incarnation: time.Now().UnixNano(),
	})
	c.store = newMonitoredStore(deps.Store, c.events)
	c.peers = peer.NewClient(s.Name, clock, deps.Peer)
	gossip := peer.DefaultGossipParams()
	gossip.Seeds = s.Peers
	c.gossip = peer.NewGossip(gossip, c.peers, c.tables, c.events)
	c.wireCommands(deps)
	c.metrics = newInstanceMetrics(c)
	return c
}

// wireCommands creates the components that place models, and admit and dispatch
// requests.
func (c *Core) wireCommands(deps Dependencies) {
	s := c.settings
	env := &orderer.Environment{
		Instance: s.Name, Identity: orderer.Identity(c.tables.Members.Self()),
		Store: c.store, Tables: c.tables, Events: c.events, Policy: placement.DefaultPolicy(),
	}
	c.orders = orderer.NewManager(env, orderer.Params{ReconcileInterval: s.Tick, StartupDelay: s.Settle, Workers: s.Workers}, deps.Engine)
	c.waker = wake.NewWaker(wake.DefaultParams(), env, c.orders, c.peers)
	c.gate = admission.NewGate(admission.Params{
		MaxRequests: s.MaxRequests, MaxPerModel: s.MaxPerModel, MaxPerCaller: s.MaxPerCaller, RetryAfter: limitRetryAfter,
	})
	balancer := routing.NewBalancer(routing.DefaultParams())
	c.queue = admission.NewQueue(admission.QueueParams{MaxWaiting: s.MaxPerModel, RetryAfter: limitRetryAfter, Refuse: true})
	c.dispatcher = dispatch.New(dispatch.DefaultParams(), c.tables, c.events, balancer, c.queue, c.waker, deps.Engine)
	c.caller = dispatch.NewCaller(c.dispatcher, deps.Service)
	c.runs = runonce.NewRegistry(runonce.Params{Retention: s.KeyRetention, MaxKeptAnswers: s.HeldAnswers}, s.Name, c.store, answerPeers{c})
	c.intents = intent.New(c.store, c.tables.Config, c.tables.Members.HasAlive)
	c.timeline = timeline.NewCollector(c.tables, c.events, c.peers)
	c.health = grpchealth.NewStaticChecker(martenportv1connect.InferenceServiceName)
}

// Run runs the instance's background work until ctx ends.
func (c *Core) Run(ctx context.Context) {
	var work sync.WaitGroup
	for _, run := range []func(context.Context){c.gossip.Run, c.watch, c.orders.Run, c.waker.Run, c.dispatcher.Run, c.sweep} {
		work.Go(func() { run(ctx) })
	}
	work.Wait()
}

// ServePeers serves requests of other instances on l until l is closed.
func (c *Core) ServePeers(l net.Listener) {
	peer.NewServer(peerHandler{c}, c.events.Clock()).Serve(l)
}

// Drain prepares the instance to stop: it refuses new requests, hands its engines
// over to other instances, removes its entry from the store, and waits until all
// running requests have finished or ctx has ended.
func (c *Core) Drain(ctx context.Context) {
	c.events.Record(event.Event{Kind: event.KindDrain})
	c.health.SetStatus(martenportv1connect.InferenceServiceName, grpchealth.StatusNotServing)
	c.tables.Members.UpdateSelf(func(m *table.Member) { m.State = table.Leaving })
	idle := c.gate.Drain()
	c.orders.Drain(ctx)
	c.unregister(ctx)
	select {
	case <-idle:
	case <-ctx.Done():
		for _, id := range c.running.ids() {
			c.events.Record(event.Event{Kind: event.KindDrain, Request: id, Detail: "still running at the drain limit, cut off"})
		}
	}
}
