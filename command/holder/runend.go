package holder

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// An engine refuses orders while an unload waits for its running requests. The instances that run them know when they
// end: the holder asks them, and sends the next order when the last one has ended. The answers only decide when an
// order is sent. Whether it is carried out is decided by the engine and the sequence number, as for all orders.

// RunsQuery asks an instance to send nothing more to a copy that is being unloaded, and to answer when its last request
// on it has ended, or after Wait.
type RunsQuery struct {
	Fence         int64
	Engine, Model string
	// Born is when the process of the engine started, 0 if it does not announce that.
	Born int64
	Wait time.Duration
}

// RunsAnswer is the answer of an instance. Waited is whether requests ran when it was asked, Running the number that
// still run.
type RunsAnswer struct {
	Waited  bool
	Running int
}

// RunsAsker sends a query to the instance at an address and waits for its answer until ctx ends.
type RunsAsker func(ctx context.Context, address string, q RunsQuery) (RunsAnswer, error)

// SetRunsAsker sets how instances are asked for the end of their requests. Without it, orders are repeated until the
// engine accepts them. It must be called before Run.
func (h *Holder) SetRunsAsker(ask RunsAsker) { h.askRuns = ask }

const (
	// runsQueryWait is the longest wait of one query, and runsQuerySlack how much later its answer may arrive. An
	// instance that is gone costs about as much time as the longest pause between retries.
	runsQueryWait  = 300 * time.Millisecond
	runsQuerySlack = 100 * time.Millisecond
	// runsProbeInterval is how often an order is tried although instances report running requests, since a report may
	// be wrong.
	runsProbeInterval = 2 * time.Second
	// maxRunsQueries bounds the instances that are asked for one unload. The retries of the order cover the others.
	maxRunsQueries = 32
)

// runEnds decides when the order that follows an unload is sent, by what instances answer about the requests that the
// unload waits for.
type runEnds struct {
	// unloadedAt is when the unload was accepted, and endedAt when the last request ended that it waited for, zero if
	// none is known.
	unloadedAt, endedAt time.Time
	// pending is the number of instances that have not answered that their requests have ended.
	pending int
	// silent is whether an instance did not answer: its requests may still run.
	silent bool
}

// answered records the answer of an instance, and reports whether it must be asked again.
func (r *runEnds) answered(a RunsAnswer, now time.Time) (again bool) {
	if a.Running > 0 {
		return true
	}
	r.pending--
	if a.Waited {
		r.endedAt = now
	}
	return false
}

// failed records that an instance does not answer. Nothing is known about its requests then.
func (r *runEnds) failed() {
	r.pending--
	r.silent = true
}

// unloadedBy returns when the engine is expected to accept the next order. idle is how long it takes to unload a copy
// without requests, and afterRuns how long it takes from the end of the last request.
func (r *runEnds) unloadedBy(idle, afterRuns time.Duration) time.Time {
	switch earliest := r.unloadedAt.Add(idle); {
	case r.pending > 0:
		return earliest.Add(runsProbeInterval)
	case r.endedAt.IsZero() || r.endedAt.Add(afterRuns).Before(earliest):
		return earliest
	default:
		return r.endedAt.Add(afterRuns)
	}
}

// retryAt returns when to repeat an order that was refused at the given time. pause is the pause for requests of which
// nothing is known.
func (r *runEnds) retryAt(refused time.Time, pause, afterRuns time.Duration) time.Time {
	switch {
	case r.pending > 0:
		return refused.Add(max(pause, runsProbeInterval))
	case r.endedAt.After(refused): // ended since then
		return r.endedAt.Add(afterRuns)
	default:
		return refused.Add(pause)
	}
}

// cause names what is known of the requests that an unload waits for.
func (r *runEnds) cause() string {
	switch {
	case r.silent:
		return "silent"
	case r.pending > 0:
		return "running"
	case !r.endedAt.IsZero():
		return "ended"
	default:
		return "none"
	}
}

// runWatch follows the requests that an unload waits for. A nil runWatch is one of no unload.
type runWatch struct {
	stop    context.CancelFunc
	changed chan struct{}

	mu   sync.Mutex
	ends runEnds // guarded by mu
}

// watchRuns asks all instances that are known to run requests on a unit whose unload was just accepted. The caller must
// stop the returned watch.
func (w *worker) watchRuns(unit serving.Unit, accepted time.Time) *runWatch {
	ctx, stop := context.WithCancel(w.ctx)
	w.h.mu.Lock()
	query, addresses := w.h.runsQuery(w.engine, unit.Model, accepted)
	w.h.mu.Unlock()
	watch := &runWatch{stop: stop, changed: make(chan struct{}, 1), ends: runEnds{unloadedAt: accepted, pending: len(addresses)}}
	for _, address := range addresses {
		go watch.follow(ctx, w.h.askRuns, address, query)
	}
	return watch
}

// follow asks one instance until its requests have ended.
func (watch *runWatch) follow(ctx context.Context, ask RunsAsker, address string, q RunsQuery) {
	for again := true; again; {
		askedAt := clock.Now()
		call, cancel := context.WithTimeout(ctx, q.Wait+runsQuerySlack)
		answer, err := ask(call, address, q)
		cancel()
		if ctx.Err() != nil {
			return
		}
		watch.mu.Lock()
		if err != nil {
			watch.ends.failed()
			again = false
		} else {
			again = watch.ends.answered(answer, clock.Now())
		}
		watch.mu.Unlock()
		if again && !pause.For(ctx, clock.Until(askedAt.Add(q.Wait))) { // the instance answered early: it has too many queries
			return
		}
	}
	pause.Wake(watch.changed)
}

// wait waits until the time that at returns, which may change with each answer. It returns false if ctx ended first.
func (watch *runWatch) wait(ctx context.Context, at func(*runEnds) time.Time) bool {
	for {
		watch.mu.Lock()
		remaining := clock.Until(at(&watch.ends))
		watch.mu.Unlock()
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		if !pause.Until(ctx, remaining, watch.changed) {
			return false
		}
	}
}

// state returns what is known now, as of no unload for a nil watch.
func (watch *runWatch) state() runEnds {
	if watch == nil {
		return runEnds{}
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.ends
}

// end stops the queries of a watch, which may be nil.
func (watch *runWatch) end() {
	if watch != nil {
		watch.stop()
	}
}

// awaitUnloaded waits until the engine is expected to accept the order that follows an unload. It returns false if the
// worker was stopped. A nil watch is one of no unload.
func (w *worker) awaitUnloaded(watch *runWatch) bool {
	if watch == nil {
		return w.ctx.Err() == nil
	}
	idle, afterRuns := w.unloadEstimates()
	return watch.wait(w.ctx, func(r *runEnds) time.Time { return r.unloadedBy(idle, afterRuns) })
}

// pauseRefused waits until an order is repeated that was just refused. It returns false if the worker was stopped.
func (w *worker) pauseRefused(watch *runWatch, wait time.Duration) bool {
	if watch == nil {
		return pause.For(w.ctx, wait)
	}
	refused := clock.Now()
	_, afterRuns := w.unloadEstimates()
	return watch.wait(w.ctx, func(r *runEnds) time.Time { return r.retryAt(refused, wait, afterRuns) })
}

func (w *worker) unloadEstimates() (idle, afterRuns time.Duration) {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	return w.h.fleet.UnloadTime(), w.h.fleet.UnloadTimeAfterRuns()
}

// runsQuery returns the query about a model that an engine unloads, and the addresses of the instances to ask: those
// that have reported requests on it, or were directed to it since. h.mu must be held.
func (h *Holder) runsQuery(engine, model string, now time.Time) (q RunsQuery, addresses []string) {
	e := h.fleet.Engine(engine)
	if h.askRuns == nil || e == nil {
		return q, nil
	}
	record, _ := h.lease.Record()
	q = RunsQuery{Fence: record.Fence, Engine: engine, Model: model, Born: e.Server.Born, Wait: runsQueryWait}
	for name, i := range h.reports.instances {
		if i.address == "" || len(addresses) == maxRunsQueries {
			continue
		}
		if i.runs(engine, model) || h.uses.recent(use{engine, model, name}, now) {
			addresses = append(addresses, i.address)
		}
	}
	return q, addresses
}

// runs reports whether the instance has reported requests for a model on an engine.
func (i *instanceReport) runs(engine, model string) bool {
	for _, r := range i.running {
		if r.Engine == engine && r.Unit.Model == model {
			return true
		}
	}
	return false
}

// use is the use of an engine's copy of a model by an instance.
type use struct{ engine, model, instance string }

// recentUses are uses that the instances' reports may not include yet.
type recentUses struct {
	until   map[use]time.Time // when a report includes the use or its end
	sweptAt time.Time
}

// maxRecentUses bounds the number of recent uses. Further ones are not recorded.
const maxRecentUses = 8192

// record records that an instance was directed to a copy that is ready at the given time, or has started a request on
// it.
func (r *recentUses) record(u use, ready, now time.Time) {
	if u.engine == "" || u.instance == "" {
		return
	}
	if now.Sub(r.sweptAt) >= reportLifetime {
		r.sweptAt = now
		maps.DeleteFunc(r.until, func(_ use, until time.Time) bool { return !now.Before(until) })
	}
	if len(r.until) < maxRecentUses {
		r.until[u] = ready.Add(reportLifetime)
	}
}

// recent reports whether a use may be missing in the instance's report.
func (r *recentUses) recent(u use, now time.Time) bool { return now.Before(r.until[u]) }

// recordFound records the use of the copy that the holder has named to an instance. h.mu must be held.
func (h *Holder) recordFound(r Request, found replicas.Found, now time.Time) {
	ready := now
	if found.Ready.After(now) {
		ready = found.Ready
	}
	h.uses.record(use{found.Engine, r.Unit.Model, r.Waiting.Instance}, ready, now)
}
