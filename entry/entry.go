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
	// storeRate is an instance's calls a second at the most; usual are two.
	storeRate   = 40
	readRetries = 1
)

// Instance is one entry instance.
type Instance struct {
	// path is where the settings were read from, and settings those in force.
	path     string
	settings atomic.Pointer[platform.Settings]
	log      *logrus.Logger
	set      *metrics.Set

	dir       *directory.Directory
	client    *platform.Client
	backends  *platform.Backends
	intake    *intake
	balancer  *balance.Balancer
	holder    *holder.Holder
	follower  *follower
	members   *members
	gate      *gate
	forwarder *forward.Forwarder
	counts    *forward.Counts
	keeper    *quarantineKeeper
	crashes   *crashes
	budget    *forward.Budget
	// domains is how many parts the budget had when the instance started.
	domains  int
	clients  *clients
	watcher  *watcher
	service  *service
	options  Options
	declared *declared

	draining atomic.Bool
	// left is closed when an operator has the instance leave.
	left      chan struct{}
	leaveOnce sync.Once
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
	i := &Instance{path: path, options: o, left: make(chan struct{}), log: log, set: metrics.NewSet(), dir: directory.New(), backends: platform.NewBackends()}
	i.settings.Store(&s)
	i.client = platform.NewClient(platform.ClientParams{
		BaseURL: "http://" + s.Platform.Address, CallTimeout: storeTimeout, WatchWait: watchWait, WatchGrace: watchGrace, CallsPerSecond: storeRate, ReadRetries: readRetries, Dial: n.store,
	})
	i.balancer = balance.New(balance.DefaultParams())
	holding := holder.DefaultParams(s.NodeName, s.PeerAddress(), s.Lease())
	holding.Bootstrap = s.Bootstrap
	if window := s.CeilingWindow(); window > 0 {
		holding.Fleet.RemoteWindow = window
	}
	holding.Fleet.RemoteOverage = max(holding.Fleet.RemoteOverage, s.Bounds.CeilingOverage)
	holding.Quota, holding.ServerQuota = quotaParams(&s), backpressure.QuotaParams()
	i.holder = holder.New(holding, i.client, i.backends, i.dir, holder.NewCounts(i.set), log)
	i.members = &members{store: i.client, self: member{Name: s.NodeName, Address: s.PeerAddress(), Domain: s.Zone, Cores: s.Cores()}, log: log, eraBegan: make(chan struct{}, 1)}
	i.intake = newIntake(s.NodeName, i.dir, i.members, i.set, log)
	i.backends.Listen(i.intake.observe)
	i.holder.LimitServers(lentLimits{i.intake.ledger})
	i.follower = newFollower(s.NodeName, i.holder, i.dir, rpcpool.New(n.peers), i.members, log)
	bound := func() time.Duration { return wordLifetime(i.settings.Load()) }
	i.watcher = newWatcher(i.client, i.dir, i.backends, i.balancer, i.holder.Holds, bound, log)
	i.watcher.onEra, i.watcher.cameBack = i.holder.EraBegan, i.storeCameBack
	i.follower.watcher, i.follower.shares = i.watcher, quota.NewShares(holding.Quota.Lifetime)
	i.follower.intake = i.intake
	i.intake.ask, i.intake.report, i.intake.instances = i.follower.turn, i.follower.reportNow, i.follower.knownInstances
	i.holder.WatchStore(i.watcher.outage)
	i.declared = &declared{config: &table.Config{}, log: log}
	if o.OperatorsPort > 0 {
		i.holder.Limit(i.declared)
		i.watcher.declared = i.declared
	}
	i.keeper = newQuarantineKeeper(i.client, i.members, i.follower, i.holder.Holds, i.set, log)
	i.keeper.read.Store(s.Bootstrap) // then the store has nothing
	i.crashes = newCrashes(i.keeper, i.dir, i.backends, i.set, log)
	i.follower.raised, i.watcher.crashes = i.keeper.heard, i.crashes
	i.service = &service{holder: i.holder, follower: i.follower, keeper: i.keeper, trials: quarantine.NewTrials(), intake: i.intake, storeAge: i.watcher.age}
	i.follower.own = i.service
	i.domains = s.SharingDomains()
	i.budget = forward.NewBudget(i.budgetParams(&s))
	i.follower.budget, i.follower.domain = i.budget, s.SharingDomain()
	i.counts = forward.NewCounts(i.set)
	i.gate = newGate(i.follower, i.settings.Load, i.set)
	i.forwarder = forward.New(forward.DefaultParams(s.Zone), i.dir, i.backends, i.follower, i.balancer, i.budget, &crashGuard{crashes: i.crashes, follower: i.follower}, i.gate, i.intake, i.counts, log)
	i.clients = newClients(i.whileDraining(platform.NewIngress(i.forwarder, i.limits)), i.limits, i.set, log)
	i.addGauges()
	return i
}

// Lifetimes of shares of the limits of workspaces.
const (
	// shortLoan is how long a share lasts without the holder's word where an instance that
	// is cut off stops to serve: longer than it takes until a lost holder's successor lends,
	// which is from 2.5 s after the last renewal on, and its first answer to a report.
	shortLoan = 5 * time.Second
	// longLoan is how long where it goes on: longer than all but rare cuts.
	longLoan = 10 * time.Minute
)

// quotaParams returns how limits of workspaces are lent.
func quotaParams(s *platform.Settings) quota.Params {
	p := quota.Params{Window: s.QuotaWindow(), Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack, Lifetime: longLoan}
	if s.Bounds.RevokeFailClosed {
		p.Lifetime = shortLoan
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

// whileDraining has clients open their next connection elsewhere once the
// instance leaves.
func (i *Instance) whileDraining(next http.Handler) http.Handler {
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
	var work sync.WaitGroup
	for _, run := range append(i.control(), i.clients.guard.run, i.reload) {
		work.Go(func() { run(background) })
	}
	go i.service.serve(listeners.peers)
	ready := &http.Server{Handler: http.HandlerFunc(i.serveReady)}
	own := &http.Server{Handler: http.HandlerFunc(i.serveMetrics)}
	failed := make(chan error, 4)
	operators := &http.Server{}
	if listeners.operators != nil {
		operators.Handler = i.operatorHandler()
		go func() { failed <- operators.Serve(listeners.operators) }()
	}
	go func() { failed <- i.clients.serve(listeners.clients) }()
	go func() { failed <- ready.Serve(listeners.ready) }()
	go func() { failed <- own.Serve(listeners.metrics) }()
	select {
	case <-ctx.Done():
	case <-i.left:
	case err = <-failed:
	}
	i.drain()
	stop()
	_ = operators.Close()
	_ = ready.Close()
	_ = own.Close()
	_ = listeners.peers.Close()
	work.Wait()
	i.log.WithField("instance", s.NodeName).Info("instance stopped")
	return err
}

// storeCameBack has what this instance wrote be written again: the copy that the store came back
// from may lack it. told is whether the store has said so, and not another instance.
func (i *Instance) storeCameBack(told bool) {
	pause.Wake(i.members.eraBegan)
	if told {
		i.keeper.writeAllLater()
	}
	i.follower.reportNow()
}

// control returns the standing work with the store and other instances.
func (i *Instance) control() []func(context.Context) {
	return []func(context.Context){
		i.watcher.run, i.follower.run, i.holder.Run, i.keeper.run, i.keeper.runUrgent, i.crashes.runSweep, i.intake.run, i.gate.run, i.members.run,
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
	for _, where := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"listen.frontend", s.Listen.Frontend, &l.clients},
		{"listen.ready", s.Listen.Ready, &l.ready},
		{"internalPorts", s.PeerAddress(), &l.peers},
		{"metrics", s.MetricsAddress(MetricsPort), &l.metrics},
		{"operators-port", i.operatorsAddress(), &l.operators},
	} {
		if where.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", where.address)
		if err != nil {
			return l, errors.Wrapf(err, "%s: listen on %s", where.name, where.address)
		}
		*where.to = listener
	}
	return l, nil
}

// leave has the instance leave as at SIGTERM.
func (i *Instance) leave() { i.leaveOnce.Do(func() { close(i.left) }) }

// Times of leaving.
const (
	// graceShare of the time until the platform kills the process is used to
	// let requests end; the rest is for the last answers to leave.
	graceShare = 0.9
	// balancerNotice is how long the platform's balancer may go on sending new
	// connections after the instance has become unready: two checks a second
	// apart, and one on its way.
	balancerNotice = 2500 * time.Millisecond
	storeNotice    = time.Second
)

// drain makes the instance unready, gives up the lease, and lets requests end.
func (i *Instance) drain() {
	started := time.Now()
	i.draining.Store(true)
	grace := i.settings.Load().Grace()
	i.log.WithField("grace_ms", grace.Milliseconds()).Info("instance draining")
	limit := started.Add(time.Duration(float64(grace) * graceShare))
	ctx, cancel := context.WithTimeout(context.Background(), storeNotice)
	i.follower.leave()
	i.holder.Release(ctx)
	i.members.unregister(ctx)
	cancel()
	time.Sleep(time.Until(started.Add(balancerNotice)))
	i.forwarder.Leave()
	i.clients.drain(limit)
}

func (i *Instance) addGauges() {
	i.set.NewGauge("martenport_configuration_version", func() float64 {
		if config := i.dir.Config(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	i.set.NewGauge("martenport_servers", func() float64 { return float64(len(i.dir.IDs())) })
	i.set.NewGauge("martenport_servers_age_seconds", func() float64 { return i.watcher.ageOf(platform.PrefixServers, clock.Now()).Seconds() })
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
