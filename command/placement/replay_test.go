package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/backend"
)

// The replay simulates the eviction decisions of this package over a trace of requests: how long
// each unit stays loaded and which units are unloaded to make room. A load takes the time of its
// checkpoint tier; the limits of the weight store are not simulated.

// workload describes the requests of one kind of deployment: sessions of requests separated by idle
// time.
type workload struct {
	name       string
	models     int
	tailWeight float64
	// silence is the mean time between the sessions of a model, and pause the mean time between the
	// requests of a session. Both are scaled differently for each model.
	silence, pause time.Duration
	requests       int
	// dayStart and dayEnd are the hours of the day between which most sessions begin.
	dayStart, dayEnd int
}

var workloads = []workload{
	{"pulmapilt", 50, 0.3, 7 * time.Hour, 40 * time.Second, 14, 18, 26},
	{"association", 50, 0.7, 45 * time.Minute, 20 * time.Second, 6, 8, 18},
}

// arrival is one request for a model.
type arrival struct {
	at    time.Duration
	model int
}

const replayDays = 6

// arrivals generates the trace of the workload. The request rates of the models differ by a factor
// of about thirty.
func (s workload) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []arrival
	for m := range s.models {
		silenceScale := math.Exp(rng.NormFloat64() * 0.9)
		pauseScale := math.Exp(rng.NormFloat64() * 0.7)
		t := time.Duration(rng.Float64() * float64(s.silence))
		for t < replayDays*24*time.Hour {
			at := t
			if s.inDay(t) || rng.Float64() < 0.15 {
				for range 1 + rng.IntN(2*s.requests) {
					out = append(out, arrival{at, m})
					at += time.Duration(rng.ExpFloat64() * pauseScale * float64(s.pause))
				}
			}
			t = at + time.Duration(rng.ExpFloat64()*silenceScale*float64(s.silence))
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (s workload) inDay(t time.Duration) bool {
	hour := int(t.Hours()) % 24
	return (hour >= s.dayStart && hour < s.dayEnd) || (hour+24 >= s.dayStart && hour+24 < s.dayEnd)
}

// evictionPolicy is a policy that the replay can run.
type evictionPolicy interface {
	keep(e Entry, c EngineContext, now time.Time) time.Duration
	victims(l *Ledger, u backend.Unit, memory int64, c EngineContext, now time.Time) ([]backend.Unit, error)
}

// livePolicy is the policy as it runs in production.
type livePolicy struct {
	Policy
	tailWeight float64
}

func (p livePolicy) keep(e Entry, c EngineContext, _ time.Time) time.Duration {
	return p.KeepAlive(e, c, p.tailWeight)
}
func (p livePolicy) victims(l *Ledger, u backend.Unit, memory int64, c EngineContext, now time.Time) ([]backend.Unit, error) {
	return p.Victims(l, u, memory, c, now)
}

// offlinePolicy knows all future arrivals: it keeps a unit loaded exactly if that costs less than
// loading it again, and unloads the unit whose next use is furthest away.
type offlinePolicy struct {
	livePolicy
	next func(unitID string, after time.Time) time.Time
}

func (p offlinePolicy) keep(e Entry, c EngineContext, now time.Time) time.Duration {
	next := p.next(e.Unit.ID(), now)
	tail := min(p.tailWeight, maxTailWeight)
	reloadCost := p.LoadTime(c.Tiers[e.Unit.ID()], e.MemoryBytes).Seconds() * p.ColdStartWeight * tail
	if next.IsZero() || next.Sub(e.LastUsed).Seconds()*(1-tail) > reloadCost {
		return 0
	}
	return next.Sub(e.LastUsed) + time.Second
}

func (p offlinePolicy) victims(l *Ledger, u backend.Unit, memory int64, c EngineContext, now time.Time) ([]backend.Unit, error) {
	var candidates []Entry
	for _, e := range l.Entries {
		if p.Evictable(e, now) {
			candidates = append(candidates, e)
		}
	}
	nextUseOrNever := func(e Entry) time.Time {
		if n := p.next(e.Unit.ID(), now); !n.IsZero() {
			return n
		}
		return now.Add(1e6 * time.Hour)
	}
	slices.SortFunc(candidates, func(a, b Entry) int { return nextUseOrNever(b).Compare(nextUseOrNever(a)) })
	return selectUntilFits(candidates, l.Free(), memory)
}

// results holds the measures of one replay; the two that users care about are the cold wait and the
// idle accelerator time.
type results struct {
	p99       time.Duration // of the wait for loads, over all requests
	mean      time.Duration // of the wait for loads, over all requests
	idleHours float64       // accelerator hours during which loaded units were not in use
	loads     int
	refused   int
}

// simEngine is one engine of 80 GiB and the checkpoints that its server caches: the most recently
// used ones in memory, and more of them on disk.
type simEngine struct {
	ledger    *Ledger
	recent    []string // unit IDs, most recently used last
	engineCtx EngineContext
	deadlines map[string]unloadDeadline
}

// unloadDeadline is the time at which an idle unit is unloaded, calculated once after each use.
type unloadDeadline struct{ used, end time.Time }

const (
	simEngineMemory     = int64(80 << 30)
	checkpointsInMemory = 3
	checkpointsOnDisk   = 10
	replayEngines       = 9
)

func (s *simEngine) recordUse(id string) {
	s.recent = append(slices.DeleteFunc(s.recent, func(o string) bool { return o == id }), id)
	clear(s.engineCtx.Tiers)
	for i, one := range s.recent {
		switch age := len(s.recent) - 1 - i; {
		case age < checkpointsInMemory:
			s.engineCtx.Tiers[one] = backend.TierMemory
		case age < checkpointsInMemory+checkpointsOnDisk:
			s.engineCtx.Tiers[one] = backend.TierDisk
		}
	}
}

var replayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a replay in progress.
type simulation struct {
	engines  []*simEngine
	eviction evictionPolicy
	policy   Policy
	// bySoonestLoad selects the engine with the shortest expected load; otherwise the engine with
	// the most free memory is selected.
	bySoonestLoad bool
	results       results
}

// replay runs a trace against replayEngines engines of 80 GiB each.
func replay(trace []arrival, p evictionPolicy, bySoonestLoad bool) results {
	w := &simulation{eviction: p, policy: DefaultPolicy(), bySoonestLoad: bySoonestLoad}
	histories := NewUsageHistories()
	for range replayEngines {
		w.engines = append(w.engines, &simEngine{
			ledger: NewLedger(simEngineMemory), deadlines: map[string]unloadDeadline{},
			engineCtx: EngineContext{Tiers: map[string]backend.Tier{}, Histories: histories, Capacity: simEngineMemory},
		})
	}
	var waits []time.Duration
	for _, a := range trace {
		now := replayStart.Add(a.at)
		for _, s := range w.engines {
			w.expire(s, now)
		}
		u := backend.Unit{Model: fmt.Sprintf("m%02d", a.model), Version: "1"}
		wait, ok := w.serve(u, int64(6+(a.model*7)%22)<<30, now)
		if !ok {
			w.results.refused++
			continue
		}
		histories.RecordUse(u.ID(), now)
		histories.RecordReady(u.ID(), now.Add(wait))
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	var sum time.Duration
	for _, wait := range waits {
		sum += wait
	}
	w.results.mean = sum / time.Duration(len(waits))
	w.results.p99 = waits[len(waits)*99/100]
	return w.results
}

// expire unloads the units whose keep-alive has elapsed.
func (w *simulation) expire(s *simEngine, now time.Time) {
	for id, e := range s.ledger.Entries {
		k := s.deadlines[id]
		if k.used != e.LastUsed {
			k = unloadDeadline{e.LastUsed, e.LastUsed.Add(w.eviction.keep(e, s.engineCtx, e.LastUsed))}
			s.deadlines[id] = k
		}
		if k.end.Before(now) {
			w.addIdleTime(e, k.end)
			delete(s.ledger.Entries, id)
		}
	}
}

// addIdleTime adds the unit's idle time until the given time to the results.
func (w *simulation) addIdleTime(e Entry, until time.Time) {
	w.results.idleHours += max(0, until.Sub(e.LastUsed).Hours()) * float64(e.MemoryBytes) / float64(simEngineMemory)
}

// serve finds or loads the unit and returns how long the request waits. It returns false if no
// engine has room.
func (w *simulation) serve(u backend.Unit, memory int64, now time.Time) (time.Duration, bool) {
	for _, s := range w.engines {
		if e, found := s.ledger.Entries[u.ID()]; found {
			w.addIdleTime(e, now)
			wait := max(0, e.ReadyAt.Sub(now))
			e.LastUsed = now.Add(wait)
			s.ledger.Entries[u.ID()] = e
			return wait, true
		}
	}
	for _, s := range w.ranked(u, memory) {
		if w.makeRoom(s, u, memory, now) != nil {
			continue
		}
		wait := w.policy.LoadTime(s.engineCtx.Tiers[u.ID()], memory)
		ready := now.Add(wait)
		s.ledger.Entries[u.ID()] = Entry{Unit: u, MemoryBytes: memory, Phase: Resident, LastUsed: ready, ReadyAt: ready}
		s.recordUse(u.ID())
		w.results.loads++
		return wait, true
	}
	return 0, false
}

func (w *simulation) ranked(u backend.Unit, memory int64) []*simEngine {
	out := slices.Clone(w.engines)
	slices.SortStableFunc(out, func(a, b *simEngine) int {
		free := cmp.Compare(b.ledger.Free(), a.ledger.Free())
		if !w.bySoonestLoad {
			return free
		}
		return cmp.Or(cmp.Compare(w.expected(a, u, memory), w.expected(b, u, memory)), free)
	})
	return out
}

// expected estimates the wait as Rank does.
func (w *simulation) expected(s *simEngine, u backend.Unit, memory int64) time.Duration {
	wait := w.policy.LoadTime(s.engineCtx.Tiers[u.ID()], memory)
	if s.ledger.Free() < memory {
		wait += evictionWait
	}
	return wait
}

func (w *simulation) makeRoom(s *simEngine, u backend.Unit, memory int64, now time.Time) error {
	if memory <= s.ledger.Free() {
		return nil
	}
	victims, err := w.eviction.victims(s.ledger, u, memory, s.engineCtx, now)
	if err != nil {
		return err
	}
	for _, v := range victims {
		w.addIdleTime(s.ledger.Entries[v.ID()], now)
		delete(s.ledger.Entries, v.ID())
	}
	return nil
}

// nextUse returns a function that looks up the next use of a unit in the trace.
func nextUse(trace []arrival) func(string, time.Time) time.Time {
	uses := map[string][]time.Duration{}
	for _, a := range trace {
		id := fmt.Sprintf("m%02d", a.model)
		uses[id] = append(uses[id], a.at)
	}
	return func(id string, after time.Time) time.Time {
		list := uses[id]
		i, _ := slices.BinarySearch(list, after.Sub(replayStart)+1)
		if i == len(list) {
			return time.Time{}
		}
		return replayStart.Add(list[i])
	}
}

// bisectionSteps is the number of bisection steps over the range of tail weights.
const bisectionSteps = 7

// runAtIdleHours searches for the tail weight at which run yields about the given idle hours, and
// returns the results at that weight.
func runAtIdleHours(idleHours float64, run func(weight float64) results) results {
	low, high := 0.0, 1.0
	var f results
	for range bisectionSteps {
		weight := (low + high) / 2
		if f = run(weight); f.idleHours > idleHours {
			high = weight
		} else {
			low = weight
		}
	}
	return run(low)
}

// baselineKeepAlive is the fixed keep-alive of the baseline.
const baselineKeepAlive = 10 * time.Minute

// BenchmarkColdStart compares the policy with the baseline (fixed keep-alive and
// least-recently-used eviction) at equal idle hours, and with the offline policy.
func BenchmarkColdStart(b *testing.B) {
	for _, s := range workloads {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				coldStart(b, s)
			}
		})
	}
}

func coldStart(b *testing.B, s workload) {
	trace := s.arrivals(1)
	policy := DefaultPolicy()
	fixed := policy
	fixed.FixedKeepAlive = baselineKeepAlive
	base := replay(trace, livePolicy{Policy: fixed}, false)
	fixedSoonest := replay(trace, livePolicy{Policy: fixed}, true)
	tuned := runAtIdleHours(base.idleHours, func(w float64) results { return replay(trace, livePolicy{policy, w}, true) })
	best := runAtIdleHours(base.idleHours, func(w float64) results {
		return replay(trace, offlinePolicy{livePolicy{policy, w}, nextUse(trace)}, true)
	})
	configured := replay(trace, livePolicy{policy, s.tailWeight}, true)
	for name, f := range map[string]results{"fixed": base, "fixed+near": fixedSoonest, "ours": tuned, "offline": best, "as-set": configured} {
		b.ReportMetric(f.p99.Seconds(), name+"-p99-cold-s")
		b.ReportMetric(f.mean.Seconds(), name+"-mean-cold-s")
		b.ReportMetric(f.idleHours, name+"-idle-accel-h")
		b.ReportMetric(float64(f.loads), name+"-loads")
	}
	if base.refused+tuned.refused > len(trace)/100 {
		b.Errorf("refused requests: fixed keep-alive %d, policy %d of %d", base.refused, tuned.refused, len(trace))
	}
	if float64(tuned.p99) > maxColdStartRatio*float64(base.p99) {
		b.Errorf("p99 of the cold wait: %v, baseline %v", tuned.p99, base.p99)
	}
}

// maxColdStartRatio is the maximum ratio of the policy's p99 cold start to that of the baseline.
const maxColdStartRatio = 0.8
