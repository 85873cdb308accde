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

// errEngine: an engine would not take an order, or nobody knows whether it has.
var errEngine = errors.New("holder: order failed")

// worker carries out the operations of one engine: those of models one after
// the other, those of adapters beside them.
type worker struct {
	h      *Holder
	engine string
	ctx    context.Context
	stop   context.CancelFunc

	// ordering is held from the choice of an order's sequence to its answer.
	ordering sync.Mutex
	// lastOrder is when the last order was answered, accepted when one was last
	// accepted, and confirmed when the engine was last asked whether the account is
	// right; guarded by ordering.
	lastOrder, accepted, confirmed time.Time

	// adapters is held for reading while an adapter is loaded and for writing
	// while the engine is read anew.
	adapters sync.RWMutex

	mu      sync.Mutex
	queue   []replicas.Operation // guarded by mu
	working bool                 // guarded by mu
	// doubtful: the engine has to be read anew before the next operation.
	doubtful bool // guarded by mu
}

func newWorker(ctx context.Context, h *Holder, engine string) *worker {
	w := &worker{h: h, engine: engine}
	w.ctx, w.stop = context.WithCancel(ctx)
	return w
}

// carryOut queues an operation.
func (w *worker) carryOut(op replicas.Operation) {
	if op.Load.Adapter != "" {
		go w.loadAdapter(op)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, op)
	w.start()
}

// readAnew has the engine read before its next operation. What was planned on
// the account as it was is void by then.
func (w *worker) readAnew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doubtful = true
	w.start()
}

// start needs mu.
func (w *worker) start() {
	if !w.working {
		w.working = true
		go w.work()
	}
}

// next takes the next operation from the queue; read means that the engine has
// to be read first. more is false when there is nothing to do.
func (w *worker) next() (op replicas.Operation, read, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ctx.Err() != nil:
	case w.doubtful:
		w.doubtful = false
		return op, true, true
	case len(w.queue) > 0:
		op, w.queue = w.queue[0], w.queue[1:]
		return op, false, true
	}
	w.working = false
	return op, false, false
}

func (w *worker) work() {
	for {
		op, read, more := w.next()
		switch {
		case !more:
			return
		case read:
			w.read()
		default:
			_ = w.do(op) // noted and logged there
		}
	}
}

func (w *worker) loadAdapter(op replicas.Operation) {
	w.awaitStart(op)
	w.adapters.RLock()
	defer w.adapters.RUnlock()
	_ = w.do(op) // noted and logged there
}

// lastAnswered waits until no order is on its way and returns when the last one
// was answered.
func (w *worker) lastAnswered() time.Time {
	w.ordering.Lock()
	defer w.ordering.Unlock()
	return w.lastOrder
}

// do carries one operation out and notes how it ended.
func (w *worker) do(op replicas.Operation) error {
	started := clock.Now()
	err := w.steps(op)
	w.h.mu.Lock()
	switch {
	case err == nil:
		w.h.fleet.Done(op, clock.Now())
	case errors.Is(err, errEngine):
		w.h.fleet.Failed(op, clock.Now())
	default:
		w.h.fleet.Withdrawn(op) // no order was sent last: the lease, the store or a limit did not allow it
	}
	w.h.mu.Unlock()
	w.h.dispatch(clock.Now())
	w.h.counts.operation(op, err, clock.Since(started))
	w.h.log.WithFields(logrus.Fields{
		"engine": op.Engine, "load": op.Load.String(), "ms": clock.Since(started).Milliseconds(), "late_ms": clock.Since(op.Ready).Milliseconds(), "error": err,
	}).Info("operation ended")
	return err
}

// awaitStart waits until the operation's first order may be sent, and reports
// whether the worker still works then.
func (w *worker) awaitStart(op replicas.Operation) bool {
	w.h.mu.Lock()
	from := w.h.lease.OrderFrom(w.engine)
	w.h.mu.Unlock()
	if from.Before(op.From) {
		from = op.From
	}
	return pause.For(w.ctx, clock.Until(from))
}

// steps unloads what has to go, orders the load and waits for it.
func (w *worker) steps(op replicas.Operation) error {
	if !w.awaitStart(op) {
		return w.ctx.Err()
	}
	unloaded, err := w.unload(op)
	if err != nil || op.Load.Model == "" {
		return err
	}
	if !w.awaitUnloaded(unloaded) {
		return w.ctx.Err()
	}
	refused, err := w.load(op)
	if err != nil {
		return err
	}
	now := clock.Now()
	w.h.mu.Lock()
	w.h.fleet.Began(op, unloaded, refused, now)
	w.h.mu.Unlock()
	if op.Remote {
		err := w.awaitRemote(op, now.Add(op.Duration))
		if err == nil {
			w.h.counts.weightStore(op.Duration, clock.Since(now))
		}
		return err
	}
	if !pause.For(w.ctx, op.Duration) {
		return w.ctx.Err()
	}
	return nil
}

// unload orders what has to go to be unloaded, and returns when the last unload of a
// model was accepted, zero if there was none.
func (w *worker) unload(op replicas.Operation) (accepted time.Time, err error) {
	for _, unit := range op.Unload {
		if !w.awaitUnloaded(accepted) {
			return accepted, w.ctx.Err()
		}
		if _, err := w.order(op, unit, true, anySequence); err != nil {
			return accepted, err
		}
		if unit.Adapter == "" {
			accepted = clock.Now()
		}
		w.h.mu.Lock()
		w.h.fleet.Unloaded(op, unit)
		w.h.mu.Unlock()
	}
	return accepted, nil
}

// awaitUnloaded waits until an unload that was accepted at a time is expected to be
// done, since the engine refuses orders until then.
func (w *worker) awaitUnloaded(accepted time.Time) bool {
	if accepted.IsZero() {
		return w.ctx.Err() == nil
	}
	w.h.mu.Lock()
	done := accepted.Add(w.h.fleet.UnloadTime())
	w.h.mu.Unlock()
	return pause.For(w.ctx, clock.Until(done))
}

// remotePatience times the expected time a load from the weight store may be late: while
// nothing is known of the store's speed as many loads as are tried slow each other.
const remotePatience = 4

// awaitRemote waits for a load from the weight store, whose time depends on how
// many others run.
func (w *worker) awaitRemote(op replicas.Operation, ready time.Time) error {
	limit := ready.Add(remotePatience * op.Duration)
	for clock.Now().Before(limit) {
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
			return errors.Wrapf(errEngine, "the engine neither has %s nor loads it", op.Load)
		}
		w.h.mu.Lock()
		ready = w.h.fleet.Lasts(op, clock.Now())
		w.h.mu.Unlock()
	}
	return errors.Wrapf(errEngine, "%s was not loaded by %s", op.Load, limit)
}

func (w *worker) unsure() bool {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	return w.h.fleet.Readable(w.engine, clock.Now())
}

// readTries bounds one reading; the next tick begins another.
const readTries = 5

// read reads the engine until no order is under way. None is sent meanwhile: what
// was planned on an account that is unsure is void.
func (w *worker) read() {
	w.adapters.Lock()
	defer w.adapters.Unlock()
	if !w.unsure() || !pause.For(w.ctx, clock.Until(w.lastAnswered().Add(w.h.params.ReportLag))) {
		return
	}
	for range readTries {
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
			w.h.fleet.BusyElsewhere(w.engine, clock.Now())
		} else { // what it holds is not known, so requests go elsewhere
			w.h.fleet.Unreachable(w.engine, clock.Now())
		}
		w.h.mu.Unlock()
		if !pause.For(w.ctx, w.h.params.ReportLag) {
			return
		}
	}
}

func (w *worker) report() (serving.Report, error) {
	server, live := w.h.dir.Server(w.engine)
	if !live {
		return serving.Report{}, errors.Wrap(errEngine, "the engine is gone")
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.h.params.Lease.Transit)
	defer cancel()
	w.h.counts.reports.Inc()
	report, err := w.h.engines.Report(ctx, server)
	if err == nil && !server.SameLife(report.Born) {
		return report, errors.Wrap(errEngine, "the report is of another process under the engine's id")
	}
	return report, err
}
