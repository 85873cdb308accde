package orderer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/table"
)

// faults are the probabilities, from 0 to 1, of each kind of fault per call or per action.
type faults struct {
	// delayed: an order reaches the engine, or a write takes effect in the store, long after the
	// sender gave up waiting.
	delayed float64
	// senderPaused: the sender is paused between its decision and the call.
	senderPaused float64
	// answerLost: the call takes effect, but its answer is lost.
	answerLost float64
	// storeOutage: the instance cannot reach the store for some time.
	storeOutage float64
	// engineRestart: an engine is restarted and comes back empty.
	engineRestart float64
	// instanceReplaced: an instance is replaced while its orders are still in flight.
	instanceReplaced float64
}

const gib = int64(1) << 30

// simulation consists of engines, a store, and instances that all believe that they should order
// every engine: the worst case of diverging membership views.
type simulation struct {
	t       *testing.T
	faults  faults
	fencing bool

	platform *standin.Platform
	engines  map[string]*standin.Engine
	models   map[string]declaration.Model
	events   *event.Recorder

	steps atomic.Int64 // number of random actions taken

	mu  sync.Mutex
	rng *rand.Rand // guarded by mu
}

func (w *simulation) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (w *simulation) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// checkLimits reports an error if a model has more replicas than its cap allows or an engine's
// memory is overcommitted. It runs after each order that reached an engine.
func (w *simulation) checkLimits() {
	if w.t.Failed() {
		return // report only the first violation
	}
	replicas := map[string]int{}
	for name, e := range w.engines {
		if n := e.Tally().Overcommits; n > 0 {
			w.t.Errorf("engine %s: memory overcommitted %d times\n%s", name, n, w.trace(event.Filter{Engine: name, Limit: 40}))
		}
		for _, m := range e.Models() {
			replicas[m]++
		}
	}
	for name, n := range replicas {
		if allowed := w.models[name].MaxReplicas; n > allowed {
			w.t.Errorf("model %s: %d replicas, %d allowed\n%s", name, n, allowed, w.trace(event.Filter{Model: name, Limit: 40}))
		}
	}
}

// trace returns the latest events of all instances that match f.
func (w *simulation) trace(f event.Filter) string {
	var b strings.Builder
	for _, e := range w.events.Select(f) {
		fmt.Fprintf(&b, "%s %s %s model=%s %s\n", time.Unix(0, e.Stamp.Wall).Format("04:05.000"), e.Kind, e.Engine, e.Model, e.Detail)
	}
	return b.String()
}

// deliver makes a call subject to the simulated faults. It returns false when the caller gets no
// answer.
func (w *simulation) deliver(ctx context.Context, call func()) bool {
	if w.chance(w.faults.senderPaused) {
		time.Sleep(time.Duration(1+w.intN(120)) * time.Second)
	}
	if w.chance(w.faults.delayed) {
		go func() {
			time.Sleep(time.Duration(1+w.intN(120)) * time.Second)
			call()
		}()
		<-ctx.Done()
		return false
	}
	time.Sleep(time.Duration(1+w.intN(20)) * time.Millisecond)
	call()
	return !w.chance(w.faults.answerLost)
}

// tables returns the tables of one instance with the declaration of the simulation.
func (w *simulation) tables(name string) *table.Tables {
	t := table.New(table.Member{Name: name, FailureDomain: "a", Incarnation: 1})
	accepted := &table.Accepted{Generation: 1, PlanID: "p"}
	if err := accepted.SetSource([]byte(w.yaml())); err != nil {
		w.t.Fatal(err)
	}
	if err := accepted.Parse(); err != nil {
		w.t.Fatal(err)
	}
	t.Config.Apply(accepted)
	return t
}

func (w *simulation) yaml() string {
	var b strings.Builder
	b.WriteString("failureDomains: [a]\ntailWeight: 0.5\nweightStore: {startsPerSecond: 3, streams: 4}\nengines:\n")
	for name := range w.engines {
		fmt.Fprintf(&b, "  - {name: %s, failureDomain: a, address: \"%s:1\", memory: 40GiB, fencing: %t}\n", name, name, w.fencing)
	}
	b.WriteString("models:\n")
	for name, m := range w.models {
		fmt.Fprintf(&b, "  - {name: %s, version: \"1\", memory: %dGiB, maxReplicas: %d, deadline: 60s}\n", name, int64(m.Memory)/gib, m.MaxReplicas)
	}
	return b.String()
}

// newSimulation returns a simulation with five models and three engines, each of which has memory
// for two models.
func newSimulation(t *testing.T, seed uint64, fencing bool, f faults) *simulation {
	w := &simulation{
		t: t, faults: f, fencing: fencing, platform: standin.NewPlatform(),
		engines: map[string]*standin.Engine{}, models: map[string]declaration.Model{},
		rng: rand.New(rand.NewPCG(seed, 1)), events: event.NewRecorder("world", &event.Clock{}, 4096, nil),
	}
	weights := standin.NewWeightStore(1000, 100)
	for _, name := range []string{"e1", "e2", "e3"} {
		w.engines[name] = standin.NewEngine(standin.EngineParams{
			Name: name, MemoryBytes: 40 * gib, Fencing: fencing, StepTime: time.Millisecond, MaxBatch: 8,
			Speeds: standin.DefaultSpeeds(), Weights: weights,
		})
	}
	for name, maxReplicas := range map[string]int{"m1": 1, "m2": 1, "m3": 2, "m4": 1, "m5": 2} {
		w.models[name] = declaration.Model{Name: name, Memory: declaration.Size(18 * gib), MaxReplicas: maxReplicas}
	}
	return w
}

// instance runs the orderers of one instance, and starts new ones when the instance is replaced.
type instance struct {
	w    *simulation
	name string
}

// runUntil performs random actions until stop, starting a new incarnation whenever the instance is
// replaced.
func (i instance) runUntil(ctx context.Context, stop time.Time, start int) {
	policy := placement.DefaultPolicy()
	policy.MinIdle, policy.MaxKeepAlive = time.Second, 20*time.Second
	for incarnation := start; time.Now().Before(stop); incarnation++ {
		env := &Environment{
			Instance: i.name, Identity: fmt.Sprintf("%s#%d", i.name, incarnation),
			Store: &faultyStore{Platform: i.w.platform, w: i.w}, Tables: i.w.tables(i.name),
			Events: i.w.events, Policy: policy,
		}
		i.runIncarnation(ctx, env, stop)
	}
}

// runIncarnation runs one incarnation of the instance until it is replaced or stop is reached.
func (i instance) runIncarnation(ctx context.Context, env *Environment, stop time.Time) {
	ctx, stopInstance := context.WithCancel(ctx)
	defer stopInstance()
	var loops sync.WaitGroup
	orderers := map[string]*Orderer{}
	for name, e := range i.w.engines {
		declared := *env.Tables.Config.Index().Engines[name]
		o := newOrderer(env, declared, faultyEngine{e, i.w})
		orderers[name] = o
		loops.Go(func() { i.poll(ctx, o) })
	}
	for time.Now().Before(stop) && !i.w.chance(i.w.faults.instanceReplaced) {
		i.randomAction(ctx, orderers)
	}
	stopInstance()
	loops.Wait()
}

func (i instance) poll(ctx context.Context, o *Orderer) {
	for after := uint64(0); ctx.Err() == nil; {
		if o.Active() {
			after, _ = o.poll(ctx, after)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// randomAction performs one randomly chosen action on a random engine.
func (i instance) randomAction(ctx context.Context, orderers map[string]*Orderer) {
	i.w.steps.Add(1)
	name := []string{"e1", "e2", "e3"}[i.w.intN(3)]
	model := "m" + strconv.Itoa(1+i.w.intN(5))
	o := orderers[name]
	ctx, cancel := context.WithTimeout(ctx, time.Duration(1+i.w.intN(40))*time.Second)
	defer cancel()
	switch roll := i.w.intN(20); {
	case roll < 2 || (!o.Active() && roll < 6):
		if !o.Active() {
			_ = o.Takeover(ctx)
		}
	case roll < 14:
		_ = o.Load(ctx, backend.Unit{Model: model, Version: "1"}, 18*gib)
	case roll < 16:
		_ = o.Yield(ctx, model)
	case roll < 18:
		o.reconcile(ctx)
	case roll < 19:
		_ = o.Handover(ctx)
	}
	if i.w.chance(i.w.faults.engineRestart) {
		i.w.events.Record(event.Event{Kind: "restart", Engine: name})
		i.w.engines[name].Restart()
	}
	time.Sleep(time.Duration(i.w.intN(500)) * time.Millisecond)
}

// runSimulation runs a simulation for a virtual duration and returns the number of loads that
// engines carried out and of random actions.
func runSimulation(t *testing.T, seed uint64, fencing bool, f faults, virtual time.Duration) (loads, steps int) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, seed, fencing, f)
		stop := time.Now().Add(virtual)
		var all sync.WaitGroup
		for n := range 3 {
			all.Go(func() { instance{w, fmt.Sprintf("i%d", n)}.runUntil(t.Context(), stop, 0) })
		}
		all.Wait()
		time.Sleep(5 * time.Minute) // lets calls in flight finish
		w.checkLimits()
		for _, e := range w.engines {
			loads += e.Tally().Loads
			e.Restart() // aborts its loads
		}
		steps = int(w.steps.Load())
	})
	return loads, steps
}

// firstSeed returns the first seed: 1, or the value of MARTENPORT_SEED.
func firstSeed(t *testing.T) uint64 {
	text, set := os.LookupEnv("MARTENPORT_SEED")
	if !set {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("MARTENPORT_SEED: %v", err)
	}
	return seed
}

// rounds returns the number of seeds to run each mix of faults with: 3, or the value of
// MARTENPORT_ROUNDS.
func rounds(t *testing.T) int {
	text, set := os.LookupEnv("MARTENPORT_ROUNDS")
	if !set {
		return 3
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("MARTENPORT_ROUNDS: %v", err)
	}
	return n
}

// TestLimitsHoldUnderFaults guards against exceeding the cap of a model or the memory of an engine
// when calls, instances and engines fail. It runs random actions with each kind of fault alone, in
// combinations and with all of them, on engines with and without fencing support.
func TestLimitsHoldUnderFaults(t *testing.T) {
	mixes := map[string]faults{
		"none":              {},
		"late":              {delayed: 0.05},
		"paused":            {senderPaused: 0.05},
		"lost":              {answerLost: 0.1},
		"outage":            {storeOutage: 0.005},
		"restart":           {engineRestart: 0.02},
		"died":              {instanceReplaced: 0.02},
		"paused and died":   {senderPaused: 0.05, instanceReplaced: 0.02},
		"late and lost":     {delayed: 0.05, answerLost: 0.05},
		"late and restart":  {delayed: 0.05, engineRestart: 0.02},
		"outage and paused": {storeOutage: 0.005, senderPaused: 0.05},
		"all":               {delayed: 0.03, senderPaused: 0.03, answerLost: 0.05, storeOutage: 0.002, engineRestart: 0.01, instanceReplaced: 0.01},
	}
	for name, mix := range mixes {
		for _, fencing := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/fencing=%t", name, fencing), func(t *testing.T) {
				t.Parallel()
				loads, steps := 0, 0
				for round := range rounds(t) {
					l, s := runSimulation(t, firstSeed(t)+uint64(round), fencing, mix, 20*time.Minute)
					loads, steps = loads+l, steps+s
				}
				if loads == 0 {
					t.Error("no loads took place, so the limits were not exercised")
				}
				t.Logf("loads=%d steps=%d", loads, steps)
			})
		}
	}
}
