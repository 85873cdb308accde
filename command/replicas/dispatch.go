package replicas

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Found states on which engine a unit is loaded or will be.
type Found struct {
	// Engine is empty until it is decided which engine loads the unit.
	Engine string
	// Ready is when the unit is expected to serve; a time in the past means now.
	Ready time.Time
	// Start, if set, is the operation that must be carried out for the unit.
	Start *Operation
	// WaitReason is what the request waits for until Ready.
	WaitReason serving.Wait
}

// Find returns where a unit of a service is loaded or will be. A model that no engine has is recorded as wanted.
// Dispatch decides which engine loads it, as late as possible, when the state of the engines is known best. waiting
// describes the requests that wait for the unit at the calling instance. ok is false if no engine can load the unit now;
// found.Ready is then the earliest time at which the unit can be ready, if that is known.
func (f *Fleet) Find(service string, unit serving.Unit, waiting Waiting, now time.Time) (found Found, ok bool) {
	if waiting.value() > 0 {
		f.SetWaiting(service, unit.Model, waiting, now)
	}
	if found, ok := f.findCopy(service, unit, "", now); ok {
		return found, true
	}
	if f.suspended {
		return f.unplaced(unit, now), false
	}
	if unit.Adapter != "" && f.copiesOf(unit.Model, now) > 0 {
		return f.placeAdapter(service, unit, "", now)
	}
	w := f.wantedModels[unit.Model]
	if w == nil {
		return Found{}, false // no request is waiting for the model
	}
	if !w.estimatedReady.After(now) {
		f.refreshSlackValue(w, now)
		f.updateWantedValue(now)
		ready, ok := f.estimateReady(w, now)
		if !ok {
			return f.unplaced(unit, now), false
		}
		w.estimatedReady = ready
	}
	return Found{Ready: w.estimatedReady, WaitReason: w.waitReason}, true
}

// estimateReady returns when a wanted model is expected to be ready, and records what it waits for. It returns false if
// no engine can load it.
func (f *Fleet) estimateReady(w *wantedModel, now time.Time) (time.Time, bool) {
	w.benefit = f.benefitOf(w, now)
	if c, ok := f.bestPlacement(w, nil, now); ok {
		return f.placementReady(w, c, now), true
	}
	w.waitReason = serving.WaitWeightStore
	return f.remoteQueueReady(w, now)
}

// placementReady returns when a wanted model is expected to be ready with a placement option: its load starts once its
// benefit exceeds the cost of the evictions, and after the loads of models of higher benefit, which are spread over all
// engines.
func (f *Fleet) placementReady(w *wantedModel, c placementOption, now time.Time) time.Time {
	ahead := f.aheadOf(w, now)
	perLoad := f.diskLoad(w.model) + f.unloadTimes.idle
	queueDelay := perLoad * time.Duration(ahead) / time.Duration(max(1, len(f.engines)))
	delay := f.acceptableAt(w, c.evictionCost, now).Sub(now)
	held := f.holdUntil(w, c, now).Sub(now)
	w.waitReason = c.waitReason(max(delay, held))
	return c.ready.Add(max(delay+queueDelay, held))
}

// aheadOf returns how many loads are expected to begin before that of a wanted model.
func (f *Fleet) aheadOf(w *wantedModel, now time.Time) int {
	if w.rankedAt.Equal(now) {
		return w.rank
	}
	ahead := 0
	for _, other := range f.wantedModels {
		if other != w && f.goesBefore(other, w) && f.copiesOf(other.model, now) == 0 {
			ahead++
		}
	}
	return ahead
}

// earliestIndex returns the index of the earliest time.
func earliestIndex(times []time.Time) int {
	first := 0
	for i, t := range times {
		if t.Before(times[first]) {
			first = i
		}
	}
	return first
}

// byBenefit returns the wanted models that have no copy and the models to load proactively, highest benefit first.
func (f *Fleet) byBenefit(now time.Time) []*wantedModel {
	models := f.proactiveLoads(now)
	for _, w := range f.wantedModels {
		if f.copiesOf(w.model, now) == 0 {
			models = append(models, w)
		}
	}
	for _, w := range models {
		w.benefit = f.benefitOf(w, now)
	}
	slices.SortFunc(models, func(a, b *wantedModel) int { return compareFloat(-a.benefit, -b.benefit, a.model, b.model) })
	return models
}

// lookAhead is how many models are considered in addition to the number of free engines, since some of them are better
// placed on busy engines.
const lookAhead = 16

// Dispatch starts loads of wanted models on free engines, highest benefit first. A model keeps waiting if a busy engine is
// its best option, or if its benefit is lower than the cost of its placement.
func (f *Fleet) Dispatch(now time.Time) []Operation {
	if f.suspended {
		return nil
	}
	var operations []Operation
	reserved := map[string]time.Duration{}
	f.decay(now)
	f.expireWaiting(now)
	f.remoteLimiter.start(now)
	f.noteShortage(now)
	f.updateWantedValue(now)
	free := len(f.freeEngines(now))
	if free == 0 {
		return nil // saves the holder the time to rank the models
	}
	models := f.byBenefit(now)
	f.sortBySlack(models, now)
	considered := 0
	for _, w := range models {
		if free == 0 || considered >= free+lookAhead {
			break
		}
		if f.deferred(w, now) {
			continue
		}
		considered++
		c, ok := f.bestPlacement(w, reserved, now)
		if !ok {
			if ready, queued := f.remoteQueueReady(w, now); queued && !w.proactive {
				w.estimatedReady = ready
			}
			continue
		}
		delay := f.acceptableAt(w, c.minBenefit, now).Sub(now)
		w.estimatedReady = f.placementReady(w, c, now)
		if f.deferLoad(w, c, delay, now) {
			continue
		}
		if c.engine.Busy || now.Before(c.engine.NotBefore) || reserved[c.engine.Server.ID] > 0 || c.engine.adapterLoadPending(now) {
			reserved[c.engine.Server.ID] += f.loadTime(c.engine.Spec.Models[w.model], c.tier, c.concurrency)
			continue
		}
		op := f.startLoad(c, w.model, now)
		f.recordOrder(w, &op, now)
		operations = append(operations, op)
		free--
		f.updateWantedValue(now)
	}
	return operations
}

// findCopy returns the engine, of a software version unless that is "", whose copy is the first to serve the unit, now or
// later, and records that the copy is in use. It returns false if there is none.
func (f *Fleet) findCopy(service string, unit serving.Unit, version string, now time.Time) (best Found, ok bool) {
	var chosen *Copy
	for _, e := range f.holding(unit.Model) {
		c := e.Copies[unit.Model]
		if e.Server.Service != service || !e.hasVersion(version) || c.State == Unloading || !e.acceptsRequests(now) {
			continue
		}
		ready := c.Ready
		if unit.Adapter != "" {
			a := c.Adapters[unit.Adapter]
			if a == nil || a.missing {
				continue
			}
			ready = later(ready, a.Ready)
			a.LastUsed = now
		}
		if c.loading(unit.Adapter) && !ready.After(now) {
			ready = now.Add(postponeInterval)
		}
		if !ok || ready.Before(best.Ready) {
			best, ok = Found{Engine: e.Server.ID, Ready: ready, WaitReason: serving.WaitLoad}, true
			chosen = c
		}
	}
	if chosen != nil {
		chosen.inUseUntil = later(best.Ready, now).Add(f.reportAge)
	}
	return best, ok
}
