package replicas

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

// TestWeightStoreConcurrencyLimit: no more loads from the weight store run concurrently than have full speed.
func TestWeightStoreConcurrencyLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	names := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
	var loaded [][]string
	for range 8 {
		loaded = append(loaded, nil)
	}
	f := testFleet(now, testSpec(names...), loaded...)
	for _, e := range f.Engines() {
		clear(e.Tiers)
	}
	f.index = index{}
	started := 0
	for _, name := range names {
		f.Find("llm", serving.Unit{Model: name}, waitingOnTime(1), now)
		started += len(f.Dispatch(now))
	}
	if started != f.store.limit() {
		t.Errorf("%d loads from the weight store at once, want %d", started, f.store.limit())
	}
}

// TestWeightStoreRate: no more loads start within the window than the weight store's rate allows, regardless of how many
// could run concurrently.
func TestWeightStoreRate(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := testSpec("m1", "m2", "m3", "m4", "m5", "m6")
	spec.RemoteLoadsPerSecond = 0.4
	f := testFleet(now, spec, make([][]string, 6)...)
	f.store.fullSpeedLoads = 100
	for _, e := range f.Engines() {
		clear(e.Tiers)
	}
	f.index = index{}
	begin := func(at time.Time) (started int) {
		for name := range spec.Models {
			f.Find("llm", serving.Unit{Model: name}, waitingOnTime(1), at)
			for _, op := range f.Dispatch(at) {
				f.LoadAccepted(op, time.Time{}, 0, at)
				started++
			}
		}
		return started
	}
	allowed := int(spec.RemoteLoadsPerSecond * f.params.RemoteWindow.Seconds())
	if got := begin(now); got != allowed {
		t.Errorf("%d loads began at once, want %d", got, allowed)
	}
	if got := begin(now.Add(f.params.RemoteWindow / 2)); got != 0 {
		t.Errorf("%d more within the window", got)
	}
	if got := begin(now.Add(f.params.RemoteWindow + time.Millisecond)); got != allowed {
		t.Errorf("%d after the window, want %d", got, allowed)
	}
}

// TestWeightStoreQueueEstimate: a model that has to queue for the weight store is expected after the current loads and
// those of the models of higher precedence.
func TestWeightStoreQueueEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	names := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
	f := testFleet(now, testSpec(names...), make([][]string, 8)...)
	for _, e := range f.Engines() {
		clear(e.Tiers)
	}
	f.index = index{}
	load := f.Engines()[0].Spec.Models["m1"].RemoteLoad
	loadsUntilReady := func(model string, weight float64) float64 {
		found, ok := f.Find("llm", serving.Unit{Model: model}, waitingOnTime(weight), now)
		if !ok {
			t.Fatalf("no expected time for %s", model)
		}
		f.Dispatch(now)
		found, _ = f.Find("llm", serving.Unit{Model: model}, Waiting{}, now)
		return math.Round(found.Ready.Sub(now).Seconds() / load.Seconds())
	}
	for i, name := range names {
		want := float64(1 + i/f.store.limit())
		if got := loadsUntilReady(name, 1); got != want {
			t.Errorf("%s is expected after %v loads, want %v", name, got, want)
		}
	}
	if got := loadsUntilReady("m8", 5); got != 2 {
		t.Errorf("the model of highest precedence is expected after %v loads, want 2", got)
	}
}

// The limits on loads from the weight store that a deployment guarantees: within a window at most remoteOverage times
// what the rate gives, plus remoteExtra.
const (
	remoteOverage = 1.1
	remoteExtra   = 3
)

// weightStoreFleet is a set of engines without models and weights, ordered by successive holders. Each holder starts
// with an empty record; it knows only what engines report, and cannot read one that is loading.
type weightStoreFleet struct {
	spec    *serving.EngineSpec
	engines []string
	holds   map[string]map[string][]string // models, by engine
	busy    map[string]time.Time           // end of the current load, by engine
	started []time.Time                    // start times of loads from the weight store
	fleet   *Fleet                         // the record of the current holder
	pending map[string]pendingLoad         // planned and not started, by engine
}

type pendingLoad struct {
	op       Operation
	startsAt time.Time
}

func newWeightStoreFleet(engines int, rate float64, load time.Duration) *weightStoreFleet {
	s := &weightStoreFleet{
		spec:  &serving.EngineSpec{Slots: 8, MemoryMB: 300, RemoteLoadsPerSecond: rate, Models: map[string]serving.Model{}},
		holds: map[string]map[string][]string{}, busy: map[string]time.Time{},
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%02d", i)
		s.engines = append(s.engines, id)
		s.holds[id] = map[string][]string{}
	}
	for i := range 2 * engines {
		name := fmt.Sprintf("m%02d", i)
		s.spec.Models[name] = serving.Model{Name: name, MemoryMB: 100, RemoteLoad: load, DiskLoad: time.Second, MemoryLoad: time.Second / 2}
	}
	return s
}

// takeOver lets another process take over the lease. What the previous holder planned and did not order is lost.
func (s *weightStoreFleet) takeOver() {
	s.fleet = NewFleet(DefaultParams())
	s.fleet.params.RemoteOverage = remoteOverage
	s.pending = map[string]pendingLoad{}
	var servers []serving.Server
	for _, id := range s.engines {
		servers = append(servers, serving.Server{ID: id, Service: "llm", Models: s.holds[id], Tiers: map[string]serving.Tier{}})
	}
	s.fleet.SetServers(servers, func(string) *serving.EngineSpec { return s.spec })
}

// tick runs one round of the holder while requests wait for all models. A planned load starts after delay.
func (s *weightStoreFleet) tick(now time.Time, delay time.Duration) {
	s.startDue(now)
	s.read(now)
	for name := range s.spec.Models {
		s.fleet.Find("llm", serving.Unit{Model: name}, waitingOnTime(5), now)
	}
	for _, op := range s.fleet.Dispatch(now) {
		s.pending[op.Engine] = pendingLoad{op: op, startsAt: now.Add(delay)}
	}
	s.startDue(now)
}

// startDue lets the engines accept the loads that are due.
func (s *weightStoreFleet) startDue(now time.Time) {
	for id, p := range s.pending {
		if now.Before(p.startsAt) {
			continue
		}
		delete(s.pending, id)
		for _, unit := range p.op.Unload {
			delete(s.holds[id], unit.Model)
			s.fleet.Unloaded(p.op, unit)
		}
		s.holds[id][p.op.Load.Model] = nil
		s.busy[id] = now.Add(p.op.Duration)
		s.fleet.Ordered(id)
		s.fleet.LoadAccepted(p.op, time.Time{}, 0, now)
		if p.op.Remote {
			s.started = append(s.started, now)
		}
	}
}

// read lets the holder learn which loads are done and which models the engines that must be read hold.
func (s *weightStoreFleet) read(now time.Time) {
	for _, id := range s.engines {
		_, planned := s.pending[id]
		if e := s.fleet.Engine(id); !planned && !now.Before(s.busy[id]) && (e.MustBeRead || e.Busy) {
			s.fleet.Adopt(id, serving.Report{Models: s.holds[id], Sequence: e.Sequence}, now)
		}
	}
}

// maxInWindow returns the largest number of loads that started within a window.
func (s *weightStoreFleet) maxInWindow(window time.Duration) int {
	most := 0
	slices.SortFunc(s.started, time.Time.Compare)
	for i, from := range s.started {
		n := 0
		for n < len(s.started)-i && s.started[i+n].Sub(from) <= window {
			n++
		}
		most = max(most, n)
	}
	return most
}

func (s *weightStoreFleet) allowed(window time.Duration) float64 {
	return s.spec.RemoteLoadsPerSecond*window.Seconds()*remoteOverage + remoteExtra
}

// TestWeightStoreRateAcrossHolders: successive holders within the window together start no more loads than the weight
// store's limit.
//
// On a deployment whose weight store takes one load in two seconds, demand shifts to models that no engine has, and the
// holder's process is killed every 2.5 s. It restarts on the same machine, so it may order at once, with an empty record.
// A holder that counts its own loads only knows neither the loads that were started before nor that their engines are
// busy, and starts three more: 9 loads within 5 s where 5.75 are allowed. On the users' deployments (3.1 loads per
// second and 9 engines or more, 6 s per load) there are too few engines for that.
func TestWeightStoreRateAcrossHolders(t *testing.T) {
	s := newWeightStoreFleet(24, 0.5, 6*time.Second)
	window := DefaultParams().RemoteWindow
	start := time.Unix(1000, 0)
	for i := range 125 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		if now.Sub(start)%(2500*time.Millisecond) < 200*time.Millisecond {
			s.takeOver()
		}
		s.tick(now, 0)
	}
	if got := s.maxInWindow(window); float64(got) > s.allowed(window) {
		t.Errorf("%d loads started within %v, %.2f are allowed; started at %v", got, window, s.allowed(window), s.startTimes(start))
	}
	if len(s.started) == 0 {
		t.Error("no load started")
	}
}

func (s *weightStoreFleet) startTimes(start time.Time) (offsets []time.Duration) {
	for _, at := range s.started {
		offsets = append(offsets, at.Sub(start))
	}
	return offsets
}

// TestWeightStoreRateWithDelayedStarts: loads that are planned one after another but start together, since their engines
// had to unload first, must leave no tokens for the same number of loads planned at that moment, even if no requests
// arrived until they started.
func TestWeightStoreRateWithDelayedStarts(t *testing.T) {
	for name, quiet := range map[string]time.Duration{"asked for all the while": 0, "asked for again when they begin": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newWeightStoreFleet(12, 0.5, 200*time.Millisecond)
			window := DefaultParams().RemoteWindow
			start := time.Unix(1000, 0)
			startAll := start.Add(16 * time.Second)
			s.takeOver()
			for i := range 200 {
				now := start.Add(time.Duration(i) * 200 * time.Millisecond)
				if delay := startAll.Sub(now); delay <= 0 || delay > quiet {
					s.tick(now, max(0, delay))
				}
			}
			if got := s.maxInWindow(window); float64(got) > s.allowed(window) {
				t.Errorf("%d loads started within %v, %.2f are allowed; started at %v", got, window, s.allowed(window), s.startTimes(start))
			}
			if last := s.startTimes(start)[len(s.started)-1]; last < 30*time.Second {
				t.Errorf("last load started after %v although the weight store was free", last)
			}
		})
	}
}

// TestPlannedLoadReservesToken: each planned load, also the second one on an engine, reserves its token until the engine
// has accepted it. The start of a load that was planned on an earlier record of the engine does not count.
func TestPlannedLoadReservesToken(t *testing.T) {
	s := newWeightStoreFleet(1, 2, 200*time.Millisecond)
	s.takeOver()
	now := time.Unix(1000, 0)
	plan := func(delay time.Duration, enough func() bool) {
		for range 100 {
			if s.tick(now, delay); enough() {
				return
			}
			now = now.Add(200 * time.Millisecond)
		}
		t.Fatal("no load planned or started")
	}
	pending := func() int { return s.fleet.remoteUse().pending }
	plan(0, func() bool { return len(s.started) == 1 })
	if n := pending(); n != 0 {
		t.Errorf("%d tokens reserved after the first load has started", n)
	}
	plan(time.Hour, func() bool { return len(s.pending) == 1 })
	op := s.pending[s.engines[0]].op
	earlier := op
	earlier.generation--
	s.fleet.LoadAccepted(earlier, time.Time{}, 0, now)
	if n := pending(); n != 1 {
		t.Errorf("%d tokens reserved, want 1 for the second load, which has not started", n)
	}
	s.fleet.LoadAccepted(op, time.Time{}, 0, now)
	if n := pending(); n != 0 {
		t.Errorf("%d tokens reserved after the second load has started", n)
	}
}

// TestWeightStoreRateProperty checks the limit for any rate, any duration of loads, holders that change at any time, and
// loads that start late because their engine unloads first.
func TestWeightStoreRateProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 2).Draw(t, "rate")
		load := time.Duration(rapid.IntRange(200, 8000).Draw(t, "load_ms")) * time.Millisecond
		s := newWeightStoreFleet(12, rate, load)
		window := DefaultParams().RemoteWindow
		now := time.Unix(1000, 0)
		s.takeOver()
		for range 60 {
			if rapid.IntRange(0, 9).Draw(t, "killed") == 9 {
				s.takeOver()
			}
			s.tick(now, time.Duration(rapid.IntRange(0, 20).Draw(t, "delay"))*200*time.Millisecond)
			now = now.Add(200 * time.Millisecond)
		}
		if got := s.maxInWindow(window); float64(got) > s.allowed(window) {
			t.Fatalf("%d loads started within %v, %.2f are allowed", got, window, s.allowed(window))
		}
	})
}
