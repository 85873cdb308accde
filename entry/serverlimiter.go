package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/backpressure"
	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// serverLimiter limits the requests sent to backend servers that limit their load. It knows the limits
// that servers state in their answers, and those that other instances report. It implements
// forward.ServerLimiter.
type serverLimiter struct {
	ledger *backpressure.Ledger
	// shares are the parts of the limits that the holder has lent. uncoordinated limits what the
	// instance sends while no holder lends.
	shares        *quota.Shares
	uncoordinated *backpressure.HolderlessLimiter
	// queries bounds how often the holder is asked.
	queries *backpressure.QueryLimiter
	dir     *directory.Directory
	// members has the instances that share a server while no holder lends.
	members *members
	log     logrus.FieldLogger
	// askTurn asks the holder to admit one request; set before the first request.
	askTurn func(ctx context.Context, args *TurnArgs) (quota.Answer, error)
	// requestReport makes the next report be sent at once, and instances returns the number of
	// instances; set before the first request.
	requestReport func()
	instances     func() int
	// permits are those to send to brittle servers; set before the first request.
	permits *permits

	mu sync.Mutex
	// lastLent is when the holder last lent, and lastReport when a report was last sent at once;
	// guarded by mu.
	lastLent, lastReport time.Time
	// spareFrom is, by server, the earliest time at which a request that can use another server may ask
	// again. lastRefused is, by server, when a request that can use no other server was last refused.
	// Both are guarded by mu.
	spareFrom, lastRefused map[string]time.Time
}

func newServerLimiter(self string, dir *directory.Directory, m *members, set *metrics.Set, log logrus.FieldLogger) *serverLimiter {
	i := &serverLimiter{
		ledger: backpressure.NewLedger(), shares: quota.NewShares(backpressure.QuotaParams().Lifetime), uncoordinated: backpressure.NewHolderlessLimiter(self), queries: &backpressure.QueryLimiter{},
		dir: dir, members: m, log: log, lastLent: clock.Now(), spareFrom: map[string]time.Time{}, lastRefused: map[string]time.Time{}, requestReport: func() {}, instances: func() int { return 1 },
	}
	gauge := func(name string, value func(limited, resting int) int) {
		set.NewGauge(name, func() float64 { return float64(value(i.ledger.Count(clock.Now()))) })
	}
	gauge("martenport_servers_limited", func(limited, _ int) int { return limited })
	gauge("martenport_servers_resting", func(_, resting int) int { return resting })
	set.NewGauge("martenport_servers_brittle", func() float64 { return float64(i.ledger.CountBrittle()) })
	set.NewGauge("martenport_servers_leaving", func() float64 { return float64(len(dir.LeavingServers())) })
	return i
}

// observe applies what a server states about itself in an answer, and logs what has changed.
func (i *serverLimiter) observe(w serving.Advisory) {
	if w.Leaving {
		i.markLeaving(directory.LeavingServer{ID: w.Server, Born: w.Born}, "answer")
	}
	changed := i.ledger.Observe(w, clock.Now())
	if changed == (backpressure.Change{}) {
		return // the usual case, since every answer has an advisory
	}
	log := i.log.WithFields(logrus.Fields{"server": w.Server, "born": w.Born, "sent_ms": clock.Since(w.SentAt).Milliseconds()})
	if changed.Limit {
		log.WithFields(logrus.Fields{"limited": w.Limited, "rate": w.Rate, "brittle": w.Brittle, "tolerated": w.Tolerated, "source": "answer"}).Info("server's limit changed")
		i.reportChange()
		// Read now because the store may be unavailable when the list is needed.
		go i.members.lastKnown(store.WithStaleReads(context.Background()))
	}
	if changed.RetryAfter {
		log.WithField("rest_ms", w.RetryAfter.Milliseconds()).Info("server asks for rest")
	}
	if changed.Unreadable {
		log.WithField("said", w.Unreadable).Warn("server says something of itself that cannot be read")
	}
}

// markLeaving records that a server has announced that it leaves.
func (i *serverLimiter) markLeaving(server directory.LeavingServer, source string) {
	if !i.dir.MarkLeaving(server, clock.Now()) {
		return
	}
	i.log.WithFields(logrus.Fields{"server": server.ID, "born": server.Born, "source": source}).Info("server says that it leaves")
	i.reportChange()
}

// mergeLeaving records the leaving servers that another instance reports.
func (i *serverLimiter) mergeLeaving(list []directory.LeavingServer, source string) {
	for _, l := range list {
		i.markLeaving(l, source)
	}
}

// minReportPause is the minimum time between two reports that are sent at once. A server may state
// another limit in each answer.
const minReportPause = 250 * time.Millisecond

// reportChange makes the next report be sent at once, unless the last such report was sent within
// minReportPause.
func (i *serverLimiter) reportChange() {
	now := clock.Now()
	i.mu.Lock()
	allowed := now.Sub(i.lastReport) >= minReportPause
	if allowed {
		i.lastReport = now
	}
	i.mu.Unlock()
	if allowed {
		i.requestReport()
	}
}

// mergeLimits applies the limits that another instance reports.
func (i *serverLimiter) mergeLimits(snapshots []backpressure.Snapshot, source string) {
	for _, l := range i.ledger.Merge(snapshots, clock.Now()) {
		i.log.WithFields(logrus.Fields{
			"server": l.Server, "born": l.Born, "sent_ms": clock.Since(l.SentAt).Milliseconds(), "limited": l.Advertised, "rate": l.Rate, "brittle": l.Brittle, "tolerated": l.Tolerated, "source": source,
		}).Info("server's limit changed")
	}
}

// RetryAfterUntil implements forward.ServerLimiter.
func (i *serverLimiter) RetryAfterUntil(s serving.Server) time.Time {
	return i.ledger.RetryAfterUntil(s)
}

// Brittle implements forward.ServerLimiter.
func (i *serverLimiter) Brittle(s serving.Server) (b brittle.Server, isBrittle bool) {
	tolerated, isBrittle := i.ledger.Brittle(s)
	return brittle.Server{ID: s.ID, FailureDomain: s.FailureDomain, Slots: s.Slots, Tolerated: tolerated}, isBrittle
}

// Limited implements forward.ServerLimiter.
func (i *serverLimiter) Limited(s serving.Server) (limited bool, spareFrom time.Time) {
	if _, limited = i.ledger.Limit(s); !limited {
		return false, time.Time{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return true, i.spareFrom[s.ID]
}

// Admit implements forward.ServerLimiter.
func (i *serverLimiter) Admit(ctx context.Context, s serving.Server, t quota.Turn, only bool) forward.Admission {
	rate, limited := i.ledger.Limit(s)
	if !limited {
		return forward.Admission{Granted: true}
	}
	now := clock.Exact()
	a := forward.Admission{Rate: rate, Refund: func() { i.shares.Refund(s.ID, 1, now, clock.Exact()) }}
	a.Granted = i.shares.Take(s.ID, 1, now)
	if !a.Granted {
		a.Granted, a.RetryAfter = i.askHolder(ctx, s, rate, t)
	}
	if !a.Granted {
		i.recordRefused(s.ID, rate, only, a.RetryAfter)
	}
	return a
}

// askHolder asks the holder to admit one request. While no holder lends, the instance uses its own
// part of the server's limit.
func (i *serverLimiter) askHolder(ctx context.Context, s serving.Server, rate float64, t quota.Turn) (granted bool, after time.Duration) {
	if !i.queries.Take(i.instances(), clock.Now()) {
		return false, queryLimitRetry
	}
	snapshot, _ := i.ledger.Snapshot(s.ID, clock.Now())
	answer, err := i.askTurn(ctx, &TurnArgs{Told: snapshot, Turn: t})
	if err == nil && answer.Known {
		return answer.Granted, max(minTurnRetry, answer.After)
	}
	i.mu.Lock()
	lastLent := i.lastLent
	i.mu.Unlock()
	granted, after = i.uncoordinated.Take(s.ID, rate, i.members.namesInDomain(s.FailureDomain), lastLent, clock.Now())
	if after == 0 {
		after = noShareRetry
	}
	return granted, max(minTurnRetry, after)
}

const (
	// minTurnRetry is the minimum pause before a request asks the holder again.
	minTurnRetry = 20 * time.Millisecond
	// queryLimitRetry is the pause before a request asks again if the instance has reached its maximum
	// rate of queries.
	queryLimitRetry = 500 * time.Millisecond
	// noShareRetry is the pause before a request asks again if no holder lends and this instance has no
	// part of the server's limit.
	noShareRetry = 500 * time.Millisecond
	// heldBackReportTime is how long a server is reported to the holder as held back after a request
	// that could use no other server was refused.
	heldBackReportTime = 500 * time.Millisecond
)

// recordRefused records that a request was not admitted to a server with the given limit, in requests
// per second. only is whether the request can use no other server.
func (i *serverLimiter) recordRefused(server string, rate float64, only bool, after time.Duration) {
	now, instances := clock.Now(), i.instances()
	i.mu.Lock()
	defer i.mu.Unlock()
	if only {
		i.lastRefused[server] = now
	} else {
		i.spareFrom[server] = now.Add(backpressure.SpareRetryDelay(rate, instances, after))
	}
}

// heldBack returns the IDs of the servers that have a unit but to which no request should be sent now:
// a request that could use no other server was refused within heldBackReportTime, or the server has
// asked for a pause.
func (i *serverLimiter) heldBack(service string, unit serving.Unit, now time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var ids []string
	for _, r := range i.dir.Replicas(service, unit, now) {
		refused, found := i.lastRefused[r.Server.ID]
		if found && now.Sub(refused) < heldBackReportTime || i.ledger.RetryAfterUntil(r.Server).After(now) {
			ids = append(ids, r.Server.ID)
		}
	}
	return ids
}

// recordLent records that the holder lent shares in answer to a report that was sent at the given
// time.
func (i *serverLimiter) recordLent(sent time.Time) {
	i.mu.Lock()
	i.lastLent = sent
	i.mu.Unlock()
	i.uncoordinated.Reset()
}

// limiterSweepInterval is how often the state of removed servers is dropped.
const limiterSweepInterval = 10 * time.Second

// run drops the state of removed servers, until ctx ends.
func (i *serverLimiter) run(ctx context.Context) {
	for pause.For(ctx, limiterSweepInterval) {
		i.sweep(clock.Now())
	}
}

// sweep drops the state of removed servers.
func (i *serverLimiter) sweep(now time.Time) {
	known := func(id string) bool { _, live := i.dir.Server(id); return live }
	i.ledger.Sweep(known, now)
	i.permits.forget(known)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, times := range []map[string]time.Time{i.spareFrom, i.lastRefused} {
		for id, at := range times {
			if now.Sub(at) > heldBackReportTime && !known(id) {
				delete(times, id)
			}
		}
	}
}

// lendableLimits gives the holder the limits that it lends. It implements holder.ServerLimits.
type lendableLimits struct{ ledger *backpressure.Ledger }

// LendableLimit implements holder.ServerLimits.
func (l lendableLimits) LendableLimit(server string) (serving.Limit, bool) {
	rate, ok := l.ledger.AccountingRate(server, clock.Now())
	return backpressure.LentLimit(rate), ok
}

// Limited implements holder.ServerLimits.
func (l lendableLimits) Limited(server string) bool {
	_, limited := l.ledger.Limit(serving.Server{ID: server})
	return limited
}

// Any implements holder.ServerLimits.
func (l lendableLimits) Any() bool {
	limited, _ := l.ledger.Count(clock.Now())
	return limited > 0
}

// requestTurn asks the holder to admit one request to a server with a limit.
func (f *follower) requestTurn(ctx context.Context, args *TurnArgs) (quota.Answer, error) {
	var reply TurnReply
	if err := f.callWithinDrawTimeout(ctx, methodTurn, args, &reply); err != nil {
		return quota.Answer{}, err // the reply may still arrive
	}
	return reply.Answer, nil
}
