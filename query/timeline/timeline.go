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

// Timeline has the merged events and the names of the instances that did not answer.
type Timeline struct {
	Events      []event.Event
	Unreachable []string
}

// Collector collects the events of all instances.
type Collector struct {
	tables *table.Tables
	own    *event.Recorder
	peers  *peer.Client
}

// NewCollector returns a Collector of one instance, with its table of members, its own events and
// its client of the others.
func NewCollector(tables *table.Tables, own *event.Recorder, peers *peer.Client) *Collector {
	return &Collector{tables: tables, own: own, peers: peers}
}

// maxConcurrentCalls bounds the number of instances that are queried at the same time.
const maxConcurrentCalls = 16

// Collect returns the events that match f, oldest first. Unreachable lists the instances that did
// not answer before ctx ended, including those known to be dead.
func (c *Collector) Collect(ctx context.Context, f event.Filter) Timeline {
	var (
		mu  sync.Mutex
		out = Timeline{Events: c.own.Select(f)} // guarded by mu until all calls have ended
		wg  sync.WaitGroup
	)
	semaphore := make(chan struct{}, maxConcurrentCalls)
	self := c.tables.Members.Self().Name
	for _, m := range c.tables.Members.All() {
		if m.Name == self {
			continue
		}
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
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
	wg.Wait()
	slices.Sort(out.Unreachable)
	Sort(out.Events)
	if f.Limit > 0 && len(out.Events) > f.Limit {
		out.Events = out.Events[len(out.Events)-f.Limit:]
	}
	return out
}

// Sort sorts events in causal order: by stamp, and by process if the stamps are equal.
func Sort(events []event.Event) {
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
