package wake

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/orderer"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// runWake tries to load the unit, repeatedly, for as long as a caller waits for it and the cause of
// the last failure may go away.
func (w *Waker) runWake(ctx context.Context, u backend.Unit, latest func() time.Time) (string, error) {
	w.env.Events.Record(event.Event{Kind: event.KindWake, Model: u.ID(), Detail: "version=" + u.Version})
	for {
		_, changed := w.env.Tables.Engines.Changes()
		engine, err := w.tryLoad(ctx, u, latest())
		if err == nil || !w.mayRecover(u, err) {
			return engine, err
		}
		if time.Until(latest()) < w.params.RetryInterval {
			return "", verdict.FromError(err).WithRetryAfter(w.params.RetryAfter)
		}
		if !awaitChange(ctx, changed, w.params.RetryInterval) {
			return "", verdict.Refuse(verdict.ReasonDeadline, "nobody waits for %s any more", u.ID())
		}
	}
}

// addReplica loads one more replica on an engine that has none. If there are more than the given
// number of replicas already, it returns no engine and no error. It makes a single attempt: unlike
// the first replica, an additional one is not worth waiting for.
func (w *Waker) addReplica(ctx context.Context, u backend.Unit, replicas int, latest time.Time) (string, error) {
	var engines []table.EngineView
	existing := 0
	for _, e := range w.env.Tables.Engines.All() {
		if _, found := e.Find(u.ID()); found {
			existing++
		} else {
			engines = append(engines, e)
		}
	}
	if existing > replicas {
		return "", nil
	}
	w.env.Events.Record(event.Event{Kind: event.KindWake, Model: u.ID(), Detail: fmt.Sprintf("version=%s replicas=%d", u.Version, replicas+1)})
	c, err := w.loadOnFirst(ctx, u, engines, latest)
	return c.Engine, err
}

// awaitChange waits until changed is closed, limit has elapsed or ctx ends, and reports whether ctx
// is still valid.
func awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// tryLoad loads the unit on the engine with the shortest expected wait or, if all slots of the
// model are bound, with one of the bound slots.
func (w *Waker) tryLoad(ctx context.Context, u backend.Unit, latest time.Time) (string, error) {
	c, err := w.loadOnFirst(ctx, u, w.env.Tables.Engines.All(), latest)
	if err == nil {
		return c.Engine, nil
	}
	if f := verdict.FromError(err); f.Reason == verdict.ReasonNoSlot {
		return w.loadWithBoundSlot(ctx, c, u, f.Engines, latest)
	}
	return "", err
}

// loadOnFirst tries the engines that could load the unit, in order of expected wait, and returns
// the one that loaded it. On an error that the other engines would return as well, it returns the
// engine that it tried last.
func (w *Waker) loadOnFirst(ctx context.Context, u backend.Unit, engines []table.EngineView, latest time.Time) (placement.Candidate, error) {
	index := w.env.Tables.Config.Index()
	memory, err := memoryOf(index, u)
	if err != nil {
		return placement.Candidate{}, err
	}
	req := placement.LoadRequest{Unit: u, MemoryBytes: memory, FailureDomain: w.env.Tables.Members.Self().FailureDomain}
	lastErr := error(verdict.Refuse(verdict.ReasonNoReplica, "no engine has room for %s", u.ID()).WithRetryAfter(w.params.RetryAfter))
	for i, c := range w.env.Policy.Rank(req, index, engines) {
		if i == w.params.EnginesPerAttempt || ctx.Err() != nil {
			break
		}
		if lastErr = w.loadOn(ctx, c.Engine, c.Orderer, u, latest); lastErr == nil {
			return c, nil
		}
		switch verdict.FromError(lastErr).Reason {
		case verdict.ReasonNoSlot, verdict.ReasonPlatform:
			return c, lastErr // the other engines would fail in the same way
		}
	}
	return placement.Candidate{}, lastErr
}

func memoryOf(index *declaration.Index, u backend.Unit) (int64, error) {
	if u.Adapter != "" {
		a, found := index.Adapters[declaration.AdapterID{Model: u.Model, Adapter: u.Adapter}]
		if !found {
			return 0, verdict.Refuse(verdict.ReasonUnknownModel, "adapter %s of model %s is not declared", u.Adapter, u.Model)
		}
		return int64(a.Memory), nil
	}
	m, found := index.Models[u.Model]
	if !found {
		return 0, verdict.Refuse(verdict.ReasonUnknownModel, "model %s is not declared", u.Model)
	}
	return int64(m.Memory), nil
}

// loadWithBoundSlot handles the case that all slots of the model are bound to other engines. One of
// these loads the unit or, if none can, one releases its slot and candidate c loads the unit.
func (w *Waker) loadWithBoundSlot(ctx context.Context, c placement.Candidate, u backend.Unit, bound []string, latest time.Time) (string, error) {
	var holders []table.EngineView
	for _, name := range bound {
		if e, known := w.env.Tables.Engines.Get(name); known && e.Usable() {
			holders = append(holders, e)
		}
	}
	for _, e := range holders {
		if w.loadOn(ctx, e.Engine, e.Orderer, u, latest) == nil {
			return e.Engine, nil
		}
	}
	for _, e := range holders {
		if w.orderYield(ctx, e.Engine, e.Orderer, u) != nil {
			continue
		}
		if err := w.loadOn(ctx, c.Engine, c.Orderer, u, latest); err == nil {
			return c.Engine, nil
		}
	}
	f := verdict.Refuse(verdict.ReasonNoReplica, "the replicas of %s that operators allow belong to %v, which cannot be reached or have no room", u.ID(), bound)
	f.Engines = bound
	return "", f.WithRetryAfter(w.params.RetryAfter)
}

func (w *Waker) slotHolders(model string) []table.EngineView {
	var out []table.EngineView
	for _, e := range w.env.Tables.Engines.All() {
		if slices.Contains(e.Held, model) && e.Orderer != "" && e.Usable() {
			out = append(out, e)
		}
	}
	return out
}

// loadOn loads the unit on the engine, after a stream of the weight store is available if the load
// needs one. latest is the time after which nobody waits for the unit.
func (w *Waker) loadOn(ctx context.Context, engine, ordererName string, u backend.Unit, latest time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	memory, err := memoryOf(w.env.Tables.Config.Index(), u)
	if err != nil {
		return err
	}
	view, _ := w.env.Tables.Engines.Get(engine)
	if err := w.acquireStream(ctx, view, u, memory, latest); err != nil {
		return err
	}
	return w.orderLoad(ctx, engine, ordererName, u)
}

// orderLoad requests the load from the engine's orderer, which may be this instance or another one.
func (w *Waker) orderLoad(ctx context.Context, engine, ordererName string, u backend.Unit) error {
	if w.orderers.Orderer(engine) != nil {
		return w.Load(ctx, engine, u)
	}
	address, err := w.ordererAddress(engine, ordererName)
	if err != nil {
		return err
	}
	residency, err := w.peers.Load(ctx, address, engine, u)
	w.mergeResidency(residency)
	return toFailure(err)
}

func (w *Waker) orderYield(ctx context.Context, engine, ordererName string, u backend.Unit) error {
	if w.orderers.Orderer(engine) != nil {
		return w.Yield(ctx, engine, u)
	}
	address, err := w.ordererAddress(engine, ordererName)
	if err != nil {
		return err
	}
	return toFailure(w.peers.Yield(ctx, address, engine, u))
}

func (w *Waker) ordererAddress(engine, ordererName string) (string, error) {
	member, found := w.env.Tables.Members.Get(ordererName)
	if !found || member.State == table.Dead {
		return "", verdict.Refuse(verdict.ReasonNotOrderer, "orderer %s of %s does not answer", ordererName, engine)
	}
	return member.PeerAddress, nil
}

// Load loads the unit on an engine that this instance orders. Peers call it during a wake.
func (w *Waker) Load(ctx context.Context, engine string, u backend.Unit) error {
	o := w.orderers.Orderer(engine)
	if o == nil {
		return toFailure(orderer.ErrNotOrderer)
	}
	memory, err := memoryOf(w.env.Tables.Config.Index(), u)
	if err != nil {
		return err
	}
	return toFailure(o.Load(ctx, u, memory))
}

// Yield releases the slot of the unit's model on an engine that this instance orders. Peers call it
// to move a slot to another engine.
func (w *Waker) Yield(ctx context.Context, engine string, u backend.Unit) error {
	o := w.orderers.Orderer(engine)
	if o == nil {
		return toFailure(orderer.ErrNotOrderer)
	}
	return toFailure(o.Yield(ctx, u.Model))
}

// toFailure converts an error of an orderer into a verdict.Failure. Since a load runs no request,
// the verdict of errors of other kinds is NotRun.
func toFailure(err error) error {
	var noSlot *placement.NoSlotError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &noSlot):
		f := verdict.Refuse(verdict.ReasonNoSlot, "%v", err)
		f.Engines = noSlot.Engines
		return f
	case errors.Is(err, orderer.ErrNotOrderer), errors.Is(err, peer.ErrUnreachable):
		return verdict.Refuse(verdict.ReasonNotOrderer, "%v", err)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown), errors.Is(err, store.ErrConflict):
		return verdict.Refuse(verdict.ReasonPlatform, "%v", err)
	default:
		return verdict.FromError(err).WithVerdict(verdict.NotRun)
	}
}
