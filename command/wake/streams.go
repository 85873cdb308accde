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

// acquire waits for a stream of the weight store for a load on the engine. A
// load from a cache needs none.
func (w *Waker) acquire(ctx context.Context, engine table.EngineView, u backend.Unit, memory int64, latest time.Time) error {
	if _, cached := engine.Cached[u.ID()]; cached || u.Adapter != "" {
		return nil
	}
	if _, started := engine.Find(u.ID()); started {
		return nil
	}
	gate := w.gateOf(engine.FailureDomain)
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
		return nil // better unordered than not at all
	}
	return typed(err)
}

// gateOf returns the instance with the failure domain's gate.
func (w *Waker) gateOf(domain string) table.Member {
	members := w.env.Tables.Members.AliveIn(domain)
	member, _ := w.env.Tables.Members.Get(rendezvous.Choose("weights", table.Names(members)))
	return member
}

// Stream does the gate's part for an instance elsewhere.
func (w *Waker) Stream(ctx context.Context, r weights.Request) error {
	return w.gate.Acquire(ctx, r)
}

// gateTick is how often the gate looks at what has finished.
const gateTick = 100 * time.Millisecond

// Run keeps the gate going until ctx ends.
func (w *Waker) Run(ctx context.Context) {
	ticker := time.NewTicker(gateTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.gate.News():
		case <-ctx.Done():
			return
		}
		w.gate.Update(w.streams(), w.loadState, time.Now())
	}
}

func (w *Waker) streams() weights.Streams {
	d := w.env.Tables.Config.Index().Declaration
	own := slices.Index(d.FailureDomains, w.env.Tables.Members.Self().FailureDomain)
	return weights.Divide(d.WeightStore.Streams, len(d.FailureDomains), own, w.streamsElsewhere())
}

// streamsElsewhere counts the loads from the weight store that are known to run
// in the other failure domains.
func (w *Waker) streamsElsewhere() int {
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
