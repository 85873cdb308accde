package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

const captionModel = `{name: caption, version: "1", memory: 14GiB, maxReplicas: 1, deadline: 60s}`

// TestOrdererKilledDuringLoad: the orderer of an engine is killed during a load. Another instance must take over and
// wait for the load that is in progress rather than order another one, and the request must be answered. The cases are
// engines that reject orders with an old fencing token and engines that ignore the tokens.
func TestOrdererKilledDuringLoad(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(map[bool]string{true: "fencing", false: "ignoring"}[fencing], func(t *testing.T) {
			f := newFleet(t, fencing, "5e9") // a load takes 3 s
			f.startInstance("i-a2", "a")
			f.startInstance("i-b2", "b")
			f.startInstance("i-c2", "c")
			f.applyDeclaration(f.instances["i-a"], f.declaration(fencing, captionModel))
			f.awaitOrderersKnown("i-a", "i-b", "i-c", "i-a2", "i-b2", "i-c2")

			loadingOrderer := make(chan string, 1)
			go func() { loadingOrderer <- f.awaitOrdererOfLoadingEngine() }()
			var wg sync.WaitGroup
			for _, name := range []string{"i-a", "i-b", "i-c"} {
				wg.Go(func() {
					_, _ = f.instances[name].generate(waitTimeout, &martenportv1.GenerateRequest{Model: "caption", Prompt: name, MaxTokens: 2, Idempotent: true})
				})
			}
			killed := <-loadingOrderer
			f.instances[killed].signal(syscall.SIGKILL)
			survivor := "i-a"
			if killed == survivor {
				survivor = "i-b"
			}
			if _, err := f.instances[survivor].generate(waitTimeout, &martenportv1.GenerateRequest{Model: "caption", Prompt: "after", MaxTokens: 2, Idempotent: true}); err != nil {
				t.Errorf("request after %s was killed: %v", killed, err)
			}
			if n := f.loadCount(); n != 1 {
				t.Errorf("%d loads, want 1", n)
			}
			wg.Wait()
		})
	}
}

// awaitOrdererOfLoadingEngine waits until an engine is loading and returns its orderer.
func (f *fleet) awaitOrdererOfLoadingEngine() string {
	found := ""
	await(f.t, "an engine loads", func() bool {
		for _, i := range f.instances {
			for _, e := range i.status().GetEngines() {
				if len(e.Loading) > 0 && e.Orderer != "" {
					found = e.Orderer
					return true
				}
			}
		}
		return false
	})
	return found
}

// TestGracefulShutdown: on SIGTERM an instance must finish a running answer, hand its engine over to another
// instance and exit.
func TestGracefulShutdown(t *testing.T) {
	f := newFleet(t, true, "100e9")
	f.startInstance("i-a2", "a")
	f.applyDeclaration(f.instances["i-a"], f.declaration(true, captionModel))
	f.awaitOrderersKnown("i-a", "i-b", "i-c", "i-a2")
	leaving := f.instances["i-a"]
	done := make(chan error, 1)
	go func() {
		_, err := leaving.generate(waitTimeout, &martenportv1.GenerateRequest{Model: "caption", Prompt: "long", MaxTokens: 1500})
		done <- err
	}()
	await(t, "the request runs", func() bool { return f.requestsBegun() > 0 })
	leaving.signal(syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Errorf("the running request was cut off: %v", err)
	}
	select {
	case err := <-leaving.exit:
		if err != nil {
			t.Errorf("exit: %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the instance did not exit")
	}
	await(t, "another instance orders the engine", func() bool {
		for _, e := range f.instances["i-b"].status().GetEngines() {
			if e.Name == "e-a" && e.Orderer == "i-a2" {
				return true
			}
		}
		return false
	})
}

// requestsBegun returns the number of attempts of requests that have begun on the engines.
func (f *fleet) requestsBegun() int {
	n := 0
	for _, d := range domains {
		n += f.tally(d).Requests
	}
	return n
}

// TestPlatformFrozen: a placement slot, kept in the platform, permits one engine to hold a replica of a model. While the
// platform is frozen, resident models are served, and a model for which an engine still has a slot is loaded again after
// it was unloaded. A model for which no engine has a slot cannot be loaded, and must be refused with NotRun.
func TestPlatformFrozen(t *testing.T) {
	f := newFleet(t, true, "100e9")
	f.tailWeight = 0 // idle models are unloaded immediately
	f.applyDeclaration(f.instances["i-a"], f.declaration(true, captionModel,
		`{name: album, version: "1", memory: 14GiB, maxReplicas: 1, deadline: 60s}`))
	f.awaitOrderersKnown("i-a", "i-b", "i-c")
	requestCaption := func() error {
		_, err := f.instances["i-b"].generate(waitTimeout, &martenportv1.GenerateRequest{Model: "caption", Prompt: "x", MaxTokens: 1, Idempotent: true})
		return err
	}
	if err := requestCaption(); err != nil {
		t.Fatal(err)
	}
	f.platformProcess.signal(syscall.SIGSTOP)
	if err := requestCaption(); err != nil {
		t.Errorf("request for a resident model while the platform is frozen: %v", err)
	}
	await(t, "the idle model is unloaded", func() bool {
		for _, e := range f.instances["i-b"].status().GetEngines() {
			if len(e.Resident) > 0 {
				return false
			}
		}
		return true
	})
	if err := requestCaption(); err != nil {
		t.Errorf("request for a model for which an engine has a slot while the platform is frozen: %v", err)
	}
	_, err := f.instances["i-b"].generate(30*time.Second, &martenportv1.GenerateRequest{Model: "album", Prompt: "x", MaxTokens: 1})
	if f := failureIn(err); f == nil || f.Verdict != martenportv1.Verdict_VERDICT_NOT_RUN {
		t.Errorf("request for a model for which no engine has a slot while the platform is frozen: got %v, want NotRun", err)
	}
	f.platformProcess.signal(syscall.SIGCONT)
	await(t, "the other model is served", func() bool {
		_, err := f.instances["i-b"].generate(waitTimeout, &martenportv1.GenerateRequest{Model: "album", Prompt: "x", MaxTokens: 1})
		return err == nil
	})
}

// TestOrdererFrozenAcrossTakeover: the orderer of a loading engine is frozen until another instance has taken over. When
// it resumes, it must learn that another instance is the orderer now, and nothing may be loaded twice. The cases are
// engines that reject orders with an old fencing token and engines that ignore the tokens.
func TestOrdererFrozenAcrossTakeover(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(map[bool]string{true: "fencing", false: "ignoring"}[fencing], func(t *testing.T) {
			f := newFleet(t, fencing, "3e9") // a load takes 5 s
			for _, d := range domains {
				f.startInstance("i-"+d+"2", d)
			}
			f.applyDeclaration(f.instances["i-a"], f.declaration(fencing, captionModel))
			f.awaitOrderersKnown("i-a", "i-b", "i-c", "i-a2", "i-b2", "i-c2")
			go func() {
				_, _ = f.instances["i-a"].generate(waitTimeout, &martenportv1.GenerateRequest{Model: "caption", Prompt: "first", MaxTokens: 2, Idempotent: true})
			}()
			frozen := f.instances[f.awaitOrdererOfLoadingEngine()]
			frozen.signal(syscall.SIGSTOP)
			observer := f.otherThan(frozen)
			engine := ""
			await(t, "another instance has taken over", func() bool {
				for _, e := range observer.status().GetEngines() {
					if len(e.Loading)+len(e.Resident) > 0 && e.Orderer != frozen.name {
						engine = e.Name
						return true
					}
				}
				return false
			})
			frozen.signal(syscall.SIGCONT)
			await(t, "the frozen instance knows its successor", func() bool {
				for _, e := range frozen.status().GetEngines() {
					if e.Name == engine && e.Orderer != frozen.name {
						return true
					}
				}
				return false
			})
			if _, err := frozen.generate(waitTimeout, &martenportv1.GenerateRequest{Model: "caption", Prompt: "after", MaxTokens: 2, Idempotent: true}); err != nil {
				t.Errorf("request at the instance that was frozen: %v", err)
			}
			if n := f.loadCount(); n != 1 {
				t.Errorf("%d loads, want 1", n)
			}
		})
	}
}

// otherThan returns any instance but the excluded one.
func (f *fleet) otherThan(excluded *instance) *instance {
	for _, i := range f.instances {
		if i != excluded {
			return i
		}
	}
	return nil
}

// TestIdempotencyKeyAtSeveralInstances: three instances get the same call with the same idempotency key at once. The
// call must run once, and all three must return its answer. After all instances are replaced, a repeat must not run, and
// must be answered with MayHaveRun (the verdict that the call may have run).
func TestIdempotencyKeyAtSeveralInstances(t *testing.T) {
	f := newFleet(t, true, "100e9")
	f.applyDeclaration(f.instances["i-a"], f.declaration(true, captionModel))
	await(t, "all have the declaration", func() bool {
		for _, i := range f.instances {
			if i.status().GetGeneration() != 1 {
				return false
			}
		}
		return true
	})
	var wg sync.WaitGroup
	answers := make(chan string, 3)
	for _, i := range f.instances {
		wg.Go(func() {
			body, err := i.call("confirm", "notice 17", "key 17")
			if err != nil {
				t.Errorf("%s: %v", i.name, err)
			}
			answers <- body
		})
	}
	wg.Wait()
	first := <-answers
	for range 2 {
		if other := <-answers; other != first || first == "" {
			t.Errorf("got answers %q and %q, want equal ones that are not empty", first, other)
		}
	}
	if n := f.serviceRuns("notice 17"); n != 1 {
		t.Errorf("the call ran %d times, want 1", n)
	}
	for _, i := range f.instances {
		i.signal(syscall.SIGKILL)
		<-i.exit
	}
	fresh := f.startInstance("i-a", "a")
	await(t, "the new instance has the declaration", func() bool { return fresh.status().GetGeneration() == 1 })
	_, err := fresh.call("confirm", "notice 17", "key 17")
	if failure := failureIn(err); failure == nil || failure.Verdict != martenportv1.Verdict_VERDICT_MAY_HAVE_RUN {
		t.Errorf("repeat after all instances were replaced: got %v, want MayHaveRun", err)
	}
	if n := f.serviceRuns("notice 17"); n != 1 {
		t.Errorf("the call ran %d times, want 1", n)
	}
}
