package wake

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/weights"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/table"
)

// acquireStream waits for a stream of the weight store for a load on the engine. No stream is needed
// for an adapter, for a load from a cache, or if the engine reports the unit already. If the gate's
// instance is unknown or cannot be reached, the load proceeds without a stream.
func (w *Waker) acquireStream(ctx context.Context, engine table.EngineView, u backend.Unit, memory int64, latest time.Time) error {
	if _, cached := engine.Cached[u.ID()]; cached || u.Adapter != "" {
		return nil
	}
	if _, started := engine.Find(u.ID()); started {
		return nil
	}
	gate := w.gateInstance(engine.FailureDomain)
	if gate.Name == w.env.Instance {
		return w.gate.Acquire(ctx, weights.Request{Engine: engine.Engine, Unit: u.ID(), Bytes: memory, Latest: latest})
	}
	if gate.Name == "" {
		return nil
	}
	err := w.peers.Stream(ctx, gate.PeerAddress, peer.StreamArgs{
		Engine: engine.Engine, Unit: u.ID(), Bytes: memory, LatestMS: time.Until(latest).Milliseconds(),
	})
	if errors.Is(err, peer.ErrUnreachable) && ctx.Err() == nil {
		return nil // an uncoordinated load is better than none
	}
	return toFailure(err)
}

// gateInstance returns the instance that runs the weight store gate of the failure domain.
func (w *Waker) gateInstance(domain string) table.Member {
	members := w.env.Tables.Members.AliveIn(domain)
	member, _ := w.env.Tables.Members.Get(rendezvous.Choose("weights", table.Names(members)))
	return member
}

// Stream acquires a stream from this instance's gate on behalf of another instance.
func (w *Waker) Stream(ctx context.Context, r weights.Request) error {
	return w.gate.Acquire(ctx, r)
}

// gateTick is the interval at which the gate checks for finished loads.
const gateTick = 100 * time.Millisecond

// Run updates the gate until ctx ends.
func (w *Waker) Run(ctx context.Context) {
	ticker := time.NewTicker(gateTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.gate.Changed():
		case <-ctx.Done():
			return
		}
		w.gate.Update(w.availableStreams(), w.loadState, time.Now())
	}
}

func (w *Waker) availableStreams() weights.Streams {
	d := w.env.Tables.Config.Index().Declaration
	own := slices.Index(d.FailureDomains, w.env.Tables.Members.Self().FailureDomain)
	return weights.Divide(d.WeightStore.Streams, len(d.FailureDomains), own, w.streamsInOtherDomains())
}

// streamsInOtherDomains returns the number of loads from the weight store known to be in progress
// in other failure domains.
func (w *Waker) streamsInOtherDomains() int {
	own := w.env.Tables.Members.Self().FailureDomain
	n := 0
	for _, e := range w.env.Tables.Engines.All() {
		if e.FailureDomain == own {
			continue
		}
		for _, u := range e.Units {
			if _, cached := e.Cached[u.Unit.ID()]; u.State == backend.Loading && !cached {
				n++
			}
		}
	}
	return n
}

func (w *Waker) loadState(engine, unit string) weights.State {
	e, _ := w.env.Tables.Engines.Get(engine)
	switch u, found := e.Find(unit); {
	case !found:
		return weights.Unknown
	case u.State == backend.Loading:
		return weights.Loading
	default:
		return weights.Finished
	}
}
