// Package holder implements the work of the one instance that orders model loads. The holder takes the lease, tracks
// the state of all engines, decides by package replicas which models are loaded where, and sends the orders.
//
// Every instance has a Holder; all but one are idle. Lock order: an engine's order lock (worker.orderMu) before
// Holder.mu. No call to another process is made while Holder.mu is held.
package holder

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// KeyLease is the key of the lease record in the store.
const KeyLease = "leases/orders"

// ErrNotHolder is returned when this instance does not hold the lease or may not use it yet.
var ErrNotHolder = errors.New("holder: the lease is not held")

// Holder takes and keeps the lease, and orders model loads while it holds the lease.
type Holder struct {
	params  Params
	store   store.Store
	engines serving.Engines
	dir     *directory.Directory
	log     logrus.FieldLogger
	metrics *Metrics

	mu    sync.Mutex
	lease *lease.Lease    // guarded by mu
	fleet *replicas.Fleet // guarded by mu
	// lender lends the limits of workspaces and serverLender those of servers; guarded by mu.
	lender, serverLender *quota.Lender
	// serverLimits returns the limits that servers have announced.
	serverLimits ServerLimits
	// reports holds the latest reports of the instances; guarded by mu.
	reports instanceReports
	views   views // guarded by mu
	// admissionShares is the share of requests to admit by model, as computed at admissionsAt; guarded by mu. The map
	// is replaced and never changed, because replies that are being sent refer to it.
	admissionShares map[string]float64
	admissionsAt    time.Time
	// refused has the refused requests that are to return; guarded by mu.
	refused refusedRequests
	// room has the shares to admit by class, as computed at roomAt, and is replaced like admissionShares; guarded by mu.
	room   directory.Room
	roomAt time.Time
	// roomReportedAt is when the room was last reported to operators, and copiesLoggedAt when models that lack copies
	// were last logged; guarded by mu.
	roomReportedAt, copiesLoggedAt time.Time
	// serversRefreshedAt is when the list of servers was last copied from the directory; guarded by mu.
	serversRefreshedAt time.Time
	workers            map[string]*worker // by engine; guarded by mu
	// firstHolder is set if nobody had held the lease when it was taken; guarded by mu.
	firstHolder bool
	// failingSince is when renewals began to fail. It is zero while they succeed; guarded by mu.
	failingSince time.Time
	// reached returns the fraction of the engines that this instance reaches, and fewReachedSince is since when it
	// is so small that the lease is to be given up; zero if it is not. fewReachedSince is guarded by mu.
	reached         func() float64
	fewReachedSince time.Time
	// checkReach tries whether engines are in reach.
	checkReach func(context.Context)
	// outageID numbers the outages in which this instance cannot reach the store, and inOutage reports whether there
	// is one now; guarded by mu.
	outageID uint64
	inOutage bool
	// finalRenewalRunning reports whether a renewal is in progress whose failure makes the holder give up the lease;
	// guarded by mu.
	finalRenewalRunning bool
	// remoteConcurrency is the estimate of an earlier holder for Update.RemoteAtOnce; guarded by mu.
	remoteConcurrency float64
	// speeds are the engines' speeds according to the samples of all instances; guarded by mu.
	speeds *balance.SpeedLearner
	// speedReporter reports speeds to the operator; guarded by mu.
	speedReporter speedReporter
	// releasing is set while the lease is being released; guarded by mu.
	releasing bool
	// surrendered is the released record under which this instance has promised to send no more orders; guarded by
	// mu.
	surrendered lease.Record
	// ctx ends when this instance stops; guarded by mu.
	ctx context.Context
	// era is the newest era of the store that is known here, and firstEra the first one; guarded by mu.
	era, firstEra int64

	renewMu sync.Mutex // held while a renewal is in progress

	// replicaLimits are the numbers of replicas that operators have set.
	replicaLimits limits.Source

	// outageStart returns the start of the first of this instance's store watches that has failed since the store
	// last answered. It returns the zero time while the store answers.
	outageStart func() time.Time

	// pacing bounds the time that the holder spends on deciding loads; guarded by mu.
	pacing dispatchPacing
	// askRuns asks instances for the end of their requests, nil if they are not asked. uses is guarded by mu.
	askRuns RunsAsker
	uses    recentUses
}

// New returns a Holder that does not hold the lease.
func New(p Params, s store.Store, engines serving.Engines, dir *directory.Directory, metrics *Metrics, log logrus.FieldLogger) *Holder {
	return &Holder{
		params: p, store: s, engines: engines, dir: dir, log: log, metrics: metrics,
		lease: lease.New(p.Lease, p.Name), fleet: replicas.NewFleet(p.Fleet),
		lender: quota.NewLender(p.Quota, false, nil, clock.Now()), serverLender: quota.NewLender(p.ServerQuota, false, nil, clock.Now()),
		serverLimits: unlimited{}, reports: newInstanceReports(), refused: refusedRequests{list: waitlist.NewList()},
		workers: map[string]*worker{}, uses: recentUses{until: map[use]time.Time{}}, pacing: newDispatchPacing(),
		speeds: balance.NewSpeedLearner(),
		era:    unknownEra, firstEra: unknownEra, ctx: context.Background(), replicaLimits: limits.None{},
		outageStart: func() (none time.Time) { return }, reached: func() float64 { return 1 }, checkReach: func(context.Context) {},
	}
}

// SetOutageSource sets the function that returns when this instance's store watches began to fail, or the zero time.
// It must be called before Run.
func (h *Holder) SetOutageSource(outage func() time.Time) { h.outageStart = outage }

// SetServerLimits sets the source of the limits that servers have announced. The holder lends those limits to
// instances. It must be called before Run.
func (h *Holder) SetServerLimits(source ServerLimits) { h.serverLimits = source }

// SetReplicaLimits sets the source of the numbers of replicas that operators allow. It must be called before Run.
func (h *Holder) SetReplicaLimits(source limits.Source) { h.replicaLimits = source }

// SetRemoteConcurrency records the holder's estimate of Update.RemoteAtOnce for the case that this instance succeeds
// it.
func (h *Holder) SetRemoteConcurrency(concurrency float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remoteConcurrency = concurrency
}

// Run does the periodic work while the lease is held, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	for pause.For(ctx, h.params.Tick) {
		if !h.Holds() {
			h.metrics.loadsHeld.Set(0)
			h.dropRoom()
			continue
		}
		if h.handOverDue(clock.Now()) {
			h.checkReach(ctx) // two engines out of reach, one after the other, do not show that the others are
			if h.handOverDue(clock.Now()) {
				h.handOver(ctx)
				continue
			}
		}
		h.tick(clock.Now())
	}
}

// Holds reports whether this instance holds the lease, as far as it knows.
func (h *Holder) Holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Held()
}

// IsFirst reports whether this instance holds the lease and nobody has held it before.
func (h *Holder) IsFirst() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Held() && h.firstHolder
}

// PriorOperationsEnded reports whether this instance holds the lease and the operations that earlier holders started,
// which renewals of the lease do not bound, have ended or are known.
func (h *Holder) PriorOperationsEnded(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.PriorOperationsEnded(now)
}

// Fence returns the fencing token of the held lease, 0 if the lease is not held.
func (h *Holder) Fence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return 0
	}
	record, _ := h.lease.Record()
	return record.Fence
}

// tick takes over the announced state of engines, has engines of uncertain state read again, and starts the
// operations that the demand requires.
func (h *Holder) tick(now time.Time) {
	h.mu.Lock()
	h.refreshServers()
	outage := h.suspendInOutage(now)
	h.fleet.SetRunning(h.reports.runningByUnit(now), now)
	speeds := h.speeds.Speeds(now)
	h.fleet.SetSpeeds(speeds)
	h.speedReporter.report(speeds, h.metrics, h.log, now)
	operations := append(h.fleet.Trim(now), h.runDispatch(now)...)
	uncertain := h.fleet.EnginesToRead()
	h.metrics.loadsHeld.Set(float64(h.fleet.HeldLoads(now)))
	settleDue := !h.lease.Settled() && h.lease.RenewalDue(now)
	h.mu.Unlock()
	if settleDue || outage > 0 { // a failed renewal is retried at the next tick
		h.renewInBackground()
	}
	for _, id := range uncertain {
		h.readIfSettled(id, now)
	}
	for _, op := range operations {
		h.startOperation(op, "tick")
	}
}

// minReadLead is the minimum time between reading an engine and the first order to it.
const minReadLead = 300 * time.Millisecond

// readSpread is the fraction of the time between the orders of two holders over which the reads of engines are
// spread. The earlier holder sends no orders in that time. Reading 106 engines in its last tenth of a second and
// ordering them right afterwards took more processor time than a machine with 0.8 cores had, so the first orders
// were spread over a second.
const readSpread = 0.5

// readLead returns how long before the first order to an engine the engine is read. The engines are spread by a hash
// of their ids.
func (h *Holder) readLead(id string) time.Duration {
	settle := h.params.Lease.Settle
	position := float64(xxhash.Sum64String(id)) / math.MaxUint64
	return max(minReadLead, min(settle, minReadLead+time.Duration(position*readSpread*float64(settle))))
}

// readIfSettled has an engine read again, unless an earlier holder may still order it.
func (h *Holder) readIfSettled(id string, now time.Time) {
	h.mu.Lock()
	settled := now.Add(h.readLead(id)).After(h.lease.OrderFrom(id))
	h.mu.Unlock()
	if settled {
		h.worker(id).requestRead()
	}
}

// refreshInterval is the minimum time between two copies of the list of servers on behalf of requests for units.
// Many requests arrive within it, and the copy took most of the time of each (BenchmarkWant).
const refreshInterval = 50 * time.Millisecond

// refreshServers copies the list of servers from the directory. h.mu must be held.
func (h *Holder) refreshServers() {
	config := h.dir.Config()
	if config == nil {
		return
	}
	h.serversRefreshedAt = clock.Now()
	h.fleet.SetComplete(h.dir.RemovalsComplete(clock.Now()))
	h.fleet.SetServers(h.dir.All(), func(service string) *serving.EngineSpec { return config.Services[service].Engine })
	h.fleet.SetContended(contendedServices(config))
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

// contendedServices returns the services for which the configuration says that their callers compete.
func contendedServices(config *serving.Config) map[string]bool {
	contended := map[string]bool{}
	for name := range config.Services {
		if config.Contended(name) {
			contended[name] = true
		}
	}
	return contended
}

// dispatch starts the required operations on engines that have become free.
func (h *Holder) dispatch(now time.Time) {
	h.mu.Lock()
	var operations []replicas.Operation
	if h.lease.Held() {
		operations, _ = h.requestDispatch(now)
	}
	h.mu.Unlock()
	for _, op := range operations {
		h.startOperation(op, "request")
	}
}

// noteMissingUnit handles the report of an engine that it does not have a unit which it should have. h.mu must be
// held.
func (h *Holder) noteMissingUnit(id string, unit serving.Unit, now time.Time) {
	e := h.fleet.Engine(id)
	if e == nil || !e.Serves(unit, now) || h.fleet.Postpone(id, unit, now) {
		return
	}
	h.fleet.MarkForRead(id, unit)
	h.log.WithFields(logrus.Fields{"engine": id, "unit": unit.String(), "sequence": e.Sequence}).Info("engine reports a unit as missing; reading the engine again")
}

// startOperation queues an operation at its engine's worker.
func (h *Holder) startOperation(op replicas.Operation, cause string) {
	fields := logrus.Fields{
		"engine": op.Engine, "load": op.Load.String(), "unload": op.Unload, "remote": op.Remote, "cause": cause,
		"ready_ms": clock.Until(op.Ready).Milliseconds(),
	}
	if op.Order != "" {
		fields["order"], fields["slack_ms"], fields["waiting_ms"] = op.Order, op.Slack.Milliseconds(), op.Waited.Milliseconds()
		h.metrics.countContendedLoad(op.Order)
	}
	h.log.WithFields(fields).Info("operation planned")
	h.worker(op.Engine).enqueue(op)
}

// worker returns the engine's worker and creates it if necessary.
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
