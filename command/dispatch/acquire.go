package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// acquire reserves capacity on a replica that holds all units of the request,
// and has missing units loaded first. Engines in tried, which have failed an attempt
// of the request, are skipped until a wake has confirmed what is loaded; tried is then
// cleared. acquire sets result.Cold if it had to wait for a load.
func (d *Dispatcher) acquire(ctx context.Context, req Request, tried map[string]bool, result *Result) (reservation, error) {
	for range maxAcquireRounds {
		index := d.tables.Config.Index()
		units, err := unitsOf(index, req)
		if err != nil {
			return reservation{}, err
		}
		if len(d.candidates(units, tried)) > 0 {
			found, err := d.awaitCapacity(ctx, req, units, tried)
			if err != nil || found.release != nil {
				return found, err
			}
		}
		result.Cold = true
		missing := d.firstMissing(index, units)
		if _, err := d.waker.Wake(ctx, missing); err != nil {
			if d.firstMissing(index, units) != missing && ctx.Err() == nil {
				continue // the adapter's model was unloaded in the meantime
			}
			return reservation{}, err
		}
		clear(tried)
		if err := d.awaitResident(ctx, index, units, missing); err != nil {
			return reservation{}, err
		}
	}
	return reservation{}, verdict.Refuse(verdict.ReasonNoReplica, "%s was loaded and gone again %d times", req.Model, maxAcquireRounds)
}

// reservation is capacity on a replica reserved for one request. release returns
// it; failed tells the balancer that the backend server was at fault.
type reservation struct {
	engine  table.EngineView
	release func(failed bool)
}

// awaitCapacity queues the request until a replica has capacity. It returns the
// zero reservation if no replica is left.
func (d *Dispatcher) awaitCapacity(ctx context.Context, req Request, units []backend.Unit, tried map[string]bool) (reservation, error) {
	deadline, _ := ctx.Deadline()
	waiter := admission.Waiter{
		Model: req.Model, Caller: req.Caller, Priority: req.Priority, Deadline: deadline,
		ServiceTime: d.minServiceTime(units, tried, req.MaxTokens),
	}
	var found reservation
	err := d.queue.Wait(ctx, waiter, func() bool {
		candidates := d.candidates(units, tried)
		if len(candidates) == 0 {
			return true // no replica is left: acquire has one loaded again
		}
		domain := d.tables.Members.Self().FailureDomain
		chosen, ok := d.balancer.Choose(candidates, domain, req.Session, time.Now())
		if ok {
			found = reservation{chosen, d.balancer.StartRequest(chosen.Engine)}
		}
		return ok
	})
	return found, err
}

// minServiceTime returns the observed duration of a request of the given number
// of tokens on the fastest replica, 0 if there is none.
func (d *Dispatcher) minServiceTime(units []backend.Unit, tried map[string]bool, tokens int) time.Duration {
	var best time.Duration
	for i, r := range d.candidates(units, tried) {
		if s := d.balancer.ServiceTime(r.Engine, tokens); i == 0 || s < best {
			best = s
		}
	}
	return best
}

// candidates returns the replicas that a request may be sent to.
func (d *Dispatcher) candidates(units []backend.Unit, tried map[string]bool) []table.EngineView {
	replicas := slices.DeleteFunc(d.replicas(d.tables.Config.Index(), units), func(e table.EngineView) bool { return tried[e.Engine] })
	return d.preferReachable(replicas)
}

// Run grants capacity to queued requests and scales up busy models whenever the
// state of an engine changes, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		_, changed := d.tables.Engines.Changes()
		d.queue.GrantWaiting()
		d.scaleUpBusy(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, minRunInterval) {
			return
		}
	}
}

// minRunInterval is the minimum time between two rounds of Run.
const minRunInterval = 20 * time.Millisecond

// maxAcquireRounds limits how often a request waits for a missing unit: once each
// for its model and its adapter, and once more each if it was unloaded in the
// meantime.
const maxAcquireRounds = 4

// unitsOf returns the units that an engine must hold to serve the request, the
// model first.
func unitsOf(index *declaration.Index, req Request) ([]backend.Unit, error) {
	model, found := index.Models[req.Model]
	if !found {
		return nil, verdict.Refuse(verdict.ReasonUnknownModel, "model %q is not declared", req.Model)
	}
	if model.MaxReplicas == 0 {
		return nil, verdict.Refuse(verdict.ReasonNoReplica, "operators allow no replica of %q", req.Model)
	}
	units := []backend.Unit{{Model: model.Name, Version: model.Version}}
	if req.Adapter == "" {
		return units, nil
	}
	adapter, found := index.Adapters[declaration.AdapterID{Model: req.Model, Adapter: req.Adapter}]
	if !found {
		return nil, verdict.Refuse(verdict.ReasonUnknownModel, "adapter %q of model %q is not declared", req.Adapter, req.Model)
	}
	return append(units, backend.Unit{Model: model.Name, Adapter: adapter.Name, Version: adapter.Version}), nil
}

// replicas returns the usable engines that hold all units and are not declared lost.
func (d *Dispatcher) replicas(index *declaration.Index, units []backend.Unit) []table.EngineView {
	var out []table.EngineView
	for _, e := range d.tables.Engines.All() {
		declared, known := index.Engines[e.Engine]
		if known && !declared.Lost && e.Usable() && holdsAll(e, units) {
			out = append(out, e)
		}
	}
	return out
}

// preferReachable drops replicas in failure domains without an instance known to
// be alive, unless no others exist: such a domain may be partitioned from this
// one, and the state of its replicas may be stale.
func (d *Dispatcher) preferReachable(replicas []table.EngineView) []table.EngineView {
	var out []table.EngineView
	for _, r := range replicas {
		if d.tables.Members.HasAlive(r.FailureDomain) {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return replicas
	}
	return out
}

func holdsAll(e table.EngineView, units []backend.Unit) bool {
	for _, u := range units {
		if !e.Resident(u) {
			return false
		}
	}
	return true
}

// firstMissing returns the model unit if no engine holds it or no adapter is
// required, else the adapter unit.
func (d *Dispatcher) firstMissing(index *declaration.Index, units []backend.Unit) backend.Unit {
	if len(units) == 1 || len(d.replicas(index, units[:1])) == 0 {
		return units[0]
	}
	return units[1]
}

// awaitResident waits until this instance's tables show the missing unit as
// resident, which may be a little later than the return of Wake. It fails after
// residentTimeout.
func (d *Dispatcher) awaitResident(ctx context.Context, index *declaration.Index, units []backend.Unit, missing backend.Unit) error {
	ctx, cancel := context.WithTimeout(ctx, residentTimeout)
	defer cancel()
	for {
		_, changed := d.tables.Engines.Changes()
		if len(d.replicas(index, []backend.Unit{missing})) > 0 || len(d.replicas(index, units)) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict.Refuse(verdict.ReasonNoReplica, "no word of the loaded replica of %s", missing.ID())
		}
	}
}

// residentTimeout limits the wait for the report of a finished load.
const residentTimeout = 5 * time.Second
