package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// world is engines that take orders late, and holders that follow each other and
// know no more than the record and what engines report.
type world struct {
	engines map[string]*engine
	record  Record
	limit   Limit
}

type engine struct {
	holds    bool
	sequence int64
	// pending are the sequences on which loads under way were decided.
	pending []int64
}

// arrive has a load under way be carried out, if its sequence is the engine's.
func (e *engine) arrive(i int) {
	decided := e.pending[i]
	e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
	if decided == e.sequence {
		e.sequence++
		e.holds = true
	}
}

// known is what a report says, which is always sure here.
func (w *world) known(id string) Engine {
	e, exists := w.engines[id]
	if !exists {
		return Engine{}
	}
	return Engine{Exists: true, Sure: true, Holds: e.holds, Sequence: e.sequence}
}

func (w *world) replicas() int {
	n := 0
	for _, e := range w.engines {
		if e.holds {
			n++
		}
	}
	return n
}

// TestReplicasStayWithinLimit: whatever loads are under way, late, lost or ordered
// by holders that are gone, there are never more replicas than decided.
func TestReplicasStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{engines: map[string]*engine{}, limit: Limit{Replicas: rapid.IntRange(0, 3).Draw(t, "limit")}}
		ids := []string{"a", "b", "c", "d", "e"}
		for _, id := range ids {
			w.engines[id] = &engine{}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "engine")
			e := w.engines[id]
			switch rapid.SampledFrom([]string{"load", "load", "arrive", "unload", "other order", "restart"}).Draw(t, "what") {
			case "load": // the order is sent and its answer lost
				var holders []string
				for _, id := range ids {
					if w.engines[id].holds {
						holders = append(holders, id)
					}
				}
				next, ok := w.record.Grant(w.limit, id, e.sequence, holders, w.known)
				if ok {
					w.record = next
					e.pending = append(e.pending, e.sequence)
				}
			case "arrive":
				if len(e.pending) > 0 {
					e.arrive(rapid.IntRange(0, len(e.pending)-1).Draw(t, "which"))
				}
			case "unload":
				if e.holds {
					e.holds = false
					e.sequence++
				}
			case "other order":
				e.sequence++
			case "restart": // empty, under another id; what was under way names the old one
				delete(w.engines, id)
				w.engines[id] = &engine{}
				w.record.Engines = without(w.record.Engines, id)
			}
			if n := w.replicas(); n > w.limit.Replicas {
				t.Fatalf("%d replicas, %d decided; record %v", n, w.limit.Replicas, w.record.Engines)
			}
		}
	})
}

// without is what settles an id that is gone, where a test's engine keeps its id.
func without(engines map[string]int64, id string) map[string]int64 {
	rest := map[string]int64{}
	for other, decided := range engines {
		if other != id {
			rest[other] = decided
		}
	}
	return rest
}

// TestGrant: single decisions.
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
		{"a load may be under way", map[string]int64{"b": 4}, map[string]Engine{"b": {Exists: true, Sure: true, Sequence: 4}}, []string{"c"}, false},
		{"the load is settled", map[string]int64{"b": 4}, map[string]Engine{"b": {Exists: true, Sure: true, Sequence: 5}}, []string{"c"}, true},
		{"it was carried out", map[string]int64{"b": 4}, map[string]Engine{"b": {Exists: true, Sure: true, Holds: true, Sequence: 5}}, []string{"c"}, false},
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
		t.Error("failure domains of a limit")
	}
}
