package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/serving"
)

// Intervals and time limits of calls to the holder.
const (
	// exchangeInterval is how often an instance reports its requests and learns which units are loaded
	// where. A load from disk takes about half a second. Doubling the interval lowered the worth of
	// the answers by .012 +- .006 (48 pairs of days on the users' platform).
	exchangeInterval = 125 * time.Millisecond
	// exchangeIntervalPerInstance times the number of instances is the minimum interval in a large
	// fleet, so that the holder answers 125 reports per second. The interval never exceeds
	// maxExchangeInterval, even if that means more reports, since leaving servers and configurations
	// must be known within two or three seconds.
	exchangeIntervalPerInstance = 8 * time.Millisecond
	maxExchangeInterval         = time.Second
	// exchangeRetry is the pause after a report without an answer.
	exchangeRetry = 150 * time.Millisecond
	// exchangeTimeout is several round trips between failure domains, plus time for a holder that is
	// short of processor time.
	exchangeTimeout = 500 * time.Millisecond
	// callTimeout bounds other calls to the holder or to another instance.
	callTimeout = 400 * time.Millisecond
	// fullRequestInterval is the first pause between requests for the full list of servers while an
	// instance's list differs from the holder's. One of the two may be ahead of the other for as long
	// as a watch takes. The pause doubles up to maxFullRequestInterval, so that a lasting difference
	// does not cost the holder a full answer per second and instance.
	fullRequestInterval    = time.Second
	maxFullRequestInterval = 32 * time.Second
	// holderTimeout is the time without an answer after which the holder is considered unreachable.
	holderTimeout = 1200 * time.Millisecond
)

// follower is an instance's client of the lease holder. Every instance has one, also the holder
// itself, which announces itself with it. It implements forward.Placer.
type follower struct {
	name    string
	holder  *holder.Holder
	dir     *directory.Directory
	pool    *rpcpool.Pool
	members *members
	log     logrus.FieldLogger

	mu sync.Mutex
	// record is the lease's record as last read; guarded by mu.
	record lease.Record
	// lastAnswer is when the holder last answered, and unansweredReports the number of reports without
	// an answer since then; guarded by mu.
	lastAnswer        time.Time
	unansweredReports int
	// lastLookup is when the record was last read; guarded by mu.
	lastLookup time.Time
	arrivals   map[string]*holder.Arrivals // by model; guarded by mu
	traffic    classTraffic                // guarded by mu
	running    map[unitOnEngine]int        // guarded by mu
	// waiting are the requests that wait for a model, by model; guarded by mu.
	waiting      map[string]map[*waitingRequest]struct{}
	instances    int       // guarded by mu
	peers        peerCount // guarded by mu
	holderSilent bool      // guarded by mu
	// releasedRecord is the released record of a holder that could not write it to the store; guarded
	// by mu.
	releasedRecord lease.Record
	// applied is how much of the holder's updates has been applied; guarded by mu.
	applied appliedState
	// limitsExchange is the progress of the exchange of servers' limits; used by exchange only.
	limitsExchange limitsProgress
	// serversDiffer is whether the holder's list of servers differs from this instance's.
	// lastFullRequest is when the full list was last requested because of that, and fullRequests the
	// number of such requests since the lists were last equal; guarded by mu.
	serversDiffer   bool
	lastFullRequest time.Time
	fullRequests    int

	// holderOutage is the number of the outage in which the holder cannot reach the store, 0 if it
	// can, and holderOutageSince when the holder first reported it; guarded by mu.
	holderOutage      uint64
	holderOutageSince time.Time
	// cachedPlaces are recent answers of the holder to Want; guarded by mu.
	cachedPlaces map[forward.PlaceRequest]cachedPlace

	// reportRequested wakes run to send the next report at once.
	reportRequested chan struct{}
	// minInterval is the minimum time between reports; set before run.
	minInterval time.Duration

	// leaving is whether the instance is about to end and must not take over the lease; guarded by mu.
	leaving bool

	// watcher is set before run.
	watcher *watcher
	// budget is updated with the number of instances in domain that share a part of it; both are set
	// before run. Lock order: mu before the budget's mutex.
	budget *forward.Budget
	domain string
	// self handles this instance's calls to itself.
	self *service
	// ledger records the requests under which servers ended. onEscalations is called with the requests
	// that become suspect or quarantined because of the holder's updates; set before run.
	ledger *quarantine.Ledger
	// limiter has the limits of servers; set before run.
	limiter *serverLimiter
	// shares are the parts of workspaces' limits that are lent to this instance; set before run.
	shares        *quota.Shares
	onEscalations func([]quarantine.Escalation)
	// desk has the refused requests that are to return.
	desk *waitlist.Desk
	// balancer learns the speeds of engines; nil if they are not to be learnt. Set before run.
	balancer *balance.Balancer
	// reached returns the fraction of the engines that this instance reaches, and reachesEngine tries whether it reaches
	// any; set before run.
	reached       func() float64
	reachesEngine func(ctx context.Context) bool
	// reported is the number of instances that a holder last reported, 0 before that. The balancer and the connections
	// to servers read it under their own locks, so it needs none.
	reported atomic.Int64
	// link is how much of each other's ledgers the holder and this instance have; guarded by mu.
	link quarantine.Link
	// address is where other instances reach this one; set before run.
	address string
	// runWaits are the holder's queries that wait for the end of requests; guarded by mu.
	runWaits runWaits
}

// appliedState identifies the holder's updates that an instance has applied: the holder's fencing token,
// and its last changes of views and of servers.
type appliedState struct {
	fence          int64
	views, servers uint64
}

// limitsProgress is the progress of the exchange of servers' limits with the holder of a fencing token:
// the revision of the holder's ledger of limits up to which its changes were received, and the revision
// of this instance's ledger up to which its changes were sent.
type limitsProgress struct {
	fence          int64
	received, sent uint64
}

// unitOnEngine is a unit on an engine.
type unitOnEngine struct {
	engine string
	unit   serving.Unit
}

func newFollower(name string, h *holder.Holder, dir *directory.Directory, pool *rpcpool.Pool, m *members, log logrus.FieldLogger) *follower {
	return &follower{
		name: name, holder: h, dir: dir, pool: pool, members: m, log: log,
		arrivals: map[string]*holder.Arrivals{}, running: map[unitOnEngine]int{}, waiting: map[string]map[*waitingRequest]struct{}{}, cachedPlaces: map[forward.PlaceRequest]cachedPlace{}, instances: assumedInstances, minInterval: exchangeInterval,
		reportRequested: make(chan struct{}, 1), ledger: quarantine.NewLedgerOfInstance(clock.Now()), shares: quota.NewShares(0), desk: waitlist.NewDesk(), onEscalations: func([]quarantine.Escalation) {},
		reached: func() float64 { return 1 }, reachesEngine: func(context.Context) bool { return true },
	}
}

// assumedInstances is the number of instances that is assumed until a holder has reported it: reports
// at the resulting interval do not overload a holder.
const assumedInstances = 16

// holderName returns the name of the lease holder, as last read.
func (f *follower) holderName() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Holder
}

// liveHolder returns the lease's record as last read, and whether its holder is considered reachable.
func (f *follower) liveHolder() (record lease.Record, live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	live = f.record.Holder != "" && !f.record.Released && clock.Since(f.lastAnswer) <= holderTimeout
	return f.record, live
}

// reachesOtherHolder reports whether another instance is the holder and answers.
func (f *follower) reachesOtherHolder() bool {
	record, live := f.liveHolder()
	return live && record.Holder != f.name
}

// run exchanges reports with the holder, or becomes the holder, until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.mu.Lock()
	f.lastAnswer = clock.Now()
	f.mu.Unlock()
	f.find(ctx)
	wait := f.reportInterval()
	for pause.Until(ctx, wait, f.reportRequested) {
		if f.exchange(ctx) {
			wait = f.reportInterval()
			if f.watcher.awaitsFirstUpdate(clock.Now()) {
				wait = exchangeRetry // the holder has not read the store yet
			}
			continue
		}
		wait = exchangeRetry
		f.retryFind(ctx)
		if f.suspectsHolder() {
			f.considerTakeover(ctx)
		}
	}
}

// exchange sends a report to the holder and applies its answer. It reports whether the holder
// answered.
func (f *follower) exchange(ctx context.Context) bool {
	record, args := f.buildReport()
	if record.Holder == "" || record.Released {
		return false
	}
	sent := clock.Exact()
	args.Waitlist = f.desk.Report(sent)
	args.Uses, args.ServerUses = f.shares.Report(sent), f.limiter.shares.Report(sent)
	if f.limitsExchange.fence != record.Fence {
		f.limitsExchange = limitsProgress{fence: record.Fence}
	}
	var through uint64
	args.Leaving = f.dir.LeavingServers()
	args.SeenLimits = f.limitsExchange.received
	args.ServerLimits, through = f.limiter.ledger.Since(f.limitsExchange.sent, clock.Now())
	var reply ExchangeReply
	err := f.call(ctx, record, exchangeTimeout, methodExchange, args, &reply)
	if err == nil {
		f.recordReleased(reply.GaveUp)
		f.applyCrashes(args.Crashes, reply.Crashes, clock.Now())
	}
	if err != nil || !reply.Held {
		f.desk.Restore(args.Waitlist, clock.Now())
		f.shares.RestoreReport(args.Uses, clock.Now())
		f.limiter.shares.RestoreReport(args.ServerUses, clock.Now())
		f.recordUnanswered(record, err)
		return false
	}
	f.applyUpdate(record, &reply, sent, clock.Now())
	f.limitsExchange.received, f.limitsExchange.sent = reply.LimitsUpTo, through
	f.limiter.mergeLimits(reply.ServerLimits, record.Holder)
	f.limiter.mergeLeaving(reply.Leaving, record.Holder)
	f.applyLimits(&reply, sent, clock.Exact())
	f.holder.SetRemoteConcurrency(reply.News.RemoteAtOnce)
	f.holder.ObserveRemote(reply.News.Lease)
	return true
}

// applyLimits applies the part of the holder's answer about limits and about how current the
// configuration is. The answer was created after sent, when the report was sent.
func (f *follower) applyLimits(reply *ExchangeReply, sent, now time.Time) {
	if config := reply.News.Config; config.Version > 0 {
		f.dir.Confirm(config.Version, config.ConfirmedAt(sent))
	}
	if reply.Lends {
		f.shares.Apply(reply.Loans, sent, now)
		f.limiter.shares.Apply(reply.ServerLoans, sent, now)
		f.limiter.recordLent(sent)
	}
}

// reportNow makes the next report be sent at once.
func (f *follower) reportNow() { pause.Wake(f.reportRequested) }

// buildReport returns the next report, and the record of the holder to send it to.
func (f *follower) buildReport() (lease.Record, *ExchangeArgs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := holder.Report{
		Name: f.name, Domain: f.domain, Reaches: f.reachableInOutage(), Fence: f.applied.fence, SeenViews: f.applied.views, SeenServers: f.applied.servers, Revision: f.dir.Revision(), Address: f.address,
	}
	if now := clock.Now(); f.serversDiffer && now.Sub(f.lastFullRequest) >= fullRequestWait(f.fullRequests) {
		f.lastFullRequest = now
		f.fullRequests++
		r.Revision = directory.AllServers
	}
	for _, a := range f.arrivals {
		r.Arrivals = append(r.Arrivals, *a)
	}
	clear(f.arrivals)
	r.Traffic = f.traffic.take()
	for key, n := range f.running {
		r.Running = append(r.Running, holder.Running{Engine: key.engine, Unit: key.unit, Count: n})
	}
	r.Waiting = make(map[string]replicas.Waiting, len(f.waiting))
	for model := range f.waiting {
		r.Waiting[model] = f.waitingFor(model, clock.Now())
	}
	r.Speeds = f.balancer.TakeSpeedSamples()
	r.Reached = f.reached()
	args := &ExchangeArgs{Report: r, Crashes: f.ledger.NextMessage(f.link, clock.Now())}
	if config := f.dir.Config(); config != nil {
		args.ConfigVersion = config.Version
	}
	return f.record, args
}

// fullRequestWait returns the pause after the given number of requests for the full list of servers.
func fullRequestWait(requests int) time.Duration {
	const doublings = 5 // from fullRequestInterval to maxFullRequestInterval
	return min(maxFullRequestInterval, fullRequestInterval<<min(doublings, max(0, requests-1)))
}

// reachableInOutage returns the number of the holder's outage during which the store has answered this
// instance, 0 if there is none. f.mu must be held.
func (f *follower) reachableInOutage() uint64 {
	if f.holderOutage != 0 && f.watcher.answeredSince(f.holderOutageSince) {
		return f.holderOutage
	}
	return 0
}

// applyUpdate applies the holder's answer to a report that was sent at the given time.
func (f *follower) applyUpdate(record lease.Record, reply *ExchangeReply, sent, now time.Time) {
	update := reply.News
	f.mu.Lock()
	f.instances = max(1, update.Instances) // the interval until the next report depends on it
	f.mu.Unlock()
	f.reported.Store(int64(max(1, update.Instances)))
	f.dir.ApplyViews(update.Fence, decodeViews(reply.Views, now), update.Others, now)
	f.dir.ApplyAdmissions(update.Admit)
	f.desk.Apply(update.Waitlist, now)
	f.dir.ApplyRoom(update.Room)
	f.balancer.SetSharedSpeeds(update.Speeds, now)
	storeAge := time.Duration(reply.StoreAgeMS) * time.Millisecond
	fresh := record.Holder != f.name && update.Failing == 0 && storeAge < f.watcher.maxUpdateAge()
	if fresh {
		f.watcher.applyHolderUpdate(update, sent.Add(-storeAge), now)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Failing != f.holderOutage {
		f.holderOutage, f.holderOutageSince = update.Failing, now
	}
	f.lastAnswer, f.unansweredReports = now, 0
	f.budget.SetInstances(f.peers.update(update.Peers, now), now)
	f.applied = appliedState{fence: update.Fence, views: update.Seen, servers: update.Servers.Change}
	f.serversDiffer = fresh && update.Servers.Digest != f.dir.Digest()
	if fresh && !f.serversDiffer {
		f.fullRequests = 0
	}
	if !fresh {
		f.applied.servers = 0 // the holder's servers were not applied
	}
	if f.holderSilent {
		f.holderSilent = false
		f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": update.Fence}).Info("holder answers")
	}
}

// reportInterval returns the time between reports. It grows with the number of instances, up to
// maxExchangeInterval, to limit the holder's load.
func (f *follower) reportInterval() time.Duration {
	return min(maxExchangeInterval, max(f.minInterval, time.Duration(f.knownInstances())*exchangeIntervalPerInstance))
}

// recordUnanswered records that the holder did not answer, or does not hold the lease any more.
func (f *follower) recordUnanswered(record lease.Record, err error) {
	f.watcher.shortenUpdate()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unansweredReports++
	if clock.Since(f.lastAnswer) < holderTimeout || f.holderSilent {
		return
	}
	f.holderSilent = true
	f.pool.Disconnect(record.Address)
	f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": record.Fence, "error": err}).Warn("holder does not answer")
}
