package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/table"
)

// GossipParams are the settings of a Gossip.
type GossipParams struct {
	// MaxWait is how long a partner holds an exchange open while it has no changes.
	MaxWait time.Duration
	// MinInterval is the pause between two exchanges with a partner in the own failure domain, and
	// RemoteDomainInterval with a partner in another one.
	MinInterval, RemoteDomainInterval time.Duration
	// Timeout is the time allowed for the answer, in addition to MaxWait.
	Timeout time.Duration
	// MaxFailures is the number of consecutive failed exchanges after which a partner counts as
	// dead.
	MaxFailures int
	// ProbeInterval is the interval at which one of the addresses that do not answer is tried
	// again.
	ProbeInterval time.Duration
	// Seeds are the peer addresses to contact first.
	Seeds []string
}

// DefaultGossipParams returns the default settings, without seeds.
func DefaultGossipParams() GossipParams {
	return GossipParams{
		MaxWait: time.Second, MinInterval: 200 * time.Millisecond, RemoteDomainInterval: time.Second,
		Timeout: time.Second, MaxFailures: 2, ProbeInterval: 2 * time.Second,
	}
}

// Gossip keeps an instance's tables up to date by exchanging changes with its partners.
type Gossip struct {
	params GossipParams
	client *Client
	tables *table.Tables
	events *event.Recorder

	mu       sync.Mutex
	partners map[string]context.CancelFunc // guarded by mu; by name
	loops    sync.WaitGroup
}

// NewGossip returns a Gossip that exchanges changes over client.
func NewGossip(params GossipParams, client *Client, tables *table.Tables, events *event.Recorder) *Gossip {
	return &Gossip{params: params, client: client, tables: tables, events: events, partners: map[string]context.CancelFunc{}}
}

// Run exchanges changes until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	defer g.loops.Wait()
	for _, seed := range g.params.Seeds {
		g.probe(ctx, seed)
	}
	ticker := time.NewTicker(g.params.ProbeInterval)
	defer ticker.Stop()
	_, changed := g.tables.Engines.Changes()
	for {
		g.updatePartners(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.probeRandom(ctx)
		case <-changed:
			if !pause.For(ctx, g.params.MinInterval) {
				return
			}
		}
		_, changed = g.tables.Engines.Changes()
	}
}

// updatePartners starts and stops exchange loops as the set of partners changes.
func (g *Gossip) updatePartners(ctx context.Context) {
	wanted := map[string]table.Member{}
	for _, m := range Partners(g.tables.Members.Self(), g.notDead()) {
		wanted[m.Name] = m
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, stop := range g.partners {
		if _, keep := wanted[name]; !keep {
			stop()
			delete(g.partners, name)
		}
	}
	for name, m := range wanted {
		if _, running := g.partners[name]; running || ctx.Err() != nil {
			continue
		}
		loopCtx, stop := context.WithCancel(ctx)
		g.partners[name] = stop
		g.loops.Go(func() { g.exchangeLoop(loopCtx, m) })
	}
}

// notDead returns the instances that are not known to be dead. This includes leaving ones, since
// they relay changes until they stop.
func (g *Gossip) notDead() []table.Member {
	var out []table.Member
	for _, m := range g.tables.Members.All() {
		if m.State != table.Dead {
			out = append(out, m)
		}
	}
	return out
}

// exchangeLoop exchanges changes with one partner until ctx ends or the partner counts as dead.
func (g *Gossip) exchangeLoop(ctx context.Context, partner table.Member) {
	args := ExchangeArgs{WaitMS: g.params.MaxWait.Milliseconds()}
	interval := g.params.MinInterval
	if partner.FailureDomain != g.tables.Members.Self().FailureDomain {
		interval = g.params.RemoteDomainInterval
	}
	failures := 0
	for failures < g.params.MaxFailures {
		next, err := g.exchange(ctx, partner.PeerAddress, args)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			g.client.Disconnect(partner.PeerAddress)
		} else {
			failures = 0
			args = next
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
	if g.tables.Members.MarkDead(partner.Name) {
		g.events.Record(event.Event{Kind: event.KindPeerLost, Detail: "instance=" + partner.Name})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if stop, running := g.partners[partner.Name]; running {
		stop()
		delete(g.partners, partner.Name)
	}
}

// exchange performs one exchange with the instance at address and merges the changes. It returns
// the arguments of the next exchange.
func (g *Gossip) exchange(ctx context.Context, address string, args ExchangeArgs) (ExchangeArgs, error) {
	ctx, cancel := context.WithTimeout(ctx, g.params.MaxWait+g.params.Timeout)
	defer cancel()
	args.FailureDomain = g.tables.Members.Self().FailureDomain
	args.Introduce = nil
	if args.Since == 0 {
		args.Introduce = g.introduction(address)
	}
	reply, err := g.client.Exchange(ctx, address, args)
	if err != nil {
		return args, err
	}
	g.mergeDelta(reply.Delta)
	if reply.Generation > g.tables.Config.Index().Generation {
		g.fetchConfig(ctx, address)
	}
	args.Incarnation, args.Since = reply.Incarnation, reply.Delta.Sequence
	return args, nil
}

// introduction returns this instance's own entry and the entry known for the instance at address,
// so that the latter can correct the entry if it is wrongly marked dead.
func (g *Gossip) introduction(address string) []table.Member {
	out := []table.Member{g.tables.Members.Self()}
	for _, m := range g.tables.Members.All() {
		if m.PeerAddress == address {
			out = append(out, m)
		}
	}
	return out
}

func (g *Gossip) mergeDelta(d table.Delta) {
	for _, m := range g.tables.Members.Merge(d.Members) {
		if m.Before.State == table.Dead && m.After.State == table.Alive {
			g.events.Record(event.Event{Kind: event.KindPeerBack, Detail: "instance=" + m.After.Name})
		}
	}
	for _, r := range g.tables.Engines.MergeResidency(d.Residencies) {
		if r.Leaving {
			g.events.Record(event.Event{Kind: event.KindBackendLeaving, Engine: r.Engine, Detail: "word of a peer"})
		}
	}
	g.tables.Engines.MergeLoad(d.Loads)
}

func (g *Gossip) fetchConfig(ctx context.Context, address string) {
	accepted, err := g.client.Config(ctx, address)
	if err != nil || accepted == nil {
		return
	}
	ApplyDeclaration(g.tables, g.events, accepted, "peer")
}

// ApplyDeclaration puts an accepted declaration in force if it is newer than the current one. source
// names its origin in the recorded event.
func ApplyDeclaration(tables *table.Tables, events *event.Recorder, accepted *table.Accepted, source string) {
	applied, err := tables.Config.Accept(accepted)
	if err != nil {
		events.Record(event.Event{Kind: event.KindGeneration, Plan: accepted.PlanID, Detail: "unreadable: " + err.Error()})
	}
	if !applied {
		return
	}
	tables.Members.UpdateSelf(func(m *table.Member) { m.Generation = tables.Config.Index().Generation })
	events.Record(event.Event{Kind: event.KindGeneration, Plan: accepted.PlanID, Detail: "source=" + source})
}

// probeRandom tries one randomly chosen seed or dead instance, so that both sides detect the end of
// a network partition without a burst of calls.
func (g *Gossip) probeRandom(ctx context.Context) {
	addresses := g.unreachedAddresses()
	if len(addresses) > 0 {
		g.probe(ctx, addresses[rand.IntN(len(addresses))])
	}
}

func (g *Gossip) unreachedAddresses() []string {
	var out []string
	known := map[string]bool{}
	for _, m := range g.tables.Members.All() {
		known[m.PeerAddress] = true
		if m.State == table.Dead {
			out = append(out, m.PeerAddress)
		}
	}
	for _, seed := range g.params.Seeds {
		if !known[seed] {
			out = append(out, seed)
		}
	}
	return out
}

func (g *Gossip) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, g.params.Timeout)
	defer cancel()
	if _, err := g.exchange(ctx, address, ExchangeArgs{}); err != nil {
		g.client.Disconnect(address)
	}
}
