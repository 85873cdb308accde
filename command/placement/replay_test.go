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

// The replay runs the pure decisions of this package over a trace of requests:
// which unit is kept how long, and which goes when room is needed. Loads take
// the time of their tier; the weight store's limits are not part of it.

// shape is a deployment's kind of load: sessions of requests after silence.
type shape struct {
	name       string
	models     int
	tailWeight float64
	// silence between the sessions of a model, and pause between the requests
	// of a session; both vary from model to model.
	silence, pause time.Duration
	requests       int
	// dayStart and dayEnd are the hours in which most sessions begin.
	dayStart, dayEnd int
}

var shapes = []shape{
	{"pulmapilt", 50, 0.3, 7 * time.Hour, 40 * time.Second, 14, 18, 26},
	{"association", 50, 0.7, 45 * time.Minute, 20 * time.Second, 6, 8, 18},
}

// arrival is one request for a model.
type arrival struct {
	at    time.Duration
	model int
}

const replayDays = 6

// arrivals draws the trace of a shape. Models differ in how often they are
// asked for by a factor of about thirty.
func (s shape) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []arrival
	for m := range s.models {
		scale := math.Exp(rng.NormFloat64() * 0.9)
		rhythm := math.Exp(rng.NormFloat64() * 0.7)
		t := time.Duration(rng.Float64() * float64(s.silence))
		for t < replayDays*24*time.Hour {
			at := t
			if s.inDay(t) || rng.Float64() < 0.15 {
				for range 1 + rng.IntN(2*s.requests) {
					out = append(out, arrival{at, m})
					at += time.Duration(rng.ExpFloat64() * rhythm * float64(s.pause))
				}
			}
			t = at + time.Duration(rng.ExpFloat64()*scale*float64(s.silence))
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (s shape) inDay(t time.Duration) bool {
	hour := int(t.Hours()) % 24
	return (hour >= s.dayStart && hour < s.dayEnd) || (hour+24 >= s.dayStart && hour+24 < s.dayEnd)
}

// chooser is a policy under replay.
type chooser interface {
	keep(e Entry, c Costs, now time.Time) time.Duration
	victims(l *Ledger, u backend.Unit, memory int64, c Costs, now time.Time) ([]backend.Unit, error)
}

// live is the policy as it runs.
type live struct {
	Policy
	tailWeight float64
}

func (p live) keep(e Entry, c Costs, _ time.Time) time.Duration { return p.Keep(e, c, p.tailWeight) }
func (p live) victims(l *Ledger, u backend.Unit, memory int64, c Costs, now time.Time) ([]backend.Unit, error) {
	return p.Victims(l, u, memory, c, now)
}

// offline knows all arrivals: it keeps a unit exactly when its next use is
// worth it, and unloads the one that is needed last.
type offline struct {
	live
	next func(unitID string, after time.Time) time.Time
}

func (p offline) keep(e Entry, c Costs, now time.Time) time.Duration {
	next := p.next(e.Unit.ID(), now)
	tail := min(p.tailWeight, maxTailWeight)
	worth := p.LoadTime(c.Tiers[e.Unit.ID()], e.MemoryBytes).Seconds() * p.ColdSecondWorth * tail
	if next.IsZero() || next.Sub(e.LastUsed).Seconds()*(1-tail) > worth {
		return 0
	}
	return next.Sub(e.LastUsed) + time.Second
}

func (p offline) victims(l *Ledger, u backend.Unit, memory int64, c Costs, now time.Time) ([]backend.Unit, error) {
	var candidates []Entry
	for _, e := range l.Entries {
		if p.Evictable(e, now) {
			candidates = append(candidates, e)
		}
	}
	far := func(e Entry) time.Time {
		if n := p.next(e.Unit.ID(), now); !n.IsZero() {
			return n
		}
		return now.Add(1e6 * time.Hour)
	}
	slices.SortFunc(candidates, func(a, b Entry) int { return far(b).Compare(far(a)) })
	return firstThatFit(candidates, l.Free(), memory)
}

// figures are the users' two measures.
type figures struct {
	p99     time.Duration // of the cold wait over all requests
	mean    time.Duration // of the cold wait over all requests
	idle    float64       // accelerator hours held and not used
	loads   int
	refused int
}

// site is one engine of 80 GiB with what its server has cached: the checkpoints
// used last in memory, more of them on disk.
type site struct {
	ledger *Ledger
	recent []string // unit ids, the newest last
	costs  Costs
	kept   map[string]kept
}

// kept is when an idle unit goes, worked out once after each use.
type kept struct{ used, end time.Time }

const (
	siteMemory    = int64(80 << 30)
	cachedMemory  = 3  // checkpoints
	cachedDisk    = 10 // checkpoints
	replayEngines = 9
)

func (s *site) used(id string) {
	s.recent = append(slices.DeleteFunc(s.recent, func(o string) bool { return o == id }), id)
	clear(s.costs.Tiers)
	for i, one := range s.recent {
		switch age := len(s.recent) - 1 - i; {
		case age < cachedMemory:
			s.costs.Tiers[one] = backend.TierMemory
		case age < cachedMemory+cachedDisk:
			s.costs.Tiers[one] = backend.TierDisk
		}
	}
}

var replayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is a replay under way.
type world struct {
	sites   []*site
	chooser chooser
	policy  Policy
	// nearest takes the engine where the load is soonest; otherwise the one
	// with the most free memory.
	nearest bool
	figures figures
}

// replay runs a trace over engines of 80 GiB.
func replay(trace []arrival, p chooser, nearest bool) figures {
	w := &world{chooser: p, policy: DefaultPolicy(), nearest: nearest}
	histories := NewHistories()
	for range replayEngines {
		w.sites = append(w.sites, &site{
			ledger: NewLedger(siteMemory), kept: map[string]kept{},
			costs: Costs{Tiers: map[string]backend.Tier{}, Histories: histories, Capacity: siteMemory},
		})
	}
	var waits []time.Duration
	for _, a := range trace {
		now := replayStart.Add(a.at)
		for _, s := range w.sites {
			w.expire(s, now)
		}
		u := backend.Unit{Model: fmt.Sprintf("m%02d", a.model), Version: "1"}
		wait, ok := w.serve(u, int64(6+(a.model*7)%22)<<30, now)
		if !ok {
			w.figures.refused++
			continue
		}
		histories.Use(u.ID(), now)
		histories.Ready(u.ID(), now.Add(wait))
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	var sum time.Duration
	for _, wait := range waits {
		sum += wait
	}
	w.figures.mean = sum / time.Duration(len(waits))
	w.figures.p99 = waits[len(waits)*99/100]
	return w.figures
}

// expire unloads what was kept long enough.
func (w *world) expire(s *site, now time.Time) {
	for id, e := range s.ledger.Entries {
		k := s.kept[id]
		if k.used != e.LastUsed {
			k = kept{e.LastUsed, e.LastUsed.Add(w.chooser.keep(e, s.costs, e.LastUsed))}
			s.kept[id] = k
		}
		if k.end.Before(now) {
			w.idled(e, k.end)
			delete(s.ledger.Entries, id)
		}
	}
}

// idled adds a unit's idle time up to a moment.
func (w *world) idled(e Entry, until time.Time) {
	w.figures.idle += max(0, until.Sub(e.LastUsed).Hours()) * float64(e.MemoryBytes) / float64(siteMemory)
}

// serve finds or loads the unit and returns how long the request waits.
func (w *world) serve(u backend.Unit, memory int64, now time.Time) (time.Duration, bool) {
	for _, s := range w.sites {
		if e, found := s.ledger.Entries[u.ID()]; found {
			w.idled(e, now)
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
		wait := w.policy.LoadTime(s.costs.Tiers[u.ID()], memory)
		ready := now.Add(wait)
		s.ledger.Entries[u.ID()] = Entry{Unit: u, MemoryBytes: memory, Phase: Resident, LastUsed: ready, ReadyAt: ready}
		s.used(u.ID())
		w.figures.loads++
		return wait, true
	}
	return 0, false
}

func (w *world) ranked(u backend.Unit, memory int64) []*site {
	out := slices.Clone(w.sites)
	slices.SortStableFunc(out, func(a, b *site) int {
		free := cmp.Compare(b.ledger.Free(), a.ledger.Free())
		if !w.nearest {
			return free
		}
		return cmp.Or(cmp.Compare(w.expected(a, u, memory), w.expected(b, u, memory)), free)
	})
	return out
}

// expected is the wait as Rank works it out.
func (w *world) expected(s *site, u backend.Unit, memory int64) time.Duration {
	wait := w.policy.LoadTime(s.costs.Tiers[u.ID()], memory)
	if s.ledger.Free() < memory {
		wait += evictionWait
	}
	return wait
}

func (w *world) makeRoom(s *site, u backend.Unit, memory int64, now time.Time) error {
	if memory <= s.ledger.Free() {
		return nil
	}
	victims, err := w.chooser.victims(s.ledger, u, memory, s.costs, now)
	if err != nil {
		return err
	}
	for _, v := range victims {
		w.idled(s.ledger.Entries[v.ID()], now)
		delete(s.ledger.Entries, v.ID())
	}
	return nil
}

// nextUse answers the offline policy's questions from the trace.
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

// matchSteps halves the weight's range so many times.
const matchSteps = 7

// matchIdle finds the tail weight at which run has about the wanted idle hours.
func matchIdle(wanted float64, run func(weight float64) figures) figures {
	low, high := 0.0, 1.0
	var f figures
	for range matchSteps {
		weight := (low + high) / 2
		if f = run(weight); f.idle > wanted {
			high = weight
		} else {
			low = weight
		}
	}
	return run(low)
}

// fixedKeep is the baseline's keep-alive.
const fixedKeep = 10 * time.Minute

// BenchmarkColdStart compares the policy with a fixed keep-alive and eviction
// by least recent use, at equal idle hours, and with the offline policy.
func BenchmarkColdStart(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				coldStart(b, s)
			}
		})
	}
}

func coldStart(b *testing.B, s shape) {
	trace := s.arrivals(1)
	policy := DefaultPolicy()
	fixed := policy
	fixed.Fixed = fixedKeep
	base := replay(trace, live{Policy: fixed}, false)
	placed := replay(trace, live{Policy: fixed}, true)
	ours := matchIdle(base.idle, func(w float64) figures { return replay(trace, live{policy, w}, true) })
	best := matchIdle(base.idle, func(w float64) figures {
		return replay(trace, offline{live{policy, w}, nextUse(trace)}, true)
	})
	set := replay(trace, live{policy, s.tailWeight}, true)
	for name, f := range map[string]figures{"fixed": base, "fixed+near": placed, "ours": ours, "offline": best, "as-set": set} {
		b.ReportMetric(f.p99.Seconds(), name+"-p99-cold-s")
		b.ReportMetric(f.mean.Seconds(), name+"-mean-cold-s")
		b.ReportMetric(f.idle, name+"-idle-accel-h")
		b.ReportMetric(float64(f.loads), name+"-loads")
	}
	if base.refused+ours.refused > len(trace)/100 {
		b.Errorf("refused: fixed %d, ours %d of %d", base.refused, ours.refused, len(trace))
	}
	if float64(ours.p99) > maxColdRatio*float64(base.p99) {
		b.Errorf("p99 %v, baseline %v", ours.p99, base.p99)
	}
}

// maxColdRatio bounds the p99 of a cold start against the baseline's.
const maxColdRatio = 0.8
