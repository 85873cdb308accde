package replicas

import (
	"slices"
	"time"
)

// This file applies the order by slack to the models of contended services. Models of other services keep their order
// by benefit, and their places in the order of all models.

// slackCheckInterval is the time between two dispatches if nothing else causes one.
const slackCheckInterval = 200 * time.Millisecond

// benefitCheckInterval is the maximum time after which a load of too little benefit is considered again: short compared
// with a load.
const benefitCheckInterval = 50 * time.Millisecond

// SetContended sets the services whose callers differ in patience, so that their models are loaded by slack.
func (f *Fleet) SetContended(services map[string]bool) { f.contended = services }

// slackGroups returns the groups of a report. If the instance does not report slack, its requests that can still be
// answered within their objective are assumed to leave as much time as a load takes.
func (f *Fleet) slackGroups(model string, waiting Waiting, now time.Time) []slackGroup {
	reported := waiting.Slack
	if len(reported) == 0 {
		reported = []Slack{{Weight: waiting.Late, Start: -1, Left: waiting.Left}, {Weight: waiting.OnTime, Start: f.diskLoad(model), Left: waiting.Left}}
	}
	groups := make([]slackGroup, 0, maxSlackGroups)
	for _, s := range reported[:min(len(reported), maxSlackGroups)] {
		if !(s.Weight > 0) {
			continue
		}
		left := min(s.Left, never)
		if left <= 0 {
			left = never
		}
		start := max(-never, min(s.Start, left))
		groups = append(groups, slackGroup{weight: BoundWeight(s.Weight), latestStart: now.Add(start), until: now.Add(left)})
	}
	return groups
}

// noteSlack has the estimate for a wanted model made again if newly reported requests leave less time than those before:
// the load no longer waits as long.
func (f *Fleet) noteSlack(w *wantedModel, groups []slackGroup, now time.Time) {
	for _, g := range groups {
		if g.latestStart.Before(now) {
			continue
		}
		if w.due.IsZero() || g.latestStart.Before(w.due) {
			w.due, w.latestStart = g.latestStart, g.latestStart
			w.estimatedReady, w.deferredUntil = time.Time{}, time.Time{}
		}
		return
	}
}

// refreshSlackValue computes the value of the waiting requests for a load that begins now. It is kept once a copy loads:
// the requests that are late only because of that still need it.
func (f *Fleet) refreshSlackValue(w *wantedModel, now time.Time) {
	if !f.contended[w.service] || w.proactive || f.copiesOf(w.model, now) > 0 {
		return
	}
	load := f.diskLoad(w.model)
	for instance, r := range w.waiting {
		if len(r.slack) == 0 {
			continue // reported before the service became contended
		}
		r.value = 0
		for _, g := range r.slack {
			r.value += g.valueIfLoaded(now, load)
		}
		w.waiting[instance] = r
	}
}

// noteShortage records which contended services have more wanted models than free engines. Models that only the weight
// store has do not count: they queue for the store, not for the engines.
func (f *Fleet) noteShortage(now time.Time) {
	if len(f.contended) == 0 {
		return
	}
	missing := map[string]int{}
	for _, w := range f.wantedModels {
		f.refreshSlackValue(w, now)
		if f.contended[w.service] && f.copiesOf(w.model, now) == 0 && len(f.caching(w.model)) > 0 {
			missing[w.service]++
		}
	}
	for _, e := range f.freeEngines(now) {
		missing[e.Server.Service]--
	}
	f.short = map[string]bool{}
	for service, n := range missing {
		f.short[service] = n > 0
	}
}

// sortBySlack puts the wanted models of contended services that engines have on their disks into the order by slack, at
// the places that they have in models.
func (f *Fleet) sortBySlack(models []*wantedModel, now time.Time) {
	if len(f.contended) == 0 {
		return
	}
	places := map[string][]int{}
	for i, w := range models {
		if f.contended[w.service] && !w.proactive && len(f.caching(w.model)) > 0 {
			places[w.service] = append(places[w.service], i)
		}
	}
	for service, at := range places {
		candidates := make([]*loadCandidate, 0, len(at))
		for _, i := range at {
			candidates = append(candidates, f.loadCandidate(models[i], now))
		}
		perLoad := candidates[0].load + f.unloadTimes.idle
		free := f.freeTimes(service, now)
		starts := startTimes(free, len(candidates), perLoad)
		concurrency := int(loadableShare * float64(len(free)))
		for i, w := range orderBySlack(candidates, starts, concurrency, perLoad, now) {
			models[at[i]] = w
		}
	}
}

// impatientShare is the share of a model's requests that cannot wait for a load, by weight, from which its load does not
// wait for further requests.
const impatientShare = 0.1

// loadableShare is the share of the engines on which loads that wait are counted on to begin: a model's weights lie on
// few engines, and copies of some are worth more than the load.
const loadableShare = 0.5

// loadCandidate describes a wanted model to orderBySlack.
func (f *Fleet) loadCandidate(w *wantedModel, now time.Time) *loadCandidate {
	age := 1 + max(0, now.Sub(w.waitingSince).Seconds()/benefitDoubling.Seconds())
	return &loadCandidate{w: w, groups: mergeGroups(w.waiting), load: f.diskLoad(w.model), age: age, extra: f.absenceCost(w.model), lateRate: f.demandOf(w.model).Late}
}

// freeTimes returns when the usable engines of a service can begin their next load, earliest first.
func (f *Fleet) freeTimes(service string, now time.Time) []time.Time {
	var times []time.Time
	for _, e := range f.Engines() {
		if e.Server.Service == service && e.usable(now) {
			times = append(times, e.freeAt(now))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// goesBefore reports whether a wanted model's load is expected to begin before another's.
func (f *Fleet) goesBefore(other, w *wantedModel) bool {
	if !f.contended[w.service] || other.service != w.service || other.proactive {
		return other.benefit > w.benefit
	}
	switch {
	case other.due.IsZero() && w.due.IsZero():
		return other.benefit > w.benefit
	case other.due.IsZero() || w.due.IsZero():
		return w.due.IsZero()
	default:
		return other.due.Before(w.due)
	}
}

// holdUntil returns until when a load waits for further requests although an engine could begin it: while its first
// requests have slack, if it would unload a copy in use or take the time of an engine that another model needs. The zero
// time means that it does not wait.
func (f *Fleet) holdUntil(w *wantedModel, c placementOption, now time.Time) time.Time {
	if !f.contended[w.service] || w.proactive || w.due.IsZero() || !f.short[w.service] && !c.inUse {
		return time.Time{}
	}
	if d := f.demandOf(w.model); d.Late > impatientShare*d.Weight {
		return time.Time{} // requests that arrive meanwhile would be late
	}
	return mayWaitUntil(earlier(w.due, w.latestStart), f.diskLoad(w.model), c.ready.Sub(now), slackCheckInterval, f.lateness)
}

// deferLoad reports whether a load does not begin yet: its benefit is too low for the given time, or it waits for further
// requests.
func (f *Fleet) deferLoad(w *wantedModel, c placementOption, lowBenefit time.Duration, now time.Time) bool {
	if !f.contended[w.service] || w.proactive {
		return lowBenefit > 0
	}
	w.heldUntil = f.holdUntil(w, c, now)
	switch {
	case lowBenefit > 0:
		w.deferredUntil = now.Add(min(lowBenefit, benefitCheckInterval))
	case w.heldUntil.After(now):
		w.deferredUntil = now.Add(min(w.heldUntil.Sub(now), slackCheckInterval))
	default:
		return false
	}
	return true
}

// deferred reports whether a load was recently found not to begin yet and nothing makes it begin earlier. With hundreds
// of wanted models, the search for their placements at each dispatch would take most of the holder's time.
func (f *Fleet) deferred(w *wantedModel, now time.Time) bool {
	return w.deferredUntil.After(now) && f.short[w.service] && !w.proactive
}

// recordOrder notes on an operation why its load goes first, and counts it.
func (f *Fleet) recordOrder(w *wantedModel, op *Operation, now time.Time) {
	if !f.contended[w.service] || w.proactive {
		return
	}
	op.Order, op.Waited = w.order, now.Sub(w.waitingSince)
	if !w.due.IsZero() {
		op.Slack = w.due.Sub(now)
	}
}

// observeLateness learns from the end of a load of a contended service. Loads from the weight store are predicted apart.
func (f *Fleet) observeLateness(op Operation, now time.Time) {
	if op.Order != "" && !op.Remote {
		f.lateness.observe(now.Sub(op.Ready))
	}
}

// HeldLoads returns how many loads wait for further requests.
func (f *Fleet) HeldLoads(now time.Time) int {
	n := 0
	for _, w := range f.wantedModels {
		if w.heldUntil.After(now) && f.copiesOf(w.model, now) == 0 {
			n++
		}
	}
	return n
}
