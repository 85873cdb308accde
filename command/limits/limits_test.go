package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// cluster has engines that carry out orders late, and successive holders that know only the record and what engines
// report.
type cluster struct {
	engines map[string]*engine
	record  Record
	limit   Limit
}

type engine struct {
	holds    bool
	sequence int64
	// pending are the sequences on which the loads in progress were decided.
	pending []int64
}

// deliver carries out a load in progress if its sequence is the engine's.
func (e *engine) deliver(i int) {
	loadSequence := e.pending[i]
	e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
	if loadSequence == e.sequence {
		e.sequence++
		e.holds = true
	}
}

// known returns what an engine reports, which is always up to date here.
func (c *cluster) known(id string) Engine {
	e, exists := c.engines[id]
	if !exists {
		return Engine{}
	}
	return Engine{Exists: true, UpToDate: true, Holds: e.holds, Sequence: e.sequence}
}

func (c *cluster) replicas() int {
	n := 0
	for _, e := range c.engines {
		if e.holds {
			n++
		}
	}
	return n
}

// TestReplicasStayWithinLimit: there are never more replicas than the limit, even if loads are in progress, delayed,
// lost, or were ordered by previous holders.
func TestReplicasStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{engines: map[string]*engine{}, limit: Limit{Replicas: rapid.IntRange(0, 3).Draw(t, "limit")}}
		ids := []string{"a", "b", "c", "d", "e"}
		for _, id := range ids {
			c.engines[id] = &engine{}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "engine")
			e := c.engines[id]
			switch rapid.SampledFrom([]string{"load", "load", "arrive", "unload", "other order", "restart"}).Draw(t, "what") {
			case "load": // the order is sent and its answer is lost
				var holders []string
				for _, id := range ids {
					if c.engines[id].holds {
						holders = append(holders, id)
					}
				}
				next, ok := c.record.Grant(c.limit, id, e.sequence, holders, c.known)
				if ok {
					c.record = next
					e.pending = append(e.pending, e.sequence)
				}
			case "arrive":
				if len(e.pending) > 0 {
					e.deliver(rapid.IntRange(0, len(e.pending)-1).Draw(t, "which"))
				}
			case "unload":
				if e.holds {
					e.holds = false
					e.sequence++
				}
			case "other order":
				e.sequence++
			case "restart": // restarts empty under another ID; loads in progress name the old one
				delete(c.engines, id)
				c.engines[id] = &engine{}
				c.record.Engines = withoutEngine(c.record.Engines, id)
			}
			if n := c.replicas(); n > c.limit.Replicas {
				t.Fatalf("%d replicas, limit %d; record %v", n, c.limit.Replicas, c.record.Engines)
			}
		}
	})
}

// withoutEngine returns the record's engines without an ID. It settles an engine that restarted, since the engines of
// the test keep their IDs.
func withoutEngine(engines map[string]int64, id string) map[string]int64 {
	rest := map[string]int64{}
	for other, loadSequence := range engines {
		if other != id {
			rest[other] = loadSequence
		}
	}
	return rest
}

// TestGrant checks single decisions.
func TestGrant(t *testing.T) {
	two := Limit{Replicas: 2}
	for _, c := range []struct {
		name    string
		record  map[string]int64
		engines map[string]Engine
		holders []string
		want    bool
	}{
		{"free", nil, nil, nil, true},
		{"held by two", nil, nil, []string{"b", "c"}, false},
		{"held here already", nil, nil, []string{"a", "c"}, true},
		{"a load may be under way", map[string]int64{"b": 4}, map[string]Engine{"b": {Exists: true, UpToDate: true, Sequence: 4}}, []string{"c"}, false},
		{"the load is settled", map[string]int64{"b": 4}, map[string]Engine{"b": {Exists: true, UpToDate: true, Sequence: 5}}, []string{"c"}, true},
		{"it was carried out", map[string]int64{"b": 4}, map[string]Engine{"b": {Exists: true, UpToDate: true, Holds: true, Sequence: 5}}, []string{"c"}, false},
		{"not known", map[string]int64{"b": 4}, map[string]Engine{"b": {Exists: true, Sequence: 5}}, []string{"c"}, false},
		{"the engine is gone", map[string]int64{"b": 4}, nil, []string{"c"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Record{Model: "m", Engines: c.record}
			next, ok := r.Grant(two, "a", 7, c.holders, func(id string) Engine { return c.engines[id] })
			if ok != c.want {
				t.Errorf("granted: %v, want %v", ok, c.want)
			}
			if _, written := next.Engines["a"]; written != c.want {
				t.Errorf("record %v", next.Engines)
			}
		})
	}
	if !(Limit{}).AllowedIn("x") || (Limit{Domains: []string{"y"}}).AllowedIn("x") {
		t.Error("AllowedIn does not follow the failure domains of the limit")
	}
}
