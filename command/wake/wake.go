// Package wake gets a cold model loaded. All requests of an instance that need
// the same unit share one wake, and all instances send theirs to one holder,
// so that a burst at every instance becomes one order.
//
// The holder is chosen by rendezvous hashing and is a matter of efficiency
// only: two holders, chosen under differing views, meet the same slots.
package wake

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/orderer"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// Params bound a wake.
type Params struct {
	// Limit is the longest that one wake may take.
	Limit time.Duration
	// Tries is how many engines a holder asks before it gives up.
	Tries int
	// RetryAfter is told to callers when no replica can be had now.
	RetryAfter time.Duration
}

// Waker has units loaded.
type Waker struct {
	params Params
	env    *orderer.Environment
	orders *orderer.Manager
	peers  *peer.Client

	asking  singleflight.Group // wakes asked for by this instance
	holding singleflight.Group // wakes that this instance holds
}

// NewWaker returns a waker that orders through orders where this instance is
// the orderer, and through peers elsewhere.
func NewWaker(params Params, env *orderer.Environment, orders *orderer.Manager, peers *peer.Client) *Waker {
	return &Waker{params: params, env: env, orders: orders, peers: peers}
}

// Wake has at least one replica of u loaded and returns its engine. It is
// given up for this caller when ctx ends; the load goes on for the others.
func (w *Waker) Wake(ctx context.Context, u backend.Unit) (string, error) {
	return share(ctx, &w.asking, u, func() (string, error) {
		shared, cancel := context.WithTimeout(context.Background(), w.params.Limit)
		defer cancel()
		return w.ask(shared, u)
	})
}

// Hold does the holder's part of a wake.
func (w *Waker) Hold(ctx context.Context, u backend.Unit) (string, error) {
	return share(ctx, &w.holding, u, func() (string, error) {
		shared, cancel := context.WithTimeout(context.Background(), w.params.Limit)
		defer cancel()
		return w.hold(shared, u)
	})
}

// share runs f once for all callers that come while it runs.
func share(ctx context.Context, group *singleflight.Group, u backend.Unit, f func() (string, error)) (string, error) {
	done := group.DoChan(u.ID()+"@"+u.Version, func() (any, error) { return f() })
	select {
	case result := <-done:
		engine, _ := result.Val.(string)
		return engine, result.Err
	case <-ctx.Done():
		return "", verdict.Refuse(verdict.ReasonDeadline, "%s was not loaded in time", u.ID())
	}
}

// ask sends the wake to its holder; where that one does not answer, this
// instance holds it itself.
func (w *Waker) ask(ctx context.Context, u backend.Unit) (string, error) {
	self := w.env.Tables.Members.Self()
	holder := w.holder(u)
	if holder.Name == "" || holder.Name == self.Name {
		return w.Hold(ctx, u)
	}
	engine, err := w.peers.Wake(ctx, holder.PeerAddress, peer.WakeArgs{Unit: u, Replicas: 1})
	if errors.Is(err, peer.ErrUnreachable) && ctx.Err() == nil {
		return w.Hold(ctx, u)
	}
	return engine, err
}

// holder chooses the failure domain of an engine that holds a slot of the
// model, or else one of those allowed, and an instance in it.
func (w *Waker) holder(u backend.Unit) table.Member {
	model, found := w.env.Tables.Config.Index().Models[u.Model]
	if !found {
		return table.Member{}
	}
	domain := w.homeDomain(model)
	members := w.env.Tables.Members.AliveIn(domain)
	chosen := rendezvous.Choose(u.ID(), table.Names(members))
	member, _ := w.env.Tables.Members.Get(chosen)
	return member
}

func (w *Waker) homeDomain(model *declaration.Model) string {
	var holding, alive []string
	for _, e := range w.env.Tables.Engines.All() {
		if slices.Contains(e.Held, model.Name) && w.populated(e.FailureDomain) {
			holding = append(holding, e.FailureDomain)
		}
	}
	if len(holding) > 0 {
		return rendezvous.Choose(model.Name, holding)
	}
	for _, m := range w.env.Tables.Members.Alive() {
		if model.AllowedIn(m.FailureDomain) {
			alive = append(alive, m.FailureDomain)
		}
	}
	return rendezvous.Choose(model.Name, alive)
}

func (w *Waker) populated(domain string) bool {
	return len(w.env.Tables.Members.AliveIn(domain)) > 0
}

// hold tries the engines that could take the unit, the soonest first.
func (w *Waker) hold(ctx context.Context, u backend.Unit) (string, error) {
	index := w.env.Tables.Config.Index()
	memory, err := memoryOf(index, u)
	if err != nil {
		return "", err
	}
	w.env.Events.Record(event.Event{Kind: event.KindWake, Model: u.ID(), Detail: "version=" + u.Version})
	need := placement.Need{Unit: u, MemoryBytes: memory, FailureDomain: w.env.Tables.Members.Self().FailureDomain}
	last := error(verdict.Refuse(verdict.ReasonNoReplica, "no engine has room for %s", u.ID()).After(w.params.RetryAfter))
	for i, c := range w.env.Policy.Rank(need, index, w.env.Tables.Engines.All()) {
		if i == w.params.Tries || ctx.Err() != nil {
			break
		}
		err := w.load(ctx, c.Engine, c.Orderer, u, memory)
		if err == nil {
			return c.Engine, nil
		}
		last = err
		if verdict.Of(err).Reason == verdict.ReasonNoSlot {
			return w.useBoundSlot(ctx, c, u, memory)
		}
	}
	return "", last
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
func (w *Waker) useBoundSlot(ctx context.Context, c placement.Candidate, u backend.Unit, memory int64) (string, error) {
	holders := w.holders(u.Model)
	for _, e := range holders {
		if w.load(ctx, e.Engine, e.Orderer, u, memory) == nil {
			return e.Engine, nil
		}
	}
	for _, e := range holders {
		if w.yield(ctx, e.Engine, e.Orderer, u) != nil {
			continue
		}
		if err := w.load(ctx, c.Engine, c.Orderer, u, memory); err == nil {
			return c.Engine, nil
		}
	}
	f := verdict.Refuse(verdict.ReasonNoReplica, "all replicas of %s that operators allow are placed where they cannot be reached or loaded", u.Model)
	return "", f.After(w.params.RetryAfter)
}

func (w *Waker) holders(model string) []table.EngineView {
	var out []table.EngineView
	for _, e := range w.env.Tables.Engines.All() {
		if slices.Contains(e.Held, model) && e.Orderer != "" && !e.Leaving {
			out = append(out, e)
		}
	}
	return out
}

// load asks an engine's orderer, here or elsewhere, to load the unit.
func (w *Waker) load(ctx context.Context, engine, ordererName string, u backend.Unit, memory int64) error {
	if o := w.orders.Orderer(engine); o != nil {
		return typed(o.Load(ctx, u, memory))
	}
	member, found := w.env.Tables.Members.Get(ordererName)
	if !found || member.State == table.Dead {
		return verdict.Refuse(verdict.ReasonNotOrderer, "orderer %s of %s does not answer", ordererName, engine)
	}
	return typed(w.peers.Load(ctx, member.PeerAddress, engine, u))
}

func (w *Waker) yield(ctx context.Context, engine, ordererName string, u backend.Unit) error {
	if o := w.orders.Orderer(engine); o != nil {
		return typed(o.Yield(ctx, u.Model))
	}
	member, found := w.env.Tables.Members.Get(ordererName)
	if !found || member.State == table.Dead {
		return verdict.Refuse(verdict.ReasonNotOrderer, "orderer %s of %s does not answer", ordererName, engine)
	}
	return typed(w.peers.Yield(ctx, member.PeerAddress, engine, u))
}

// Load does the orderer's part of a wake, for a holder elsewhere.
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
	switch {
	case err == nil:
		return nil
	case errors.Is(err, placement.ErrNoSlot):
		return verdict.Refuse(verdict.ReasonNoSlot, "%v", err)
	case errors.Is(err, orderer.ErrNotOrderer):
		return verdict.Refuse(verdict.ReasonNotOrderer, "%v", err)
	default:
		return verdict.Of(err).WithVerdict(verdict.NotRun)
	}
}
