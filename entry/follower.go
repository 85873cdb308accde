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
	// exchangeShare for each instance is the least interval of a large fleet, so
	// that the holder answers 125 reports a second, up to maxExchangeInterval:
	// leaving servers and configurations must be known within two or three.
	exchangeShare       = 8 * time.Millisecond
	maxExchangeInterval = time.Second
	// exchangeRetry is the pause after a report without an answer.
	exchangeRetry = 150 * time.Millisecond
	// exchangeTimeout is several round trips between failure domains, with
	// room for a holder that is short of processor time.
	exchangeTimeout = 500 * time.Millisecond
	// wantTimeout bounds one question for a unit.
	wantTimeout = 400 * time.Millisecond
	// compareInterval is the first pause between questions for all servers while
	// an instance knows others than the holder: one of them may be ahead of the
	// other for as long as a watch takes. It doubles up to maxCompareInterval, so
	// that a difference that lasts does not cost the holder a full answer a second
	// for each instance.
	compareInterval    = time.Second
	maxCompareInterval = 32 * time.Second
	// silentAfter without an answer the holder is not counted on.
	silentAfter = 1200 * time.Millisecond
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
	// answered is when the holder last answered, and misses counts the reports
	// without an answer since; guarded by mu.
	answered time.Time
	misses   int
	// found is when the record was last read; guarded by mu.
	found    time.Time
	arrivals map[string]*holder.Arrivals // by model; guarded by mu
	running  map[placed]int              // guarded by mu
	// waiting are the requests that wait for a model; guarded by mu.
	waiting   map[string]map[*waiter]struct{}
	instances int       // guarded by mu
	peers     peerCount // guarded by mu
	silent    bool      // guarded by mu
	// gaveUp is the released record of a holder that could not write it; guarded
	// by mu.
	gaveUp lease.Record
	// seen is what the holder has told; guarded by mu.
	seen seen
	// exchanged is what of servers' limits has been exchanged; only exchange uses it.
	exchanged exchanged
	// differs: the holder knows other servers than this instance; asked is when
	// all were last asked for because of that, and questions how often since they
	// were last the same; guarded by mu.
	differs   bool
	asked     time.Time
	questions int

	// failing is the episode in which the holder says that it does not reach the
	// store, and failingHeard when it first said so; guarded by mu.
	failing      uint64
	failingHeard time.Time
	// places are answers of the holder that are still taken; guarded by mu.
	places map[forward.Wanted]knownPlace

	// woken has the next report be sent at once.
	woken chan struct{}
	// leastInterval is the least time between reports; it is set before run.
	leastInterval time.Duration

	// leaving: the instance is about to end and takes nothing over; guarded by
	// mu.
	leaving bool

	// watcher is set before run.
	watcher *watcher
	// budget is told how many instances of domain share a part of it; both are set
	// before run. Lock order: mu before the budget's.
	budget *forward.Budget
	domain string
	// own answers this instance's calls of itself.
	own *service
	// ledger has the requests under which servers end, and raised is told which of them are
	// held by what the holder says; it is set before run.
	ledger *quarantine.Ledger
	// intake is what is known of servers that limit what they take; it is set before run.
	intake *intake
	// shares are what this instance was lent of the limits of workspaces; it is set before run.
	shares *quota.Shares
	raised func([]quarantine.Raise)
	// link is how far the holder and this instance know of each other's ledgers; guarded by
	// mu.
	link quarantine.Link
}

// seen is what an instance has of a holder's word.
type seen struct {
	fence          int64
	views, servers uint64
}

// exchanged is up to which changes a holder and this instance know what the other says of the
// limits of servers.
type exchanged struct {
	fence           int64
	heard, reported uint64
}

// placed is a unit on an engine.
type placed struct {
	engine string
	unit   serving.Unit
}

func newFollower(name string, h *holder.Holder, dir *directory.Directory, pool *rpcpool.Pool, m *members, log logrus.FieldLogger) *follower {
	return &follower{
		name: name, holder: h, dir: dir, pool: pool, members: m, log: log,
		arrivals: map[string]*holder.Arrivals{}, running: map[placed]int{}, waiting: map[string]map[*waiter]struct{}{}, places: map[forward.Wanted]knownPlace{}, instances: unknownInstances, leastInterval: exchangeInterval,
		woken: make(chan struct{}, 1), ledger: quarantine.NewLedger(), shares: quota.NewShares(0), raised: func([]quarantine.Raise) {},
	}
}

// unknownInstances is taken while no holder has said how many there are: reports of
// so many do not keep a holder busy.
const unknownInstances = 16

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
	live = f.record.Holder != "" && !f.record.Released && clock.Since(f.answered) <= silentAfter
	return f.record, live
}

// call calls the holder, directly if that is this instance.
func (f *follower) call(ctx context.Context, record lease.Record, timeout time.Duration, method string, args, reply any) error {
	if record.Holder == f.name {
		return f.callOwn(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.pool.Call(ctx, record.Address, method, args, reply)
}

func (f *follower) callOwn(args, reply any) error {
	switch a := args.(type) {
	case *ExchangeArgs:
		return f.own.Exchange(a, reply.(*ExchangeReply))
	case *WantArgs:
		return f.own.Want(a, reply.(*WantReply))
	case *UseArgs:
		return f.own.Use(a, reply.(*UseReply))
	case *TrialArgs:
		return f.own.Trial(a, reply.(*TrialReply))
	case *ConsultArgs:
		return f.own.Consult(a, reply.(*ConsultReply))
	case *DrawArgs:
		return f.own.Draw(a, reply.(*DrawReply))
	case *TurnArgs:
		return f.own.Turn(a, reply.(*TurnReply))
	case *LimitsArgs:
		return f.own.Limits(a, reply.(*LimitsReply))
	default:
		return errors.Newf("entry: no such call %T", args)
	}
}

// run keeps up with the holder, or becomes it, until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.mu.Lock()
	f.answered = clock.Now()
	f.mu.Unlock()
	f.find(ctx)
	wait := f.interval()
	for pause.Until(ctx, wait, f.woken) {
		if f.exchange(ctx) {
			wait = f.interval()
			if f.watcher.awaitsWord(clock.Now()) {
				wait = exchangeRetry // the holder has not read the store yet
			}
			continue
		}
		wait = exchangeRetry
		f.findAgain(ctx)
		if f.suspects() {
			f.consider(ctx)
		}
	}
}

// exchange reports to the holder and takes over what it says. It reports
// whether the holder answered.
func (f *follower) exchange(ctx context.Context) bool {
	record, args := f.report()
	if record.Holder == "" || record.Released {
		return false
	}
	sent := clock.Exact()
	args.Uses, args.ServerUses = f.shares.Report(sent), f.intake.shares.Report(sent)
	if f.exchanged.fence != record.Fence {
		f.exchanged = exchanged{fence: record.Fence}
	}
	var reported uint64
	args.Leaving = f.dir.Leavers()
	args.SeenLimits = f.exchanged.heard
	args.ServerLimits, reported = f.intake.ledger.Since(f.exchanged.reported, clock.Now())
	var reply ExchangeReply
	err := f.call(ctx, record, exchangeTimeout, methodExchange, args, &reply)
	if err == nil {
		f.heardOf(reply.GaveUp)
		f.heardCrashes(args.Crashes, reply.Crashes, clock.Now())
	}
	if err != nil || !reply.Held {
		f.shares.Unreported(args.Uses, clock.Now())
		f.intake.shares.Unreported(args.ServerUses, clock.Now())
		f.noAnswer(record, err)
		return false
	}
	f.takeOverNews(record, &reply, sent, clock.Now())
	f.exchanged.heard, f.exchanged.reported = reply.LimitsUpTo, reported
	f.intake.take(reply.ServerLimits, record.Holder)
	f.intake.takeLeaving(reply.Leaving, record.Holder)
	f.takeOverLimits(&reply, sent, clock.Exact())
	f.holder.HeardRemoteAtOnce(reply.News.RemoteAtOnce)
	f.holder.Heard(reply.News.Lease)
	return true
}

// takeOverLimits takes over what the holder says, in answer to a report that was sent at a
// time, of limits and of how current the configuration is. Its word was made after that time.
func (f *follower) takeOverLimits(reply *ExchangeReply, sent, now time.Time) {
	if word := reply.News.Config; word.Version > 0 {
		f.dir.Confirm(word.Version, word.AsOf(sent))
	}
	if reply.Lends {
		f.shares.Apply(reply.Loans, sent, now)
		f.intake.shares.Apply(reply.ServerLoans, sent, now)
		f.intake.lentAt(sent)
	}
}

// reportNow has the next report be sent at once.
func (f *follower) reportNow() { pause.Wake(f.woken) }

// report makes up what the holder is told, and to whom.
func (f *follower) report() (lease.Record, *ExchangeArgs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := holder.Report{
		Name: f.name, Domain: f.domain, Reaches: f.reachesIn(), Fence: f.seen.fence, SeenViews: f.seen.views, SeenServers: f.seen.servers, Revision: f.dir.Revision(),
	}
	if now := clock.Now(); f.differs && now.Sub(f.asked) >= compareWait(f.questions) {
		f.asked = now
		f.questions++
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

// compareWait is the pause after so many questions for all servers.
func compareWait(questions int) time.Duration {
	const doublings = 5 // from compareInterval to maxCompareInterval
	return min(maxCompareInterval, compareInterval<<min(doublings, max(0, questions-1)))
}

// reachesIn needs mu. It returns the episode of the holder's failing in which the
// store has answered this instance.
func (f *follower) reachesIn() uint64 {
	if f.failing != 0 && f.watcher.answeredSince(f.failingHeard) {
		return f.failing
	}
	return 0
}

// takeOverNews takes over what the holder says in answer to a report that was sent at a time.
func (f *follower) takeOverNews(record lease.Record, reply *ExchangeReply, sent, now time.Time) {
	news := reply.News
	f.mu.Lock()
	f.instances = max(1, news.Instances) // how long the word is taken is for the next interval
	f.mu.Unlock()
	f.dir.ApplyViews(news.Fence, decodeViews(reply.Views, now), news.Others, now)
	f.dir.ApplyAdmissions(news.Admit)
	storeAge := time.Duration(reply.StoreAgeMS) * time.Millisecond
	relayed := record.Holder != f.name && news.Failing == 0 && storeAge < f.watcher.bound()
	if relayed {
		f.watcher.relay(news, sent.Add(-storeAge), now)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if news.Failing != f.failing {
		f.failing, f.failingHeard = news.Failing, now
	}
	f.answered, f.misses = now, 0
	f.budget.SetInstances(f.peers.heard(news.Peers, now), now)
	f.seen = seen{fence: news.Fence, views: news.Seen, servers: news.Servers.Change}
	f.differs = relayed && news.Servers.Digest != f.dir.Digest()
	if relayed && !f.differs {
		f.questions = 0
	}
	if !relayed {
		f.seen.servers = 0 // they were not taken over
	}
	if f.silent {
		f.silent = false
		f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": news.Fence}).Info("holder answers")
	}
}

// interval is how often the instance reports: less often in a large fleet, so
// that the holder's work does not grow with it without bound.
func (f *follower) interval() time.Duration {
	return min(maxExchangeInterval, max(f.leastInterval, time.Duration(f.knownInstances())*exchangeShare))
}

// noAnswer notes that the holder did not answer, or is not the holder any more.
func (f *follower) noAnswer(record lease.Record, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses++
	if clock.Since(f.answered) < silentAfter || f.silent {
		return
	}
	f.silent = true
	f.pool.Disconnect(record.Address)
	f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": record.Fence, "error": err}).Warn("holder does not answer")
}
