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

// find returns a replica that has all that the request needs, after having it
// loaded if need be. Those that refused the request before are passed over
// until a wake has confirmed what is loaded.
func (d *Dispatcher) find(ctx context.Context, req Request, refused map[string]bool, result *Result) (room, error) {
	for range maxFinds {
		index := d.tables.Config.Index()
		units, err := unitsOf(index, req)
		if err != nil {
			return room{}, err
		}
		if len(d.candidates(units, refused)) > 0 {
			found, err := d.await(ctx, req, units, refused)
			if err != nil || found.done != nil {
				return found, err
			}
		}
		result.Cold = true
		missing := d.firstMissing(index, units)
		if _, err := d.waker.Wake(ctx, missing); err != nil {
			if d.firstMissing(index, units) != missing && ctx.Err() == nil {
				continue // the adapter's model has gone meanwhile
			}
			return room{}, err
		}
		clear(refused)
		if err := d.awaitNews(ctx, index, units, missing); err != nil {
			return room{}, err
		}
	}
	return room{}, verdict.Refuse(verdict.ReasonNoReplica, "%s was loaded and gone again %d times", req.Model, maxFinds)
}

// room is a place on a replica that was taken for a request. done gives it back.
type room struct {
	engine table.EngineView
	done   func(failed bool)
}

// await waits in line for room on a replica. It returns no room when there is
// no replica any more.
func (d *Dispatcher) await(ctx context.Context, req Request, units []backend.Unit, refused map[string]bool) (room, error) {
	deadline, _ := ctx.Deadline()
	waiter := admission.Waiter{
		Model: req.Model, Caller: req.Caller, Priority: req.Priority, Deadline: deadline,
		Service: d.soonest(units, refused, req.MaxTokens),
	}
	var found room
	err := d.line.Wait(ctx, waiter, func() bool {
		candidates := d.candidates(units, refused)
		if len(candidates) == 0 {
			return true // to be woken again
		}
		domain := d.tables.Members.Self().FailureDomain
		chosen, ok := d.balancer.Choose(candidates, domain, req.Session, time.Now())
		if ok {
			found = room{chosen, d.balancer.Sent(chosen.Engine)}
		}
		return ok
	})
	return found, err
}

// soonest returns the observed time of a request on the fastest replica.
func (d *Dispatcher) soonest(units []backend.Unit, refused map[string]bool, tokens int) time.Duration {
	var best time.Duration
	for i, r := range d.candidates(units, refused) {
		if s := d.balancer.Service(r.Engine, tokens); i == 0 || s < best {
			best = s
		}
	}
	return best
}

// candidates lists the replicas that a request may be sent to.
func (d *Dispatcher) candidates(units []backend.Unit, refused map[string]bool) []table.EngineView {
	replicas := slices.DeleteFunc(d.replicas(d.tables.Config.Index(), units), func(e table.EngineView) bool { return refused[e.Engine] })
	return d.preferReachable(replicas)
}

// Run serves requests in line whenever an engine has news, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		_, changed := d.tables.Engines.Mark()
		d.line.Poke()
		d.growBusy(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, pokeGap) {
			return
		}
	}
}

// pokeGap is the shortest pause between two looks for news of engines.
const pokeGap = 20 * time.Millisecond

// maxFinds bounds how often a request waits for what it needs: its model, its
// adapter, and each once more if it was unloaded meanwhile.
const maxFinds = 4

// unitsOf lists what an engine must hold for the request, the model first.
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

// replicas lists the engines that hold all units and stay.
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

// preferReachable leaves out replicas in failure domains of which no instance
// is known to be alive, unless there are no others: their domain may be cut
// off, and what is known of them old.
func (d *Dispatcher) preferReachable(replicas []table.EngineView) []table.EngineView {
	var out []table.EngineView
	for _, r := range replicas {
		if d.tables.Members.Populated(r.FailureDomain) {
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

// firstMissing returns the model if no engine has it, else the adapter.
func (d *Dispatcher) firstMissing(index *declaration.Index, units []backend.Unit) backend.Unit {
	if len(units) == 1 || len(d.replicas(index, units[:1])) == 0 {
		return units[0]
	}
	return units[1]
}

// awaitNews waits until this instance has heard that the unit is resident,
// which it may learn a little later than that the wake is done.
func (d *Dispatcher) awaitNews(ctx context.Context, index *declaration.Index, units []backend.Unit, missing backend.Unit) error {
	ctx, cancel := context.WithTimeout(ctx, newsLimit)
	defer cancel()
	for {
		_, changed := d.tables.Engines.Mark()
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

// newsLimit is how long word of a finished load may take to get here.
const newsLimit = 5 * time.Second
