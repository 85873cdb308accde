package replicas

import (
	"maps"
	"time"

	"github.com/martenport/martenport/serving"
)

// Waiting is an instance's report of its requests that wait for a model.
type Waiting struct {
	// Instance is the name of the instance.
	Instance string
	// OnTime is the total weight of the waiting requests that can still be answered within their objective, Late that
	// of the others.
	OnTime, Late float64
	// Left is how long the request with the latest deadline still waits, 0 if that is not known.
	Left time.Duration
	// Slack are the same requests by slack, at most maxSlackGroups groups. It is empty if the instance does not report
	// it.
	Slack []Slack
}

// lateValueShare is the value of an answer after the objective, relative to one within it; the users give between 0.15
// and 0.35. With equal values all requests are late whenever demand exceeds what can be loaded: on the users'
// platform, the score fell from .75 to .68 under little traffic (4 runs), and by .007 +- .009 on average over six
// workloads (24 paired runs).
const lateValueShare = 0.3

// value returns the value of answering the requests.
func (w Waiting) value() float64 { return w.OnTime + lateValueShare*w.Late }

// maxWait returns how long the request with the latest deadline waits, never if that is not known.
func (w Waiting) maxWait() time.Duration {
	if w.Left <= 0 {
		return never
	}
	return w.Left
}

// wantedModel is a model that requests wait for. It is kept after its load has started, until the instances report that
// no request waits any more: the copy is needed for those requests.
type wantedModel struct {
	service, model string
	// version is the software version that the engine must have; "" for any.
	version string
	// proactive: a first or further copy should be loaded before requests wait for it.
	proactive bool
	// waiting has the value of the waiting requests, by instance.
	waiting map[string]reportedWaiting
	// waitingSince is when the first of the requests began to wait.
	waitingSince time.Time
	// benefit is the result of benefitOf when models were last ranked.
	benefit float64
	// estimatedReady is when the model is expected to be ready.
	estimatedReady time.Time
	// waitReason is what the requests wait for until then.
	waitReason serving.Wait
	// The following are set in contended services only, see orderBySlack. rank is the place in the order that was made
	// at rankedAt, and order states why the load has it. due is when the load must begin, zero if that is not known or
	// too late, and latestStart the same with regard to the loads after it. heldUntil is until when it waits for further
	// requests, and deferredUntil when it is considered next.
	order                                                string
	rank                                                 int
	due, latestStart, rankedAt, heldUntil, deferredUntil time.Time
}

// reportedWaiting is an instance's last report.
type reportedWaiting struct {
	value float64
	at    time.Time
	// until is when the request with the latest deadline gives up.
	until time.Time
	// slack has the requests by slack; empty in services that are not contended.
	slack []slackGroup
}

// waitsUntil returns when the last of the waiting requests gives up.
func (w *wantedModel) waitsUntil() time.Time {
	var last time.Time
	for _, r := range w.waiting {
		last = later(last, r.until)
	}
	return last
}

// value returns the value of answering all waiting requests.
func (w *wantedModel) value() float64 {
	total := 0.0
	for _, r := range w.waiting {
		total += r.value
	}
	return total
}

// precedes reports whether w goes first where both have to queue: the value of its requests is higher or, if equal, they
// wait for longer.
func (w *wantedModel) precedes(other *wantedModel) bool {
	switch own, others := w.value(), other.value(); {
	case own != others:
		return own > others
	case !w.waitingSince.Equal(other.waitingSince):
		return w.waitingSince.Before(other.waitingSince)
	default:
		return w.model < other.model
	}
}

// benefitDoubling is the time in which the benefit of serving a waiting request doubles, so that a rare model is not
// starved by busier ones that are wanted again and again. It is several times a load from disk.
const benefitDoubling = 4 * time.Second

// benefitOf returns the benefit of loading a model: the value of the waiting requests, which rises while they wait, plus
// the value of the copy for later requests.
func (f *Fleet) benefitOf(w *wantedModel, now time.Time) float64 {
	if w.proactive {
		return w.value()
	}
	return w.value()*(1+max(0, now.Sub(w.waitingSince).Seconds()/benefitDoubling.Seconds())) + f.absenceCost(w.model)
}

// acceptableAt returns when the benefit will exceed a cost.
func (f *Fleet) acceptableAt(w *wantedModel, cost float64, now time.Time) time.Time {
	missing := cost - f.benefitOf(w, now)
	if missing <= 0 {
		return now
	}
	value := w.value()
	if value <= 0 || w.proactive {
		return now.Add(never)
	}
	return now.Add(time.Duration(min(missing/value*float64(benefitDoubling), float64(never))))
}

// never is longer than any request waits.
const never = time.Hour

// SetWaiting sets how many requests wait for a model at an instance, replacing the instance's previous report.
func (f *Fleet) SetWaiting(service, model string, waiting Waiting, now time.Time) {
	w := f.wantedModels[model]
	if waiting.value() <= 0 {
		if w != nil {
			delete(w.waiting, waiting.Instance)
		}
		return
	}
	if w == nil {
		w = &wantedModel{service: service, model: model, waiting: map[string]reportedWaiting{}, waitingSince: now}
		f.wantedModels[model] = w
	}
	if len(w.waiting) == 0 {
		w.waitingSince = now
	}
	r := reportedWaiting{value: waiting.value(), at: now, until: now.Add(waiting.maxWait())}
	if f.contended[service] {
		r.slack = f.slackGroups(model, waiting, now)
		f.noteSlack(w, r.slack, now)
	}
	w.waiting[waiting.Instance] = r
}

// ReplaceWaiting sets all waiting requests of an instance, replacing its previous reports: no request waits there for
// models that are not in models. Only models that are already wanted are updated.
func (f *Fleet) ReplaceWaiting(instance string, models map[string]Waiting, now time.Time) {
	for model, w := range f.wantedModels {
		waiting := models[model]
		waiting.Instance = instance
		if _, waited := w.waiting[instance]; waited || waiting.value() > 0 {
			f.SetWaiting(w.service, model, waiting, now)
		}
	}
}

// expireWaiting drops reports that instances have not repeated within WaitingLifetime.
func (f *Fleet) expireWaiting(now time.Time) {
	for _, w := range f.wantedModels {
		maps.DeleteFunc(w.waiting, func(_ string, r reportedWaiting) bool { return now.Sub(r.at) > f.params.WaitingLifetime })
	}
	maps.DeleteFunc(f.wantedModels, func(_ string, w *wantedModel) bool { return len(w.waiting) == 0 })
}

// waitingValue returns the value of the requests that wait for a model.
func (f *Fleet) waitingValue(model string) float64 {
	if w := f.wantedModels[model]; w != nil {
		return w.value()
	}
	return 0
}
