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

// hold tries to have the unit loaded, in rounds, for as long as somebody waits
// and there is a prospect.
func (w *Waker) hold(ctx context.Context, u backend.Unit, latest func() time.Time) (string, error) {
	w.env.Events.Record(event.Event{Kind: event.KindWake, Model: u.ID(), Detail: "version=" + u.Version})
	for {
		_, changed := w.env.Tables.Engines.Mark()
		engine, err := w.round(ctx, u, latest())
		if err == nil || !w.prospect(u, err) {
			return engine, err
		}
		if time.Until(latest()) < w.params.Round {
			return "", verdict.Of(err).After(w.params.RetryAfter)
		}
		if !awaitChange(ctx, changed, w.params.Round) {
			return "", verdict.Refuse(verdict.ReasonDeadline, "nobody waits for %s any more", u.ID())
		}
	}
}

// grow loads one replica more than so many, on an engine that has none. It asks
// once: what stands in the way of another replica is no reason to wait.
func (w *Waker) grow(ctx context.Context, u backend.Unit, replicas int, latest time.Time) (string, error) {
	var without []table.EngineView
	have := 0
	for _, e := range w.env.Tables.Engines.All() {
		if _, found := e.Find(u.ID()); found {
			have++
		} else {
			without = append(without, e)
		}
	}
	if have > replicas {
		return "", nil
	}
	w.env.Events.Record(event.Event{Kind: event.KindWake, Model: u.ID(), Detail: fmt.Sprintf("version=%s replicas=%d", u.Version, replicas+1)})
	c, err := w.firstOf(ctx, u, without, latest)
	return c.Engine, err
}

// awaitChange waits for news, at most for limit, and reports whether ctx goes on.
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

// round has the unit loaded on the soonest engine, or on one that holds a slot
// when all slots are bound.
func (w *Waker) round(ctx context.Context, u backend.Unit, latest time.Time) (string, error) {
	c, err := w.firstOf(ctx, u, w.env.Tables.Engines.All(), latest)
	if err == nil {
		return c.Engine, nil
	}
	if f := verdict.Of(err); f.Reason == verdict.ReasonNoSlot {
		return w.useBoundSlot(ctx, c, u, f.Engines, latest)
	}
	return "", err
}

// firstOf asks the engines that could take the unit, the soonest first, and
// returns the one that did, or the one that stopped the search.
func (w *Waker) firstOf(ctx context.Context, u backend.Unit, engines []table.EngineView, latest time.Time) (placement.Candidate, error) {
	index := w.env.Tables.Config.Index()
	memory, err := memoryOf(index, u)
	if err != nil {
		return placement.Candidate{}, err
	}
	need := placement.LoadRequest{Unit: u, MemoryBytes: memory, FailureDomain: w.env.Tables.Members.Self().FailureDomain}
	last := error(verdict.Refuse(verdict.ReasonNoReplica, "no engine has room for %s", u.ID()).After(w.params.RetryAfter))
	for i, c := range w.env.Policy.Rank(need, index, engines) {
		if i == w.params.Tries || ctx.Err() != nil {
			break
		}
		if last = w.load(ctx, c.Engine, c.Orderer, u, latest); last == nil {
			return c, nil
		}
		switch verdict.Of(last).Reason {
		case verdict.ReasonNoSlot, verdict.ReasonPlatform:
			return c, last // the other engines would meet the same
		}
	}
	return placement.Candidate{}, last
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

// useBoundSlot is for when all slots are bound to other engines: one of those
// loads the unit, or, if it has no room, yields the slot to the candidate.
func (w *Waker) useBoundSlot(ctx context.Context, c placement.Candidate, u backend.Unit, bound []string, latest time.Time) (string, error) {
	var holders []table.EngineView
	for _, name := range bound {
		if e, known := w.env.Tables.Engines.Get(name); known && e.Usable() {
			holders = append(holders, e)
		}
	}
	for _, e := range holders {
		if w.load(ctx, e.Engine, e.Orderer, u, latest) == nil {
			return e.Engine, nil
		}
	}
	for _, e := range holders {
		if w.yield(ctx, e.Engine, e.Orderer, u) != nil {
			continue
		}
		if err := w.load(ctx, c.Engine, c.Orderer, u, latest); err == nil {
			return c.Engine, nil
		}
	}
	f := verdict.Refuse(verdict.ReasonNoReplica, "the replicas of %s that operators allow belong to %v, which cannot be reached or have no room", u.ID(), bound)
	f.Engines = bound
	return "", f.After(w.params.RetryAfter)
}

func (w *Waker) holders(model string) []table.EngineView {
	var out []table.EngineView
	for _, e := range w.env.Tables.Engines.All() {
		if slices.Contains(e.Held, model) && e.Orderer != "" && e.Usable() {
			out = append(out, e)
		}
	}
	return out
}

// load has the unit loaded on an engine, from the weight store once there is a
// stream, by the time after which nobody waits for it.
func (w *Waker) load(ctx context.Context, engine, ordererName string, u backend.Unit, latest time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	memory, err := memoryOf(w.env.Tables.Config.Index(), u)
	if err != nil {
		return err
	}
	view, _ := w.env.Tables.Engines.Get(engine)
	if err := w.acquire(ctx, view, u, memory, latest); err != nil {
		return err
	}
	return w.order(ctx, engine, ordererName, u)
}

// order asks an engine's orderer, here or elsewhere, to load the unit.
func (w *Waker) order(ctx context.Context, engine, ordererName string, u backend.Unit) error {
	if w.orders.Orderer(engine) != nil {
		return w.Load(ctx, engine, u)
	}
	address, err := w.ordererAddress(engine, ordererName)
	if err != nil {
		return err
	}
	residency, err := w.peers.Load(ctx, address, engine, u)
	w.learn(residency)
	return typed(err)
}

func (w *Waker) yield(ctx context.Context, engine, ordererName string, u backend.Unit) error {
	if w.orders.Orderer(engine) != nil {
		return w.Yield(ctx, engine, u)
	}
	address, err := w.ordererAddress(engine, ordererName)
	if err != nil {
		return err
	}
	return typed(w.peers.Yield(ctx, address, engine, u))
}

func (w *Waker) ordererAddress(engine, ordererName string) (string, error) {
	member, found := w.env.Tables.Members.Get(ordererName)
	if !found || member.State == table.Dead {
		return "", verdict.Refuse(verdict.ReasonNotOrderer, "orderer %s of %s does not answer", ordererName, engine)
	}
	return member.PeerAddress, nil
}

// Load does the orderer's part of a wake.
func (w *Waker) Load(ctx context.Context, engine string, u backend.Unit) error {
	o := w.orders.Orderer(engine)
	if o == nil {
		return typed(orderer.ErrNotOrderer)
	}
	memory, err := memoryOf(w.env.Tables.Config.Index(), u)
	if err != nil {
		return err
	}
	return typed(o.Load(ctx, u, memory))
}

// Yield does the orderer's part of moving a slot.
func (w *Waker) Yield(ctx context.Context, engine string, u backend.Unit) error {
	o := w.orders.Orderer(engine)
	if o == nil {
		return typed(orderer.ErrNotOrderer)
	}
	return typed(o.Yield(ctx, u.Model))
}

// typed turns the errors of orderers into failures. Loading runs no request.
func typed(err error) error {
	var none *placement.NoSlotError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &none):
		f := verdict.Refuse(verdict.ReasonNoSlot, "%v", err)
		f.Engines = none.Engines
		return f
	case errors.Is(err, orderer.ErrNotOrderer), errors.Is(err, peer.ErrUnreachable):
		return verdict.Refuse(verdict.ReasonNotOrderer, "%v", err)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown), errors.Is(err, store.ErrConflict):
		return verdict.Refuse(verdict.ReasonPlatform, "%v", err)
	default:
		return verdict.Of(err).WithVerdict(verdict.NotRun)
	}
}
