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
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/orderer"
	"github.com/martenport/martenport/command/weights"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// Params bound a wake.
type Params struct {
	// Tries is how many engines a holder asks in one round.
	Tries int
	// Slice is the longest that one call to a holder waits. Instances whose
	// requests still wait call again, so that a holder knows within a slice
	// that nobody waits any more.
	Slice time.Duration
	// Round is the longest pause between two rounds of a holder that found no
	// engine but may find one soon.
	Round time.Duration
	// RetryAfter is told to callers when no replica can be had now.
	RetryAfter time.Duration
}

// DefaultParams returns the bounds used unless set otherwise.
func DefaultParams() Params {
	return Params{Tries: 4, Slice: 5 * time.Second, Round: 500 * time.Millisecond, RetryAfter: 2 * time.Second}
}

// Waker has units loaded.
type Waker struct {
	params Params
	env    *orderer.Environment
	orders *orderer.Manager
	peers  *peer.Client
	gate   *weights.Gate

	asking  flights // wakes asked for by this instance
	holding flights // wakes that this instance holds
}

// NewWaker returns a waker that orders through orders where this instance is
// the orderer, and through peers elsewhere.
func NewWaker(params Params, env *orderer.Environment, orders *orderer.Manager, peers *peer.Client) *Waker {
	return &Waker{params: params, env: env, orders: orders, peers: peers, gate: weights.NewGate(weights.DefaultParams())}
}

// flightID names a unit in its version.
func flightID(u backend.Unit) string { return u.ID() + "@" + u.Version }

// LoadTime is the expected time of a load that finds nothing cached.
func (w *Waker) LoadTime(memory int64) time.Duration {
	return w.env.Policy.LoadTime(backend.TierRemote, memory)
}

// Grow has one replica more than so many loaded. All instances that see the
// same number ask the holder for the same one.
func (w *Waker) Grow(ctx context.Context, u backend.Unit, replicas int) error {
	latest, _ := ctx.Deadline()
	_, err := w.askOnce(ctx, u, replicas, latest)
	return err
}

// Wake has at least one replica of u loaded and returns its engine. ctx has a
// deadline; the load goes on for others that wait longer.
func (w *Waker) Wake(ctx context.Context, u backend.Unit) (string, error) {
	latest, limited := ctx.Deadline()
	if !limited {
		return "", verdict.Refuse(verdict.ReasonInvalid, "a wake needs a deadline")
	}
	return w.asking.join(ctx, flightID(u), latest, 0, func(ctx context.Context, latest func() time.Time) (string, error) {
		return w.ask(ctx, u, latest)
	})
}

// Hold does the holder's part of a wake for an instance that has use for it
// until latest and asks again when ctx ends before. replicas is 0 for a first
// replica, else how many there are already.
func (w *Waker) Hold(ctx context.Context, u backend.Unit, replicas int, latest time.Time) (string, error) {
	id := flightID(u) + "/" + strconv.Itoa(replicas)
	return w.holding.join(ctx, id, latest, askAgainGrace, func(ctx context.Context, latest func() time.Time) (string, error) {
		if replicas > 0 {
			return w.grow(ctx, u, replicas, latest())
		}
		return w.hold(ctx, u, latest)
	})
}

// ask calls the holder, slice after slice, until the wake is done or refused.
// Where the holder does not answer, this instance holds the wake itself.
func (w *Waker) ask(ctx context.Context, u backend.Unit, latest func() time.Time) (string, error) {
	for {
		engine, err := w.askOnce(ctx, u, 0, latest())
		expired := err != nil && verdict.Of(err).Reason == verdict.ReasonDeadline
		if !expired || ctx.Err() != nil || !time.Now().Before(latest()) {
			return engine, err
		}
	}
}

func (w *Waker) askOnce(ctx context.Context, u backend.Unit, replicas int, latest time.Time) (string, error) {
	sliceEnd := time.Now().Add(w.params.Slice)
	if latest.Before(sliceEnd) {
		sliceEnd = latest
	}
	slice, cancel := context.WithDeadline(ctx, sliceEnd)
	defer cancel()
	holder := w.holder(u)
	if holder.Name != "" && holder.Name != w.env.Instance {
		args := peer.WakeArgs{Unit: u, LatestMS: time.Until(latest).Milliseconds(), Replicas: replicas}
		reply, err := w.peers.Wake(slice, holder.PeerAddress, args)
		w.learn(reply.Residency)
		switch {
		case !errors.Is(err, peer.ErrUnreachable):
			return reply.Engine, err
		case slice.Err() != nil:
			return "", verdict.Refuse(verdict.ReasonDeadline, "%s was not loaded in time", u.ID())
		}
	}
	return w.Hold(slice, u, replicas, latest)
}

// learn takes in what an answer says of an engine, ahead of the exchange.
func (w *Waker) learn(r *table.Residency) {
	if r != nil {
		w.env.Tables.Engines.MergeResidency([]table.Residency{*r})
	}
}

// askAgainGrace is how long a holder waits for an instance to ask again.
const askAgainGrace = time.Second

// holder chooses the failure domain of an engine that holds a slot of the
// model, or else one of those allowed, and an instance in it.
func (w *Waker) holder(u backend.Unit) table.Member {
	model, found := w.env.Tables.Config.Index().Models[u.Model]
	if !found {
		return table.Member{}
	}
	members := w.env.Tables.Members.AliveIn(w.homeDomain(model))
	chosen := rendezvous.Choose(u.ID(), table.Names(members))
	member, _ := w.env.Tables.Members.Get(chosen)
	return member
}

func (w *Waker) homeDomain(model *declaration.Model) string {
	var holding, alive []string
	for _, e := range w.env.Tables.Engines.All() {
		if slices.Contains(e.Held, model.Name) && w.env.Tables.Members.Populated(e.FailureDomain) {
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
