package replicas

import (
	"maps"
	"time"

	"github.com/martenport/martenport/serving"
)

// Waiting is what an instance says of its requests that wait for a model.
type Waiting struct {
	// Instance is the name of the instance.
	Instance string
	// OnTime is the weight, together, of the requests that wait there and could still
	// be answered within their objective, Late that of the others.
	OnTime, Late float64
	// Left is for how long the most patient of them still waits, 0 if that is not known.
	Left time.Duration
}

// lateShare is what an answer after the objective is worth against one within it:
// the users say between 0.15 and 0.35. With all alike, everybody is late where more is
// wanted than can be loaded: the quiet day of the users' platform earned .68, not .75
// (4 plays), six days .007 +- .009 less (24 pairs).
const lateShare = 0.3

// value is what an answer to the requests is worth.
func (w Waiting) value() float64 { return w.OnTime + lateShare*w.Late }

// patience is for how long the most patient of them is taken to wait.
func (w Waiting) patience() time.Duration {
	if w.Left <= 0 {
		return never
	}
	return w.Left
}

// want is a model that requests wait for. It outlasts the start of the load until
// instances say that nobody waits any more: the copy is needed for those requests.
type want struct {
	service, model string
	// extra: it should have a first or a further copy ahead of requests.
	extra bool
	// waiting is what an answer to the requests is worth, by instance.
	waiting map[string]heardWaiting
	// since is when the first of the requests began to wait.
	since time.Time
	// worth is its claim when claims were last compared.
	worth float64
	// estimate is when the model is expected to be ready.
	estimate time.Time
	// waitsFor is what it waits for until then.
	waitsFor serving.Wait
}

// heardWaiting is what an instance said last, and when.
type heardWaiting struct {
	value float64
	at    time.Time
	// until is when the most patient request leaves.
	until time.Time
}

// until is when the last of the requests that wait leaves.
func (w *want) until() time.Time {
	var last time.Time
	for _, h := range w.waiting {
		last = later(last, h.until)
	}
	return last
}

// value is what an answer to all requests that wait is worth.
func (w *want) value() float64 {
	total := 0.0
	for _, h := range w.waiting {
		total += h.value
	}
	return total
}

// before reports whether the want goes first where both have to queue: more waits for it
// or, of equal ones, for longer.
func (w *want) before(other *want) bool {
	switch own, others := w.value(), other.value(); {
	case own != others:
		return own > others
	case !w.since.Equal(other.since):
		return w.since.Before(other.since)
	default:
		return w.model < other.model
	}
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
	value := w.value()
	if value <= 0 || w.extra {
		return now.Add(never)
	}
	return now.Add(time.Duration(min(short/value*float64(impatience), float64(never))))
}

// never is longer than anything waits.
const never = time.Hour

// Waits takes over how much waits for a model at an instance, in place of what the
// instance said before.
func (f *Fleet) Waits(service, model string, waiting Waiting, now time.Time) {
	w := f.wants[model]
	if waiting.value() <= 0 {
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
	w.waiting[waiting.Instance] = heardWaiting{value: waiting.value(), at: now, until: now.Add(waiting.patience())}
}

// WaitsOnly takes over all that waits at an instance, in place of what it said
// before: what is not named waits no more.
func (f *Fleet) WaitsOnly(instance string, models map[string]Waiting, now time.Time) {
	for model, w := range f.wants {
		waiting := models[model]
		waiting.Instance = instance
		if _, waited := w.waiting[instance]; waited || waiting.value() > 0 {
			f.Waits(w.service, model, waiting, now)
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

// waitingFor is what an answer to the requests that wait for a model is worth.
func (f *Fleet) waitingFor(model string) float64 {
	if w := f.wants[model]; w != nil {
		return w.value()
	}
	return 0
}
