package replicas

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/martenport/martenport/serving"
)

// index finds engines by what they hold. Decisions for one request then cost by
// the copies of its model, not by the size of the fleet.
type index struct {
	// engines are all, in the order of ids; nil when that has to be made anew.
	engines []*Engine
	// holding are the engines with a copy of a model in any state; nil when
	// that has to be made anew.
	holding map[string][]*Engine
	// cached are the engines with a model's weights in memory or on disk; nil
	// when that has to be made anew.
	cached map[string][]*Engine
}

// Engines returns all accounts, in the order of ids.
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

// holding returns the engines with a copy of the model.
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

// caching returns the engines that have the model's weights.
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

// copiesChanged notes that an engine has other copies than before.
func (f *Fleet) copiesChanged() { f.index.holding = nil }

// copyAdded and copyRemoved note one copy more or less: a decision plans many, and to
// make the index anew for each was a third of its time with 124 engines.
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

// copiesOf counts the copies of a model that serve or will; those on engines that
// fail or take no more do not.
func (f *Fleet) copiesOf(model string, now time.Time) int {
	n := 0
	for _, e := range f.holding(model) {
		if e.Copies[model].State != Leaving && e.takes(now) {
			n++
		}
	}
	return n
}
