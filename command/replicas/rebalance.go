package replicas

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Rebalance plans what demand asks for beyond single requests: further copies
// of models that many requests need. One operation at a time is planned, since
// each changes what the next should be.
func (f *Fleet) Rebalance(now time.Time) []Operation {
	f.decay(now)
	for _, model := range slices.SortedFunc(maps.Keys(f.demand), f.byRate) {
		if f.copiesOf(model, now) >= f.wantedCopies(model) {
			continue
		}
		service, known := f.serviceOf(model)
		if !known {
			continue
		}
		c, ok := f.bestChoice(service, model, nil, now)
		if !ok || c.engine.free(now).After(now) || !f.worthwhile(c, model, now) {
			continue
		}
		return []Operation{f.start(c, model, now)}
	}
	return nil
}

// worthwhile reports whether a copy beyond what single requests ask for is worth
// its load. One from the weight store takes an engine several seconds, in which it
// could load others from its own disk. So it is if it is the first copy, or if it
// goes into free memory of an engine that has no weights of its own, as new ones.
func (f *Fleet) worthwhile(c choice, model string, now time.Time) bool {
	return c.tier != serving.TierRemote || f.copiesOf(model, now) == 0 || len(c.evict) == 0 && !c.engine.hasWeights()
}

// hasWeights reports whether the engine has weights of models that it does not
// hold.
func (e *Engine) hasWeights() bool {
	for model, tier := range e.Tiers {
		if tier >= serving.TierDisk && e.Copies[model] == nil {
			return true
		}
	}
	return false
}

// byRate orders models by falling rate.
func (f *Fleet) byRate(a, b string) int {
	return compareFloat(-f.demand[a].Rate, -f.demand[b].Rate, a, b)
}

// wantedCopies is how many copies the requests for a model need.
func (f *Fleet) wantedCopies(model string) int {
	rate := f.rate(model)
	n := int(math.Ceil(rate * f.params.RequestTime.Seconds() / f.params.CopyLoad))
	if rate >= f.params.SpareRate {
		n = max(n, 2)
	}
	return n
}

// serviceOf returns the service that has the model.
func (f *Fleet) serviceOf(model string) (string, bool) {
	for _, e := range f.Engines() {
		if _, known := e.Spec.Models[model]; known {
			return e.Server.Service, true
		}
	}
	return "", false
}
