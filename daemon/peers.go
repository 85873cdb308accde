package daemon

import (
	"context"
	"time"

	"github.com/martenport/martenport/command/weights"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// peerHandler implements the API for other instances.
type peerHandler struct{ c *Core }

// Exchange implements peer.Handler. It returns the changes of the tables since
// args.Since and waits up to args.WaitMS for the first one. A caller that knows
// another incarnation of this instance gets the complete tables.
func (h peerHandler) Exchange(ctx context.Context, args *peer.ExchangeArgs, reply *peer.ExchangeReply) error {
	tables := h.c.tables
	tables.Members.Merge(args.Introduce)
	self := tables.Members.Self()
	since := args.Since
	if args.Incarnation != self.Incarnation {
		since = 0
	}
	near := args.FailureDomain == self.FailureDomain
	deadline := time.NewTimer(time.Duration(args.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		_, changed := tables.Engines.Changes()
		reply.Delta = tables.DeltaSince(since, near)
		reply.Incarnation = self.Incarnation
		reply.Generation = tables.Config.Index().Generation
		if since == 0 || !reply.Delta.Empty() {
			return nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// Config implements peer.Handler.
func (h peerHandler) Config(_ context.Context, _ *peer.ConfigArgs, reply *peer.ConfigReply) error {
	reply.Accepted = h.c.tables.Config.Accepted()
	return nil
}

// Wake implements peer.Handler.
func (h peerHandler) Wake(ctx context.Context, args *peer.WakeArgs, reply *peer.WakeReply) error {
	latest := time.Now().Add(time.Duration(args.LatestMS) * time.Millisecond)
	engine, err := h.c.waker.Coordinate(ctx, args.Unit, args.Replicas, latest)
	reply.Engine = engine
	reply.Residency = h.residency(engine)
	return err
}

// residency returns the last known residency of an engine, nil if there is none.
func (h peerHandler) residency(engine string) *table.Residency {
	if view, known := h.c.tables.Engines.Get(engine); known && view.Engine != "" {
		return &view.Residency
	}
	return nil
}

// Load implements peer.Handler.
func (h peerHandler) Load(ctx context.Context, args *peer.OrderArgs, reply *peer.OrderReply) error {
	err := h.c.waker.Load(ctx, args.Engine, args.Unit)
	reply.Residency = h.residency(args.Engine)
	return err
}

// Yield implements peer.Handler.
func (h peerHandler) Yield(ctx context.Context, args *peer.OrderArgs, _ *peer.OrderReply) error {
	return h.c.waker.Yield(ctx, args.Engine, args.Unit)
}

// Stream implements peer.Handler.
func (h peerHandler) Stream(ctx context.Context, args *peer.StreamArgs, _ *peer.StreamReply) error {
	latest := time.Now().Add(time.Duration(args.LatestMS) * time.Millisecond)
	return h.c.waker.Stream(ctx, weights.Request{Engine: args.Engine, Unit: args.Unit, Bytes: args.Bytes, Latest: latest})
}

// Events implements peer.Handler.
func (h peerHandler) Events(_ context.Context, args *peer.EventsArgs, reply *peer.EventsReply) error {
	reply.Events = h.c.events.Select(args.Filter)
	return nil
}

// Run implements peer.Handler.
func (h peerHandler) Run(ctx context.Context, args *peer.RunArgs, reply *peer.RunReply) error {
	answer, err := h.c.runs.Answer(ctx, args.Key)
	reply.Answer = answer
	return err
}

// answerPeers implements runonce.Peers.
type answerPeers struct{ c *Core }

// Answer implements runonce.Peers.
func (a answerPeers) Answer(ctx context.Context, instance, key string) ([]byte, error) {
	member, found := a.c.tables.Members.Get(instance)
	if !found || member.State == table.Dead {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonKeyTaken, "instance %s does not answer", instance)
	}
	return a.c.peers.Run(ctx, member.PeerAddress, key)
}
