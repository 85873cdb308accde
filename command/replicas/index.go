package replicas

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/martenport/martenport/serving"
)

// index finds engines by the models that they hold, so that the cost of a decision for one request depends on the
// number of copies of its model, not on the size of the fleet.
type index struct {
	// engines are all engines ordered by ID; nil when it must be rebuilt.
	engines []*Engine
	// holding are the engines with a copy of a model in any state; nil when it must be rebuilt.
	holding map[string][]*Engine
	// cached are the engines with a model's weights in memory or on disk; nil when it must be rebuilt.
	cached map[string][]*Engine
}

// Engines returns the records of all engines, ordered by ID.
func (f *Fleet) Engines() []*Engine {
	if f.index.engines == nil {
		ids := slices.Sorted(maps.Keys(f.engines))
		f.index.engines = make([]*Engine, 0, len(ids))
		for _, id := range ids {
			f.index.engines = append(f.index.engines, f.engines[id])
		}
	}
	return f.index.engines
}

// holding returns the engines with a copy of the model in any state, ordered by ID.
func (f *Fleet) holding(model string) []*Engine {
	if f.index.holding == nil {
		f.index.holding = map[string][]*Engine{}
		for _, e := range f.Engines() {
			for name := range e.Copies {
				f.index.holding[name] = append(f.index.holding[name], e)
			}
		}
	}
	return f.index.holding[model]
}

// caching returns the engines that have the model's weights in memory or on disk.
func (f *Fleet) caching(model string) []*Engine {
	if f.index.cached == nil {
		f.index.cached = map[string][]*Engine{}
		for _, e := range f.Engines() {
			for name, tier := range e.Tiers {
				if tier >= serving.TierDisk {
					f.index.cached[name] = append(f.index.cached[name], e)
				}
			}
		}
	}
	return f.index.cached[model]
}

// copiesChanged invalidates the index after an engine's copies were replaced.
func (f *Fleet) copiesChanged() { f.index.holding = nil }

// copyAdded and copyRemoved update the index for a single copy. A decision plans many of them, and rebuilding the index
// for each took a third of its time with 124 engines.
func (f *Fleet) copyAdded(e *Engine, model string) {
	if f.index.holding == nil {
		return
	}
	holding := f.index.holding[model]
	at, _ := slices.BinarySearchFunc(holding, e, compareEngines)
	f.index.holding[model] = slices.Insert(slices.Clip(holding), at, e)
}

func (f *Fleet) copyRemoved(e *Engine, model string) {
	if f.index.holding == nil {
		return
	}
	keep := make([]*Engine, 0, len(f.index.holding[model]))
	for _, other := range f.index.holding[model] {
		if other != e {
			keep = append(keep, other)
		}
	}
	f.index.holding[model] = keep
}

func compareEngines(a, b *Engine) int { return strings.Compare(a.Server.ID, b.Server.ID) }

// copiesOf returns the number of copies of a model that serve requests or will. Copies on engines that are failing or
// accept no more requests do not count.
func (f *Fleet) copiesOf(model string, now time.Time) int {
	n := 0
	for _, e := range f.holding(model) {
		if e.Copies[model].State != Unloading && e.acceptsRequests(now) {
			n++
		}
	}
	return n
}
