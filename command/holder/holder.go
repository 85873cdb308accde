// Package holder is the work of the one instance that loads models: it takes
// the lease, keeps the account of all engines, decides by package replicas what
// is loaded where, and sends the orders.
//
// Every instance has a Holder; all but one are idle. Lock order: an engine's
// order lock (worker.mu) before Holder.mu. No call is made under Holder.mu.
package holder

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// KeyLease is where the lease's record lies in the store.
const KeyLease = "leases/orders"

// ErrNotHolder: this instance does not hold the lease, or may not use it yet.
var ErrNotHolder = errors.New("holder: the lease is not held")

// Holder is one instance's part in loading models.
type Holder struct {
	params  Params
	store   store.Store
	engines serving.Engines
	dir     *directory.Directory
	log     logrus.FieldLogger
	counts  *Counts

	mu    sync.Mutex
	lease *lease.Lease    // guarded by mu
	fleet *replicas.Fleet // guarded by mu
	// lender lends the limits of workspaces, and serverLender those of servers; guarded by mu.
	lender, serverLender *quota.Lender
	// serverLimits is what servers say of their limits.
	serverLimits ServerLimits
	// account is what instances have said of their requests; guarded by mu.
	account account
	views   views // guarded by mu
	// admit is the share of requests to admit as of admitted; guarded by mu. The map is
	// made anew, not changed: replies that are on their way refer to it.
	admit    map[string]float64
	admitted time.Time
	// refreshed is when the list of servers was last taken over; guarded by mu.
	refreshed time.Time
	workers   map[string]*worker // by engine; guarded by mu
	// failingSince is when renewals began to fail, zero while they succeed;
	// guarded by mu.
	failingSince time.Time
	// episode numbers the times that this instance did not reach the store, and
	// inEpisode is whether it does not now; guarded by mu.
	episode   uint64
	inEpisode bool
	// proving is whether a renewal is on its way that decides whether the lease
	// is given up; guarded by mu.
	proving bool
	// remoteAtOnce is what a holder before has learned of the weight store; guarded by mu.
	remoteAtOnce float64
	// gaveUp is the released record under which this instance has promised to
	// order nothing more; guarded by mu.
	gaveUp lease.Record
	// ctx ends when this instance stops; guarded by mu.
	ctx context.Context
	// era is the newest era of the store that was heard of, and firstEra the first one; guarded by mu.
	era, firstEra int64

	renewing sync.Mutex // held while a renewal is on its way

	// limits is what operators decided.
	limits limits.Source

	// outage returns when the first of this instance's watches was begun that
	// failed since the store last answered; zero while it answers.
	outage func() time.Time
}

// New returns a Holder that does not hold the lease.
func New(p Params, s store.Store, engines serving.Engines, dir *directory.Directory, counts *Counts, log logrus.FieldLogger) *Holder {
	return &Holder{
		params: p, store: s, engines: engines, dir: dir, log: log, counts: counts,
		lease: lease.New(p.Lease, p.Name), fleet: replicas.NewFleet(p.Fleet), lender: quota.NewLender(p.Quota, false, nil, clock.Now()), serverLender: quota.NewLender(p.ServerQuota, false, nil, clock.Now()), serverLimits: unlimited{}, account: newAccount(), workers: map[string]*worker{},
		era: unknownEra, firstEra: unknownEra, ctx: context.Background(), limits: limits.None{}, outage: func() (none time.Time) { return },
	}
}

// WatchStore has the holder know how this instance's watches fare. It must be
// called before Run.
func (h *Holder) WatchStore(outage func() time.Time) { h.outage = outage }

// LimitServers has the holder lend what servers say that they take. It must be called before
// Run.
func (h *Holder) LimitServers(source ServerLimits) { h.serverLimits = source }

// Limit has the holder load models only as operators decided. It must be called
// before Run.
func (h *Holder) Limit(source limits.Source) { h.limits = source }

// HeardRemoteAtOnce notes what the holder has learned of the weight store.
func (h *Holder) HeardRemoteAtOnce(atOnce float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remoteAtOnce = atOnce
}

// Run does the standing work while the lease is held, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	for pause.For(ctx, h.params.Tick) {
		if h.Holds() {
			h.tick(clock.Now())
		}
	}
}

// Holds reports whether the lease is this instance's, as far as it knows.
func (h *Holder) Holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Held()
}

// Settled reports whether the lease is this instance's and what holders before have let
// begin is over or known, which the lease's renewals do not bound.
func (h *Holder) Settled(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.PriorOperationsEnded(now)
}

// Fence returns the fencing token held, 0 when there is none.
func (h *Holder) Fence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return 0
	}
	record, _ := h.lease.Record()
	return record.Fence
}

// tick takes over what engines announce, has doubtful ones read anew, and
// starts what the demand asks for.
func (h *Holder) tick(now time.Time) {
	h.mu.Lock()
	h.refreshServers()
	outage := h.suspendInOutage(now)
	h.fleet.Running(h.account.running(now), now)
	operations := append(h.fleet.Trim(now), h.fleet.Dispatch(now)...)
	unsure := h.fleet.Unsure(now)
	unsettled := !h.lease.Settled() && h.lease.RenewalDue(now)
	h.mu.Unlock()
	if unsettled || outage > 0 { // written or confirmed now, or tried again at the next tick
		h.renewBeside()
	}
	for _, id := range unsure {
		h.readIfSettled(id, now)
	}
	for _, op := range operations {
		h.begin(op, "tick")
	}
}

// readAhead is how long before the first order to an engine it is read, at the least.
const readAhead = 300 * time.Millisecond

// readSpread is the part of the time between orders of two holders over which engines are
// read: in that time the holder before orders nothing more. To read 106 engines in the last
// tenth of a second, and to order them right after that, took more processor time than a
// machine with 0.8 of a core had: the first orders went out over a second.
const readSpread = 0.5

// readBefore returns how long before the first order to an engine it is read: each engine
// has its place in the spread.
func (h *Holder) readBefore(id string) time.Duration {
	settle := h.params.Lease.Settle
	place := float64(xxhash.Sum64String(id)) / math.MaxUint64
	return max(readAhead, min(settle, readAhead+time.Duration(place*readSpread*float64(settle))))
}

// readIfSettled has an engine read anew, unless the holder before may still
// order it.
func (h *Holder) readIfSettled(id string, now time.Time) {
	h.mu.Lock()
	settled := now.Add(h.readBefore(id)).After(h.lease.OrderFrom(id))
	h.mu.Unlock()
	if settled {
		h.worker(id).readAnew()
	}
}

// refreshInterval bounds how often questions have the list of servers taken over: many
// come within one, and most of the time of each went into that (BenchmarkQuestion).
const refreshInterval = 50 * time.Millisecond

// refreshServers needs mu.
func (h *Holder) refreshServers() {
	config := h.dir.Config()
	if config == nil {
		return
	}
	h.refreshed = clock.Now()
	h.fleet.Complete(h.dir.Complete(clock.Now()))
	h.fleet.SetServers(h.dir.All(), func(service string) *serving.EngineSpec { return config.Services[service].Engine })
	for _, e := range h.fleet.Engines() {
		e.NotBefore = h.lease.OrderFrom(e.Server.ID)
	}
	for id, w := range h.workers {
		if h.fleet.Engine(id) == nil {
			w.stop()
			delete(h.workers, id)
		}
	}
}

// Request is a request for a unit to be loaded.
type Request struct {
	Service string
	Unit    serving.Unit
	// Waiting is what waits for its model at the instance that asks.
	Waiting replicas.Waiting
	// Missing names an engine that said that it does not have the unit, and
	// Unreachable one that could not be connected to.
	Missing, Unreachable string
	// HeldBack are engines that have the unit, and to which the instance that asks may send
	// nothing for now: they limit what they take, or rest.
	HeldBack []string
}

// askAgain is the shortest time after which an instance should ask again for a
// unit that no engine has been chosen for.
const askAgain = 120 * time.Millisecond

// noRoomRetry is when an engine may have room again: about what a load takes.
const noRoomRetry = time.Second

// Want returns where a unit is or will be. ok is false if no engine can take it; the
// place then says when to ask again. After an outage of the store as long again is
// expected, since it may last for milliseconds or minutes.
func (h *Holder) Want(r Request, now time.Time) (found replicas.Found, ok bool, err error) {
	h.mu.Lock()
	if !h.lease.Held() {
		h.mu.Unlock()
		return found, false, ErrNotHolder
	}
	if now.Sub(h.refreshed) >= refreshInterval {
		h.refreshServers()
	}
	if r.Missing != "" {
		h.lacks(r.Missing, r.Unit, now)
	}
	if r.Unreachable != "" {
		h.fleet.Unreachable(r.Unreachable, now)
	}
	for _, id := range r.HeldBack {
		h.fleet.HoldBack(id, now)
	}
	outage := h.suspendInOutage(now)
	found, ok = h.fleet.Find(r.Service, r.Unit, r.Waiting, now)
	var operations []replicas.Operation
	if found.Start != nil {
		operations = append(operations, *found.Start)
	}
	if ok && found.Engine == "" {
		operations = append(operations, h.fleet.Dispatch(now)...)
		found, ok = h.fleet.Find(r.Service, r.Unit, replicas.Waiting{}, now)
	}
	h.mu.Unlock()
	for _, op := range operations {
		h.begin(op, "request")
	}
	if !ok {
		found.Ready = now.Add(max(noRoomRetry, outage))
	}
	if earliest := now.Add(askAgain); ok && found.Engine == "" && found.Ready.Before(earliest) {
		found.Ready = earliest
	}
	return found, ok, nil
}

// Use is a request that begins on an engine.
type Use struct {
	Engine string
	Unit   serving.Unit
}

// Used notes a request that begins, before the instance that sends it reports.
func (h *Holder) Used(u Use, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.Held() {
		h.fleet.BeganUse(u.Engine, u.Unit, now)
	}
}

// dispatch starts what is wanted on engines that have become free.
func (h *Holder) dispatch(now time.Time) {
	h.mu.Lock()
	var operations []replicas.Operation
	if h.lease.Held() {
		operations = h.fleet.Dispatch(now)
	}
	h.mu.Unlock()
	for _, op := range operations {
		h.begin(op, "request")
	}
}

// lacks needs mu. An engine said that it does not have a unit that it should.
func (h *Holder) lacks(id string, unit serving.Unit, now time.Time) {
	e := h.fleet.Engine(id)
	if e == nil || !e.Claims(unit, now) || h.fleet.Postpone(id, unit, now) {
		return
	}
	h.fleet.Doubt(id, unit)
	h.log.WithFields(logrus.Fields{"engine": id, "unit": unit.String(), "sequence": e.Sequence}).Info("engine lacks a unit, reading it anew")
}

// begin hands an operation to its engine's worker.
func (h *Holder) begin(op replicas.Operation, cause string) {
	h.log.WithFields(logrus.Fields{
		"engine": op.Engine, "load": op.Load.String(), "unload": op.Unload, "remote": op.Remote, "cause": cause,
		"ready_ms": clock.Until(op.Ready).Milliseconds(),
	}).Info("operation planned")
	h.worker(op.Engine).carryOut(op)
}

// worker returns the engine's worker, started if need be.
func (h *Holder) worker(id string) *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[id]
	if w == nil {
		w = newWorker(h.ctx, h, id)
		h.workers[id] = w
	}
	return w
}
