package intent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/martenport/martenport/internal/deployments"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

func source(maxReplicas int) []byte {
	return fmt.Appendf(nil, `failureDomains: [a]
weightStore: {startsPerSecond: 3, streams: 4}
engines:
  - {name: e1, failureDomain: a, address: "e1:1", memory: 80GiB, fencing: true}
models:
  - {name: m, version: "1", memory: 14GiB, maxReplicas: %d, deadline: 30s}
`, maxReplicas)
}

func newIntents(s store.Store) *Intents {
	tables := table.New(table.Member{Name: "i", FailureDomain: "a"})
	return New(s, tables.Config, tables.Members.HasAlive)
}

// TestPlanThenConfirm checks that a confirmed plan becomes generation 1, that
// confirming it again is idempotent, and that its ID is refused for another
// declaration.
func TestPlanThenConfirm(t *testing.T) {
	i := newIntents(standin.NewPlatform())
	plan, err := i.Plan(t.Context(), source(1))
	if err != nil {
		t.Fatal(err)
	}
	if len(plan.Changes) == 0 || plan.BaseGeneration != 0 {
		t.Errorf("plan %+v, want changes relative to generation 0", plan)
	}
	accepted, err := i.Confirm(t.Context(), plan.ID, plan.BaseGeneration, source(1))
	if err != nil || accepted.Generation != 1 {
		t.Fatalf("generation %d: %v", accepted.Generation, err)
	}
	again, err := i.Confirm(t.Context(), plan.ID, plan.BaseGeneration, source(1))
	if err != nil || again.Generation != 1 {
		t.Errorf("repeated confirmation: generation %d, error %v, want generation 1", again.Generation, err)
	}
	if _, err := i.Confirm(t.Context(), plan.ID, plan.BaseGeneration, source(2)); verdict.FromError(err).Reason != verdict.ReasonInvalid {
		t.Errorf("confirmation of another declaration under the plan's ID: %v, want ReasonInvalid", err)
	}
}

// TestStalePlanShowsDifference checks that a plan whose base generation has been
// superseded is refused, and that the refusal lists the differences to the current
// generation.
func TestStalePlanShowsDifference(t *testing.T) {
	i := newIntents(standin.NewPlatform())
	superseded, _ := i.Plan(t.Context(), source(1))
	newer, _ := i.Plan(t.Context(), source(3))
	if _, err := i.Confirm(t.Context(), newer.ID, newer.BaseGeneration, source(3)); err != nil {
		t.Fatal(err)
	}
	_, err := i.Confirm(t.Context(), superseded.ID, superseded.BaseGeneration, source(1))
	f := verdict.FromError(err)
	if f.Reason != verdict.ReasonStalePlan || !strings.Contains(f.Detail, "maxReplicas 3 to 1") {
		t.Errorf("%v, want stale_plan with the change of maxReplicas from 3 to 1", err)
	}
}

// TestConcurrentOperators guards against two operators' plans being accepted for the
// same base generation, and against accepted plans being lost. Operators confirm
// concurrently while the store loses answers; the history must be that of a
// compare-and-set register.
func TestConcurrentOperators(t *testing.T) {
	type confirm struct{ base int64 }
	type result struct {
		generation int64
		unknown    bool
	}
	register := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			now, base, r := state.(int64), input.(confirm).base, output.(result)
			switch {
			case r.unknown && now == base:
				return []any{now, base + 1}
			case r.unknown || (r.generation == 0 && now != base):
				return []any{now}
			case r.generation == base+1 && now == base:
				return []any{base + 1}
			default:
				return nil
			}
		},
	}
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		p.SetDelay(5 * time.Millisecond)
		rng := rand.New(rand.NewPCG(1, 3))
		var (
			mu      sync.Mutex
			history []porcupine.Operation
			all     sync.WaitGroup
		)
		for client := range 5 {
			all.Go(func() {
				i := newIntents(p)
				for n := range 12 {
					text := source(client*100 + n)
					plan, err := i.Plan(context.Background(), text)
					if err != nil {
						t.Error(err)
						return
					}
					mu.Lock()
					pause, loseAnswer := rng.IntN(40), rng.IntN(4) == 0
					mu.Unlock()
					time.Sleep(time.Duration(pause) * time.Millisecond)
					if loseAnswer {
						p.LoseAnswers(1)
					}
					call := time.Now().UnixNano()
					accepted, err := i.Confirm(context.Background(), plan.ID, plan.BaseGeneration, text)
					r := result{unknown: err != nil && verdict.FromError(err).Verdict != verdict.NotRun}
					if err == nil {
						r.generation = accepted.Generation
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: client, Input: confirm{plan.BaseGeneration}, Call: call, Output: r, Return: time.Now().UnixNano()})
					mu.Unlock()
				}
			})
		}
		all.Wait()
		if !porcupine.CheckOperations(register.ToModel(), history) {
			t.Error("history of confirmations not linearizable as a compare-and-set register")
		}
		current, _, err := newIntents(p).newest(t.Context())
		if err != nil || current.Generation < 2 {
			t.Errorf("generation %d, error %v, want at least 2", current.Generation, err)
		}
	})
}

// TestSizeInTwoYears checks that a declaration at the size projected for two years
// fits into one stored value.
func TestSizeInTwoYears(t *testing.T) {
	twoYears := deployments.TwoYears()
	i := newIntents(standin.NewPlatform())
	plan, err := i.Plan(t.Context(), twoYears)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := i.Confirm(t.Context(), plan.ID, plan.BaseGeneration, twoYears)
	if err != nil {
		t.Fatal(err)
	}
	value, err := Encode(accepted)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("source %d bytes, value %d bytes", len(twoYears), len(value))
	if len(value) > 1<<20 {
		t.Errorf("stored value has %d bytes, more than the limit", len(value))
	}
}
