// Package daemon wires one entry instance from the packages below it. It is
// the library behind martenportd and martendev.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/grpchealth"
	"github.com/cockroachdb/errors"
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
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/query/timeline"
	"github.com/martenport/martenport/settings"
	"github.com/martenport/martenport/table"
)

// Daemon is one entry instance.
type Daemon struct {
	settings settings.Settings
	log      *logrus.Logger

	events     *event.Recorder
	tables     *table.Tables
	platform   *platform.Client
	store      *watchedStore
	transport  *http.Transport
	peers      *peer.Client
	gossip     *peer.Gossip
	orders     *orderer.Manager
	waker      *wake.Waker
	gate       *admission.Gate
	dispatcher *dispatch.Dispatcher
	caller     *dispatch.Caller
	runs       *runonce.Registry
	intents    *intent.Intents
	timeline   *timeline.Collector
	running    *runningRequests
	health     *grpchealth.StaticChecker
	metrics    *instruments

	callers, operators, peerListener net.Listener

	drainOnce sync.Once
	drained   chan struct{}
}

// The timing of platform calls.
const (
	platformCallTimeout  = time.Second
	platformWatchTimeout = 30 * time.Second
	platformReadRetries  = 2
)

// refusalRetry is told to callers refused for a limit or for lack of replicas.
const refusalRetry = time.Second

// New opens the listeners and wires the instance. Run starts it.
func New(s settings.Settings, log *logrus.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, log: log, drained: make(chan struct{}), running: newRunningRequests()}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.wireState()
	d.wireCommands()
	d.metrics = newInstruments(d)
	return d, nil
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{d.settings.Listen, &d.callers}, {d.settings.OperatorListen, &d.operators}, {d.settings.PeerListen, &d.peerListener}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = listener
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.operators, d.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (d *Daemon) wireState() {
	s := d.settings
	if s.PeerAddress == "" {
		s.PeerAddress = d.peerListener.Addr().String()
	}
	clock := &event.Clock{}
	d.events = event.NewRecorder(s.Name, clock, s.Events, d.log)
	d.tables = table.New(table.Member{
		Name: s.Name, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress,
		Incarnation: time.Now().UnixNano(),
	})
	d.platform = platform.NewClient(platform.Params{
		BaseURL: s.PlatformURL, CallTimeout: platformCallTimeout, WatchTimeout: platformWatchTimeout,
		CallsPerSecond: s.PlatformRate, ReadRetries: platformReadRetries,
	})
	d.store = newWatchedStore(d.platform, d.events)
	d.transport = backend.NewTransport()
	d.peers = peer.NewClient(s.Name, clock, peer.DialTCP)
	gossip := peer.DefaultGossipParams()
	gossip.Seeds = s.Peers
	d.gossip = peer.NewGossip(gossip, d.peers, d.tables, d.events)
}

func (d *Daemon) wireCommands() {
	s := d.settings
	env := &orderer.Environment{
		Instance: s.Name, Identity: orderer.Identity(d.tables.Members.Self()),
		Store: d.store, Tables: d.tables, Events: d.events, Policy: placement.DefaultPolicy(),
	}
	d.orders = orderer.NewManager(env, orderer.Params{Tick: s.Tick, Settle: s.Settle, Workers: s.Workers}, d.dialEngine)
	d.waker = wake.NewWaker(wake.DefaultParams(), env, d.orders, d.peers)
	d.gate = admission.NewGate(admission.Params{
		MaxRequests: s.MaxRequests, MaxPerModel: s.MaxPerModel, MaxPerCaller: s.MaxPerCaller, RetryAfter: refusalRetry,
	})
	balancer := routing.NewBalancer(routing.DefaultParams())
	d.dispatcher = dispatch.New(dispatch.DefaultParams(), d.tables, d.events, balancer, d.waker, d.dialEngine)
	d.caller = dispatch.NewCaller(d.dispatcher, d.dialService)
	d.runs = runonce.NewRegistry(runonce.Params{Retention: s.KeyRetention, MaxHeld: s.HeldAnswers}, s.Name, d.store, answerPeers{d})
	d.intents = intent.New(d.store, d.tables)
	d.timeline = timeline.NewCollector(d.tables, d.events, d.peers)
	d.health = grpchealth.NewStaticChecker(martenportv1connect.InferenceServiceName)
}

func (d *Daemon) dialEngine(e declaration.Engine) backend.Engine {
	return backend.NewHTTP("http://"+e.Address, &http.Client{Transport: d.transport}, d.settings.OrderCredential)
}

func (d *Daemon) dialService(address string) backend.Service {
	return backend.NewHTTP("http://"+address, &http.Client{Transport: d.transport}, "")
}

// CallerAddress is where callers reach the instance.
func (d *Daemon) CallerAddress() string { return d.callers.Addr().String() }

// OperatorAddress is where operators reach the instance.
func (d *Daemon) OperatorAddress() string { return d.operators.Addr().String() }

// PeerAddress is where other instances reach the instance.
func (d *Daemon) PeerAddress() string { return d.tables.Members.Self().PeerAddress }

// readHeaderTimeout bounds how long a client may take to send its headers, and
// maxHeaderBytes how many.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Run serves until ctx ends, then drains and returns. A second end comes from
// the drain limit.
func (d *Daemon) Run(ctx context.Context) error {
	d.events.Record(event.Event{Kind: event.KindStart, Detail: "callers=" + d.CallerAddress() + " operators=" + d.OperatorAddress() + " peers=" + d.PeerAddress()})
	background, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, run := range []func(context.Context){d.gossip.Run, d.watch, d.orders.Run, d.sweepRuns} {
		work.Go(func() { run(background) })
	}
	go peer.NewServer(peerHandler{d}, d.events.Clock()).Serve(d.peerListener)
	callers, operators := d.server(d.callerHandler()), d.server(d.operatorHandler())
	failed := make(chan error, 2)
	go func() { failed <- d.serve(callers, d.callers) }()
	go func() { failed <- d.serve(operators, d.operators) }()
	var err error
	select {
	case <-ctx.Done():
	case <-d.drained:
	case err = <-failed:
	}
	d.Drain()
	<-d.drained
	d.shutdown(callers, operators)
	stop()
	work.Wait()
	d.events.Record(event.Event{Kind: event.KindStop})
	return err
}

func (d *Daemon) server(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (d *Daemon) serve(server *http.Server, l net.Listener) error {
	if d.settings.TLSCert != "" {
		return server.ServeTLS(l, d.settings.TLSCert, d.settings.TLSKey)
	}
	return server.Serve(l)
}

// shutdownTimeout is for answers to leave after the last request has ended.
const shutdownTimeout = 5 * time.Second

func (d *Daemon) shutdown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
	_ = d.peerListener.Close()
	d.peers.Close()
	d.transport.CloseIdleConnections()
}

// Drain makes the instance leave: it refuses new requests, hands its engines
// over, and ends Run once what runs is finished or the drain limit has passed.
// It returns at once.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { go d.drain() })
}

func (d *Daemon) drain() {
	defer close(d.drained)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit)
	defer cancel()
	d.events.Record(event.Event{Kind: event.KindDrain})
	d.health.SetStatus(martenportv1connect.InferenceServiceName, grpchealth.StatusNotServing)
	d.tables.Members.UpdateSelf(func(m *table.Member) { m.State = table.Leaving })
	idle := d.gate.Drain()
	d.orders.Drain(ctx)
	d.unregister(ctx)
	select {
	case <-idle:
	case <-ctx.Done():
		for _, id := range d.running.ids() {
			d.events.Record(event.Event{Kind: event.KindDrain, Request: id, Detail: "still running at the drain limit, cut off"})
		}
	}
}
