package replicas

import (
	"maps"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Found is where a unit is or will be.
type Found struct {
	// Engine is empty while it is not decided which one takes the unit.
	Engine string
	// Ready is when it serves, as expected; a time past means now.
	Ready time.Time
	// Start, if set, is the operation to carry out for it.
	Start *Operation
}

// want is a model that requests wait for and that no engine has.
type want struct {
	service, model string
	// value is the weight of the requests that asked, together.
	value float64
	// asked is when the last of them did.
	asked time.Time
	// estimate is when the model is expected to be ready.
	estimate time.Time
}

// Find returns where a unit of a service is served or will be. A model that no
// engine has becomes wanted; Dispatch decides which engine takes it, as late as
// possible, since what is known then is better. weight is that of the request.
// ok is false if no engine can take the unit.
func (f *Fleet) Find(service string, unit serving.Unit, weight float64, now time.Time) (found Found, ok bool) {
	if found, ok := f.existing(service, unit, now); ok {
		return found, true
	}
	if unit.Adapter != "" && f.copiesOf(unit.Model, now) > 0 {
		return f.placeAdapter(service, unit, now)
	}
	w := f.wants[unit.Model]
	if w == nil {
		w = &want{service: service, model: unit.Model}
		f.wants[unit.Model] = w
	}
	w.value += weight
	w.asked = now
	if !w.estimate.After(now) {
		ready, ok := f.expect(w, now)
		if !ok {
			return Found{}, false
		}
		w.estimate = ready
	}
	return Found{Ready: w.estimate}, true
}

// expect returns when a wanted model is expected to be ready.
func (f *Fleet) expect(w *want, now time.Time) (time.Time, bool) {
	if c, ok := f.bestChoice(w.service, w.model, nil, now); ok {
		return c.ready, true
	}
	return f.remoteTurn(w, now)
}

// remoteTurn returns when a wanted model that must come from the weight store will
// be ready, behind the loads that run and the more wanted models that must come
// from there, too.
func (f *Fleet) remoteTurn(w *want, now time.Time) (time.Time, bool) {
	var load time.Duration
	lanes := make([]time.Time, 0, f.params.RemoteAtOnce)
	for _, e := range f.Engines() {
		if e.Server.Service == w.service && e.usable(now) {
			load = e.Spec.Models[w.model].RemoteLoad
		}
		if e.Busy && e.remote {
			lanes = append(lanes, later(e.Free, now))
		}
	}
	if load == 0 || len(f.caching(w.model)) > 0 {
		return time.Time{}, false
	}
	for len(lanes) < f.params.RemoteAtOnce {
		lanes = append(lanes, now)
	}
	for _, other := range f.wants {
		if other != w && other.value > w.value && len(f.caching(other.model)) == 0 {
			first := earliest(lanes)
			lanes[first] = lanes[first].Add(load)
		}
	}
	return lanes[earliest(lanes)].Add(load + f.params.OrderTime), true
}

// earliest returns the index of the earliest time.
func earliest(times []time.Time) int {
	first := 0
	for i, t := range times {
		if t.Before(times[first]) {
			first = i
		}
	}
	return first
}

func (f *Fleet) byValue() []*want {
	wants := make([]*want, 0, len(f.wants))
	for _, w := range f.wants {
		wants = append(wants, w)
	}
	slices.SortFunc(wants, func(a, b *want) int { return compareFloat(-a.value, -b.value, a.model, b.model) })
	return wants
}

// lookAhead is how many wanted models more than there are free engines are
// looked at: some wait for busy ones.
const lookAhead = 16

// Dispatch starts what is wanted on engines that are free, the most wanted
// first. A model for which a busy engine is the better choice goes on waiting.
func (f *Fleet) Dispatch(now time.Time) []Operation {
	var operations []Operation
	claimed := map[string]time.Duration{}
	maps.DeleteFunc(f.wants, func(_ string, w *want) bool {
		return now.Sub(w.asked) > f.params.WantLifetime && now.After(w.estimate) || f.copiesOf(w.model, now) > 0
	})
	wants := f.byValue()
	free := len(f.free(now))
	for i, w := range wants {
		if free == 0 || i >= free+lookAhead {
			break
		}
		c, ok := f.bestChoice(w.service, w.model, claimed, now)
		if !ok {
			if ready, queued := f.remoteTurn(w, now); queued {
				w.estimate = ready
			}
			continue
		}
		w.estimate = c.ready
		if c.engine.Busy || now.Before(c.engine.NotBefore) || claimed[c.engine.Server.ID] > 0 {
			claimed[c.engine.Server.ID] += c.engine.Spec.Models[w.model].LoadTime(c.tier)
			continue
		}
		operations = append(operations, f.start(c, w.model, now))
		free--
		delete(f.wants, w.model)
	}
	return operations
}

// existing returns the copy that serves the unit, or will first.
func (f *Fleet) existing(service string, unit serving.Unit, now time.Time) (best Found, ok bool) {
	for _, e := range f.holding(unit.Model) {
		c := e.Copies[unit.Model]
		if e.Server.Service != service || c.State == Leaving || e.Server.Draining || now.Before(e.Failing) {
			continue
		}
		ready := c.Ready
		if unit.Adapter != "" {
			a := c.Adapters[unit.Adapter]
			if a == nil {
				continue
			}
			ready = later(ready, a.Ready)
			a.Used = now
		}
		if !ok || ready.Before(best.Ready) {
			best, ok = Found{Engine: e.Server.ID, Ready: ready}, true
		}
	}
	if ok {
		f.engines[best.Engine].Copies[unit.Model].need(later(best.Ready, now).Add(f.params.KeepFor))
	}
	return best, ok
}

func (c *Copy) need(until time.Time) { c.Needed = later(c.Needed, until) }
