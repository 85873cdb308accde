package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// spareClaim is the claim of a second copy that only guards against the loss of an
// engine, as a share of the model's requests.
const spareClaim = 0.02

// extraWants returns the models that should have copies ahead of requests: further
// ones, where their claim is the weight, within the horizon, of the requests that are
// beyond what the copies carry; and first ones of models that are asked for, where it
// is what their absence costs.
func (f *Fleet) extraWants(now time.Time) []*want {
	var wants []*want
	for model, d := range f.demand {
		copies := f.copiesOf(model, now)
		if copies >= f.wantedCopies(model) || copies == 0 && f.wants[model] != nil {
			continue
		}
		service, known := f.serviceOf(model)
		if !known {
			continue
		}
		claim := f.absence(model)
		if copies > 0 {
			claim = f.params.Horizon.Seconds() * d.Weight * max(spareClaim, 1-float64(copies)*f.params.CopyLoad/max(1, d.Running))
		}
		wants = append(wants, &want{
			service: service, model: model, extra: true, since: now, waiting: map[string]heardWaiting{"": {value: claim, at: now}},
		})
	}
	return wants
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

// wantedCopies is how many copies the requests for a model need.
func (f *Fleet) wantedCopies(model string) int {
	d := f.demandOf(model)
	n := int(math.Ceil(d.Running / f.params.CopyLoad))
	if d.Rate >= f.params.SpareRate {
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
