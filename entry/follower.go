package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/serving"
)

// Times between an instance and the holder.
const (
	// exchangeInterval is how often an instance reports its requests and hears what is
	// loaded where: a load from disk takes about half a second. Twice the interval
	// lost .012 +- .006 of worth (48 pairs of days on the users' platform).
	exchangeInterval = 125 * time.Millisecond
	// exchangeIntervalPerInstance for each instance is the least interval of a large fleet, so
	// that the holder answers 125 reports a second, up to maxExchangeInterval:
	// leaving servers and configurations must be known within two or three.
	exchangeIntervalPerInstance = 8 * time.Millisecond
	maxExchangeInterval         = time.Second
	// exchangeRetry is the pause after a report without an answer.
	exchangeRetry = 150 * time.Millisecond
	// exchangeTimeout is several round trips between failure domains, with
	// room for a holder that is short of processor time.
	exchangeTimeout = 500 * time.Millisecond
	// callTimeout bounds one question for a unit.
	callTimeout = 400 * time.Millisecond
	// fullRequestInterval is the first pause between questions for all servers while
	// an instance knows others than the holder: one of them may be ahead of the
	// other for as long as a watch takes. It doubles up to maxCompareInterval, so
	// that a difference that lasts does not cost the holder a full answer a second
	// for each instance.
	fullRequestInterval    = time.Second
	maxFullRequestInterval = 32 * time.Second
	// holderTimeout without an answer the holder is not counted on.
	holderTimeout = 1200 * time.Millisecond
)

// follower is an instance's link to the holder. It implements forward.Placer.
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
	// lastAnswer is when the holder last lastAnswer, and misses counts the reports
	// without an answer since; guarded by mu.
	lastAnswer        time.Time
	unansweredReports int
	// lastLookup is when the record was last read; guarded by mu.
	lastLookup time.Time
	arrivals   map[string]*holder.Arrivals // by model; guarded by mu
	running    map[unitOnEngine]int        // guarded by mu
	// waiting are the requests that wait for a model; guarded by mu.
	waiting      map[string]map[*waitingRequest]struct{}
	instances    int       // guarded by mu
	peers        peerCount // guarded by mu
	holderSilent bool      // guarded by mu
	// releasedRecord is the released record of a holder that could not write it; guarded
	// by mu.
	releasedRecord lease.Record
	// applied is what the holder has told; guarded by mu.
	applied appliedState
	// limitsExchange is what of servers' limits has been limitsExchange; only exchange uses it.
	limitsExchange limitsProgress
	// serversDiffer: the holder knows other servers than this instance; asked is when
	// all were last asked for because of that, and questions how often since they
	// were last the same; guarded by mu.
	serversDiffer   bool
	lastFullRequest time.Time
	fullRequests    int

	// holderOutage is the episode in which the holder says that it does not reach the
	// store, and failingHeard when it first said so; guarded by mu.
	holderOutage      uint64
	holderOutageSince time.Time
	// cachedPlaces are answers of the holder that are still taken; guarded by mu.
	cachedPlaces map[forward.Wanted]cachedPlace

	// reportNowRequested has the next report be sent at once.
	reportNowRequested chan struct{}
	// minInterval is the least time between reports; it is set before run.
	minInterval time.Duration

	// leaving: the instance is about to end and takes nothing over; guarded by
	// mu.
	leaving bool

	// watcher is set before run.
	watcher *watcher
	// budget is told how many instances of domain share a part of it; both are set
	// before run. Lock order: mu before the budget's.
	budget *forward.Budget
	domain string
	// self answers this instance's calls of itself.
	self *service
	// ledger has the requests under which servers end, and raised is told which of them are
	// held by what the holder says; it is set before run.
	ledger *quarantine.Ledger
	// limiter is what is known of servers that limit what they take; it is set before run.
	limiter *serverLimiter
	// shares are what this instance was lent of the limits of workspaces; it is set before run.
	shares   *quota.Shares
	onRaised func([]quarantine.Raise)
	// link is how far the holder and this instance know of each other's ledgers; guarded by
	// mu.
	link quarantine.Link
}

// appliedState is what an instance has of a holder's word.
type appliedState struct {
	fence          int64
	views, servers uint64
}

// limitsProgress is up to which changes a holder and this instance know what the other says of the
// limits of servers.
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
		arrivals: map[string]*holder.Arrivals{}, running: map[unitOnEngine]int{}, waiting: map[string]map[*waitingRequest]struct{}{}, cachedPlaces: map[forward.Wanted]cachedPlace{}, instances: assumedInstances, minInterval: exchangeInterval,
		reportNowRequested: make(chan struct{}, 1), ledger: quarantine.NewLedger(), shares: quota.NewShares(0), onRaised: func([]quarantine.Raise) {},
	}
}

// assumedInstances is taken while no holder has said how many there are: reports of
// so many do not keep a holder busy.
const assumedInstances = 16

// holderName returns the name of the lease's holder, as last read.
func (f *follower) holderName() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Holder
}

// liveHolder returns the lease's record as last read, and whether its holder is counted on.
func (f *follower) liveHolder() (record lease.Record, live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	live = f.record.Holder != "" && !f.record.Released && clock.Since(f.lastAnswer) <= holderTimeout
	return f.record, live
}

// call calls the holder, directly if that is this instance.
func (f *follower) call(ctx context.Context, record lease.Record, timeout time.Duration, method string, args, reply any) error {
	if record.Holder == f.name {
		return f.callSelf(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.pool.Call(ctx, record.Address, method, args, reply)
}

func (f *follower) callSelf(args, reply any) error {
	switch a := args.(type) {
	case *ExchangeArgs:
		return f.self.Exchange(a, reply.(*ExchangeReply))
	case *WantArgs:
		return f.self.Want(a, reply.(*WantReply))
	case *UseArgs:
		return f.self.Use(a, reply.(*UseReply))
	case *TrialArgs:
		return f.self.Trial(a, reply.(*TrialReply))
	case *ConsultArgs:
		return f.self.Consult(a, reply.(*ConsultReply))
	case *DrawArgs:
		return f.self.Draw(a, reply.(*DrawReply))
	case *TurnArgs:
		return f.self.Turn(a, reply.(*TurnReply))
	case *LimitsArgs:
		return f.self.Limits(a, reply.(*LimitsReply))
	default:
		return errors.Newf("entry: no such call %T", args)
	}
}

// run keeps up with the holder, or becomes it, until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.mu.Lock()
	f.lastAnswer = clock.Now()
	f.mu.Unlock()
	f.find(ctx)
	wait := f.reportInterval()
	for pause.Until(ctx, wait, f.reportNowRequested) {
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

// exchange reports to the holder and takes over what it says. It reports
// whether the holder answered.
func (f *follower) exchange(ctx context.Context) bool {
	record, args := f.buildReport()
	if record.Holder == "" || record.Released {
		return false
	}
	sent := clock.Exact()
	args.Uses, args.ServerUses = f.shares.Report(sent), f.limiter.shares.Report(sent)
	if f.limitsExchange.fence != record.Fence {
		f.limitsExchange = limitsProgress{fence: record.Fence}
	}
	var through uint64
	args.Leaving = f.dir.Leavers()
	args.SeenLimits = f.limitsExchange.received
	args.ServerLimits, through = f.limiter.ledger.Since(f.limitsExchange.sent, clock.Now())
	var reply ExchangeReply
	err := f.call(ctx, record, exchangeTimeout, methodExchange, args, &reply)
	if err == nil {
		f.recordReleased(reply.GaveUp)
		f.applyCrashes(args.Crashes, reply.Crashes, clock.Now())
	}
	if err != nil || !reply.Held {
		f.shares.Unreported(args.Uses, clock.Now())
		f.limiter.shares.Unreported(args.ServerUses, clock.Now())
		f.recordUnanswered(record, err)
		return false
	}
	f.applyNews(record, &reply, sent, clock.Now())
	f.limitsExchange.received, f.limitsExchange.sent = reply.LimitsUpTo, through
	f.limiter.mergeLimits(reply.ServerLimits, record.Holder)
	f.limiter.mergeLeaving(reply.Leaving, record.Holder)
	f.applyLimits(&reply, sent, clock.Exact())
	f.holder.HeardRemoteAtOnce(reply.News.RemoteAtOnce)
	f.holder.Heard(reply.News.Lease)
	return true
}

// applyLimits takes over what the holder says, in answer to a report that was sent at a
// time, of limits and of how current the configuration is. Its word was made after that time.
func (f *follower) applyLimits(reply *ExchangeReply, sent, now time.Time) {
	if config := reply.News.Config; config.Version > 0 {
		f.dir.Confirm(config.Version, config.AsOf(sent))
	}
	if reply.Lends {
		f.shares.Apply(reply.Loans, sent, now)
		f.limiter.shares.Apply(reply.ServerLoans, sent, now)
		f.limiter.recordLent(sent)
	}
}

// reportNow has the next report be sent at once.
func (f *follower) reportNow() { pause.Wake(f.reportNowRequested) }

// buildReport makes up what the holder is told, and to whom.
func (f *follower) buildReport() (lease.Record, *ExchangeArgs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := holder.Report{
		Name: f.name, Domain: f.domain, Reaches: f.reachableInOutage(), Fence: f.applied.fence, SeenViews: f.applied.views, SeenServers: f.applied.servers, Revision: f.dir.Revision(),
	}
	if now := clock.Now(); f.serversDiffer && now.Sub(f.lastFullRequest) >= fullRequestWait(f.fullRequests) {
		f.lastFullRequest = now
		f.fullRequests++
		r.Revision = directory.Everything
	}
	for _, a := range f.arrivals {
		r.Arrivals = append(r.Arrivals, *a)
	}
	clear(f.arrivals)
	for key, n := range f.running {
		r.Running = append(r.Running, holder.Running{Engine: key.engine, Unit: key.unit, Count: n})
	}
	r.Waiting = make(map[string]replicas.Waiting, len(f.waiting))
	for model := range f.waiting {
		r.Waiting[model] = f.waitingFor(model, clock.Now())
	}
	return f.record, &ExchangeArgs{Report: r, Crashes: f.ledger.Tell(f.link, clock.Now())}
}

// fullRequestWait is the pause after so many questions for all servers.
func fullRequestWait(requests int) time.Duration {
	const doublings = 5 // from compareInterval to maxCompareInterval
	return min(maxFullRequestInterval, fullRequestInterval<<min(doublings, max(0, requests-1)))
}

// reachableInOutage needs mu. It returns the episode of the holder's failing in which the
// store has answered this instance.
func (f *follower) reachableInOutage() uint64 {
	if f.holderOutage != 0 && f.watcher.answeredSince(f.holderOutageSince) {
		return f.holderOutage
	}
	return 0
}

// applyNews takes over what the holder says in answer to a report that was sent at a time.
func (f *follower) applyNews(record lease.Record, reply *ExchangeReply, sent, now time.Time) {
	news := reply.News
	f.mu.Lock()
	f.instances = max(1, news.Instances) // how long the word is taken is for the next interval
	f.mu.Unlock()
	f.dir.ApplyViews(news.Fence, decodeViews(reply.Views, now), news.Others, now)
	f.dir.ApplyAdmissions(news.Admit)
	storeAge := time.Duration(reply.StoreAgeMS) * time.Millisecond
	fresh := record.Holder != f.name && news.Failing == 0 && storeAge < f.watcher.maxUpdateAge()
	if fresh {
		f.watcher.applyHolderUpdate(news, sent.Add(-storeAge), now)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if news.Failing != f.holderOutage {
		f.holderOutage, f.holderOutageSince = news.Failing, now
	}
	f.lastAnswer, f.unansweredReports = now, 0
	f.budget.SetInstances(f.peers.update(news.Peers, now), now)
	f.applied = appliedState{fence: news.Fence, views: news.Seen, servers: news.Servers.Change}
	f.serversDiffer = fresh && news.Servers.Digest != f.dir.Digest()
	if fresh && !f.serversDiffer {
		f.fullRequests = 0
	}
	if !fresh {
		f.applied.servers = 0 // they were not taken over
	}
	if f.holderSilent {
		f.holderSilent = false
		f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": news.Fence}).Info("holder answers")
	}
}

// reportInterval is how often the instance reports: less often in a large fleet, so
// that the holder's work does not grow with it without bound.
func (f *follower) reportInterval() time.Duration {
	return min(maxExchangeInterval, max(f.minInterval, time.Duration(f.knownInstances())*exchangeIntervalPerInstance))
}

// recordUnanswered notes that the holder did not answer, or is not the holder any more.
func (f *follower) recordUnanswered(record lease.Record, err error) {
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
