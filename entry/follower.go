package entry

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Times between an instance and the holder.
const (
	// exchangeInterval is how often an instance reports its requests: models
	// take about a second to load, so demand a quarter old is recent.
	exchangeInterval = 250 * time.Millisecond
	// exchangeShare for each instance is the least interval of a large fleet:
	// the holder then answers 125 reports a second.
	exchangeShare = 8 * time.Millisecond
	// relayedAge is how old the holder's word of the store may be to be taken:
	// the holder's watches answer within a second at the latest.
	relayedAge = 1300 * time.Millisecond
	// exchangeRetry is the pause after a report without an answer.
	exchangeRetry = 150 * time.Millisecond
	// maxFindInterval is the longest pause between readings of the lease's record
	// while the holder does not answer.
	maxFindInterval = 800 * time.Millisecond
	// exchangeTimeout is several round trips between failure domains, with
	// room for a holder that is short of processor time.
	exchangeTimeout = 500 * time.Millisecond
	// wantTimeout bounds one question for a unit.
	wantTimeout = 400 * time.Millisecond
	// silentAfter without an answer the holder is not counted on.
	silentAfter = 1200 * time.Millisecond
	// suspectAfter without an answer, and suspectMisses reports in a row, an
	// instance may want to take over.
	suspectAfter  = 1500 * time.Millisecond
	suspectMisses = 3
	// aloneAfter it takes over though half of the others do not answer it either:
	// longer than most cuts last, since taking over from a holder that is well
	// costs those that reach it a take-over.
	aloneAfter = 10 * time.Second
	// firstWait lets instances that start together register, before the first
	// of them takes the lease.
	firstWait = 500 * time.Millisecond
	// takeOverSpread is how much later than the strongest instance one without
	// any processor time would take over: longer than two reports are apart, so
	// that the strong have noticed by then.
	takeOverSpread = 1500 * time.Millisecond
	// takeOverJitter spreads instances that suspect at the same time.
	takeOverJitter = 200 * time.Millisecond
	// votersPerDomain is how many instances of each failure domain are asked
	// before a take-over.
	votersPerDomain = 2
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
	found     time.Time
	arrivals  map[string]*holder.Arrivals // by model; guarded by mu
	running   map[placed]int              // guarded by mu
	instances int                         // guarded by mu
	silent    bool                        // guarded by mu
	// gaveUp is the released record of a holder that could not write it; guarded
	// by mu.
	gaveUp lease.Record
	// seen is what the holder has told; guarded by mu.
	seen seen

	// failing is the episode in which the holder says that it does not reach the
	// store, and failingHeard when it first said so; guarded by mu.
	failing      uint64
	failingHeard time.Time
	// places are answers of the holder that are still taken; guarded by mu.
	places map[forward.Wanted]knownPlace

	// leaving: the instance is about to end and takes nothing over; guarded by
	// mu.
	leaving bool

	// watcher is set before run.
	watcher *watcher
	// own answers this instance's calls of itself.
	own *service
}

// seen is what an instance has of a holder's word.
type seen struct {
	fence          int64
	views, servers uint64
}

// placed is a unit on an engine.
type placed struct {
	engine string
	unit   serving.Unit
}

func newFollower(name string, h *holder.Holder, dir *directory.Directory, pool *rpcpool.Pool, m *members, log logrus.FieldLogger) *follower {
	return &follower{
		name: name, holder: h, dir: dir, pool: pool, members: m, log: log,
		arrivals: map[string]*holder.Arrivals{}, running: map[placed]int{}, places: map[forward.Wanted]knownPlace{}, instances: unknownInstances,
	}
}

// unknownInstances is taken while no holder has said how many there are, so
// that shares are small.
const unknownInstances = 16

// Arrived implements forward.Placer.
func (f *follower) Arrived(unit serving.Unit, priority int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.arrivals[unit.Model]
	if a == nil {
		a = &holder.Arrivals{Model: unit.Model}
		f.arrivals[unit.Model] = a
	}
	a.Count++
	a.Value += weight(priority)
}

// weight is how much a request of a priority counts for what is loaded. Routes
// state a rank and no worth; each rank counts a third of the one before.
func weight(priority int) float64 { return math.Pow(3, float64(1-priority)) }

// Started implements forward.Placer.
func (f *follower) Started(engine string, unit serving.Unit) func() {
	key := placed{engine, unit}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[key]++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running[key]--
		if f.running[key] == 0 {
			delete(f.running, key)
		}
	}
}

// Instances implements forward.Placer.
func (f *follower) Instances() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// knownPlace is an answer to a question for a place.
type knownPlace struct {
	place forward.Place
	err   error
	at    time.Time
}

// placeLifetime is how long an answer is taken for other requests that need the
// same: a burst for one model asks the holder once.
const placeLifetime = 60 * time.Millisecond

// Want implements forward.Placer.
func (f *follower) Want(ctx context.Context, w forward.Wanted) (forward.Place, error) {
	now := time.Now()
	f.mu.Lock()
	known, found := f.places[w]
	f.mu.Unlock()
	if found && now.Sub(known.at) < placeLifetime {
		return known.place, known.err
	}
	place, err := f.ask(ctx, w)
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.places, func(_ forward.Wanted, p knownPlace) bool { return now.Sub(p.at) >= placeLifetime })
	if ctx.Err() == nil {
		f.places[w] = knownPlace{place: place, err: err, at: time.Now()}
	}
	return place, err
}

// ask asks the holder where a unit is or will be.
func (f *follower) ask(ctx context.Context, w forward.Wanted) (forward.Place, error) {
	f.mu.Lock()
	record, silent := f.record, time.Since(f.answered) > silentAfter
	f.mu.Unlock()
	if silent || record.Released {
		return forward.Place{}, forward.ErrNoHolder
	}
	var reply WantReply
	args := &WantArgs{holder.Request{Service: w.Service, Unit: w.Unit, Weight: weight(w.Priority), Missing: w.Missing, Unreachable: w.Unreachable}}
	if err := f.call(ctx, record, wantTimeout, methodWant, args, &reply); err != nil {
		return forward.Place{}, errors.Wrap(forward.ErrNoHolder, err.Error())
	}
	switch {
	case !reply.Held:
		return forward.Place{}, forward.ErrNoHolder
	case !reply.Found:
		return forward.Place{}, forward.ErrNoRoom
	}
	return forward.Place{Engine: reply.Engine, Ready: time.Now().Add(time.Duration(reply.InMS) * time.Millisecond)}, nil
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
	default:
		return errors.Newf("entry: no such call %T", args)
	}
}

// run keeps up with the holder, or becomes it, until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.mu.Lock()
	f.answered = time.Now()
	f.mu.Unlock()
	f.find(ctx)
	wait := f.interval()
	for pause.For(ctx, wait) {
		if f.exchange(ctx) {
			wait = f.interval()
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
	var reply ExchangeReply
	if err := f.call(ctx, record, exchangeTimeout, methodExchange, args, &reply); err != nil || !reply.Held {
		f.noAnswer(record, reply.GaveUp, err)
		return false
	}
	f.takeOverNews(record, &reply, time.Now())
	return true
}

// report makes up what the holder is told, and to whom.
func (f *follower) report() (lease.Record, *ExchangeArgs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := holder.Report{
		Name: f.name, Reaches: f.reachesIn(), Fence: f.seen.fence, SeenViews: f.seen.views, SeenServers: f.seen.servers,
	}
	for _, a := range f.arrivals {
		r.Arrivals = append(r.Arrivals, *a)
	}
	clear(f.arrivals)
	for key, n := range f.running {
		r.Running = append(r.Running, holder.Running{Engine: key.engine, Unit: key.unit, Count: n})
	}
	return f.record, &ExchangeArgs{r}
}

// reachesIn needs mu. It returns the episode of the holder's failing in which the
// store has answered this instance.
func (f *follower) reachesIn() uint64 {
	if f.failing != 0 && f.watcher.answeredSince(f.failingHeard) {
		return f.failing
	}
	return 0
}

// takeOverNews takes over what the holder says.
func (f *follower) takeOverNews(record lease.Record, reply *ExchangeReply, now time.Time) {
	news := reply.News
	f.dir.ApplyViews(news.Fence, decodeViews(reply.Views, now), news.Others, now)
	relayed := record.Holder != f.name && news.Failing == 0 && time.Duration(reply.StoreAgeMS)*time.Millisecond < relayedAge
	if relayed {
		f.watcher.relay(news, now)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if news.Failing != f.failing {
		f.failing, f.failingHeard = news.Failing, now
	}
	f.answered, f.misses, f.instances = now, 0, max(1, news.Instances)
	f.seen = seen{fence: news.Fence, views: news.Seen, servers: news.Servers.Change}
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
	return max(exchangeInterval, time.Duration(f.Instances())*exchangeShare)
}

// noAnswer notes that the holder did not answer, or is not the holder any more.
func (f *follower) noAnswer(record lease.Record, gaveUp lease.Record, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses++
	if err == nil && gaveUp.Fence == record.Fence {
		f.gaveUp = gaveUp
	}
	if time.Since(f.answered) < silentAfter || f.silent {
		return
	}
	f.silent = true
	f.pool.Disconnect(record.Address)
	f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": record.Fence, "error": err}).Warn("holder does not answer")
}

// findAgain reads who the holder is, less and less often while nothing changes,
// and not at all while the store does not answer: its watch notices its return.
func (f *follower) findAgain(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	due := now.Sub(f.found) >= min(maxFindInterval, time.Duration(f.misses)*exchangeRetry)
	if due {
		f.found = now
	}
	f.mu.Unlock()
	if due && !f.watcher.lost() {
		f.find(ctx)
	}
}

// find reads who the holder is.
func (f *follower) find(ctx context.Context) {
	record, revision, err := f.holder.Current(ctx)
	if err != nil {
		return // the store's client logs its outages
	}
	f.mu.Lock()
	if record.Fence == f.gaveUp.Fence {
		record = f.gaveUp // its holder cannot reach the store
	}
	changed := record.Fence > f.record.Fence || record.Released != f.record.Released
	if changed {
		f.record = record
		f.answered, f.misses = time.Now(), 0 // a new holder gets its time to answer
	}
	f.mu.Unlock()
	if changed {
		f.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": record.Fence, "released": record.Released}).Info("holder found")
	}
	f.holder.Deposed(record.Fence)
	if record.Fence == 0 || record.Released {
		f.takeFree(ctx, record)
	} else if record.Holder == f.name && !f.holder.Holds() {
		f.takeOver(ctx, record, revision, "own")
	}
}

// takeFree takes over a lease that nobody holds, if no stronger instance does
// first.
func (f *follower) takeFree(ctx context.Context, seen lease.Record) {
	if seen.Fence == 0 && !pause.For(ctx, firstWait) {
		return
	}
	if !f.yield(ctx) {
		return
	}
	record, revision, err := f.holder.Current(ctx)
	if err != nil || record.Fence != seen.Fence {
		return // the store is away, or another was faster
	}
	if seen.Released {
		record = seen // also by its holder's word
	}
	f.takeOver(ctx, record, revision, "free")
}

// suspects reports whether the holder has been silent for too long.
func (f *follower) suspects() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.answered) > suspectAfter && f.misses >= suspectMisses
}

// reaches reports whether the named holder has answered of late.
func (f *follower) reaches(name string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Holder == name && now.Sub(f.answered) < silentAfter
}

// consider takes over from a silent holder, unless another instance still
// reaches it or this one is cut off from most others.
func (f *follower) consider(ctx context.Context) {
	f.mu.Lock()
	suspect, silence := f.record.Holder, time.Since(f.answered)
	f.mu.Unlock()
	if !f.yield(ctx) {
		return
	}
	asked, answered, reached := f.poll(ctx, suspect)
	cutOff := 2*answered <= asked // then the holder may be well, and reach most others
	if reached || cutOff && silence < aloneAfter {
		return
	}
	record, revision, err := f.holder.Current(ctx)
	if err != nil || record.Holder != suspect {
		return // the store is away, or another was faster
	}
	f.takeOver(ctx, record, revision, "silent")
}

// yield lets stronger instances go first: the holder's work grows with the
// fleet, and one without processor time for it would soon be suspected itself.
func (f *follower) yield(ctx context.Context) bool {
	return pause.For(ctx, f.members.handicap(ctx, takeOverSpread)+rand.N(takeOverJitter))
}

// poll asks a few instances of each failure domain at once whether they reach
// the holder. asked counts them, answered those that answered.
func (f *follower) poll(ctx context.Context, suspect string) (asked, answered int, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	addresses := f.members.sample(ctx, votersPerDomain, f.name, suspect)
	type vote struct{ answered, reaches bool }
	votes := make(chan vote, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply ReachesReply
			err := f.pool.Call(ctx, address, methodReaches, &ReachesArgs{Holder: suspect}, &reply)
			if err != nil {
				f.pool.Disconnect(address)
			}
			votes <- vote{answered: err == nil, reaches: reply.Reaches}
		}()
	}
	for range addresses {
		v := <-votes
		if v.answered {
			answered++
			reached = reached || v.reaches
		}
	}
	return len(addresses), answered, reached
}

// leave has the instance take nothing over any more.
func (f *follower) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

func (f *follower) takeOver(ctx context.Context, record lease.Record, revision int64, cause string) {
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	if leaving {
		return
	}
	err := f.holder.TakeOver(ctx, record, revision, cause)
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			f.log.WithFields(logrus.Fields{"fence": record.Fence, "cause": cause, "error": err}).Info("lease not taken")
		}
		return
	}
	f.find(ctx)
}
