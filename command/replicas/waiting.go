package replicas

import (
	"maps"
	"time"
)

// Waiting is what an instance says of its requests that wait for a model.
type Waiting struct {
	// Instance is the name of the instance.
	Instance string
	// Value is the weight of the requests that wait there, together.
	Value float64
}

// want is a model that requests wait for. It outlasts the start of the load until
// instances say that nobody waits any more: the copy is needed for those requests.
type want struct {
	service, model string
	// extra: it has copies, and should have one more.
	extra bool
	// waiting is the weight of the requests by instance.
	waiting map[string]heardWaiting
	// since is when the first of the requests began to wait.
	since time.Time
	// estimate is when the model is expected to be ready.
	estimate time.Time
}

// heardWaiting is what an instance said last, and when.
type heardWaiting struct {
	value float64
	at    time.Time
}

// value is the weight of all requests that wait.
func (w *want) value() float64 {
	total := 0.0
	for _, h := range w.waiting {
		total += h.value
	}
	return total
}

// impatience is the time in which the claim of a waiting request doubles, so that a
// rare model is not passed over for ever while busier ones are wanted again and
// again: several loads from disk.
const impatience = 4 * time.Second

// claim is what serving the requests that wait is worth, rising while they do, and
// what the copy is worth for those that follow.
func (f *Fleet) claim(w *want, now time.Time) float64 {
	if w.extra {
		return w.value()
	}
	return w.value()*(1+max(0, now.Sub(w.since).Seconds()/impatience.Seconds())) + f.absence(w.model)
}

// acceptable returns when the claim will exceed a cost.
func (f *Fleet) acceptable(w *want, cost float64, now time.Time) time.Time {
	short := cost - f.claim(w, now)
	if short <= 0 {
		return now
	}
	if value := w.value(); value > 0 && !w.extra {
		return now.Add(time.Duration(short / value * float64(impatience)))
	}
	return now.Add(never)
}

// never is longer than anything waits.
const never = time.Hour

// Waits takes over how much waits for a model at an instance, in place of what the
// instance said before.
func (f *Fleet) Waits(service, model string, waiting Waiting, now time.Time) {
	w := f.wants[model]
	if waiting.Value <= 0 {
		if w != nil {
			delete(w.waiting, waiting.Instance)
		}
		return
	}
	if w == nil {
		w = &want{service: service, model: model, waiting: map[string]heardWaiting{}, since: now}
		f.wants[model] = w
	}
	if len(w.waiting) == 0 {
		w.since = now
	}
	w.waiting[waiting.Instance] = heardWaiting{value: waiting.Value, at: now}
}

// WaitsOnly takes over all that waits at an instance, in place of what it said
// before: what is not named waits no more.
func (f *Fleet) WaitsOnly(instance string, models map[string]float64, now time.Time) {
	for model, w := range f.wants {
		value := models[model]
		if _, waited := w.waiting[instance]; waited || value > 0 {
			f.Waits(w.service, model, Waiting{Instance: instance, Value: value}, now)
		}
	}
}

// forgetWaiting drops what instances have not said again for long.
func (f *Fleet) forgetWaiting(now time.Time) {
	for _, w := range f.wants {
		maps.DeleteFunc(w.waiting, func(_ string, h heardWaiting) bool { return now.Sub(h.at) > f.params.WantLifetime })
	}
	maps.DeleteFunc(f.wants, func(_ string, w *want) bool { return len(w.waiting) == 0 })
}

// waitingFor is the weight of the requests that wait for a model.
func (f *Fleet) waitingFor(model string) float64 {
	if w := f.wants[model]; w != nil {
		return w.value()
	}
	return 0
}
