package replicas

import (
	"math"
	"time"

	"github.com/martenport/martenport/serving"
)

// The functions in this file estimate when a model that only the weight store has can be loaded. A request that cannot
// wait that long is refused when it arrives, instead of after it has waited for nothing.

// remoteEngines describes the engines of a service that could load a model from the weight store.
type remoteEngines struct {
	// load is how long the load takes, 0 if no engine can load the model.
	load time.Duration
	// from is when the first of the engines can begin a load.
	from time.Time
}

// remoteEnginesFor returns which usable engines could load a wanted model from the weight store.
func (f *Fleet) remoteEnginesFor(w *wantedModel, now time.Time) (r remoteEngines) {
	for _, e := range f.engines {
		if e.Server.Service == w.service && e.usable(now) {
			r.add(e.Spec.Models[w.model].RemoteLoad, e.freeAt(now))
		}
	}
	return r
}

// unreadEnginesFor returns which engines could load a wanted model from the weight store once they have been read.
func (f *Fleet) unreadEnginesFor(w *wantedModel, now time.Time) (r remoteEngines) {
	for _, e := range f.engines {
		if e.Server.Service == w.service && e.MustBeRead && e.acceptsRequests(now) {
			r.add(e.Spec.Models[w.model].RemoteLoad, later(e.NotBefore, now))
		}
	}
	return r
}

// add adds an engine that can begin a load at from.
func (r *remoteEngines) add(load time.Duration, from time.Time) {
	if load <= 0 {
		return
	}
	if r.load == 0 || from.Before(r.from) {
		r.from = from
	}
	r.load = load
}

// nextRemoteLoad returns the earliest time at which the rate of the weight store allows another load to be planned.
func (f *Fleet) nextRemoteLoad(now time.Time) time.Time {
	use := f.remoteUse()
	f.refillRemoteTokens(use, now)
	return f.remoteLimiter.nextAt(use.rate, f.params.RemoteWindow, now)
}

// nextAt returns the earliest time at which the next load may be planned, given the rate in loads per second and the
// tokens as of now. Without a rate it returns now.
func (l *remoteLimiter) nextAt(rate float64, window time.Duration, now time.Time) time.Time {
	next := now
	if rate <= 0 {
		return next
	}
	if missing := 1 - l.tokens; missing > 0 {
		next = now.Add(time.Duration(missing / rate * float64(time.Second)))
	}
	allowed := max(1, int(math.Ceil(rate*window.Seconds())))
	if len(l.planTimes) >= allowed {
		next = later(next, l.planTimes[len(l.planTimes)-allowed].Add(window))
	}
	return next
}

// remoteQueueReady returns when a wanted model that must be loaded from the weight store is expected to be ready, after
// the current loads from there and those of models that take precedence. It returns false if an engine has the weights
// or no engine can load them.
func (f *Fleet) remoteQueueReady(w *wantedModel, now time.Time) (time.Time, bool) {
	return f.queueForStore(w, f.remoteEnginesFor(w, now), now)
}

// queueForStore returns when a wanted model is expected to be ready on one of the given engines, see remoteQueueReady.
func (f *Fleet) queueForStore(w *wantedModel, engines remoteEngines, now time.Time) (time.Time, bool) {
	if engines.load == 0 || len(f.caching(w.model)) > 0 {
		return time.Time{}, false
	}
	from := later(engines.from, f.nextRemoteLoad(now))
	slots := make([]time.Time, 0, f.store.limit())
	for _, e := range f.engines {
		if e.Busy && e.remote {
			slots = append(slots, later(e.FreeAt, from))
		}
	}
	for len(slots) < f.store.limit() {
		slots = append(slots, from)
	}
	for _, other := range f.wantedModels {
		if f.copiesOf(other.model, now) == 0 && other.precedes(w) && len(f.caching(other.model)) == 0 {
			first := earliestIndex(slots)
			slots[first] = slots[first].Add(engines.load)
		}
	}
	return slots[earliestIndex(slots)].Add(engines.load + f.params.OrderTime), true
}

// unplaced returns when a unit is expected to be ready for which no engine can be chosen now: if only the weight store
// has its model, after a load from there. Ready is zero if that is not known. A holder that has not read the engines yet
// and one that cannot send orders know this much.
func (f *Fleet) unplaced(unit serving.Unit, now time.Time) (found Found) {
	w := f.wantedModels[unit.Model]
	if w == nil || f.copiesOf(unit.Model, now) > 0 {
		return found
	}
	ready, ok := f.remoteQueueReady(w, now)
	if !ok {
		ready, ok = f.queueForStore(w, f.unreadEnginesFor(w, now), now)
	}
	if ok {
		found.Ready = ready
	}
	return found
}
