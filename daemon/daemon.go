// Package daemon wires one entry instance from the packages below it. It is
// the library behind martenportd and martendev.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/settings"
)

// Daemon is one entry instance with its listeners.
type Daemon struct {
	*Core
	transport *http.Transport

	callers, operators, peerListener net.Listener

	drainOnce sync.Once
	drained   chan struct{}
}

// The timing of platform calls.
const (
	platformCallTimeout = time.Second
	platformWatchWait   = 5 * time.Second
	platformBreakAfter  = 2
	platformReadRetries = 2
)

// New opens the listeners and wires the instance. Run starts it.
func New(s settings.Settings, log *logrus.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{transport: backend.NewTransport(), drained: make(chan struct{})}
	if err := d.listen(s); err != nil {
		return nil, err
	}
	client := platform.NewClient(platform.ClientParams{
		BaseURL: s.PlatformURL, CallTimeout: platformCallTimeout, WatchWait: platformWatchWait,
		CallsPerSecond: s.PlatformRate, ReadRetries: platformReadRetries, BreakAfter: platformBreakAfter,
	})
	peerAddress := s.PeerAddress
	if peerAddress == "" {
		peerAddress = d.peerListener.Addr().String()
	}
	d.Core = NewCore(s, Ports{Store: client, Engine: d.dialEngine, Service: d.dialService, Peer: rpcpool.DialTCP}, peerAddress, log)
	d.metrics.addPlatform(client.Calls())
	return d, nil
}

func (d *Daemon) listen(s settings.Settings) error {
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{s.Listen, &d.callers}, {s.OperatorListen, &d.operators}, {s.PeerListen, &d.peerListener}} {
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
	work.Go(func() { d.Core.Run(background) })
	go d.ServePeers(d.peerListener)
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

// Drain makes the instance leave and ends Run once what runs is finished or
// the drain limit has passed. It returns at once.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { go d.drain() })
}

func (d *Daemon) drain() {
	defer close(d.drained)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit)
	defer cancel()
	d.Core.Drain(ctx)
}
