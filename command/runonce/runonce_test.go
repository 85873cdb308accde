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

// unreliableStore is a store whose writes fail, are applied late, or are applied although
// the answer is lost.
type unreliableStore struct {
	*standin.Platform
	mu  sync.Mutex
	rng *rand.Rand // guarded by mu
}

// roll returns a random number below n.
func (f *unreliableStore) roll(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *unreliableStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	switch f.roll(10) {
	case 0:
		return store.Object{}, store.ErrUnavailable
	case 1: // applied, but the answer is lost
		_, _ = f.Platform.Put(ctx, key, value, version)
		return store.Object{}, store.ErrUnknown
	case 2: // applied up to 20 s after the error was returned
		go func() {
			time.Sleep(time.Duration(f.roll(20)) * time.Second)
			_, _ = f.Platform.Put(context.Background(), key, value, version)
		}()
		return store.Object{}, store.ErrUnknown
	}
	time.Sleep(time.Duration(f.roll(30)) * time.Millisecond)
	return f.Platform.Put(ctx, key, value, version)
}

// registryDirectory holds the current registry of each instance.
type registryDirectory struct {
	mu         sync.Mutex
	registries map[string]*Registry // guarded by mu
}

func (d *registryDirectory) get(name string) *Registry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registries[name]
}

// restart restarts the named instance with an empty registry.
func (d *registryDirectory) restart(name string, store store.Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registries[name] = NewRegistry(Params{Retention: time.Hour, MaxKeptAnswers: 100}, name, store, d)
}

// Answer implements Peers.
func (d *registryDirectory) Answer(ctx context.Context, instance, key string) ([]byte, error) {
	return d.get(instance).Answer(ctx, key)
}

// keyedRequest is the input of one operation in the history: a request with a key.
type keyedRequest struct{ key, content string }

// outcome is the output of one operation in the history.
type outcome struct {
	// ran is set if this operation ran the request, answered if it returned the
	// answer of an earlier run.
	ran, answered bool
	notRun        bool // the operation failed with verdict NotRun
	answer        string
}

// model is the specification of one key: its request runs at most once, an answer
// is that of the run, and an operation with verdict NotRun did not run the request.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(keyedRequest).key
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
			return run == "", input.(keyedRequest).content + "/" + o.answer
		case o.answered:
			return run == input.(keyedRequest).content+"/"+o.answer, state
		default:
			return true, state
		}
	},
}

// TestHistory guards against running the request of a key twice. Clients send the
// same keys to several instances concurrently, while the store loses answers and
// instances restart. Each key must run at most once, and every answer must be that
// of its run.
func TestHistory(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			store := &unreliableStore{Platform: standin.NewPlatform(), rng: rand.New(rand.NewPCG(seed, 2))}
			d := &registryDirectory{registries: map[string]*Registry{}}
			names := []string{"a", "b", "c"}
			for _, n := range names {
				d.restart(n, store)
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
						in := keyedRequest{key: fmt.Sprintf("k%d", store.roll(8)), content: "c"}
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
							d.restart(name, store)
						}
						time.Sleep(time.Duration(store.roll(200)) * time.Millisecond)
					}
				})
			}
			all.Wait()
			if !porcupine.CheckOperations(model, history) {
				t.Errorf("seed %d: history not linearizable: a key ran twice, or an answer is not that of its run", seed)
			}
			if runs == 0 {
				t.Errorf("seed %d: no request ran", seed)
			}
			time.Sleep(time.Minute)
		})
	}
}

// sendOnce handles one keyed request as an instance does.
func sendOnce(r *Registry, in keyedRequest, roll func(int) int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	run, answer, err := r.Begin(ctx, in.key, in.content)
	if run == nil {
		return outcome{answered: err == nil, answer: string(answer), notRun: err != nil && verdict.FromError(err).Verdict == verdict.NotRun}
	}
	time.Sleep(time.Duration(roll(100)) * time.Millisecond)
	if roll(6) == 0 { // no replica available, the request does not run
		run.Finish(ctx, nil, verdict.Refuse(verdict.ReasonNoReplica, "none"))
		return outcome{notRun: true}
	}
	text := fmt.Sprintf("answer %d", roll(1000))
	run.Finish(ctx, []byte(text), nil)
	return outcome{ran: true, answer: text}
}

// TestKeyReused checks that a key is refused with other content and answered again
// with the same content, at the instance that ran it and at another. After a restart
// of the former, the answer is lost and the verdict must be MayHaveRun.
func TestKeyReused(t *testing.T) {
	d := &registryDirectory{registries: map[string]*Registry{}}
	store := standin.NewPlatform()
	d.restart("a", store)
	d.restart("b", store)
	run, _, err := d.get("a").Begin(t.Context(), "k", "content")
	if err != nil {
		t.Fatal(err)
	}
	run.Finish(t.Context(), []byte("answer"), nil)
	for _, name := range []string{"a", "b"} {
		if _, _, err := d.get(name).Begin(t.Context(), "k", "other"); verdict.FromError(err).Reason != verdict.ReasonKeyReused {
			t.Errorf("key with other content at %s: %v, want key_reused", name, err)
		}
		if _, answer, err := d.get(name).Begin(t.Context(), "k", "content"); err != nil || string(answer) != "answer" {
			t.Errorf("repeated key at %s: answer %q, error %v, want the answer of the run", name, answer, err)
		}
	}
	d.restart("a", store)
	if _, _, err := d.get("b").Begin(t.Context(), "k", "content"); verdict.FromError(err).Verdict != verdict.MayHaveRun {
		t.Errorf("repeated key after a restart of the recording instance: %v, want MayHaveRun", err)
	}
}

// TestStoreUnavailable checks that a key is refused with NotRun and a retry delay if
// the store cannot be reached.
func TestStoreUnavailable(t *testing.T) {
	store := standin.NewPlatform()
	store.SetDown(true)
	r := NewRegistry(Params{MaxKeptAnswers: 1}, "a", store, nil)
	_, _, err := r.Begin(t.Context(), "k", "c")
	if f := verdict.FromError(err); f.Verdict != verdict.NotRun || f.Reason != verdict.ReasonPlatform || f.RetryAfter == 0 {
		t.Errorf("%v, want NotRun with ReasonPlatform and a retry delay", err)
	}
}

// TestSweep checks that Sweep deletes records only after the retention time.
func TestSweep(t *testing.T) {
	store := standin.NewPlatform()
	r := NewRegistry(Params{Retention: time.Hour, MaxKeptAnswers: 10}, "a", store, nil)
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
			t.Errorf("sweep after %v: deleted %d records, want %d, error %v", at.after, n, at.want, err)
		}
	}
}
