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
	if now.Sub(f.extrasAt) < extrasInterval {
		return nil
	}
	f.extrasAt = now
	var wants []*want
	for model, d := range f.demand {
		copies := f.copiesOf(model, now)
		if copies >= f.wantedCopies(model) || copies == 0 && f.wants[model] != nil {
			continue
		}
		e, known := f.knowing(model)
		if !known {
			continue
		}
		claim := f.absence(model)
		if copies > 0 {
			beyond := 1 - float64(copies)*f.copyLoad(e)/max(1, d.Running)
			claim = f.params.Horizon.Seconds() * d.Weight * max(spareClaim, beyond)
		}
		wants = append(wants, &want{
			service: e.Server.Service, model: model, extra: true, since: now, waiting: map[string]heardWaiting{"": {value: claim, at: now}},
		})
	}
	return wants
}

// extrasInterval is how often all models are looked at for further copies: demand
// shifts within seconds, and a fleet has hundreds of models.
const extrasInterval = 100 * time.Millisecond

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
	d, asked := f.demand[model]
	e, known := f.knowing(model)
	if !asked || !known {
		return 0
	}
	n := int(math.Ceil(d.Running / f.copyLoad(e)))
	if d.Rate >= f.params.SpareRate {
		n = max(n, 2)
	}
	return n
}

// copyLoad is how many requests one copy on an engine carries.
func (f *Fleet) copyLoad(e *Engine) float64 { return max(1, f.params.CopyShare*float64(e.Spec.Slots)) }

// knowing returns an engine that could have the model.
func (f *Fleet) knowing(model string) (*Engine, bool) {
	for _, e := range f.Engines() {
		if _, known := e.Spec.Models[model]; known {
			return e, true
		}
	}
	return nil, false
}
