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

// Ports are what an instance reaches the outside by.
type Ports struct {
	Store   store.Store
	Engine  func(declaration.Engine) backend.Engine
	Service func(address string) backend.Service
	Peer    rpcpool.Dial
}

// Core is an entry instance without its listeners: what it knows, decides and
// does. Tests and benchmarks run many of them in one process.
type Core struct {
	settings settings.Settings
	store    *watchedStore

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
	metrics    *instruments
}

// refusalRetry is told to callers refused for a limit.
const refusalRetry = time.Second

// NewCore wires an instance that other instances reach at peerAddress.
func NewCore(s settings.Settings, ports Ports, peerAddress string, log *logrus.Logger) *Core {
	clock := &event.Clock{}
	c := &Core{settings: s, running: newRunningRequests(), events: event.NewRecorder(s.Name, clock, s.Events, log)}
	c.tables = table.New(table.Member{
		Name: s.Name, FailureDomain: s.FailureDomain, PeerAddress: peerAddress, Incarnation: time.Now().UnixNano(),
	})
	c.store = newWatchedStore(ports.Store, c.events)
	c.peers = peer.NewClient(s.Name, clock, ports.Peer)
	gossip := peer.DefaultGossipParams()
	gossip.Seeds = s.Peers
	c.gossip = peer.NewGossip(gossip, c.peers, c.tables, c.events)
	c.wireCommands(ports)
	c.metrics = newInstruments(c)
	return c
}

func (c *Core) wireCommands(ports Ports) {
	s := c.settings
	env := &orderer.Environment{
		Instance: s.Name, Identity: orderer.Identity(c.tables.Members.Self()),
		Store: c.store, Tables: c.tables, Events: c.events, Policy: placement.DefaultPolicy(),
	}
	c.orders = orderer.NewManager(env, orderer.Params{Tick: s.Tick, Settle: s.Settle, Workers: s.Workers}, ports.Engine)
	c.waker = wake.NewWaker(wake.DefaultParams(), env, c.orders, c.peers)
	c.gate = admission.NewGate(admission.Params{
		MaxRequests: s.MaxRequests, MaxPerModel: s.MaxPerModel, MaxPerCaller: s.MaxPerCaller, RetryAfter: refusalRetry,
	})
	balancer := routing.NewBalancer(routing.DefaultParams())
	c.queue = admission.NewQueue(admission.QueueParams{MaxWaiting: s.MaxPerModel, RetryAfter: refusalRetry, Refuse: true})
	c.dispatcher = dispatch.New(dispatch.DefaultParams(), c.tables, c.events, balancer, c.queue, c.waker, ports.Engine)
	c.caller = dispatch.NewCaller(c.dispatcher, ports.Service)
	c.runs = runonce.NewRegistry(runonce.Params{Retention: s.KeyRetention, MaxHeld: s.HeldAnswers}, s.Name, c.store, answerPeers{c})
	c.intents = intent.New(c.store, c.tables.Config, c.tables.Members.Populated)
	c.timeline = timeline.NewCollector(c.tables, c.events, c.peers)
	c.health = grpchealth.NewStaticChecker(martenportv1connect.InferenceServiceName)
}

// Run does the instance's standing work until ctx ends.
func (c *Core) Run(ctx context.Context) {
	var work sync.WaitGroup
	for _, run := range []func(context.Context){c.gossip.Run, c.watch, c.orders.Run, c.waker.Run, c.dispatcher.Run, c.sweep} {
		work.Go(func() { run(ctx) })
	}
	work.Wait()
}

// ServePeers answers other instances on l until it is closed.
func (c *Core) ServePeers(l net.Listener) {
	peer.NewServer(peerHandler{c}, c.events.Clock()).Serve(l)
}

// Drain makes the instance leave: it refuses new requests, hands its engines
// over, and returns once what runs is finished or ctx has ended.
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
