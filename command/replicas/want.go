package replicas

import (
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
	// For is what it waits for until then.
	For serving.Wait
}

// Find returns where a unit of a service is served or will be. A model that no
// engine has becomes wanted; Dispatch decides which engine takes it, as late as
// possible, since what is known then is better. waiting is what waits for it at
// the instance that asks. ok is false if no engine can take the unit.
func (f *Fleet) Find(service string, unit serving.Unit, waiting Waiting, now time.Time) (found Found, ok bool) {
	if waiting.value() > 0 {
		f.Waits(service, unit.Model, waiting, now)
	}
	if found, ok := f.existing(service, unit, now); ok {
		return found, true
	}
	if f.suspended {
		return Found{}, false
	}
	if unit.Adapter != "" && f.copiesOf(unit.Model, now) > 0 {
		return f.placeAdapter(service, unit, now)
	}
	w := f.wants[unit.Model]
	if w == nil {
		return Found{}, false // nobody waits
	}
	if !w.estimate.After(now) {
		f.setWanted(now)
		ready, ok := f.expect(w, now)
		if !ok {
			return Found{}, false
		}
		w.estimate = ready
	}
	return Found{Ready: w.estimate, For: w.waitsFor}, true
}

// expect returns when a wanted model is expected to be ready.
func (f *Fleet) expect(w *want, now time.Time) (time.Time, bool) {
	w.worth = f.claim(w, now)
	if c, ok := f.bestChoice(w, nil, now); ok {
		return f.prospect(w, c, now), true
	}
	w.waitsFor = serving.WaitWeightStore
	return f.remoteTurn(w, now)
}

// prospect returns when a wanted model is expected to be ready at a place: once its
// claim exceeds what has to be evicted, and behind the models with higher claims,
// which all engines load by turns.
func (f *Fleet) prospect(w *want, c choice, now time.Time) time.Time {
	ahead := 0
	for _, other := range f.wants {
		if other != w && other.worth > w.worth && f.copiesOf(other.model, now) == 0 {
			ahead++
		}
	}
	turn := f.diskLoad(w.model) + f.pace.idle
	queue := turn * time.Duration(ahead) / time.Duration(max(1, len(f.engines)))
	hold := f.acceptable(w, c.loss, now).Sub(now)
	w.waitsFor = c.waitsFor(hold)
	return c.ready.Add(hold + queue)
}

// remoteTurn returns when a wanted model that must come from the weight store will
// be ready, behind the loads that run and the more wanted models that must come
// from there, too.
func (f *Fleet) remoteTurn(w *want, now time.Time) (time.Time, bool) {
	var load time.Duration
	lanes := make([]time.Time, 0, f.store.limit())
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
	for len(lanes) < f.store.limit() {
		lanes = append(lanes, now)
	}
	for _, other := range f.wants {
		if f.copiesOf(other.model, now) == 0 && other.before(w) && len(f.caching(other.model)) == 0 {
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

// byClaim returns the wanted models that no engine has or gets and those that
// should have further copies, the highest claims first.
func (f *Fleet) byClaim(now time.Time) []*want {
	wants := f.extraWants(now)
	for _, w := range f.wants {
		if f.copiesOf(w.model, now) == 0 {
			wants = append(wants, w)
		}
	}
	for _, w := range wants {
		w.worth = f.claim(w, now)
	}
	slices.SortFunc(wants, func(a, b *want) int { return compareFloat(-a.worth, -b.worth, a.model, b.model) })
	return wants
}

// lookAhead is how many wanted models more than there are free engines are
// looked at: some wait for busy ones.
const lookAhead = 16

// Dispatch starts what is wanted on engines that are free, the highest claim
// first. A model for which a busy engine is the better choice goes on waiting, and
// so does one whose claim is less than what has to be evicted for it.
func (f *Fleet) Dispatch(now time.Time) []Operation {
	if f.suspended {
		return nil
	}
	var operations []Operation
	claimed := map[string]time.Duration{}
	f.decay(now)
	f.forgetWaiting(now)
	f.remote.begin(now)
	f.setWanted(now)
	free := len(f.free(now))
	if free == 0 {
		return nil // to compare claims would only take a busy holder's time
	}
	wants := f.byClaim(now)
	for i, w := range wants {
		if free == 0 || i >= free+lookAhead {
			break
		}
		c, ok := f.bestChoice(w, claimed, now)
		if !ok {
			if ready, queued := f.remoteTurn(w, now); queued && !w.extra {
				w.estimate = ready
			}
			continue
		}
		hold := f.acceptable(w, c.price, now).Sub(now)
		w.estimate = f.prospect(w, c, now)
		if hold > 0 {
			continue
		}
		if c.engine.Busy || now.Before(c.engine.NotBefore) || claimed[c.engine.Server.ID] > 0 || c.engine.adaptersFirst(now) {
			claimed[c.engine.Server.ID] += f.loadTime(c.engine.Spec.Models[w.model], c.tier, c.together)
			continue
		}
		operations = append(operations, f.start(c, w.model, now))
		free--
		f.setWanted(now)
	}
	return operations
}

// existing returns the copy that serves the unit, or will first.
func (f *Fleet) existing(service string, unit serving.Unit, now time.Time) (best Found, ok bool) {
	var told *Copy
	for _, e := range f.holding(unit.Model) {
		c := e.Copies[unit.Model]
		if e.Server.Service != service || c.State == Leaving || !e.takes(now) {
			continue
		}
		ready := c.Ready
		if unit.Adapter != "" {
			a := c.Adapters[unit.Adapter]
			if a == nil || a.missing {
				continue
			}
			ready = later(ready, a.Ready)
			a.Used = now
		}
		if c.loading(unit.Adapter) && !ready.After(now) {
			ready = now.Add(postponement)
		}
		if !ok || ready.Before(best.Ready) {
			best, ok = Found{Engine: e.Server.ID, Ready: ready, For: serving.WaitLoad}, true
			told = c
		}
	}
	if told != nil {
		told.toldUntil = later(best.Ready, now).Add(f.wordAge)
	}
	return best, ok
}
