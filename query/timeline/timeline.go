// Package timeline merges the events of all instances into one causal order.
package timeline

import (
	"context"
	"slices"
	"sync"

	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/table"
)

// Timeline is the merged events, and who did not answer.
type Timeline struct {
	Events      []event.Event
	Unreachable []string
}

// Collector asks all instances for their events.
type Collector struct {
	tables *table.Tables
	own    *event.Recorder
	peers  *peer.Client
}

// NewCollector returns a collector at one instance.
func NewCollector(tables *table.Tables, own *event.Recorder, peers *peer.Client) *Collector {
	return &Collector{tables: tables, own: own, peers: peers}
}

// workers bounds how many instances are asked at once.
const workers = 16

// Collect returns the events that pass f, oldest first. Instances known to be
// dead, and those that do not answer in ctx's time, are named.
func (c *Collector) Collect(ctx context.Context, f event.Filter) Timeline {
	var (
		mu  sync.Mutex
		out = Timeline{Events: c.own.Select(f)}
		all sync.WaitGroup
	)
	slots := make(chan struct{}, workers)
	self := c.tables.Members.Self().Name
	for _, m := range c.tables.Members.All() {
		if m.Name == self {
			continue
		}
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			events, err := c.peers.Events(ctx, m.PeerAddress, f)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Unreachable = append(out.Unreachable, m.Name)
				return
			}
			out.Events = append(out.Events, events...)
		})
	}
	all.Wait()
	slices.Sort(out.Unreachable)
	Order(out.Events)
	if f.Limit > 0 && len(out.Events) > f.Limit {
		out.Events = out.Events[len(out.Events)-f.Limit:]
	}
	return out
}

// Order sorts events causally: by stamp, and by process where stamps are equal.
func Order(events []event.Event) {
	slices.SortStableFunc(events, func(a, b event.Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		if a.Process < b.Process {
			return -1
		}
		if a.Process > b.Process {
			return 1
		}
		return 0
	})
}
