package replicas

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// The functions in this file decide, for services whose callers differ in patience, which of the wanted models are loaded
// first and how long a load may wait for further requests. They answer a load in which more models are wanted than
// engines can load at once: patient requests for hundreds of models beside urgent ones. Slack is the time left until a
// load must begin for a request to be answered within its objective.

// Slack describes waiting requests of an instance that have similar slack.
type Slack struct {
	// Weight is the total weight of the requests.
	Weight float64
	// Start is the time left for a load from disk to begin if all of them are to be answered within their objective.
	// Negative: too late for that.
	Start time.Duration
	// Left is how long the most patient of them still waits, 0 if that is not known.
	Left time.Duration
}

// slackBounds separate the groups of an instance's report: requests that are late, that need a load now, that can wait
// for a load or two, and that can wait for several.
var slackBounds = [...]time.Duration{0, 500 * time.Millisecond, 2 * time.Second, math.MaxInt64}

// maxSlackGroups is the maximum number of groups in one report.
const maxSlackGroups = len(slackBounds)

// GroupSlack sums up single requests in at most maxSlackGroups groups, least slack first. A group's slack is the
// least of its requests, so that no request is later than it appears.
func GroupSlack(requests []Slack) []Slack {
	var groups [maxSlackGroups]Slack
	for _, r := range requests {
		i := 0
		for r.Start > slackBounds[i] {
			i++
		}
		g := &groups[i]
		if g.Weight == 0 || r.Start < g.Start {
			g.Start = r.Start
		}
		g.Weight += r.Weight
		g.Left = max(g.Left, r.Left)
	}
	return slices.DeleteFunc(groups[:], func(g Slack) bool { return g.Weight <= 0 })
}

// Weights outside of these bounds do not come from a configured priority that anyone uses; the bounds keep sums finite
// and every waiting request visible.
const minWeight, maxWeight = 1e-6, 1e6

// BoundWeight returns the weight, or the nearest that a waiting request may have.
func BoundWeight(weight float64) float64 {
	if math.IsNaN(weight) {
		return minWeight
	}
	return min(maxWeight, max(minWeight, weight))
}

// slackGroup is a group of waiting requests at an instance, with the times that follow from its report.
type slackGroup struct {
	weight float64
	// latestStart is when a load from disk must begin for the requests to be answered within their objective.
	latestStart time.Time
	// until is when the last of the requests gives up.
	until time.Time
}

// valueIfLoaded returns the value of a load that begins at start: requests count fully if they are answered within their
// objective, less if later, and nothing if they give up before.
func (g slackGroup) valueIfLoaded(start time.Time, load time.Duration) float64 {
	switch {
	case !start.After(g.latestStart):
		return g.weight
	case start.Add(load).Before(g.until):
		return lateValueShare * g.weight
	default:
		return 0
	}
}

// loadCandidate is a wanted model that competes for the engines.
type loadCandidate struct {
	w *wantedModel
	// groups are its waiting requests, least slack first.
	groups []slackGroup
	load   time.Duration
	// extra is the benefit that does not depend on when the load begins, age the factor by which waiting raises the
	// value, and lateRate the weight per second of requests that arrive and are late because the model is not loaded.
	extra, age, lateRate float64
	// due is when its load must begin, see nextDue, and onTime is set while such a time exists. benefit is the benefit of
	// beginning then, or without such a time the cost of beginning a load's time later.
	due     time.Time
	benefit float64
	onTime  bool
	// start is the start that it was given.
	start time.Time
}

// nextDue moves due to the first latest start of a group that is not before from.
func (c *loadCandidate) nextDue(from time.Time) {
	c.onTime = false
	for _, g := range c.groups {
		if !g.latestStart.Before(from) {
			c.due, c.onTime = g.latestStart, true
			break
		}
	}
	at := from
	if c.onTime {
		at = c.due
	}
	value := 0.0
	for _, g := range c.groups {
		value += g.valueIfLoaded(at, c.load)
	}
	c.benefit = value*c.age + c.extra
	if !c.onTime {
		c.benefit = (value*c.age/benefitDoubling.Seconds() + c.lateRate) * c.load.Seconds()
	}
}

// candidateHeap has the candidate with the highest benefit first.
type candidateHeap []*loadCandidate

func (h candidateHeap) Len() int { return len(h) }
func (h candidateHeap) Less(i, j int) bool {
	return compareFloat(-h[i].benefit, -h[j].benefit, h[i].w.model, h[j].w.model) < 0
}
func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(c any) { *h = append(*h, c.(*loadCandidate)) }

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Why a load has its place in the order.
const (
	// orderDeadline: it begins in time for its requests, earliest deadline first.
	orderDeadline = "deadline"
	// orderBenefit: it cannot begin in time for any of its requests.
	orderBenefit = "benefit"
	// orderAge: its requests have waited for very long.
	orderAge = "age"
)

// Models whose requests have waited for longer than agedAfter get every agedShare-th load, longest wait first, so that
// no model is starved however many others can be loaded in time.
const (
	agedAfter = 2 * benefitDoubling
	agedShare = 4
)

// orderBySlack orders the candidates, and sets order and due of their models. starts are the times at which the engines
// can begin loads, earliest first, concurrency is how many loads of perLoad each may run at once. Each candidate, in the
// order of benefit, takes the latest free start that is not after its deadline; one that finds none tries the next
// deadline of its requests. One that is too late for all of them takes the earliest free start.
func orderBySlack(candidates []*loadCandidate, starts []time.Time, concurrency int, perLoad time.Duration, now time.Time) []*wantedModel {
	queue := make(candidateHeap, 0, len(candidates))
	for _, c := range candidates {
		c.nextDue(now)
		queue = append(queue, c)
	}
	heap.Init(&queue)
	free := newFreeStarts(starts)
	var inTime, others []*loadCandidate
	for queue.Len() > 0 {
		c := heap.Pop(&queue).(*loadCandidate)
		ok := false
		if !c.onTime {
			c.start = free.takeFirst()
			others = append(others, c)
		} else if c.start, ok = free.take(c.due); ok {
			inTime = append(inTime, c)
		} else {
			c.nextDue(c.due.Add(1))
			heap.Push(&queue, c)
		}
	}
	slices.SortStableFunc(inTime, func(a, b *loadCandidate) int { return a.due.Compare(b.due) })
	setLatestStarts(inTime, concurrency, perLoad)
	return mergeAged(mergeByStart(inTime, others), now)
}

// mergeByStart joins candidates that are in time, earliest deadline first, and others, in the order in which they took
// their starts. One of the others goes before those in time that were given later starts.
func mergeByStart(inTime, others []*loadCandidate) []*loadCandidate {
	starts := make([]time.Time, 0, len(inTime))
	for _, c := range inTime {
		starts = append(starts, c.start)
	}
	slices.SortFunc(starts, time.Time.Compare) // the set can be met earliest deadline first as well
	merged := make([]*loadCandidate, 0, len(inTime)+len(others))
	for len(inTime)+len(others) > 0 {
		if len(others) == 0 || len(inTime) > 0 && !starts[0].After(others[0].start) {
			merged, inTime, starts = append(merged, inTime[0]), inTime[1:], starts[1:]
			continue
		}
		merged, others = append(merged, others[0]), others[1:]
	}
	return merged
}

// setLatestStarts sets when the loads of models, ordered by deadline, must begin at the latest if at most concurrency of
// them run at once: in time for their own requests, and early enough for the loads after them.
func setLatestStarts(inTime []*loadCandidate, concurrency int, perLoad time.Duration) {
	for i := len(inTime) - 1; i >= 0; i-- {
		w := inTime[i].w
		w.latestStart = inTime[i].due
		if next := i + max(1, concurrency); next < len(inTime) {
			w.latestStart = earlier(w.latestStart, inTime[next].w.latestStart.Add(-perLoad))
		}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mergeAged returns the candidates' models in their order, except that those that have waited for too long get every
// agedShare-th place.
func mergeAged(candidates []*loadCandidate, now time.Time) []*wantedModel {
	var aged, rest []*wantedModel
	for _, c := range candidates {
		c.w.order, c.w.due = orderBenefit, time.Time{}
		if c.onTime {
			c.w.order, c.w.due = orderDeadline, c.due
		}
		if !c.onTime && now.Sub(c.w.waitingSince) > agedAfter {
			c.w.order = orderAge
			aged = append(aged, c.w)
			continue
		}
		rest = append(rest, c.w)
	}
	slices.SortStableFunc(aged, func(a, b *wantedModel) int { return a.waitingSince.Compare(b.waitingSince) })
	ordered := make([]*wantedModel, 0, len(aged)+len(rest))
	for len(aged)+len(rest) > 0 {
		if len(aged) > 0 && (len(rest) == 0 || len(ordered)%agedShare == 0) {
			ordered, aged = append(ordered, aged[0]), aged[1:]
			continue
		}
		ordered, rest = append(ordered, rest[0]), rest[1:]
	}
	for i, w := range ordered {
		w.rank, w.rankedAt = i, now
	}
	return ordered
}

// freeStarts finds the latest start that is still free.
type freeStarts struct {
	starts []time.Time
	// before[i] leads to the latest free one of the first i starts, by a path that is shortened when it is followed.
	before []int
	// first is the number of starts at the beginning that are taken.
	first int
}

func newFreeStarts(starts []time.Time) *freeStarts {
	f := &freeStarts{starts: starts, before: make([]int, len(starts)+1)}
	for i := range f.before {
		f.before[i] = i
	}
	return f
}

// take takes the latest free start that is not after due. It returns false if there is none.
func (f *freeStarts) take(due time.Time) (start time.Time, ok bool) {
	n, _ := slices.BinarySearchFunc(f.starts, due.Add(1), time.Time.Compare)
	for f.before[n] != n {
		f.before[n] = f.before[f.before[n]]
		n = f.before[n]
	}
	if n == 0 {
		return start, false
	}
	f.before[n] = n - 1
	return f.starts[n-1], true
}

// takeFirst takes the earliest free start. If there is none, it returns a time after all starts.
func (f *freeStarts) takeFirst() time.Time {
	for f.first < len(f.starts) && f.before[f.first+1] != f.first+1 {
		f.first++
	}
	if f.first == len(f.starts) {
		return time.Unix(math.MaxInt32, 0)
	}
	f.before[f.first+1] = f.first
	return f.starts[f.first]
}

// startTimes returns the first n times at which engines can begin loads that take perLoad each. free are the times at
// which the engines become free.
func startTimes(free []time.Time, n int, perLoad time.Duration) []time.Time {
	if len(free) == 0 {
		return nil
	}
	starts := make([]time.Time, n)
	for i := range starts {
		starts[i] = free[i%len(free)].Add(perLoad * time.Duration(i/len(free)))
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// slackMarginShare is the least share of a load's time by which a load that waits for further requests begins before its
// latest start, since loads and the unloads before them take longer than expected at times.
const slackMarginShare = 0.25

// mayWaitUntil returns until when a load that takes total with its unloads, and load alone, may wait for further
// requests if it must begin at latestStart. interval is how often that is checked.
func mayWaitUntil(latestStart time.Time, load, total, interval time.Duration, late loadLateness) time.Time {
	margin := max(time.Duration(slackMarginShare*float64(load)), min(load, late.usual())) + interval
	return latestStart.Add(load - total - margin)
}

// loadLateness learns by how much loads end later than expected: engines refuse orders while they unload, and disks are
// slower at times.
type loadLateness struct {
	mean, deviation time.Duration
}

// latenessGain is the weight of the newest load: some ten loads, less than a second under load, show a change.
const latenessGain = 0.1

// observe records that a load ended late, or early if late is negative.
func (l *loadLateness) observe(late time.Duration) {
	difference := late - l.mean
	l.mean += time.Duration(latenessGain * float64(difference))
	l.deviation += time.Duration(latenessGain * float64(max(difference, -difference)-l.deviation))
}

// usual returns by how much most loads are late at most.
func (l *loadLateness) usual() time.Duration { return max(0, l.mean+l.deviation) }

// mergeGroups returns the groups of all reports, least slack first.
func mergeGroups(reports map[string]reportedWaiting) []slackGroup {
	var groups []slackGroup
	for _, r := range reports {
		groups = append(groups, r.slack...)
	}
	slices.SortFunc(groups, func(a, b slackGroup) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), a.until.Compare(b.until), cmp.Compare(a.weight, b.weight))
	})
	return groups
}
