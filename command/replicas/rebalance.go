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
		if !ok || c.engine.free(now).After(now) || c.tier == serving.TierRemote && f.copiesOf(model, now) > 0 {
			continue
		}
		return []Operation{f.start(c, model, now)}
	}
	return nil
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
