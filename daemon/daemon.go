// Package daemon assembles an entry instance from its components. It is used by the
// programs martenportd and martendev.
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
	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/connlimit"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/settings"
	"github.com/martenport/martenport/verdict/rpcerror"
)

// Daemon is an entry instance with its listeners.
type Daemon struct {
	*Core
	transport *http.Transport
	intake    *intake.Budget

	callerListener, operatorListener, peerListener net.Listener

	drainOnce sync.Once
	drained   chan struct{}
}

// Parameters of calls to the store.
const (
	platformCallTimeout      = time.Second
	platformWatchWait        = 5 * time.Second
	platformBreakerThreshold = 2
	platformReadRetries      = 2
)

// New checks the settings, opens the listeners and returns the instance. Run starts it.
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
		CallsPerSecond: s.PlatformRate, ReadRetries: platformReadRetries, BreakerThreshold: platformBreakerThreshold,
	})
	peerAddress := s.PeerAddress
	if peerAddress == "" {
		peerAddress = d.peerListener.Addr().String()
	}
	d.Core = NewCore(s, Dependencies{Store: client, Engine: d.dialEngine, Service: d.dialService, Peer: rpcpool.DialTCP}, peerAddress, log)
	d.metrics.addPlatform(client.Calls())
	memory := int64(s.Memory) << 20
	d.intake = intake.ForProcess(memory, intake.DefaultPercent, d.metrics.set, log)
	d.operatorListener = connlimit.New(d.operatorListener, "operators", operatorConns, connlimit.CloseOldest, d.metrics.set, log)
	d.callerListener = connlimit.New(d.callerListener, "callers", intake.MaxConns(memory), connlimit.CloseNew, d.metrics.set, log)
	return d, nil
}

// listen opens all listeners, or none if one of them fails.
func (d *Daemon) listen(s settings.Settings) error {
	for _, l := range []struct {
		address string
		target  *net.Listener
	}{{s.Listen, &d.callerListener}, {s.OperatorListen, &d.operatorListener}, {s.PeerListen, &d.peerListener}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.target = listener
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callerListener, d.operatorListener, d.peerListener} {
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

// CallerAddress returns the address at which callers reach the instance.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// OperatorAddress returns the address at which operators reach the instance.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.Addr().String() }

// PeerAddress returns the address at which other instances reach the instance.
func (d *Daemon) PeerAddress() string { return d.tables.Members.Self().PeerAddress }

// readHeaderTimeout limits the time that a client may take to send its headers, and
// maxHeaderBytes their size.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// operatorConns is the number of connections of operators and of readers of the metrics.
const operatorConns = 64

// connReceiveBytes and streamReceiveBytes bound what is received and not yet read of the requests on a connection of HTTP/2, and of
// each of them.
const (
	connReceiveBytes   = 256 << 10
	streamReceiveBytes = 64 << 10
)

// Run serves until ctx ends, Drain is called or a listener fails, then drains and
// returns. Draining takes at most settings.DrainLimit. The error is that of the
// failed listener.
func (d *Daemon) Run(ctx context.Context) error {
	d.events.Record(event.Event{Kind: event.KindStart, Detail: "callers=" + d.CallerAddress() + " operators=" + d.OperatorAddress() + " peers=" + d.PeerAddress()})
	background, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { d.Core.Run(background) })
	go d.ServePeers(d.peerListener)
	work.Go(func() { d.intake.Run(background) })
	callers, operators := d.server(d.callerHandler()), d.server(d.operatorHandler())
	failed := make(chan error, 2)
	go func() { failed <- d.serve(callers, d.callerListener) }()
	go func() { failed <- d.serve(operators, d.operatorListener) }()
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
	return &http.Server{
		Handler: d.intake.Limit(handler, rpcerror.Refused), Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: connReceiveBytes, MaxReceiveBufferPerStream: streamReceiveBytes},
	}
}

func (d *Daemon) serve(server *http.Server, l net.Listener) error {
	if d.settings.TLSCert != "" {
		return server.ServeTLS(l, d.settings.TLSCert, d.settings.TLSKey)
	}
	return server.Serve(l)
}

// shutdownTimeout limits the time to send the remaining answers after the last
// request has ended.
const shutdownTimeout = 5 * time.Second

// shutdown stops the servers and closes the connections to peers and backend
// servers.
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

// Drain starts to drain the instance and returns immediately. Run returns when all
// running requests have finished or the drain limit has passed.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { go d.drain() })
}

func (d *Daemon) drain() {
	defer close(d.drained)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit)
	defer cancel()
	d.Core.Drain(ctx)
}
