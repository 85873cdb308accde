package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// FindVersion is Find for a stream that goes on only at engines of a software version. A model that no such engine has
// is loaded at once, on an engine that is free, since the client of a broken stream waits only briefly.
func (f *Fleet) FindVersion(service string, unit serving.Unit, version string, waiting Waiting, now time.Time) (found Found, ok bool) {
	if found, ok := f.findCopy(service, unit, version, now); ok {
		return found, true
	}
	if f.suspended {
		return Found{}, false
	}
	if unit.Adapter != "" {
		if found, ok := f.placeAdapter(service, unit, version, now); ok {
			return found, true
		}
	}
	if _, loaded := f.findCopy(service, serving.Unit{Model: unit.Model}, version, now); loaded {
		return Found{}, false
	}
	return f.loadVersion(service, unit.Model, version, waiting, now)
}

// loadVersion plans to load a model on a free engine of a software version. ok is false if there is none, or if the
// load costs other requests more than it benefits the waiting ones.
func (f *Fleet) loadVersion(service, model, version string, waiting Waiting, now time.Time) (found Found, ok bool) {
	w := &wantedModel{
		service: service, model: model, version: version, waitingSince: now,
		waiting: map[string]reportedWaiting{waiting.Instance: {value: waiting.value(), at: now, until: now.Add(waiting.maxWait())}},
	}
	c, possible := f.bestPlacement(w, nil, now)
	if !possible || c.engine.freeAt(now).After(now) || c.engine.adapterLoadPending(now) || f.benefitOf(w, now) < c.minBenefit {
		return Found{}, false
	}
	op := f.startLoad(c, model, now)
	return Found{Engine: op.Engine, Ready: op.Ready, Start: &op, WaitReason: c.waitReason(0)}, true
}

// hasVersion reports whether the engine's software has the given version; each has "".
func (e *Engine) hasVersion(version string) bool { return version == "" || e.Server.Version == version }
