package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// spareCopyBenefit is the benefit of a second copy that only guards against the loss of an engine, as a share of the
// weight of the model's requests.
const spareCopyBenefit = 0.02

// proactiveLoads returns the models of which a copy should be loaded before requests wait for one. The benefit of a
// further copy is the weight, within the horizon, of the requests beyond the capacity of the existing copies. The
// benefit of a first copy is the cost of having none.
func (f *Fleet) proactiveLoads(now time.Time) []*wantedModel {
	if now.Sub(f.proactiveCheckedAt) < proactiveInterval {
		return nil
	}
	f.proactiveCheckedAt = now
	var models []*wantedModel
	for model, d := range f.demand {
		copies := f.copiesOf(model, now)
		if copies >= f.wantedCopies(model) || copies == 0 && f.wantedModels[model] != nil {
			continue
		}
		e, known := f.engineConfiguredFor(model)
		if !known {
			continue
		}
		benefit := f.absenceCost(model)
		if copies > 0 {
			uncovered := 1 - float64(copies)*f.copyCapacity(e)/max(1, f.offered(d))
			benefit = f.params.Horizon.Seconds() * d.Weight * max(spareCopyBenefit, uncovered)
		}
		models = append(models, &wantedModel{
			service: e.Server.Service, model: model, proactive: true, waitingSince: now, waiting: map[string]reportedWaiting{"": {value: benefit, at: now}},
		})
	}
	return models
}

// proactiveInterval is how often all models are checked for proactive loads: demand shifts within seconds, and a fleet
// has hundreds of models.
const proactiveInterval = 100 * time.Millisecond

// hasUnloadedWeights reports whether the engine has weights in memory or on disk of models that are not loaded on it.
func (e *Engine) hasUnloadedWeights() bool {
	for model, tier := range e.Tiers {
		if tier >= serving.TierDisk && e.Copies[model] == nil {
			return true
		}
	}
	return false
}

// wantedCopies returns how many copies the requests for a model need.
func (f *Fleet) wantedCopies(model string) int {
	d, requested := f.demand[model]
	e, known := f.engineConfiguredFor(model)
	if !requested || !known {
		return 0
	}
	n := int(math.Ceil(f.offered(d) / f.copyCapacity(e)))
	if d.Rate >= f.params.SpareRate {
		n = max(n, 2)
	}
	return n
}

// copyCapacity returns how many concurrent requests one copy on an engine is meant to serve.
func (f *Fleet) copyCapacity(e *Engine) float64 {
	return max(1, f.params.CopyShare*float64(e.Spec.Slots))
}

// engineConfiguredFor returns an engine whose configuration includes the model.
func (f *Fleet) engineConfiguredFor(model string) (*Engine, bool) {
	for _, e := range f.Engines() {
		if _, known := e.Spec.Models[model]; known {
			return e, true
		}
	}
	return nil, false
}
