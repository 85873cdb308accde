package runonce

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/verdict"
)

// flaky is the platform with answers that come late or never, and outages.
type flaky struct {
	*standin.Platform
	mu  sync.Mutex
	rng *rand.Rand // guarded by mu
}

func (f *flaky) roll(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *flaky) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	switch f.roll(10) {
	case 0:
		return store.Object{}, store.ErrUnavailable
	case 1: // carried out, answer lost
		_, _ = f.Platform.Put(ctx, key, value, version)
		return store.Object{}, store.ErrUnknown
	case 2: // carried out long after
		go func() {
			time.Sleep(time.Duration(f.roll(20)) * time.Second)
			_, _ = f.Platform.Put(context.Background(), key, value, version)
		}()
		return store.Object{}, store.ErrUnknown
	}
	time.Sleep(time.Duration(f.roll(30)) * time.Millisecond)
	return f.Platform.Put(ctx, key, value, version)
}

// directory finds the registries of instances that are alive.
type directory struct {
	mu         sync.Mutex
	registries map[string]*Registry // guarded by mu
}

func (d *directory) get(name string) *Registry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registries[name]
}

// replace starts the named instance anew: what it held is gone.
func (d *directory) replace(name string, store store.Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registries[name] = NewRegistry(Params{Retention: time.Hour, MaxHeld: 100}, name, store, d)
}

// Answer implements Peers.
func (d *directory) Answer(ctx context.Context, instance, key string) ([]byte, error) {
	return d.get(instance).Answer(ctx, key)
}

// sent is the input of one operation in the history: a send of a key.
type sent struct{ key, content string }

// outcome is its output.
type outcome struct {
	// ran: this send ran the request. answered: it brought an answer.
	ran, answered bool
	notRun        bool
	answer        string
}

// model of a key: it runs at most once; an answer is that of the run; a send
// that says NotRun did not run.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(sent).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		run, o := state.(string), output.(outcome)
		switch {
		case o.ran && o.notRun:
			return false, state
		case o.ran:
			return run == "", input.(sent).content + "/" + o.answer
		case o.answered:
			return run == input.(sent).content+"/"+o.answer, state
		default:
			return true, state
		}
	},
}

// TestHistory: the same keys are sent to several instances at once, while the
// platform loses answers and instances are replaced. Each key runs at most
// once, and every answer is that of its one run.
func TestHistory(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			store := &flaky{Platform: standin.NewPlatform(), rng: rand.New(rand.NewPCG(seed, 2))}
			d := &directory{registries: map[string]*Registry{}}
			names := []string{"a", "b", "c"}
			for _, n := range names {
				d.replace(n, store)
			}
			var (
				mu      sync.Mutex
				history []porcupine.Operation
				all     sync.WaitGroup
			)
			runs := 0
			for client := range 6 {
				all.Go(func() {
					for range 20 {
						in := sent{key: fmt.Sprintf("k%d", store.roll(8)), content: "c"}
						name := names[store.roll(3)]
						call := time.Now().UnixNano()
						out := sendOnce(d.get(name), in, store.roll)
						mu.Lock()
						if out.ran {
							runs++
						}
						history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Now().UnixNano()})
						mu.Unlock()
						if store.roll(25) == 0 {
							d.replace(name, store)
						}
						time.Sleep(time.Duration(store.roll(200)) * time.Millisecond)
					}
				})
			}
			all.Wait()
			if !porcupine.CheckOperations(model, history) {
				t.Errorf("seed %d: a key ran twice, or an answer is not that of its run", seed)
			}
			if runs == 0 {
				t.Errorf("seed %d: nothing ran", seed)
			}
			time.Sleep(time.Minute)
		})
	}
}

// sendOnce is what an instance does with a keyed request.
func sendOnce(r *Registry, in sent, roll func(int) int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	run, answer, err := r.Begin(ctx, in.key, in.content)
	if run == nil {
		return outcome{answered: err == nil, answer: string(answer), notRun: err != nil && verdict.Of(err).Verdict == verdict.NotRun}
	}
	time.Sleep(time.Duration(roll(100)) * time.Millisecond)
	if roll(6) == 0 { // found no replica: nothing ran
		run.Finish(ctx, nil, verdict.Refuse(verdict.ReasonNoReplica, "none"))
		return outcome{notRun: true}
	}
	text := fmt.Sprintf("answer %d", roll(1000))
	run.Finish(ctx, []byte(text), nil)
	return outcome{ran: true, answer: text}
}

func TestKeyReused(t *testing.T) {
	d := &directory{registries: map[string]*Registry{}}
	store := standin.NewPlatform()
	d.replace("a", store)
	d.replace("b", store)
	run, _, err := d.get("a").Begin(t.Context(), "k", "content")
	if err != nil {
		t.Fatal(err)
	}
	run.Finish(t.Context(), []byte("answer"), nil)
	for _, name := range []string{"a", "b"} {
		if _, _, err := d.get(name).Begin(t.Context(), "k", "other"); verdict.Of(err).Reason != verdict.ReasonKeyReused {
			t.Errorf("at %s: %v, want key_reused", name, err)
		}
		if _, answer, err := d.get(name).Begin(t.Context(), "k", "content"); err != nil || string(answer) != "answer" {
			t.Errorf("at %s: %q %v, want the held answer", name, answer, err)
		}
	}
	d.replace("a", store)
	if _, _, err := d.get("b").Begin(t.Context(), "k", "content"); verdict.Of(err).Verdict != verdict.MayHaveRun {
		t.Errorf("after the instance was replaced: %v, want MayHaveRun", err)
	}
}

func TestPlatformDown(t *testing.T) {
	store := standin.NewPlatform()
	store.SetDown(true)
	r := NewRegistry(Params{MaxHeld: 1}, "a", store, nil)
	_, _, err := r.Begin(t.Context(), "k", "c")
	if f := verdict.Of(err); f.Verdict != verdict.NotRun || f.Reason != verdict.ReasonPlatform || f.RetryAfter == 0 {
		t.Errorf("%v, want a refusal with NotRun and when to come back", err)
	}
}

func TestSweep(t *testing.T) {
	store := standin.NewPlatform()
	r := NewRegistry(Params{Retention: time.Hour, MaxHeld: 10}, "a", store, nil)
	run, _, err := r.Begin(t.Context(), "k", "c")
	if err != nil {
		t.Fatal(err)
	}
	run.Finish(t.Context(), nil, nil)
	for _, at := range []struct {
		after time.Duration
		want  int
	}{{time.Minute, 0}, {2 * time.Hour, 1}} {
		if n, err := r.Sweep(t.Context(), time.Now().Add(at.after)); err != nil || n != at.want {
			t.Errorf("after %v: removed %d, want %d: %v", at.after, n, at.want, err)
		}
	}
}
