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

// quarantineKeeper has all instances know of requests under which servers end: by the reports
// to the holder and its answers; from instance to instance while no holder answers; and, for
// suspects and quarantined requests, by the store, where it outlasts all instances. The last
// is rare, and the only one that costs calls to the store.
type quarantineKeeper struct {
	ledger   *quarantine.Ledger
	store    store.Store
	members  *members
	pool     *rpcpool.Pool
	follower *follower
	// holds reports whether this instance holds the lease.
	holds func() bool
	log   logrus.FieldLogger
	set   *metrics.Set
	// read: what the store has was taken over.
	read atomic.Bool
	// began is when the instance was made.
	began time.Time

	mu sync.Mutex
	// unwritten are requests whose state in the store may be another; guarded by mu.
	unwritten map[serving.Fingerprint]bool
	// told is through which change all others know of the ledger, by the holder or by having
	// been told directly, but for those in missed, by address; guarded by mu.
	told   uint64
	missed map[string]uint64
	woken  chan struct{}
	// urgent are requests that are held since a moment, of which all are told at once;
	// guarded by mu.
	urgent      map[serving.Fingerprint]bool
	urgentWoken chan struct{}
}

func newQuarantineKeeper(s store.Store, m *members, f *follower, holds func() bool, set *metrics.Set, log logrus.FieldLogger) *quarantineKeeper {
	q := &quarantineKeeper{
		ledger: f.ledger, store: s, members: m, pool: f.pool, follower: f, holds: holds, log: log, set: set, began: clock.Now(),
		unwritten: map[serving.Fingerprint]bool{}, missed: map[string]uint64{}, woken: make(chan struct{}, 1),
		urgent: map[serving.Fingerprint]bool{}, urgentWoken: make(chan struct{}, 1),
	}
	for _, state := range []quarantine.State{quarantine.Suspect, quarantine.Quarantined} {
		set.NewGauge(`martenport_requests_held{state="`+state.String()+`"}`, func() float64 { return float64(q.count(state)) })
	}
	return q
}

func (q *quarantineKeeper) count(state quarantine.State) int {
	n := 0
	for _, r := range q.ledger.List(clock.Now()) {
		if r.State() == state {
			n++
		}
	}
	return n
}

// changed notes that this instance has learned of an end, and which requests are suspects or
// quarantined by that: it writes those down, and tells the holder now.
func (q *quarantineKeeper) changed(raised []quarantine.Raise) {
	q.noteRaised(raised, "seen here")
	q.writeRaised(raised)
	q.follower.wake()
	pause.Wake(q.woken)
}

// answer takes over what another instance tells, and returns what to tell it.
func (q *quarantineKeeper) answer(m quarantine.Message, now time.Time) quarantine.Message {
	answer, raised := q.ledger.Answer(m, now)
	if len(raised) > 0 { // no single instance has seen that
		q.noteRaised(raised, "put together")
		q.writeRaised(raised)
		pause.Wake(q.woken)
	}
	return answer
}

// take takes over what another instance knows.
func (q *quarantineKeeper) take(records []quarantine.Record, now time.Time) {
	q.heard(q.ledger.Take(records, now))
}

// heard notes which requests are held by what another instance says.
func (q *quarantineKeeper) heard(raised []quarantine.Raise) { q.noteRaised(raised, "heard") }

// noteRaised logs which requests are held now, and has the holder tell all others.
func (q *quarantineKeeper) noteRaised(raised []quarantine.Raise, source string) {
	for _, r := range raised {
		q.log.WithFields(logrus.Fields{
			"fingerprint": r.Fingerprint, "subject": r.Subject, "state": r.To, "servers": r.Crashes, "source": source,
		}).Warn("servers ended while the request ran there")
		q.set.GetOrCreateCounter(`martenport_requests_held_total{state="` + r.To.String() + `"}`).Inc()
	}
	if len(raised) > 0 && q.holds() {
		q.tellUrgently(raised)
	}
}

// cleared notes that a request was answered, or released, and which state it had.
func (q *quarantineKeeper) cleared(fp serving.Fingerprint, before quarantine.State) {
	if before != quarantine.Clear {
		q.writeLater(fp)
	}
	q.follower.wake()
	pause.Wake(q.woken)
}

// expired has the store forget a request, once for all instances.
func (q *quarantineKeeper) expired(fp serving.Fingerprint) {
	if q.holds() {
		q.cleared(fp, quarantine.Quarantined)
	}
}

func (q *quarantineKeeper) writeRaised(raised []quarantine.Raise) {
	for _, r := range raised {
		q.writeLater(r.Fingerprint)
	}
}

// writeLater has the next write bring the store up to date with requests.
func (q *quarantineKeeper) writeLater(fps ...serving.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fp := range fps {
		q.unwritten[fp] = true
	}
}

// writeAllLater has the next write bring the store up to date with all requests that are held: it may
// have forgotten them.
func (q *quarantineKeeper) writeAllLater() {
	for _, r := range q.ledger.List(clock.Now()) {
		if r.State() != quarantine.Clear {
			q.writeLater(r.Fingerprint)
		}
	}
}

// Times of the keeper.
const (
	// keepInterval is the pause between looks at what is to be told or written.
	keepInterval = 250 * time.Millisecond
	// tellAfter reports in a row without an answer of the holder, instances tell each other.
	tellAfter = 2
	// tellTimeout bounds one call to another instance.
	tellTimeout = 400 * time.Millisecond
)

// run reads what the store has and keeps it, and the other instances, up to date.
func (q *quarantineKeeper) run(ctx context.Context) {
	for !q.read.Load() && !q.load(ctx) {
		if !pause.For(ctx, keepInterval) {
			return
		}
	}
	for pause.Until(ctx, keepInterval, q.woken) {
		q.write(ctx)
		if misses, delivered := q.follower.unanswered(); misses >= tellAfter {
			q.tellAll(ctx, delivered)
		} else {
			q.holderTells(delivered)
		}
	}
}
