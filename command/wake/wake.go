// Package wake loads models that are not resident on any engine. All requests of an instance that
// need the same unit share one wake, and all instances send their wakes for a unit to one
// coordinator, so that a burst of requests at every instance results in one load order.
//
// The coordinator is chosen by rendezvous hashing, for efficiency only: two coordinators, chosen
// under differing membership views, compete for the same slots, so the cap on replicas holds.
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

// Params are the limits of a wake.
type Params struct {
	// EnginesPerAttempt is the number of engines that a coordinator tries in one attempt.
	EnginesPerAttempt int
	// MaxCallWait bounds one call to a coordinator. Instances whose requests still wait repeat the
	// call, so that a coordinator learns within this time that nobody waits any more.
	MaxCallWait time.Duration
	// RetryInterval is the longest pause between two attempts of a coordinator that found no engine
	// but may find one soon.
	RetryInterval time.Duration
	// RetryAfter is returned to callers when no replica is available now.
	RetryAfter time.Duration
}

// DefaultParams returns the default limits.
func DefaultParams() Params {
	return Params{
		EnginesPerAttempt: 4, MaxCallWait: 5 * time.Second,
		RetryInterval: 500 * time.Millisecond, RetryAfter: 2 * time.Second,
	}
}

// Waker loads units on demand.
type Waker struct {
	params   Params
	env      *orderer.Environment
	orderers *orderer.Manager
	peers    *peer.Client
	gate     *weights.Gate

	requested   flightGroup // wakes requested by this instance
	coordinated flightGroup // wakes that this instance coordinates
}

// NewWaker returns a Waker that uses orderers for the engines that this instance orders, and peers
// for all others.
func NewWaker(params Params, env *orderer.Environment, orderers *orderer.Manager, peers *peer.Client) *Waker {
	return &Waker{params: params, env: env, orderers: orderers, peers: peers, gate: weights.NewGate(weights.DefaultParams())}
}

// flightID identifies a unit in one version.
func flightID(u backend.Unit) string { return u.ID() + "@" + u.Version }

// LoadTime returns the expected time of a load from the weight store, without any cache.
func (w *Waker) LoadTime(memory int64) time.Duration {
	return w.env.Policy.LoadTime(backend.TierRemote, memory)
}

// ScaleUp loads one more replica than the given number. All instances that see the same number
// request the same replica from the coordinator.
func (w *Waker) ScaleUp(ctx context.Context, u backend.Unit, replicas int) error {
	latest, _ := ctx.Deadline()
	_, err := w.callCoordinator(ctx, u, replicas, latest)
	return err
}

// Wake loads u if it is not resident yet and returns an engine on which it is. ctx must have a
// deadline; the load continues for other callers with later deadlines.
func (w *Waker) Wake(ctx context.Context, u backend.Unit) (string, error) {
	latest, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return "", verdict.Refuse(verdict.ReasonInvalid, "a wake needs a deadline")
	}
	return w.requested.do(ctx, flightID(u), latest, 0, func(ctx context.Context, latest func() time.Time) (string, error) {
		return w.awaitCoordinator(ctx, u, latest)
	})
}

// Coordinate coordinates a wake for an instance that can use the result until latest and repeats
// the call if ctx ends earlier. replicas is 0 for the first replica, otherwise the number of
// replicas that exist already.
func (w *Waker) Coordinate(ctx context.Context, u backend.Unit, replicas int, latest time.Time) (string, error) {
	id := flightID(u) + "/" + strconv.Itoa(replicas)
	return w.coordinated.do(ctx, id, latest, repeatCallGrace, func(ctx context.Context, latest func() time.Time) (string, error) {
		if replicas > 0 {
			return w.addReplica(ctx, u, replicas, latest())
		}
		return w.runWake(ctx, u, latest)
	})
}

// awaitCoordinator calls the coordinator repeatedly until the wake succeeds or is refused.
func (w *Waker) awaitCoordinator(ctx context.Context, u backend.Unit, latest func() time.Time) (string, error) {
	for {
		engine, err := w.callCoordinator(ctx, u, 0, latest())
		expired := err != nil && verdict.FromError(err).Reason == verdict.ReasonDeadline
		if !expired || ctx.Err() != nil || !time.Now().Before(latest()) {
			return engine, err
		}
	}
}

func (w *Waker) callCoordinator(ctx context.Context, u backend.Unit, replicas int, latest time.Time) (string, error) {
	callDeadline := time.Now().Add(w.params.MaxCallWait)
	if latest.Before(callDeadline) {
		callDeadline = latest
	}
	callCtx, cancel := context.WithDeadline(ctx, callDeadline)
	defer cancel()
	coordinator := w.coordinator(u)
	if coordinator.Name != "" && coordinator.Name != w.env.Instance {
		args := peer.WakeArgs{Unit: u, LatestMS: time.Until(latest).Milliseconds(), Replicas: replicas}
		reply, err := w.peers.Wake(callCtx, coordinator.PeerAddress, args)
		w.mergeResidency(reply.Residency)
		switch {
		case !errors.Is(err, peer.ErrUnreachable):
			return reply.Engine, err
		case callCtx.Err() != nil:
			return "", verdict.Refuse(verdict.ReasonDeadline, "%s was not loaded in time", u.ID())
		}
	}
	return w.Coordinate(callCtx, u, replicas, latest)
}

// mergeResidency merges the residency contained in a reply into the table, without waiting for the
// next exchange.
func (w *Waker) mergeResidency(r *table.Residency) {
	if r != nil {
		w.env.Tables.Engines.MergeResidency([]table.Residency{*r})
	}
}

// repeatCallGrace is how long a coordinator waits for an instance to repeat its call.
const repeatCallGrace = time.Second

// coordinator selects the instance that coordinates wakes of the unit. It is in the failure domain
// of an engine that holds a slot of the model or else in one in which the model is allowed.
func (w *Waker) coordinator(u backend.Unit) table.Member {
	model, found := w.env.Tables.Config.Index().Models[u.Model]
	if !found {
		return table.Member{}
	}
	members := w.env.Tables.Members.AliveIn(w.coordinatorDomain(model))
	chosen := rendezvous.Choose(u.ID(), table.Names(members))
	member, _ := w.env.Tables.Members.Get(chosen)
	return member
}

func (w *Waker) coordinatorDomain(model *declaration.Model) string {
	var slotDomains, allowedDomains []string
	for _, e := range w.env.Tables.Engines.All() {
		if slices.Contains(e.Held, model.Name) && w.env.Tables.Members.HasAlive(e.FailureDomain) {
			slotDomains = append(slotDomains, e.FailureDomain)
		}
	}
	if len(slotDomains) > 0 {
		return rendezvous.Choose(model.Name, slotDomains)
	}
	for _, m := range w.env.Tables.Members.Alive() {
		if model.AllowedIn(m.FailureDomain) {
			allowedDomains = append(allowedDomains, m.FailureDomain)
		}
	}
	return rendezvous.Choose(model.Name, allowedDomains)
}
