package replicas

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// callers are a class of requests of the load.
type callers struct {
	name                  string
	first, models         int
	rate                  float64
	priority              int
	objective, disconnect time.Duration
}

// results counts what callers of a class got. refusedLater is how many of the refused were given an estimate
// first, told how many of all were given one, and overrun by how much requests waited longer than that, in total.
type results struct {
	onTime, late, refused, refusedLater, told int
	overrun                                   time.Duration
}

// caller is one request.
type caller struct {
	class   *callers
	arrived time.Time
	// estimate is the first that the request was given, askAt when it asks again.
	estimate, askAt time.Time
}

// slackLoad plays a load against a fleet in virtual time. Engines have room for two models each.
type slackLoad struct {
	f         *Fleet
	now       time.Time
	random    *rand.Rand
	classes   []callers
	waiting   map[string][]*caller
	arrivals  map[string]Arrivals
	running   map[string]map[string][]time.Time // ends of runs, by engine and model
	ends      map[string]time.Time              // ends of operations, by engine
	ongoing   map[string]Operation
	results   map[string]*results
	loads     int
	slowdown  float64     // factor of load times that the fleet does not know
	oldReport bool        // the instance does not report slack
	digest    hash.Hash64 // of all operations, in their order
}

const (
	loadStep       = 10 * time.Millisecond
	loadFirstEvent = 100 * time.Millisecond
	loadRun        = 500 * time.Millisecond
)

func newSlackLoad(engines int, classes []callers, contended bool, seed uint64) *slackLoad {
	l := &slackLoad{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), classes: classes, slowdown: 1, digest: fnv.New64a(),
		waiting: map[string][]*caller{}, arrivals: map[string]Arrivals{}, running: map[string]map[string][]time.Time{},
		ends: map[string]time.Time{}, ongoing: map[string]Operation{}, results: map[string]*results{},
	}
	spec := &serving.EngineSpec{Slots: 12, MemoryMB: 83000, RemoteLoadsPerSecond: 1, Models: map[string]serving.Model{}}
	var names []string
	for _, c := range classes {
		l.results[c.name] = &results{}
		for i := range c.models {
			name := fmt.Sprintf("m%d", c.first+i)
			names = append(names, name)
			spec.Models[name] = serving.Model{Name: name, MemoryMB: 34300, RemoteLoad: 10200 * time.Millisecond, DiskLoad: time.Second, MemoryLoad: 780 * time.Millisecond}
		}
	}
	l.f = NewFleet(DefaultParams())
	l.f.SetReportAge(200 * time.Millisecond)
	if contended {
		l.f.SetContended(map[string]bool{"llm": true})
	}
	var servers []serving.Server
	for i := range engines {
		s := serving.Server{ID: fmt.Sprintf("e%03d", i), Service: "llm", Models: map[string][]string{}, Tiers: map[string]serving.Tier{}}
		for j := range 10 {
			s.Tiers[names[(i+j*43)%len(names)]] = serving.TierDisk
		}
		s.Models[names[i%len(names)]], s.Models[names[(i+43)%len(names)]] = nil, nil
		servers = append(servers, s)
		l.running[s.ID] = map[string][]time.Time{}
	}
	l.f.SetServers(servers, func(string) *serving.EngineSpec { return spec })
	l.f.SetComplete(true)
	for _, s := range servers {
		l.f.Adopt(s.ID, serving.Report{Models: s.Models}, l.now)
	}
	return l
}

// report returns what the instance reports of the requests that wait for a model.
func (l *slackLoad) report(model string) Waiting {
	w := Waiting{Instance: "instance"}
	var slack []Slack
	for _, c := range l.waiting[model] {
		weight := serving.Weight(c.class.priority)
		start := c.arrived.Add(c.class.objective - time.Second - loadFirstEvent).Sub(l.now)
		left := c.arrived.Add(c.class.disconnect).Sub(l.now)
		if start > 0 {
			w.OnTime += weight
		} else {
			w.Late += weight
		}
		w.Left = max(w.Left, left)
		slack = append(slack, Slack{Weight: weight, Start: start, Left: left})
	}
	if !l.oldReport {
		w.Slack = GroupSlack(slack)
	}
	return w
}

// begin answers a request that begins now on an engine.
func (l *slackLoad) begin(c *caller, engine, model string) {
	if l.now.Add(loadFirstEvent).Sub(c.arrived) <= c.class.objective {
		l.results[c.class.name].onTime++
	} else {
		l.results[c.class.name].late++
	}
	if !c.estimate.IsZero() {
		l.results[c.class.name].told++
		l.results[c.class.name].overrun += max(0, l.now.Sub(c.estimate))
	}
	l.running[engine][model] = append(l.running[engine][model], l.now.Add(loadRun))
}

// ask asks where the model of a request is or will be. It returns false if the request is over.
func (l *slackLoad) ask(c *caller, model string) bool {
	found, ok := l.f.Find("llm", serving.Unit{Model: model}, l.report(model), l.now)
	switch {
	case ok && found.Engine != "" && !found.Ready.After(l.now):
		l.begin(c, found.Engine, model)
		return false
	case !ok || found.Ready.Add(loadFirstEvent).Sub(c.arrived) > c.class.disconnect:
		l.results[c.class.name].refused++
		if !c.estimate.IsZero() {
			l.results[c.class.name].refusedLater++
		}
		return false
	}
	if c.estimate.IsZero() {
		c.estimate = found.Ready
	}
	c.askAt = later(found.Ready, l.now.Add(120*time.Millisecond))
	return true
}

func (l *slackLoad) arrive(class *callers) {
	model := fmt.Sprintf("m%d", class.first+l.random.IntN(class.models))
	weight := serving.Weight(class.priority)
	a := l.arrivals[model]
	a.Count, a.Weight = a.Count+1, a.Weight+weight
	if class.objective < 2*time.Second {
		a.Late += weight
	}
	l.arrivals[model] = a
	c := &caller{class: class, arrived: l.now}
	if found, ok := l.f.findCopy("llm", serving.Unit{Model: model}, "", l.now); ok && !found.Ready.After(l.now) {
		l.begin(c, found.Engine, model)
		return
	}
	l.waiting[model] = append(l.waiting[model], c)
	if !l.ask(c, model) {
		l.waiting[model] = slices.DeleteFunc(l.waiting[model], func(other *caller) bool { return other == c })
	}
}

func (l *slackLoad) start(ops []Operation) {
	for _, op := range ops {
		end := l.now.Add(l.f.params.OrderTime)
		for _, unit := range op.Unload {
			for _, until := range l.running[op.Engine][unit.Model] {
				end = later(end, until)
			}
			end = end.Add(l.f.params.UnloadTime)
		}
		l.ends[op.Engine], l.ongoing[op.Engine] = end.Add(time.Duration(l.slowdown*float64(op.Duration))), op
		l.loads++
		fmt.Fprintf(l.digest, "%s %s %v\n", op.Engine, op.Load, op.Unload)
	}
}

// step plays one step: operations end, requests ask again and arrive, the instance reports, loads begin.
func (l *slackLoad) step(n int) {
	l.now = l.now.Add(loadStep)
	for _, e := range l.f.Engines() {
		id := e.Server.ID
		if op, ok := l.ongoing[id]; ok && !l.ends[id].After(l.now) {
			delete(l.ongoing, id)
			for _, unit := range op.Unload {
				l.f.Unloaded(op, unit)
			}
			l.f.Expect(op, l.now)
			l.f.Done(op, l.now)
			for _, c := range l.waiting[op.Load.Model] {
				l.begin(c, id, op.Load.Model)
			}
			delete(l.waiting, op.Load.Model)
			l.f.SetWaiting("llm", op.Load.Model, Waiting{Instance: "instance"}, l.now)
		}
	}
	for _, model := range sortedKeys(l.waiting) {
		l.waiting[model] = slices.DeleteFunc(l.waiting[model], func(c *caller) bool { return !c.askAt.After(l.now) && !l.ask(c, model) })
	}
	for i := range l.classes {
		class := &l.classes[i]
		for rate := 2 * class.rate * loadStep.Seconds() * l.random.Float64(); l.random.Float64() < rate; rate-- {
			l.arrive(class)
		}
	}
	if n%20 == 0 {
		l.exchange()
	}
	l.start(l.f.Dispatch(l.now))
}

// exchange reports arrivals, waiting and running requests.
func (l *slackLoad) exchange() {
	for _, model := range sortedKeys(l.arrivals) {
		l.f.RecordArrivals(model, l.arrivals[model], l.now)
	}
	clear(l.arrivals)
	reports := map[string]Waiting{}
	for model := range l.waiting {
		reports[model] = l.report(model)
	}
	l.f.ReplaceWaiting("instance", reports, l.now)
	counts := map[string]map[serving.Unit]int{}
	for engine, models := range l.running {
		counts[engine] = map[serving.Unit]int{}
		for model, ends := range models {
			models[model] = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(l.now) })
			counts[engine][serving.Unit{Model: model}] = len(models[model])
		}
	}
	l.f.SetRunning(counts, l.now)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (l *slackLoad) play(d time.Duration) {
	for n := range int(d / loadStep) {
		l.step(n)
	}
}

// patientAndUrgent are callers that ask for hundreds of models 2.3 times as often as usual, beside urgent ones.
func patientAndUrgent() []callers {
	return []callers{
		{name: "urgent", models: 50, rate: 247, priority: 0, objective: 800 * time.Millisecond, disconnect: 8 * time.Second},
		{name: "patient", first: 50, models: 386, rate: 2.3 * 259, priority: 2, objective: 5 * time.Second, disconnect: 15 * time.Second},
	}
}

// TestSlackUnderLoad: with loads by slack, patient callers share loads, so that fewer of them are refused, and urgent
// callers get no less than before.
func TestSlackUnderLoad(t *testing.T) {
	for seed := range uint64(2) {
		before, after := newSlackLoad(140, patientAndUrgent(), false, seed), newSlackLoad(140, patientAndUrgent(), true, seed)
		for _, l := range []*slackLoad{before, after} {
			l.play(10 * time.Second)
			t.Logf("seed %d: urgent %+v, patient %+v, %d loads", seed, *l.results["urgent"], *l.results["patient"], l.loads)
		}
		if b, a := before.results["patient"], after.results["patient"]; float64(a.onTime) < 1.15*float64(b.onTime) || a.refused > b.refused/3 {
			t.Errorf("patient: %+v before, %+v after, want more on time and a third of the refusals", *b, *a)
		}
		for class, r := range after.results {
			if float64(r.refusedLater) > .03*float64(r.refused) {
				t.Errorf("%s: %d of %d refused requests were given an estimate first", class, r.refusedLater, r.refused)
			}
			if mean := r.overrun / time.Duration(max(1, r.told)); mean > 100*time.Millisecond {
				t.Errorf("%s: requests wait %s longer on average than they were told", class, mean)
			}
		}
		if b, a := before.results["urgent"], after.results["urgent"]; float64(a.onTime) < .99*float64(b.onTime) {
			t.Errorf("urgent: %+v before, %+v after, want no fewer on time", *b, *a)
		}
		if after.loads > before.loads*2/3 {
			t.Errorf("%d loads before, %d after", before.loads, after.loads)
		}
	}
}

// TestSlackWithWrongEstimates: the order by slack serves no class worse than that by benefit when loads take half as long
// again as expected, and when instances do not report slack.
func TestSlackWithWrongEstimates(t *testing.T) {
	for name, change := range map[string]func(*slackLoad){
		"slow loads":       func(l *slackLoad) { l.slowdown = 1.5 },
		"no slack reports": func(l *slackLoad) { l.oldReport = true },
	} {
		before, after := newSlackLoad(140, patientAndUrgent(), false, 1), newSlackLoad(140, patientAndUrgent(), true, 1)
		for _, l := range []*slackLoad{before, after} {
			change(l)
			l.play(8 * time.Second)
			t.Logf("%s: urgent %+v, patient %+v, %d loads", name, *l.results["urgent"], *l.results["patient"], l.loads)
		}
		for class, b := range before.results {
			if a := after.results[class]; float64(a.onTime) < .97*float64(b.onTime) {
				t.Errorf("%s, %s: %+v before, %+v after", name, class, *b, *a)
			}
		}
	}
}

// TestOtherServicesKeepTheirOrder: in a service that is not contended the operations are those that were planned before
// loads were ordered by slack, in the same order.
func TestOtherServicesKeepTheirOrder(t *testing.T) {
	l := newSlackLoad(30, []callers{
		{name: "one", models: 20, rate: 60, priority: 1, objective: 15 * time.Second, disconnect: 15 * time.Second},
		{name: "two", first: 20, models: 90, rate: 60, priority: 1, objective: 15 * time.Second, disconnect: 15 * time.Second},
	}, false, 7)
	l.f.SetContended(map[string]bool{"other": true})
	l.play(10 * time.Second)
	const recorded = "186 loads, f9aa68e5fe696c00"
	if got := fmt.Sprintf("%d loads, %x", l.loads, l.digest.Sum64()); got != recorded {
		t.Errorf("operations %s, want %s", got, recorded)
	}
}

// TestImpatientCallersOfSharedModels: when some callers of each model cannot wait for any load, no load waits for the
// patient callers of the same models, and the impatient ones get no less than before.
func TestImpatientCallersOfSharedModels(t *testing.T) {
	classes := []callers{
		{name: "impatient", models: 150, rate: 150, priority: 0, objective: 300 * time.Millisecond, disconnect: 5 * time.Second},
		{name: "patient", models: 150, rate: 75, priority: 0, objective: 2 * time.Second, disconnect: 10 * time.Second},
	}
	before, after := map[string]int{}, map[string]int{}
	for seed := range uint64(8) {
		for contended, onTime := range map[bool]map[string]int{false: before, true: after} {
			l := newSlackLoad(50, classes, contended, seed)
			l.play(10 * time.Second)
			for class, r := range l.results {
				onTime[class] += r.onTime
			}
		}
	}
	t.Logf("on time: %v before, %v after", before, after)
	for class, b := range before {
		if float64(after[class]) < .97*float64(b) {
			t.Errorf("%s: %d on time before, %d after", class, b, after[class])
		}
	}
}
