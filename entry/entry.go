// Package entry implements an entry instance on the users' platform. An instance answers clients'
// requests, keeps its copy of the store current, and either reports to the holder of the lease or is
// the holder itself. The program martenentryd is built on this package.
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
	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/tunnel"
	"github.com/martenport/martenport/verdict/rpcerror"
)

// Time limits and rates of calls to the store.
const (
	// storeTimeout is many times the store's usual latency of a few milliseconds, and still detects a
	// store that does not answer within a second.
	storeTimeout = time.Second
	// watchWait is how long the store holds a watch without events.
	watchWait = time.Second
	// holderWatchWait is watchWait at the holder. It adds to the age of the data of all other
	// instances, and the holder makes one call per holderWatchWait.
	holderWatchWait = 400 * time.Millisecond
	// watchGrace is how long after its wait a watch may be answered: several times the latency of a
	// slow store.
	watchGrace = 600 * time.Millisecond
	// storeCallsPerSecond is the maximum rate of an instance's calls to the store. The usual rate is
	// two per second.
	storeCallsPerSecond = 40
	readRetries         = 1
)

// Instance is an entry instance.
type Instance struct {
	// path is the file that the settings were read from; settings are those in force.
	path     string
	settings atomic.Pointer[platform.Settings]
	log      *logrus.Logger
	set      *metrics.Set

	dir        *directory.Directory
	client     *platform.Client
	backends   *platform.Backends
	paths      *pathObserver
	tunnels    *tunnel.Server
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
	// startDomains is the number of failure domains that shared the budget when the instance started.
	startDomains int
	clients      *clientServer
	intake       *intake.Budget
	watcher      *watcher
	service      *service
	options      Options
	declaration  *declarationState
	shedding     *connShedder
	marks        *versionMarks
	origins      *streamOrigins

	draining atomic.Bool
	// drainStart is when the instance began to drain; nil before.
	drainStart atomic.Pointer[time.Time]
	// leaveRequested is closed when an operator asks the instance to leave.
	leaveRequested chan struct{}
	leaveOnce      sync.Once
}

// network opens connections to the store and to other instances.
type network struct {
	// store is nil for plain TCP.
	store func(ctx context.Context, network, address string) (net.Conn, error)
	peers rpcpool.Dial
	// servers opens connections to backend servers; nil for plain TCP.
	servers platform.Dial
}

// New creates an instance with the settings s, which were read from path. Run starts it.
func New(s platform.Settings, path string, o Options, log *logrus.Logger) *Instance {
	return newInstance(s, path, o, network{peers: rpcpool.DialTCP}, log)
}

func newInstance(s platform.Settings, path string, o Options, n network, log *logrus.Logger) *Instance {
	i := &Instance{path: path, options: o, leaveRequested: make(chan struct{}), log: log, set: metrics.NewSet(), dir: directory.New(), backends: platform.NewBackends()}
	i.settings.Store(&s)
	i.client = platform.NewClient(platform.ClientParams{
		BaseURL: "http://" + s.Platform.Address, CallTimeout: storeTimeout, WatchWait: watchWait, WatchGrace: watchGrace, CallsPerSecond: storeCallsPerSecond, ReadRetries: readRetries, Dial: n.store, OnMalformed: logMalformed(log),
	})
	i.balancer = balance.New(balance.DefaultParams())
	holderParams := holder.DefaultParams(s.NodeName, s.PeerAddress(), s.Lease())
	holderParams.Bootstrap = s.Bootstrap
	if window := s.CeilingWindow(); window > 0 {
		holderParams.Fleet.RemoteWindow = window
	}
	holderParams.Fleet.RemoteOverage = max(holderParams.Fleet.RemoteOverage, s.Bounds.CeilingOverage)
	holderParams.Quota, holderParams.ServerQuota = quotaParams(&s), backpressure.QuotaParams()
	i.holder = holder.New(holderParams, i.client, i.backends, i.dir, holder.NewMetrics(i.set), log)
	i.members = &members{store: i.client, self: member{Name: s.NodeName, Address: s.PeerAddress(), Domain: s.Zone, Cores: s.Cores(), Tunnels: s.TunnelAddress()}, log: log, eraChanged: make(chan struct{}, 1)}
	i.limiter = newServerLimiter(s.NodeName, i.dir, i.members, i.set, log)
	i.observeAnswers()
	i.paths = newPathObserver(i.set, log)
	i.backends.TrackPaths(i.paths.tracker, i.paths.changed)
	if n.servers != nil {
		i.backends.SetDial(n.servers)
	}
	i.useTunnels(&s)
	i.holder.SetServerLimits(lendableLimits{i.limiter.ledger})
	i.follower = newFollower(s.NodeName, i.holder, i.dir, rpcpool.New(n.peers), i.members, log)
	maxUpdateAge := func() time.Duration { return updateLifetime(i.settings.Load()) }
	i.watcher = newWatcher(i.client, i.dir, i.backends, i.balancer, i.holder.Holds, maxUpdateAge, log)
	i.watcher.firstStart = s.Bootstrap
	i.watcher.onNewEra, i.watcher.onRestored = i.holder.ObserveEra, i.handleStoreRestored
	i.watcher.onUnreadable = countUnreadable(i.set, log)
	i.follower.watcher, i.follower.shares = i.watcher, quota.NewShares(holderParams.Quota.Lifetime)
	i.holder.SetReach(i.reachedEngines)
	i.holder.SetReachCheck(func(ctx context.Context) { i.reachesEngine(ctx) })
	i.follower.reached, i.follower.reachesEngine = i.reachedEngines, i.reachesEngine
	i.follower.limiter, i.follower.address = i.limiter, s.PeerAddress()
	i.holder.SetRunsAsker(i.follower.askRunsEnd)
	i.follower.balancer = i.balancer
	i.limiter.askTurn, i.limiter.requestReport, i.limiter.instances = i.follower.requestTurn, i.follower.reportNow, i.follower.knownInstances
	i.holder.SetOutageSource(i.watcher.outageSince)
	i.declaration = &declarationState{config: &table.Config{}, log: log}
	if o.OperatorsPort > 0 {
		i.holder.SetReplicaLimits(i.declaration)
		i.watcher.declaration = i.declaration
	}
	i.quarantine = newQuarantineManager(i.client, i.members, i.follower, i.holder.Holds, i.set, log)
	i.quarantine.loaded.Store(s.Bootstrap) // then the store is empty
	i.crashes = newCrashDetector(i.quarantine, i.dir, i.backends, i.set, log)
	i.crashes.isolated = i.paths.tracker.Isolated
	i.follower.onEscalations, i.watcher.crashes = i.quarantine.recordReceived, i.crashes
	i.marks = &versionMarks{store: i.client, dir: i.dir, isHolder: i.holder.Holds, isFirstHolder: i.holder.IsFirst, serversAge: i.watcher.serversAge, log: log}
	i.origins = newStreamOrigins(i.dir, i.members, i.follower.pool, i.marks, newServerList(i.client, i.watcher, i.follower.knownInstances), i.set, log)
	i.service = &service{holder: i.holder, follower: i.follower, quarantine: i.quarantine, trials: quarantine.NewTrials(), limiter: i.limiter, semaphores: newSemaphores(i.set, log), origins: i.origins, storeAge: i.watcher.storeAge}
	i.follower.self = i.service
	i.startDomains = s.RetryBudgetDomains()
	i.budget = forward.NewBudget(i.budgetParams(&s))
	i.follower.budget, i.follower.domain = i.budget, s.RetryBudgetDomain()
	i.counts = forward.NewCounts(i.set)
	i.access = newAccessControl(i.follower, i.settings.Load, i.set)
	i.limiter.permits = i.newPermits()
	i.forwarder = forward.New(forward.DefaultParams(s.Zone), forward.Dependencies{
		Directory: i.dir, Sender: i.backends, Placer: i.follower, Balancer: i.balancer, Budget: i.budget,
		Guard: &crashGuard{crashDetector: i.crashes, follower: i.follower, ownTrials: quarantine.NewTrials()}, Access: i.access, Limiter: i.limiter, Gate: i.limiter.permits.gate,
		Counts: i.counts, Log: log, Waitlist: i.follower.desk, RecordRefused: i.follower.recordRefused, Memory: i.backends, Origins: i.origins,
	})
	i.backends.SetMetrics(i.set)
	i.backends.CheckProcesses(func() bool { return i.watcher.serversOld(clock.Now()) })
	i.backends.KeepLonger(func() bool { return balance.ManyInstances(i.follower.reportedInstances()) })
	i.balancer.SetSubset(balance.Subset{Instance: s.NodeName, Instances: i.follower.reportedInstances, Connections: i.backends})
	i.shedding = newConnShedder(i.dir.Config, i.holder.Holds, maxClientConns(&s), i.set, log)
	i.intake = newIntake(s.MemoryLimit(), o.RequestMemoryPercent, i.set, log)
	ingress := platform.NewIngress(i.forwarder, i.limits, requestHolding)
	ingress.OnRefused(recordEarlyRefusals(i.set, log))
	i.clients = newClientServer(i.closeWhileDraining(i.shedding.closeWhileShedding(ingress)), i.limits, i.intake, i.set, log)
	i.clients.admit, i.clients.maxConns = i.shedding.admit, maxClientConns(&s)
	i.addGauges()
	return i
}

// Lifetimes of lent shares of workspaces' limits.
const (
	// shortLoanLifetime is how long a share lasts without an update from the holder if an instance
	// that is cut off has to stop serving. It is longer than a successor of a lost holder takes to
	// lend again, which begins 2.5 s after the last renewal or later, plus the successor's first
	// answer to a report.
	shortLoanLifetime = 5 * time.Second
	// longLoanLifetime is the same if an instance that is cut off goes on serving: longer than all but
	// rare network partitions.
	longLoanLifetime = 10 * time.Minute
)

// quotaParams returns the parameters for lending the workspaces' limits.
func quotaParams(s *platform.Settings) quota.Params {
	p := quota.Params{Window: s.QuotaWindow(), Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack, Lifetime: longLoanLifetime}
	if s.Bounds.RevokeFailClosed {
		p.Lifetime = shortLoanLifetime
	}
	return p
}

// limits returns the client limits in force, the zero value before there is a configuration.
func (i *Instance) limits() serving.Limits {
	if config := i.dir.Config(); config != nil {
		return config.Limits
	}
	return serving.Limits{}
}

// closeWhileDraining makes clients open their next connection to another instance while this one
// drains.
func (i *Instance) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Ready reports whether clients should be routed to this instance.
func (i *Instance) Ready() bool {
	return !i.draining.Load() && i.dir.Config() != nil && len(i.dir.IDs()) > 0 && !i.shedding.active()
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, a server fails, or an operator asks the instance to leave. It then drains
// the instance and returns the server's error, if any.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	i.limitConnections(&listeners)
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
	ready, metricsServer := newCallServer(http.HandlerFunc(i.serveReady)), newCallServer(http.HandlerFunc(i.serveMetrics))
	serveErrors := make(chan error, 5)
	tunnels := i.newTunnelServer()
	if listeners.tunnels != nil {
		go func() { serveErrors <- tunnels.Serve(listeners.tunnels) }()
	}
	operators := newCallServer(nil)
	if listeners.operators != nil {
		operators.Handler = i.intake.Limit(i.operatorHandler(), rpcerror.Refused)
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
	_ = tunnels.Close()
	_ = listeners.peers.Close()
	wg.Wait()
	i.log.WithField("instance", s.NodeName).Info("instance stopped")
	return err
}

// backgroundTasks returns the tasks that communicate with the store and other instances for as long as
// the instance runs.
func (i *Instance) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		i.watcher.run, i.follower.run, i.holder.Run, i.quarantine.run, i.quarantine.runUrgent, i.crashes.runSweep, i.limiter.run, i.limiter.permits.run, i.access.run, i.members.run, i.marks.run, i.origins.run, i.origins.runUnsent, i.origins.runResend, i.origins.archive.run, i.shedding.run,
	}
}

// listeners are an instance's listeners. operators is nil if the operators' interface is disabled, and tunnels if no port
// is left for them.
type listeners struct{ clients, ready, peers, metrics, tunnels, operators net.Listener }

// MetricsPort is the port that serves the metrics, under /metrics. The deploy file has the same
// number.
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
		{"internalPorts", s.TunnelAddress(), &l.tunnels},
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
	i.set.NewGauge(`martenport_waitlist_requests{state="listed"}`, func() float64 { return float64(i.holder.WaitlistTotals(clock.Now()).Listed) })
	i.set.NewGauge(`martenport_waitlist_requests{state="due"}`, func() float64 { return float64(i.holder.WaitlistTotals(clock.Now()).Due) })
	for kind, count := range map[string]*atomic.Int64{
		"read": &i.client.Calls().Reads, "stale_read": &i.client.Calls().StaleReads, "write": &i.client.Calls().Writes, "watch": &i.client.Calls().Watches, "failed": &i.client.Calls().Failures,
		"unreadable": &i.client.Calls().MalformedObjects, "oversized": &i.client.Calls().Oversized, "refused": &i.client.Calls().Refused, "invalid_head": &i.client.Calls().InvalidHeads,
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
