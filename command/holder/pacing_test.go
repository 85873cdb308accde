package holder

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/overload"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// planned records when the load of each model was planned.
type planned struct {
	mu sync.Mutex
	at map[string]time.Time // guarded by mu
}

func (p *planned) Levels() []logrus.Level { return logrus.AllLevels }

func (p *planned) Fire(e *logrus.Entry) error {
	if e.Message != "operation planned" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if model := e.Data["load"].(string); p.at[model].IsZero() {
		p.at[model] = time.Now()
	}
	return nil
}

// Load of the tests below: ten times the usual rate of questions, at what a decision takes in a fleet of that size.
const (
	questionInterval = 500 * time.Microsecond
	dispatchCost     = 500 * time.Microsecond
	loadDuration     = 200 * time.Millisecond
	wantedInterval   = 50 * time.Millisecond
	// firstRemote is the first model on no disk. The weight store bounds the loads of these, so that some wait.
	firstRemote = 632
)

// loadableHolder returns a holder that has read its engines and may order them.
func loadableHolder(t testing.TB) *Holder {
	t.Helper()
	h := benchHolder(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refreshServers()
	for _, e := range h.fleet.Engines() {
		h.fleet.Adopt(e.Server.ID, serving.Report{Models: e.Server.Models}, time.Now())
		e.NotBefore = time.Time{}
	}
	return h
}

// askRepeatedly asks for models that wait for room, and for a model that can be loaded every wantedInterval. It
// returns the number of dispatches and the longest delay until such a model's load was planned.
func askRepeatedly(t *testing.T, pacing overload.PacerParams) (dispatches uint64, longest time.Duration) {
	t.Helper()
	h := loadableHolder(t)
	h.pacing.pacer = overload.NewPacer(pacing)
	h.pacing.elapsed = func(time.Time) time.Duration { return dispatchCost }
	plans := &planned{at: map[string]time.Time{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(plans)
	h.log = log
	want := func(model string, weight float64) {
		r := Request{Service: "llm", Unit: serving.Unit{Model: model}, Waiting: replicas.Waiting{Instance: "i", OnTime: weight}}
		if _, _, err := h.Want(r, time.Now()); err != nil {
			t.Error(err)
		}
	}
	started := time.Now()
	urgent := map[string]time.Time{}
	for i := 0; time.Since(started) < loadDuration; i++ {
		if i%int(wantedInterval/questionInterval) == 0 {
			model := fmt.Sprintf("m%d", 20*len(urgent)+104) // on disks of engines of its own
			urgent[model] = time.Now()
			want(model, 100)
		}
		want(fmt.Sprintf("m%d", firstRemote+i%12), 0.01)
		time.Sleep(questionInterval)
	}
	time.Sleep(time.Second)
	plans.mu.Lock()
	defer plans.mu.Unlock()
	for model, asked := range urgent {
		at, found := plans.at[model]
		if !found {
			t.Errorf("load of %s was not planned", model)
			continue
		}
		longest = max(longest, at.Sub(asked))
	}
	return h.metrics.dispatches.Get(), longest
}

// TestDispatchesBoundedUnderLoad: at ten times the usual rate of questions, decisions about loads take a fifth of the
// holder's time at most, and a model that can be loaded is planned for within the maximum pause. Without pacing, each
// question is a decision.
func TestDispatchesBoundedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, delayBefore := askRepeatedly(t, overload.PacerParams{})
		after, delay := askRepeatedly(t, overload.PacerParams{PauseFactor: dispatchPauseFactor, MaxPause: maxDispatchPause})
		t.Logf("dispatches in %s: %d without pacing, %d with; longest delay of a planned load: %s and %s", loadDuration, before, after, delayBefore, delay)
		busy := time.Duration(after) * dispatchCost
		if bound := loadDuration / (1 + dispatchPauseFactor); busy > bound+bound/10 {
			t.Errorf("decisions took %s of %s, more than %s", busy, loadDuration, bound)
		}
		if before < 4*after {
			t.Errorf("%d dispatches without pacing, only %d with: the load is no test", before, after)
		}
		if delay > maxDispatchPause {
			t.Errorf("a load was planned %s after it was wanted", delay)
		}
	})
}

// TestPendingDispatchRuns: a decision that was put off is made although nothing else happens, and an idle holder
// decides at once.
func TestPendingDispatchRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := benchHolder(t)
		h.pacing.elapsed = func(time.Time) time.Duration { // a process that is frozen within the decision
			time.Sleep(time.Hour)
			return time.Hour
		}
		h.dispatch(clock.Now())
		h.dispatch(clock.Now())
		if n := h.metrics.dispatches.Get(); n != 1 {
			t.Fatalf("%d dispatches at once, want 1", n)
		}
		time.Sleep(time.Hour + 2*maxDispatchPause)
		synctest.Wait()
		if n := h.metrics.dispatches.Get(); n != 2 {
			t.Errorf("%d dispatches after the pause, want 2", n)
		}
		time.Sleep(2 * time.Hour)
		synctest.Wait()
		if n := h.metrics.dispatches.Get(); n != 2 {
			t.Errorf("%d dispatches without a request, want 2", n)
		}
	})
}

// TestPauseAfterWaitForLock: the pause begins when the decision ends, also if its caller had to wait for it.
func TestPauseAfterWaitForLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := benchHolder(t)
		h.pacing.elapsed = func(time.Time) time.Duration { return dispatchCost }
		asked := clock.Now()
		time.Sleep(10 * time.Millisecond)
		h.dispatch(asked)
		h.dispatch(clock.Now())
		if n := h.metrics.dispatches.Get(); n != 1 {
			t.Errorf("%d dispatches, want 1: the second one is within the pause", n)
		}
	})
}

// TestPendingDispatchAfterLostLease: a decision that was put off is not made once the lease is gone.
func TestPendingDispatchAfterLostLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := benchHolder(t)
		h.pacing.elapsed = func(time.Time) time.Duration { return dispatchCost }
		h.dispatch(time.Now())
		h.dispatch(time.Now())
		h.Release(t.Context())
		time.Sleep(time.Second)
		synctest.Wait()
		if n := h.metrics.dispatches.Get(); n != 1 {
			t.Errorf("%d dispatches, want 1", n)
		}
	})
}
