package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/backpressure"
	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// intake is what this instance knows of how much servers take, by their own words and by what
// other instances tell. It implements forward.Intake.
type intake struct {
	ledger *backpressure.Ledger
	// shares are what the holder has lent of the limits, alone what the instance takes while
	// none lends.
	shares *quota.Shares
	alone  *backpressure.Alone
	// questions bounds how often the holder is asked.
	questions *backpressure.Questions
	dir       *directory.Directory
	// members is asked who shares a server while no holder lends.
	members *members
	log     logrus.FieldLogger
	// ask asks the holder for one send; it is set before the first request.
	ask func(ctx context.Context, args *TurnArgs) (quota.Answer, error)
	// report has the next report be sent at once, and instances says how many there are; they are
	// set like ask.
	report    func()
	instances func() int

	mu sync.Mutex
	// lent is when the holder last lent, and woken when a report was last sent at once; guarded by
	// mu.
	lent, woken time.Time
	// spareFrom is from when a request that can go elsewhere may ask again, by server, and
	// refused when one that cannot was last refused; guarded by mu.
	spareFrom, refused map[string]time.Time
}

func newIntake(self string, dir *directory.Directory, m *members, set *metrics.Set, log logrus.FieldLogger) *intake {
	i := &intake{
		ledger: backpressure.NewLedger(), shares: quota.NewShares(backpressure.QuotaParams().Lifetime), alone: backpressure.NewAlone(self), questions: &backpressure.Questions{},
		dir: dir, members: m, log: log, lent: clock.Now(), spareFrom: map[string]time.Time{}, refused: map[string]time.Time{}, report: func() {}, instances: func() int { return 1 },
	}
	gauge := func(name string, value func(limited, resting int) int) {
		set.NewGauge(name, func() float64 { return float64(value(i.ledger.Count(clock.Now()))) })
	}
	gauge("martenport_servers_limited", func(limited, _ int) int { return limited })
	gauge("martenport_servers_resting", func(_, resting int) int { return resting })
	set.NewGauge("martenport_servers_leaving", func() float64 { return float64(len(dir.Leavers())) })
	return i
}

// hear takes over what a server says of itself, and logs what that changes.
func (i *intake) observe(w serving.Advisory) {
	if w.Leaving {
		i.leaves(directory.Leaver{ID: w.Server, Born: w.Born}, "answer")
	}
	changed := i.ledger.Observe(w, clock.Now())
	if changed == (backpressure.Change{}) {
		return // as nearly always: every answer has a word
	}
	log := i.log.WithFields(logrus.Fields{"server": w.Server, "born": w.Born, "sent_ms": clock.Since(w.Sent).Milliseconds()})
	if changed.Limit {
		log.WithFields(logrus.Fields{"limited": w.Limited, "rate": w.Rate, "source": "answer"}).Info("server's limit changed")
		i.wake()
		go i.members.lastKnown(store.AllowStale(context.Background())) // before it may be needed: the store may be away then
	}
	if changed.RetryAfter {
		log.WithField("rest_ms", w.RetryAfter.Milliseconds()).Info("server asks for rest")
	}
	if changed.Unreadable {
		log.WithField("said", w.Unreadable).Warn("server says something of itself that cannot be read")
	}
}

// leaves takes over that a server leaves by its own word.
func (i *intake) leaves(l directory.Leaver, source string) {
	if !i.dir.Leave(l, clock.Now()) {
		return
	}
	i.log.WithFields(logrus.Fields{"server": l.ID, "born": l.Born, "source": source}).Info("server says that it leaves")
	i.wake()
}

// takeLeaving takes over which servers leave by their own words, as another instance tells.
func (i *intake) takeLeaving(list []directory.Leaver, source string) {
	for _, l := range list {
		i.leaves(l, source)
	}
}

// wakePause is the shortest time between two reports that are sent at once: a server may name
// another limit in each answer.
const wakePause = 250 * time.Millisecond

// wake has the holder told at once of what has changed.
func (i *intake) wake() {
	now := clock.Now()
	i.mu.Lock()
	due := now.Sub(i.woken) >= wakePause
	if due {
		i.woken = now
	}
	i.mu.Unlock()
	if due {
		i.report()
	}
}

// take takes over what another instance tells of limits.
func (i *intake) take(told []backpressure.Snapshot, source string) {
	for _, l := range i.ledger.Take(told, clock.Now()) {
		i.log.WithFields(logrus.Fields{
			"server": l.Server, "born": l.Born, "sent_ms": clock.Since(l.Sent).Milliseconds(), "limited": l.Named, "rate": l.Rate, "source": source,
		}).Info("server's limit changed")
	}
}

// RetryAfterUntil implements forward.Intake.
func (i *intake) RetryAfterUntil(s serving.Server) time.Time { return i.ledger.RetryAfterUntil(s) }

// Limited implements forward.Intake.
func (i *intake) Limited(s serving.Server) (limited bool, spareFrom time.Time) {
	if _, limited = i.ledger.Limit(s); !limited {
		return false, time.Time{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return true, i.spareFrom[s.ID]
}

// Admit implements forward.Intake.
func (i *intake) Admit(ctx context.Context, s serving.Server, t quota.Turn, only bool) forward.Admission {
	rate, limited := i.ledger.Limit(s)
	if !limited {
		return forward.Admission{Granted: true}
	}
	now := clock.Exact()
	a := forward.Admission{Rate: rate, GiveBack: func() { i.shares.GiveBack(s.ID, 1, now, clock.Exact()) }}
	a.Granted = i.shares.Take(s.ID, 1, now)
	if !a.Granted {
		a.Granted, a.After = i.askHolder(ctx, s, rate, t)
	}
	if !a.Granted {
		i.noteRefused(s.ID, rate, only, a.After)
	}
	return a
}

// askHolder asks the holder for one send. While none lends, the instance has a part of its own.
func (i *intake) askHolder(ctx context.Context, s serving.Server, rate float64, t quota.Turn) (granted bool, after time.Duration) {
	if !i.questions.Take(i.instances(), clock.Now()) {
		return false, noQuestionRetry
	}
	told, _ := i.ledger.Snapshot(s.ID, clock.Now())
	answer, err := i.ask(ctx, &TurnArgs{Told: told, Turn: t})
	if err == nil && answer.Known {
		return answer.Granted, max(leastTurn, answer.After)
	}
	i.mu.Lock()
	lent := i.lent
	i.mu.Unlock()
	granted, after = i.alone.Take(s.ID, rate, i.members.inDomain(s.FailureDomain), lent, clock.Now())
	if after == 0 {
		after = noPartRetry
	}
	return granted, max(leastTurn, after)
}

const (
	// leastTurn is the shortest time after which a request asks again.
	leastTurn = 20 * time.Millisecond
	// noQuestionRetry is when a request asks again where too many others ask.
	noQuestionRetry = 500 * time.Millisecond
	// noPartRetry is when a request asks again at an instance that has no part of what a server
	// takes while no holder lends.
	noPartRetry = 500 * time.Millisecond
	// heldBackFor is how long the holder is told that a server takes no more after a request
	// was refused that had no other.
	heldBackFor = 500 * time.Millisecond
)

// noteRefused notes that a request was not let through to a server that takes so many a second;
// only: it has no other.
func (i *intake) noteRefused(server string, rate float64, only bool, after time.Duration) {
	now, instances := clock.Now(), i.instances()
	i.mu.Lock()
	defer i.mu.Unlock()
	if only {
		i.refused[server] = now
	} else {
		i.spareFrom[server] = now.Add(backpressure.SpareAgain(rate, instances, after))
	}
}

// heldBack returns the servers with a unit to which nothing may be sent now.
func (i *intake) heldBack(service string, unit serving.Unit, now time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var ids []string
	for _, r := range i.dir.Replicas(service, unit, now) {
		refused, found := i.refused[r.Server.ID]
		if found && now.Sub(refused) < heldBackFor || i.ledger.RetryAfterUntil(r.Server).After(now) {
			ids = append(ids, r.Server.ID)
		}
	}
	return ids
}

// lentAt notes that the holder lent something in answer to a report that was sent at a time.
func (i *intake) lentAt(sent time.Time) {
	i.mu.Lock()
	i.lent = sent
	i.mu.Unlock()
	i.alone.Lent()
}

// intakeSweep is how often servers that are gone are forgotten.
const intakeSweep = 10 * time.Second

// run forgets servers that are gone, until ctx ends.
func (i *intake) run(ctx context.Context) {
	for pause.For(ctx, intakeSweep) {
		i.sweep(clock.Now())
	}
}

// sweep forgets servers that are gone.
func (i *intake) sweep(now time.Time) {
	known := func(id string) bool { _, live := i.dir.Server(id); return live }
	i.ledger.Sweep(known, now)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, times := range []map[string]time.Time{i.spareFrom, i.refused} {
		for id, at := range times {
			if now.Sub(at) > heldBackFor && !known(id) {
				delete(times, id)
			}
		}
	}
}

// lentLimits is what the holder lends by. It implements holder.ServerLimits.
type lentLimits struct{ ledger *backpressure.Ledger }

// Lent implements holder.ServerLimits.
func (l lentLimits) Lent(server string) (serving.Limit, bool) {
	rate, ok := l.ledger.Account(server, clock.Now())
	return backpressure.LimitAt(rate), ok
}

// Limited implements holder.ServerLimits.
func (l lentLimits) Limited(server string) bool {
	_, limited := l.ledger.Limit(serving.Server{ID: server})
	return limited
}

// Any implements holder.ServerLimits.
func (l lentLimits) Any() bool {
	limited, _ := l.ledger.Count(clock.Now())
	return limited > 0
}

// turn asks the holder for one send to a server that limits what it takes.
func (f *follower) turn(ctx context.Context, args *TurnArgs) (quota.Answer, error) {
	var reply TurnReply
	err := f.callInTime(ctx, methodTurn, args, &reply)
	return reply.Answer, err
}
