package holder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// errEngine is returned when an engine refused or failed an order, or when the result of the order is unknown.
var errEngine = errors.New("holder: order failed")

// worker executes the operations of one engine: those on models one after the other, those on adapters concurrently
// with them.
type worker struct {
	h      *Holder
	engine string
	ctx    context.Context
	stop   context.CancelFunc

	// orderMu is held from choosing an order's sequence number until its response.
	orderMu sync.Mutex
	// lastOrder is when the last order was answered, lastAccepted when one was last accepted, and sequenceCheckedAt
	// when the engine was last asked for its sequence number; guarded by orderMu.
	lastOrder, lastAccepted, sequenceCheckedAt time.Time

	// adapterMu is held for reading while an adapter is loaded and for writing while the engine is read.
	adapterMu sync.RWMutex

	mu      sync.Mutex
	queue   []replicas.Operation // guarded by mu
	running bool                 // guarded by mu
	// needsRead is set if the engine has to be read before the next operation.
	needsRead bool // guarded by mu
}

func newWorker(ctx context.Context, h *Holder, engine string) *worker {
	w := &worker{h: h, engine: engine}
	w.ctx, w.stop = context.WithCancel(ctx)
	return w
}

// enqueue queues an operation on a model. An operation on an adapter starts immediately.
func (w *worker) enqueue(op replicas.Operation) {
	if op.Load.Adapter != "" {
		go w.loadAdapter(op)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, op)
	w.start()
}

// requestRead has the engine read before its next operation. Operations that were planned on the earlier state are no
// longer current then.
func (w *worker) requestRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needsRead = true
	w.start()
}

// start starts the worker's goroutine unless it runs. w.mu must be held.
func (w *worker) start() {
	if !w.running {
		w.running = true
		go w.run()
	}
}

// next returns what to do next: an operation from the queue, or read if the engine has to be read first. more is false
// if there is nothing to do; the worker then counts as not running.
func (w *worker) next() (op replicas.Operation, read, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ctx.Err() != nil:
	case w.needsRead:
		w.needsRead = false
		return op, true, true
	case len(w.queue) > 0:
		op, w.queue = w.queue[0], w.queue[1:]
		return op, false, true
	}
	w.running = false
	return op, false, false
}

// run reads the engine and executes queued operations until there is nothing to do.
func (w *worker) run() {
	for {
		op, read, more := w.next()
		switch {
		case !more:
			return
		case read:
			w.read()
		default:
			_ = w.execute(op) // recorded and logged by execute
		}
	}
}

// loadAdapter executes the load of an adapter. It waits while the engine is read.
func (w *worker) loadAdapter(op replicas.Operation) {
	w.awaitStart(op)
	w.adapterMu.RLock()
	defer w.adapterMu.RUnlock()
	_ = w.execute(op) // recorded and logged by execute
}

// waitForOrders waits until no order is in progress and returns when the last one was answered.
func (w *worker) waitForOrders() time.Time {
	w.orderMu.Lock()
	defer w.orderMu.Unlock()
	return w.lastOrder
}

// execute executes one operation and records its result.
func (w *worker) execute(op replicas.Operation) error {
	started := clock.Now()
	err := w.runSteps(op)
	onlyFromHere := errors.Is(err, serving.ErrOrderNotSent) && w.answersOthers()
	w.h.mu.Lock()
	switch {
	case err == nil:
		w.h.fleet.Done(op, clock.Now())
	case onlyFromHere:
		w.h.fleet.OutOfReach(op, clock.Now())
	case errors.Is(err, errUncertain):
		w.h.fleet.Uncertain(op)
	case errors.Is(err, errEngine):
		w.h.fleet.Failed(op, clock.Now())
	default:
		w.h.fleet.Withdrawn(op) // the last order was not sent: the lease, the store or a limit did not allow it
	}
	w.h.mu.Unlock()
	if errors.Is(err, errUncertain) {
		w.requestRead()
	}
	w.h.dispatch(clock.Now())
	w.h.metrics.observeOperation(op, err, clock.Since(started))
	w.h.log.WithFields(logrus.Fields{
		"engine": op.Engine, "load": op.Load.String(), "ms": clock.Since(started).Milliseconds(), "late_ms": clock.Since(op.Ready).Milliseconds(), "error": err, "only_from_here": onlyFromHere,
	}).Info("operation ended")
	return err
}

// answersOthers reports whether an engine to which an order could not be sent runs. A report may come through another
// instance, an order may not.
func (w *worker) answersOthers() bool {
	_, err := w.report()
	return err == nil
}

// awaitStart waits until the operation's first order may be sent. It returns false if the worker was stopped.
func (w *worker) awaitStart(op replicas.Operation) bool {
	w.h.mu.Lock()
	from := w.h.lease.OrderFrom(w.engine)
	w.h.mu.Unlock()
	if from.Before(op.From) {
		from = op.From
	}
	return pause.For(w.ctx, clock.Until(from))
}

// runSteps unloads what the operation replaces, orders the load and waits for it.
func (w *worker) runSteps(op replicas.Operation) error {
	if !w.awaitStart(op) {
		return w.ctx.Err()
	}
	unloaded, err := w.unload(op)
	defer unloaded.end()
	if err != nil || op.Load.Model == "" {
		return err
	}
	if !w.awaitUnloaded(unloaded) {
		return w.ctx.Err()
	}
	refused, err := w.load(op, unloaded)
	if err != nil {
		return err
	}
	now := clock.Now()
	w.recordLoadAccepted(op, unloaded.state(), refused, now)
	if op.Remote {
		err := w.awaitRemote(op, now.Add(op.Duration))
		if err == nil {
			w.h.metrics.observeWeightStoreLoad(op.Duration, clock.Since(now))
		}
		return err
	}
	if !pause.For(w.ctx, op.Duration) {
		return w.ctx.Err()
	}
	return nil
}

// unload orders the unloads of the operation. It returns the watch of the last model that was unloaded, nil if there was
// none. The caller must end the watch.
func (w *worker) unload(op replicas.Operation) (last *runWatch, err error) {
	for _, unit := range op.Unload {
		if !w.awaitUnloaded(last) {
			return last, w.ctx.Err()
		}
		if _, err := w.orderWithRetries(op, unit, true, anySequence, last); err != nil {
			return last, err
		}
		if unit.Adapter == "" {
			last.end()
			last = w.watchRuns(unit, clock.Now())
		}
		w.h.mu.Lock()
		w.h.fleet.Unloaded(op, unit)
		w.h.mu.Unlock()
	}
	return last, nil
}

// recordLoadAccepted records that the engine has accepted the load of an operation after the given unload.
func (w *worker) recordLoadAccepted(op replicas.Operation, unload runEnds, refused int, now time.Time) {
	w.h.mu.Lock()
	if unload.endedAt.IsZero() {
		w.h.fleet.LoadAccepted(op, unload.unloadedAt, refused, now)
	} else {
		w.h.fleet.LoadAcceptedAfterRuns(op, unload.unloadedAt, unload.endedAt, refused, now)
	}
	w.h.mu.Unlock()
	if unload.unloadedAt.IsZero() {
		return
	}
	idle := now.Sub(later(unload.unloadedAt, unload.endedAt))
	w.h.metrics.observeLoadAfterUnload(unload.cause(), idle)
	if unload.endedAt.IsZero() && refused == 0 {
		return // the usual case
	}
	w.h.log.WithFields(logrus.Fields{
		"engine": op.Engine, "load": op.Load.String(), "runs": unload.cause(), "wait_ms": now.Sub(unload.unloadedAt).Milliseconds(), "idle_ms": idle.Milliseconds(), "refused": refused,
	}).Info("load follows an unload that waited for requests")
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// remoteTimeoutFactor times the expected duration of a load from the weight store is how late the load may be. While the
// throughput of the store is unknown, too many loads may run concurrently and slow each other down.
const remoteTimeoutFactor = 4

// awaitRemote waits for a load from the weight store, whose duration depends on the number of concurrent loads.
func (w *worker) awaitRemote(op replicas.Operation, ready time.Time) error {
	deadline := ready.Add(remoteTimeoutFactor * op.Duration)
	for clock.Now().Before(deadline) {
		if !pause.For(w.ctx, max(w.h.params.ReportLag, clock.Until(ready))) {
			return w.ctx.Err()
		}
		report, err := w.report()
		if err != nil {
			continue
		}
		_, loaded := report.Models[op.Load.Model]
		switch {
		case loaded && !report.Busy:
			return nil
		case !report.Busy:
			return errors.Wrapf(errEngine, "engine is idle and has not loaded %s", op.Load)
		}
		w.h.mu.Lock()
		ready = w.h.fleet.StillLoading(op, clock.Now())
		w.h.mu.Unlock()
	}
	return errors.Wrapf(errEngine, "%s not loaded before the deadline %s", op.Load, deadline)
}

// readNeeded reports whether the engine must be read again.
func (w *worker) readNeeded() bool {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	return w.h.fleet.MustBeRead(w.engine)
}

// maxReadAttempts bounds the attempts of one call of read. The next tick starts another.
const maxReadAttempts = 5

// read reads the engine's state until a report shows that no order is in progress, and adopts that report. No order is
// sent meanwhile, since operations planned on an uncertain state are not current.
func (w *worker) read() {
	w.adapterMu.Lock()
	defer w.adapterMu.Unlock()
	if !w.readNeeded() || !pause.For(w.ctx, clock.Until(w.waitForOrders().Add(w.h.params.ReportLag))) {
		return
	}
	for range maxReadAttempts {
		report, err := w.report()
		if err == nil && !report.Busy {
			w.h.mu.Lock()
			w.h.fleet.Adopt(w.engine, report, clock.Now())
			w.h.mu.Unlock()
			w.h.log.WithFields(logrus.Fields{"engine": w.engine, "sequence": report.Sequence, "models": len(report.Models)}).Info("engine read")
			return
		}
		w.h.mu.Lock()
		if err == nil {
			w.h.fleet.BusyWithInheritedOrder(w.engine, clock.Now())
		} else { // its models are not known, so requests are sent elsewhere
			w.h.fleet.Unreachable(w.engine, clock.Now())
		}
		w.h.mu.Unlock()
		if !pause.For(w.ctx, w.h.params.ReportLag) {
			return
		}
	}
}

// report asks the engine for its state. It fails if the report is from another process under the engine's ID.
func (w *worker) report() (serving.Report, error) {
	server, live := w.h.dir.Server(w.engine)
	if !live {
		return serving.Report{}, errors.Wrap(errEngine, "engine is not in the directory")
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.h.params.Lease.Transit)
	defer cancel()
	w.h.metrics.reports.Inc()
	report, err := w.h.engines.Report(ctx, server)
	if err == nil && !server.MayBeSameProcess(report.Born) {
		return report, errors.Wrap(errEngine, "report is from another process with the same engine id")
	}
	return report, err
}
