// Package entry wires an entry instance that runs on the users' platform: it
// answers clients' requests, keeps up with the store, reports to the holder of
// the lease or is the holder itself. It is the library behind martenentryd.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/backpressure"
	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/table"
)

// Times and rates of calls to the store.
const (
	// storeTimeout is many times the store's usual answer of a few
	// milliseconds, and still lets a silent store be noticed within a second.
	storeTimeout = time.Second
	// watchWait is how long the store holds a watch without news.
	watchWait = time.Second
	// holderWatchWait is the same at the holder: what all others know is older by it, and it
	// makes as many calls for it as it has times in a second.
	holderWatchWait = 400 * time.Millisecond
	// watchGrace is how long after that a watch may be answered: several times what a slow
	// store takes.
	watchGrace = 600 * time.Millisecond
	// storeCallsPerSecond is an instance's calls a second at the most; usual are two.
	storeCallsPerSecond = 40
	readRetries         = 1
)

// Instance is one entry instance.
type Instance struct {
	// path is where the settings were read from, and settings those in force.
	path     string
	settings atomic.Pointer[platform.Settings]
	log      *logrus.Logger
	set      *metrics.Set

	dir        *directory.Directory
	client     *platform.Client
	backends   *platform.Backends
	limiter    *serverLimiter
	balancer   *balance.Balancer
	holder     *holder.Holder
	follower   *follower
	members    *members
	access     *accessControl
	forwarder  *forward.Forwarder
	counts     *forward.Counts
	quarantine *quarantineManager
	crashes    *crashDetector
	budget     *forward.Budget
	// startDomains is how many parts the budget had when the instance started.
	startDomains int
	clients      *clientServer
	watcher      *watcher
	service      *service
	options      Options
	declaration  *declarationState

	draining atomic.Bool
	// leaveRequested is closed when an operator has the instance leave.
	leaveRequested chan struct{}
	leaveOnce      sync.Once
}

// network opens connections to the store and to other instances.
type network struct {
	// store is nil for TCP.
	store func(ctx context.Context, network, address string) (net.Conn, error)
	peers rpcpool.Dial
}

// New wires an instance with the settings read from path. Run starts it.
func New(s platform.Settings, path string, o Options, log *logrus.Logger) *Instance {
	return newInstance(s, path, o, network{peers: rpcpool.DialTCP}, log)
}

func newInstance(s platform.Settings, path string, o Options, n network, log *logrus.Logger) *Instance {
	i := &Instance{path: path, options: o, leaveRequested: make(chan struct{}), log: log, set: metrics.NewSet(), dir: directory.New(), backends: platform.NewBackends()}
	i.settings.Store(&s)
	i.client = platform.NewClient(platform.ClientParams{
		BaseURL: "http://" + s.Platform.Address, CallTimeout: storeTimeout, WatchWait: watchWait, WatchGrace: watchGrace, CallsPerSecond: storeCallsPerSecond, ReadRetries: readRetries, Dial: n.store,
	})
	i.balancer = balance.New(balance.DefaultParams())
	holderParams := holder.DefaultParams(s.NodeName, s.PeerAddress(), s.Lease())
	holderParams.Bootstrap = s.Bootstrap
	if window := s.CeilingWindow(); window > 0 {
		holderParams.Fleet.RemoteWindow = window
	}
	holderParams.Fleet.RemoteOverage = max(holderParams.Fleet.RemoteOverage, s.Bounds.CeilingOverage)
	holderParams.Quota, holderParams.ServerQuota = quotaParams(&s), backpressure.QuotaParams()
	i.holder = holder.New(holderParams, i.client, i.backends, i.dir, holder.NewCounts(i.set), log)
	i.members = &members{store: i.client, self: member{Name: s.NodeName, Address: s.PeerAddress(), Domain: s.Zone, Cores: s.Cores()}, log: log, eraChanged: make(chan struct{}, 1)}
	i.limiter = newServerLimiter(s.NodeName, i.dir, i.members, i.set, log)
	i.backends.Listen(i.limiter.observe)
	i.holder.LimitServers(lendableLimits{i.limiter.ledger})
	i.follower = newFollower(s.NodeName, i.holder, i.dir, rpcpool.New(n.peers), i.members, log)
	bound := func() time.Duration { return updateLifetime(i.settings.Load()) }
	i.watcher = newWatcher(i.client, i.dir, i.backends, i.balancer, i.holder.Holds, bound, log)
	i.watcher.onNewEra, i.watcher.onRestored = i.holder.EraBegan, i.handleStoreRestored
	i.follower.watcher, i.follower.shares = i.watcher, quota.NewShares(holderParams.Quota.Lifetime)
	i.follower.limiter = i.limiter
	i.limiter.askTurn, i.limiter.requestReport, i.limiter.instances = i.follower.requestTurn, i.follower.reportNow, i.follower.knownInstances
	i.holder.WatchStore(i.watcher.outageSince)
	i.declaration = &declarationState{config: &table.Config{}, log: log}
	if o.OperatorsPort > 0 {
		i.holder.Limit(i.declaration)
		i.watcher.declaration = i.declaration
	}
	i.quarantine = newQuarantineManager(i.client, i.members, i.follower, i.holder.Holds, i.set, log)
	i.quarantine.loaded.Store(s.Bootstrap) // then the store has nothing
	i.crashes = newCrashDetector(i.quarantine, i.dir, i.backends, i.set, log)
	i.follower.onRaised, i.watcher.crashes = i.quarantine.recordReceived, i.crashes
	i.service = &service{holder: i.holder, follower: i.follower, quarantine: i.quarantine, trials: quarantine.NewTrials(), limiter: i.limiter, storeAge: i.watcher.storeAge}
	i.follower.self = i.service
	i.startDomains = s.SharingDomains()
	i.budget = forward.NewBudget(i.budgetParams(&s))
	i.follower.budget, i.follower.domain = i.budget, s.SharingDomain()
	i.counts = forward.NewCounts(i.set)
	i.access = newAccessControl(i.follower, i.settings.Load, i.set)
	i.forwarder = forward.New(forward.DefaultParams(s.Zone), i.dir, i.backends, i.follower, i.balancer, i.budget, &crashGuard{crashDetector: i.crashes, follower: i.follower}, i.access, i.limiter, i.counts, log)
	i.clients = newClientServer(i.closeWhileDraining(platform.NewIngress(i.forwarder, i.limits)), i.limits, i.set, log)
	i.addGauges()
	return i
}

// Lifetimes of shares of the limits of workspaces.
const (
	// shortLoanLifetime is how long a share lasts without the holder's word where an instance that
	// is cut off stops to serve: longer than it takes until a lost holder's successor lends,
	// which is from 2.5 s after the last renewal on, and its first answer to a report.
	shortLoanLifetime = 5 * time.Second
	// longLoanLifetime is how long where it goes on: longer than all but rare cuts.
	longLoanLifetime = 10 * time.Minute
)

// quotaParams returns how limits of workspaces are lent.
func quotaParams(s *platform.Settings) quota.Params {
	p := quota.Params{Window: s.QuotaWindow(), Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack, Lifetime: longLoanLifetime}
	if s.Bounds.RevokeFailClosed {
		p.Lifetime = shortLoanLifetime
	}
	return p
}

// limits returns the limits on clients in force, none before a configuration.
func (i *Instance) limits() serving.Limits {
	if config := i.dir.Config(); config != nil {
		return config.Limits
	}
	return serving.Limits{}
}

// closeWhileDraining has clients open their next connection elsewhere once the
// instance leaves.
func (i *Instance) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Ready reports whether clients should be sent here.
func (i *Instance) Ready() bool {
	return !i.draining.Load() && i.dir.Config() != nil && len(i.dir.IDs()) > 0
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, then drains and returns.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	s := i.settings.Load()
	i.log.WithFields(logrus.Fields{
		"instance": s.NodeName, "domain": s.Zone, "clients": s.Listen.Frontend, "peers": s.PeerAddress(), "store": s.Platform.Address,
	}).Info("instance started")
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, run := range append(i.backgroundTasks(), i.clients.guard.run, i.reload) {
		wg.Go(func() { run(background) })
	}
	go i.service.serve(listeners.peers)
	ready := &http.Server{Handler: http.HandlerFunc(i.serveReady)}
	metricsServer := &http.Server{Handler: http.HandlerFunc(i.serveMetrics)}
	serveErrors := make(chan error, 4)
	operators := &http.Server{}
	if listeners.operators != nil {
		operators.Handler = i.operatorHandler()
		go func() { serveErrors <- operators.Serve(listeners.operators) }()
	}
	go func() { serveErrors <- i.clients.serve(listeners.clients) }()
	go func() { serveErrors <- ready.Serve(listeners.ready) }()
	go func() { serveErrors <- metricsServer.Serve(listeners.metrics) }()
	select {
	case <-ctx.Done():
	case <-i.leaveRequested:
	case err = <-serveErrors:
	}
	i.drain()
	stop()
	_ = operators.Close()
	_ = ready.Close()
	_ = metricsServer.Close()
	_ = listeners.peers.Close()
	wg.Wait()
	i.log.WithField("instance", s.NodeName).Info("instance stopped")
	return err
}

// handleStoreRestored has what this instance wrote be written again: the copy that the store came back
// from may lack it. told is whether the store has said so, and not another instance.
func (i *Instance) handleStoreRestored(fromStore bool) {
	pause.Wake(i.members.eraChanged)
	if fromStore {
		i.quarantine.scheduleWriteAll()
	}
	i.follower.reportNow()
}

// backgroundTasks returns the standing work with the store and other instances.
func (i *Instance) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		i.watcher.run, i.follower.run, i.holder.Run, i.quarantine.run, i.quarantine.runUrgent, i.crashes.runSweep, i.limiter.run, i.access.run, i.members.run,
	}
}

// listeners are where an instance is reached; operators is nil if nowhere.
type listeners struct{ clients, ready, peers, metrics, operators net.Listener }

// MetricsPort is where an instance serves its metrics, under /metrics; the
// deploy file names the same one.
const MetricsPort = 9464

func (i *Instance) listen() (listeners, error) {
	var l listeners
	s := i.settings.Load()
	for _, endpoint := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"listen.frontend", s.Listen.Frontend, &l.clients},
		{"listen.ready", s.Listen.Ready, &l.ready},
		{"internalPorts", s.PeerAddress(), &l.peers},
		{"metrics", s.MetricsAddress(MetricsPort), &l.metrics},
		{"operators-port", i.operatorsAddress(), &l.operators},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return l, errors.Wrapf(err, "%s: listen on %s", endpoint.name, endpoint.address)
		}
		*endpoint.to = listener
	}
	return l, nil
}

// leave has the instance leave as at SIGTERM.
func (i *Instance) leave() { i.leaveOnce.Do(func() { close(i.leaveRequested) }) }

// Times of leaving.
const (
	// drainShare of the time until the platform kills the process is used to
	// let requests end; the rest is for the last answers to leave.
	drainShare = 0.9
	// balancerDelay is how long the platform's balancer may go on sending new
	// connections after the instance has become unready: two checks a second
	// apart, and one on its way.
	balancerDelay  = 2500 * time.Millisecond
	releaseTimeout = time.Second
)

// drain makes the instance unready, gives up the lease, and lets requests end.
func (i *Instance) drain() {
	start := time.Now()
	i.draining.Store(true)
	grace := i.settings.Load().Grace()
	i.log.WithField("grace_ms", grace.Milliseconds()).Info("instance draining")
	deadline := start.Add(time.Duration(float64(grace) * drainShare))
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	i.follower.stopTakeovers()
	i.holder.Release(ctx)
	i.members.unregister(ctx)
	cancel()
	time.Sleep(time.Until(start.Add(balancerDelay)))
	i.forwarder.Leave()
	i.clients.drain(deadline)
}

func (i *Instance) addGauges() {
	i.set.NewGauge("martenport_configuration_version", func() float64 {
		if config := i.dir.Config(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	i.set.NewGauge("martenport_servers", func() float64 { return float64(len(i.dir.IDs())) })
	i.set.NewGauge("martenport_servers_age_seconds", func() float64 { return i.watcher.prefixAge(platform.PrefixServers, clock.Now()).Seconds() })
	i.set.NewGauge("martenport_holder", func() float64 { return float64(i.holder.Fence()) })
	for kind, count := range map[string]*atomic.Int64{
		"read": &i.client.Calls().Reads, "stale_read": &i.client.Calls().StaleReads, "write": &i.client.Calls().Writes, "watch": &i.client.Calls().Watches, "failed": &i.client.Calls().Failures,
		"unreadable": &i.client.Calls().Unreadable,
	} {
		i.set.NewGauge(`martenport_store_calls{kind="`+kind+`"}`, func() float64 { return float64(count.Load()) })
	}
}

func (i *Instance) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	i.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
