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

// GossipParams set the rhythm of the exchange.
type GossipParams struct {
	// Wait is how long a partner holds an exchange open when it has no news.
	Wait time.Duration
	// MinGap is the shortest time between two exchanges with one partner in
	// the own failure domain, and FarGap with one of another.
	MinGap, FarGap time.Duration
	// Timeout is added to Wait for the answer to arrive.
	Timeout time.Duration
	// Misses is how many exchanges in a row fail before the partner counts as
	// dead.
	Misses int
	// Probe is how often one address that does not answer is tried again.
	Probe time.Duration
	// Seeds are peer addresses to start from.
	Seeds []string
}

// DefaultGossipParams returns the rhythm used unless set otherwise.
func DefaultGossipParams() GossipParams {
	return GossipParams{
		Wait: time.Second, MinGap: 200 * time.Millisecond, FarGap: time.Second,
		Timeout: time.Second, Misses: 2, Probe: 2 * time.Second,
	}
}

// Gossip keeps an instance's tables up to date from its partners.
type Gossip struct {
	params GossipParams
	client *Client
	tables *table.Tables
	events *event.Recorder

	mu       sync.Mutex
	partners map[string]context.CancelFunc // guarded by mu; by name
	loops    sync.WaitGroup
}

// NewGossip returns a gossip over client.
func NewGossip(params GossipParams, client *Client, tables *table.Tables, events *event.Recorder) *Gossip {
	return &Gossip{params: params, client: client, tables: tables, events: events, partners: map[string]context.CancelFunc{}}
}

// Run exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	defer g.loops.Wait()
	for _, seed := range g.params.Seeds {
		g.probe(ctx, seed)
	}
	ticker := time.NewTicker(g.params.Probe)
	defer ticker.Stop()
	_, changed := g.tables.Engines.Mark()
	for {
		g.adjust(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.probeOne(ctx)
		case <-changed:
			if !pause.For(ctx, g.params.MinGap) {
				return
			}
		}
		_, changed = g.tables.Engines.Mark()
	}
}

// adjust starts and stops exchange loops as the partners change.
func (g *Gossip) adjust(ctx context.Context) {
	wanted := map[string]table.Member{}
	for _, m := range Partners(g.tables.Members.Self(), g.reachable()) {
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
		g.loops.Go(func() { g.loop(loopCtx, m) })
	}
}

// reachable is every instance that is not known to be dead: leaving ones too,
// since they pass on news until they go.
func (g *Gossip) reachable() []table.Member {
	var out []table.Member
	for _, m := range g.tables.Members.All() {
		if m.State != table.Dead {
			out = append(out, m)
		}
	}
	return out
}

// loop exchanges with one partner until it is dropped or counts as dead.
func (g *Gossip) loop(ctx context.Context, partner table.Member) {
	state := ExchangeArgs{WaitMS: g.params.Wait.Milliseconds()}
	gap := g.params.MinGap
	if partner.FailureDomain != g.tables.Members.Self().FailureDomain {
		gap = g.params.FarGap
	}
	misses := 0
	for misses < g.params.Misses {
		next, err := g.exchange(ctx, partner.PeerAddress, state)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			misses++
			g.client.Disconnect(partner.PeerAddress)
		} else {
			misses = 0
			state = next
		}
		if !pause.For(ctx, gap) {
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

// exchange asks once and takes the changes in.
func (g *Gossip) exchange(ctx context.Context, address string, args ExchangeArgs) (ExchangeArgs, error) {
	ctx, cancel := context.WithTimeout(ctx, g.params.Wait+g.params.Timeout)
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
	g.take(reply.Delta)
	if reply.Generation > g.tables.Config.Index().Generation {
		g.fetchConfig(ctx, address)
	}
	args.Incarnation, args.Since = reply.Incarnation, reply.Delta.Sequence
	return args, nil
}

// introduction is this instance's own entry and what it believes of the one at
// address, which can so correct word of its death.
func (g *Gossip) introduction(address string) []table.Member {
	out := []table.Member{g.tables.Members.Self()}
	for _, m := range g.tables.Members.All() {
		if m.PeerAddress == address {
			out = append(out, m)
		}
	}
	return out
}

func (g *Gossip) take(d table.Delta) {
	for _, m := range g.tables.Members.Merge(d.Members) {
		if m.Before.State == table.Dead && m.After.State == table.Alive {
			g.events.Record(event.Event{Kind: event.KindPeerBack, Detail: "instance=" + m.After.Name})
		}
	}
	for _, r := range g.tables.Engines.MergeResidency(d.Residencies) {
		if r.Leaving {
			g.events.Record(event.Event{Kind: event.KindLeaving, Engine: r.Engine, Detail: "word of a peer"})
		}
	}
	g.tables.Engines.MergeLoad(d.Loads)
}

func (g *Gossip) fetchConfig(ctx context.Context, address string) {
	accepted, err := g.client.Config(ctx, address)
	if err != nil || accepted == nil {
		return
	}
	Apply(g.tables, g.events, accepted, "peer")
}

// Apply puts an accepted declaration in force if it is newer, whoever brought
// it.
func Apply(tables *table.Tables, events *event.Recorder, accepted *table.Accepted, source string) {
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

// probeOne tries one seed or dead instance, so that a healed partition is
// noticed by both sides without a storm.
func (g *Gossip) probeOne(ctx context.Context) {
	addresses := g.unreached()
	if len(addresses) > 0 {
		g.probe(ctx, addresses[rand.IntN(len(addresses))])
	}
}

func (g *Gossip) unreached() []string {
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
