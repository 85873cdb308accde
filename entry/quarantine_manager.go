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

// quarantineManager shares the state of requests under which servers ended between all instances: with
// the reports to the holder and its answers; directly between instances while no holder answers; and,
// for suspect and quarantined requests, through the store, where the state survives a restart of all
// instances. Only the last of these costs calls to the store, and it is rare. Suspect and quarantined
// requests are called held.
type quarantineManager struct {
	ledger   *quarantine.Ledger
	store    store.Store
	members  *members
	pool     *rpcpool.Pool
	follower *follower
	// isHolder reports whether this instance holds the lease.
	isHolder func() bool
	log      logrus.FieldLogger
	set      *metrics.Set
	// loaded is whether the state in the store has been merged.
	loaded atomic.Bool
	// started is when the instance was created.
	started time.Time

	mu sync.Mutex
	// unwritten are requests whose state in the store may be out of date; guarded by mu.
	unwritten map[serving.Fingerprint]bool
	// delivered is the revision of the ledger up to which all other instances have its changes, through
	// the holder or a broadcast. The exceptions are in undelivered: by address, the revision up to which
	// that instance has them. Both are guarded by mu.
	delivered     uint64
	undelivered   map[string]uint64
	syncRequested chan struct{}
	// urgent are requests that have just become held, which all instances are notified of at once;
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

// recordChange handles an end that this instance has detected, and the requests that became suspect or
// quarantined because of it. It schedules writing them to the store, and reports them to the holder at
// once.
func (q *quarantineManager) recordChange(escalations []quarantine.Escalation) {
	q.recordEscalations(escalations, "seen here")
	q.scheduleEscalations(escalations)
	q.follower.reportNow()
	pause.Wake(q.syncRequested)
}

// answerMessage merges another instance's message, and returns the message to answer it with.
func (q *quarantineManager) answerMessage(m quarantine.Message, now time.Time) quarantine.Message {
	answer, escalations := q.ledger.HandleMessage(m, now)
	if len(escalations) > 0 { // no single instance has observed all ends that count here
		q.recordEscalations(escalations, "put together")
		q.scheduleEscalations(escalations)
		pause.Wake(q.syncRequested)
	}
	return answer
}

// merge merges records from another instance.
func (q *quarantineManager) merge(records []quarantine.Record, now time.Time) {
	q.recordReceived(q.ledger.Merge(records, now))
}

// recordReceived records which requests became held because of another instance's records.
func (q *quarantineManager) recordReceived(escalations []quarantine.Escalation) {
	q.recordEscalations(escalations, "heard")
}

// recordEscalations logs which requests became held, and makes the holder notify all other instances.
func (q *quarantineManager) recordEscalations(escalations []quarantine.Escalation, source string) {
	for _, r := range escalations {
		q.log.WithFields(logrus.Fields{
			"fingerprint": r.Fingerprint, "subject": r.Subject, "state": r.NewState, "servers": r.Crashes, "source": source,
		}).Warn("servers ended while the request ran there")
		q.set.GetOrCreateCounter(`martenport_requests_held_total{state="` + r.NewState.String() + `"}`).Inc()
	}
	if len(escalations) > 0 && q.isHolder() {
		q.scheduleUrgent(escalations)
	}
}

// logTrial logs the begin or the end of an isolated run that the holder has permitted.
func (q *quarantineManager) logTrial(message string, t quarantine.Trial, fields logrus.Fields) {
	q.log.WithFields(fields).WithFields(logrus.Fields{
		"fingerprint": t.Fingerprint, "parts": t.Parts, "server": t.Server, "instance": t.Instance,
	}).Info(message)
}

// recordCleared records that a request was answered or released. before is its previous state.
func (q *quarantineManager) recordCleared(fp serving.Fingerprint, before quarantine.State) {
	if before != quarantine.Clear {
		q.scheduleWrite(fp)
	}
	q.follower.reportNow()
	pause.Wake(q.syncRequested)
}

// recordExpired handles the expiry of a held request. The holder alone deletes its entry in the store.
func (q *quarantineManager) recordExpired(fp serving.Fingerprint) {
	if q.isHolder() {
		q.recordCleared(fp, quarantine.Quarantined)
	}
}

func (q *quarantineManager) scheduleEscalations(escalations []quarantine.Escalation) {
	for _, r := range escalations {
		q.scheduleWrite(r.Fingerprint)
	}
}

// scheduleWrite adds requests to those whose state is written to the store next.
func (q *quarantineManager) scheduleWrite(fps ...serving.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fp := range fps {
		q.unwritten[fp] = true
	}
}

// scheduleWriteAll adds all held requests to those whose state is written to the store next, since a
// restored store may lack them.
func (q *quarantineManager) scheduleWriteAll() {
	for _, r := range q.ledger.List(clock.Now()) {
		if r.State() != quarantine.Clear {
			q.scheduleWrite(r.Fingerprint)
		}
	}
}

// Intervals and time limits of the quarantine manager.
const (
	// syncInterval is the pause between checks for state to send or write.
	syncInterval = 250 * time.Millisecond
	// broadcastAfter is the number of reports in a row without an answer of the holder after which
	// instances broadcast.
	broadcastAfter = 2
	// sendTimeout bounds one call to another instance.
	sendTimeout = 400 * time.Millisecond
)

// run loads the state in the store, and keeps the store and the other instances up to date.
func (q *quarantineManager) run(ctx context.Context) {
	for !q.loaded.Load() && !q.load(ctx) {
		if !pause.For(ctx, syncInterval) {
			return
		}
	}
	for pause.Until(ctx, syncInterval, q.syncRequested) {
		q.write(ctx)
		if unanswered, delivered := q.follower.reportProgress(); unanswered >= broadcastAfter {
			q.broadcast(ctx, delivered)
		} else {
			q.markDelivered(delivered)
		}
	}
}
