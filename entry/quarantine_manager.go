package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// quarantineManager has all instances know of requests under which servers end: by the reports
// to the holder and its answers; from instance to instance while no holder answers; and, for
// suspects and quarantined requests, by the store, where it outlasts all instances. The last
// is rare, and the only one that costs calls to the store.
type quarantineManager struct {
	ledger   *quarantine.Ledger
	store    store.Store
	members  *members
	pool     *rpcpool.Pool
	follower *follower
	// isHolder reports whether this instance isHolder the lease.
	isHolder func() bool
	log      logrus.FieldLogger
	set      *metrics.Set
	// loaded: what the store has was taken over.
	loaded atomic.Bool
	// started is when the instance was made.
	started time.Time

	mu sync.Mutex
	// unwritten are requests whose state in the store may be another; guarded by mu.
	unwritten map[serving.Fingerprint]bool
	// delivered is through which change all others know of the ledger, by the holder or by having
	// been delivered directly, but for those in missed, by address; guarded by mu.
	delivered     uint64
	undelivered   map[string]uint64
	syncRequested chan struct{}
	// urgent are requests that are held since a moment, of which all are told at once;
	// guarded by mu.
	urgent          map[serving.Fingerprint]bool
	urgentRequested chan struct{}
}

func newQuarantineManager(s store.Store, m *members, f *follower, isHolder func() bool, set *metrics.Set, log logrus.FieldLogger) *quarantineManager {
	q := &quarantineManager{
		ledger: f.ledger, store: s, members: m, pool: f.pool, follower: f, isHolder: isHolder, log: log, set: set, started: clock.Now(),
		unwritten: map[serving.Fingerprint]bool{}, undelivered: map[string]uint64{}, syncRequested: make(chan struct{}, 1),
		urgent: map[serving.Fingerprint]bool{}, urgentRequested: make(chan struct{}, 1),
	}
	for _, state := range []quarantine.State{quarantine.Suspect, quarantine.Quarantined} {
		set.NewGauge(`martenport_requests_held{state="`+state.String()+`"}`, func() float64 { return float64(q.count(state)) })
	}
	return q
}

func (q *quarantineManager) count(state quarantine.State) int {
	n := 0
	for _, r := range q.ledger.List(clock.Now()) {
		if r.State() == state {
			n++
		}
	}
	return n
}

// recordChange notes that this instance has learned of an end, and which requests are suspects or
// quarantined by that: it writes those down, and tells the holder now.
func (q *quarantineManager) recordChange(raised []quarantine.Raise) {
	q.recordRaised(raised, "seen here")
	q.scheduleRaised(raised)
	q.follower.triggerReport()
	pause.Wake(q.syncRequested)
}

// answerMessage takes over what another instance tells, and returns what to tell it.
func (q *quarantineManager) answerMessage(m quarantine.Message, now time.Time) quarantine.Message {
	answer, raised := q.ledger.Answer(m, now)
	if len(raised) > 0 { // no single instance has seen that
		q.recordRaised(raised, "put together")
		q.scheduleRaised(raised)
		pause.Wake(q.syncRequested)
	}
	return answer
}

// merge takes over what another instance knows.
func (q *quarantineManager) merge(records []quarantine.Record, now time.Time) {
	q.recordReceived(q.ledger.Take(records, now))
}

// recordReceived notes which requests are held by what another instance says.
func (q *quarantineManager) recordReceived(raised []quarantine.Raise) {
	q.recordRaised(raised, "heard")
}

// recordRaised logs which requests are held now, and has the holder tell all others.
func (q *quarantineManager) recordRaised(raised []quarantine.Raise, source string) {
	for _, r := range raised {
		q.log.WithFields(logrus.Fields{
			"fingerprint": r.Fingerprint, "subject": r.Subject, "state": r.To, "servers": r.Crashes, "source": source,
		}).Warn("servers ended while the request ran there")
		q.set.GetOrCreateCounter(`martenport_requests_held_total{state="` + r.To.String() + `"}`).Inc()
	}
	if len(raised) > 0 && q.isHolder() {
		q.scheduleUrgent(raised)
	}
}

// recordCleared notes that a request was answered, or released, and which state it had.
func (q *quarantineManager) recordCleared(fp serving.Fingerprint, before quarantine.State) {
	if before != quarantine.Clear {
		q.scheduleWrite(fp)
	}
	q.follower.triggerReport()
	pause.Wake(q.syncRequested)
}

// recordExpired has the store forget a request, once for all instances.
func (q *quarantineManager) recordExpired(fp serving.Fingerprint) {
	if q.isHolder() {
		q.recordCleared(fp, quarantine.Quarantined)
	}
}

func (q *quarantineManager) scheduleRaised(raised []quarantine.Raise) {
	for _, r := range raised {
		q.scheduleWrite(r.Fingerprint)
	}
}

// scheduleWrite has the next write bring the store up to date with requests.
func (q *quarantineManager) scheduleWrite(fps ...serving.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fp := range fps {
		q.unwritten[fp] = true
	}
}

// scheduleWriteAll has the next write bring the store up to date with all requests that are held: it may
// have forgotten them.
func (q *quarantineManager) scheduleWriteAll() {
	for _, r := range q.ledger.List(clock.Now()) {
		if r.State() != quarantine.Clear {
			q.scheduleWrite(r.Fingerprint)
		}
	}
}

// Times of the keeper.
const (
	// syncInterval is the pause between looks at what is to be told or written.
	syncInterval = 250 * time.Millisecond
	// broadcastAfter reports in a row without an answer of the holder, instances tell each other.
	broadcastAfter = 2
	// sendTimeout bounds one call to another instance.
	sendTimeout = 400 * time.Millisecond
)

// run reads what the store has and keeps it, and the other instances, up to date.
func (q *quarantineManager) run(ctx context.Context) {
	for !q.loaded.Load() && !q.load(ctx) {
		if !pause.For(ctx, syncInterval) {
			return
		}
	}
	for pause.Until(ctx, syncInterval, q.syncRequested) {
		q.write(ctx)
		if misses, delivered := q.follower.reportProgress(); misses >= broadcastAfter {
			q.broadcast(ctx, delivered)
		} else {
			q.markDelivered(delivered)
		}
	}
}
