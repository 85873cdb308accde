package waitlist

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// List is the holder's list of refused requests. It is not safe for concurrent use.
type List struct {
	models map[string]*model
	// byRequest has the model of each listed request.
	byRequest map[uint64]string
	// advancedAt is when turns were last given.
	advancedAt time.Time
	counts     Counts
}

// Counts are totals since the list was created.
type Counts struct{ Listed, Begun, Unclaimed, Full uint64 }

// model is the list of one model.
type model struct {
	entries map[uint64]*entry
	lanes   map[serving.TrafficClass]*lane
}

// lane has the turns of one class.
type lane struct {
	// refused is the smoothed number of requests refused for the first time.
	refused float64
	// rate is the number of turns per second, and credit what has accrued of them.
	rate, credit float64
	// waiting and due are the numbers of requests that have no turn yet, and whose turn it is.
	waiting, due int
}

// entry is one refused request.
type entry struct {
	class serving.TrafficClass
	// first and last are when it was refused first and last.
	first, last time.Time
	// dueSince is when its turn came, zero before. tooLate requests get no turn.
	dueSince time.Time
	tooLate  bool
}

// waits reports whether a request waits for its turn: it does not once half of its objective has passed since it
// was refused first. The rest is needed for its return and its run, and no turn is given to a request that is late
// while others can still be on time.
func (e *entry) waits(now time.Time) bool {
	late := e.class.Objective > 0 && now.Sub(e.first) > e.class.Objective/2
	return e.dueSince.IsZero() && !e.tooLate && !late
}

// NewList returns an empty list.
func NewList() *List {
	return &List{models: map[string]*model{}, byRequest: map[uint64]string{}}
}

// Record merges an instance's report, and returns the numbers of requests that were not listed before.
func (l *List) Record(r Report, now time.Time) map[Key]int {
	for _, request := range r.Begun[:min(maxReported, len(r.Begun))] {
		if l.remove(request) {
			l.counts.Begun++
		}
	}
	listed := map[Key]int{}
	for _, refused := range r.Refused[:min(maxReported, len(r.Refused))] {
		if l.record(refused, now) {
			listed[Key{refused.Model, refused.Class}]++
		}
	}
	return listed
}

// record adds a request, and reports whether it is new.
func (l *List) record(r Refused, now time.Time) bool {
	at := now.Add(-min(max(0, r.Age), listedLifetime))
	if known := l.models[l.byRequest[r.Request]]; known != nil {
		e := known.entries[r.Request]
		e.first, e.last, e.tooLate = earlier(e.first, at), now, r.TooLate
		return false
	}
	m := l.models[r.Model]
	if m == nil && len(l.models) < maxModels {
		m = &model{entries: map[uint64]*entry{}, lanes: map[serving.TrafficClass]*lane{}}
		l.models[r.Model] = m
	}
	if m == nil || len(m.entries) >= maxListed || r.Request == 0 {
		l.counts.Full++
		return false
	}
	ln := m.lanes[r.Class]
	if ln == nil && len(m.lanes) < maxClasses {
		ln = &lane{}
		m.lanes[r.Class] = ln
	}
	if ln == nil {
		l.counts.Full++
		return false
	}
	ln.refused++
	m.entries[r.Request], l.byRequest[r.Request] = &entry{class: r.Class, first: at, last: now, tooLate: r.TooLate}, r.Model
	l.counts.Listed++
	return true
}

// remove removes a request, and reports whether it was listed.
func (l *List) remove(request uint64) bool {
	name, listed := l.byRequest[request]
	if listed {
		delete(l.byRequest, request)
		delete(l.models[name].entries, request)
	}
	return listed
}

// Advance drops what has lapsed, and gives turns to as many requests as the engines can begin. served returns
// the number of requests of a model that its engines serve per second. Of what is kept for the list, each class
// has a part in proportion to its refused requests, also if its own cannot wait for a turn: that part is left to
// its newcomers.
func (l *List) Advance(served func(model string) float64, now time.Time) {
	elapsed := min(max(0, now.Sub(l.advancedAt)), dueAhead)
	l.advancedAt = now
	due := 0
	for name, m := range l.models {
		l.dropLapsed(m, now)
		if len(m.entries) == 0 {
			delete(l.models, name)
			continue
		}
		m.countLanes(now)
		for _, ln := range m.lanes {
			due += ln.due
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.models)) {
		m := l.models[name]
		m.setRates(dueFraction*max(0, served(name)), elapsed)
		due += m.giveTurns(maxDue-due, now)
	}
}

// dropLapsed removes the requests that did not return in time, and those that the clock shows in the future
// after it has jumped.
func (l *List) dropLapsed(m *model, now time.Time) {
	for request, e := range m.entries {
		lapsed := now.Sub(e.last).Abs() > listedLifetime
		if !e.dueSince.IsZero() && now.Sub(e.dueSince).Abs() > dueLifetime {
			lapsed = true
			l.counts.Unclaimed++
		}
		if lapsed {
			l.remove(request)
		}
	}
}

// countLanes recounts the requests of each class.
func (m *model) countLanes(now time.Time) {
	for _, ln := range m.lanes {
		ln.waiting, ln.due = 0, 0
	}
	for _, e := range m.entries {
		switch ln := m.lanes[e.class]; {
		case !e.dueSince.IsZero():
			ln.due++
		case e.waits(now):
			ln.waiting++
		}
	}
}

// setRates divides turns per second among the classes.
func (m *model) setRates(turns float64, elapsed time.Duration) {
	sum, decay := 0.0, math.Exp(-elapsed.Seconds()/askedWindow.Seconds())
	for _, ln := range m.lanes {
		ln.refused *= decay
		sum += ln.refused
	}
	for class, ln := range m.lanes {
		ln.rate = turns * ln.refused / max(sum, 1)
		ln.credit = min(ln.credit+ln.rate*elapsed.Seconds(), max(1, ln.rate*dueAhead.Seconds()))
		if ln.refused < minRefused && ln.waiting+ln.due == 0 && !m.has(class) {
			delete(m.lanes, class)
		}
	}
}

// minRefused is the smoothed number of refused requests below which a class without requests is forgotten.
const minRefused = 0.01

// has reports whether requests of a class are listed.
func (m *model) has(class serving.TrafficClass) bool {
	for _, e := range m.entries {
		if e.class == class {
			return true
		}
	}
	return false
}

// giveTurns makes requests due in the order of their first refusals, at most the given number and as far as the
// credit of their classes goes, and returns how many.
func (m *model) giveTurns(most int, now time.Time) int {
	var waiting []*entry
	for _, e := range m.entries {
		if e.waits(now) {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *entry) int { return a.first.Compare(b.first) })
	given := 0
	for _, e := range waiting {
		ln := m.lanes[e.class]
		if given >= most || ln.credit < 1 {
			continue
		}
		ln.credit--
		ln.waiting--
		ln.due++
		e.dueSince = now
		given++
	}
	return given
}

// Booked returns, by class, the number of requests per second of a model that are kept for those on the list
// whose turn has come. If the share of newcomers to admit is computed by class, that of a class is to be lower by
// as much as is kept for the class itself, so that urgent newcomers do not pay for patient requests.
func (l *List) Booked(name string) map[serving.TrafficClass]float64 {
	m := l.models[name]
	if m == nil {
		return nil
	}
	booked := map[serving.TrafficClass]float64{}
	for _, e := range m.entries {
		if !e.dueSince.IsZero() {
			booked[e.class] += 1 / dueLifetime.Seconds()
		}
	}
	return booked
}

// Update returns what instances are told. The result does not refer to the list.
func (l *List) Update() Update {
	if len(l.models) == 0 {
		return Update{}
	}
	u := Update{}
	for name, m := range l.models {
		for request, e := range m.entries {
			if !e.dueSince.IsZero() {
				u.Due = append(u.Due, request)
			}
		}
		for class, ln := range m.lanes {
			if ln.rate > 0 && len(u.Queues) < maxQueues {
				each := time.Duration(float64(time.Second) / max(ln.rate, minRate))
				u.Queues = append(u.Queues, Queue{Model: name, Class: class, Wait: time.Duration(ln.waiting)*each + dueAhead/2, Each: each})
			}
		}
	}
	slices.Sort(u.Due)
	return u
}

// minRate is the least number of turns per second by which waits are told: slower ones are beyond all deadlines.
const minRate = 0.01

// Status describes the list of one model to operators.
type Status struct {
	Model string
	Class serving.TrafficClass
	// Listed is the number of requests on the list, Due how many of them are due. Oldest is the time since
	// the first refusal of the request that waits longest.
	Listed, Due int
	Oldest      time.Duration
}

// Status returns the lists by model and class.
func (l *List) Status(now time.Time) []Status {
	var all []Status
	for _, name := range slices.Sorted(maps.Keys(l.models)) {
		byClass := map[serving.TrafficClass]*Status{}
		for _, e := range l.models[name].entries {
			s := byClass[e.class]
			if s == nil {
				s = &Status{Model: name, Class: e.class}
				byClass[e.class] = s
			}
			s.Listed++
			s.Oldest = max(s.Oldest, now.Sub(e.first))
			if !e.dueSince.IsZero() {
				s.Due++
			}
		}
		for _, s := range byClass {
			all = append(all, *s)
		}
	}
	slices.SortFunc(all, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Class.Priority, b.Class.Priority), cmp.Compare(a.Class.Objective, b.Class.Objective))
	})
	return all
}

// Counts returns the totals since the list was created.
func (l *List) Counts() Counts { return l.counts }

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
