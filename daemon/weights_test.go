package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestSlowWeightStore: the store slows down to a hundredth. Requests that it
// cannot serve in time are refused as NotRun by their deadline at the latest,
// and at once when it has been seen to be slow; then it recovers, and so do we.
func TestSlowWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list strings.Builder
		for i := range 20 {
			fmt.Fprintf(&list, "  - {name: m%d, version: \"1\", memory: 2GiB, maxReplicas: 1, deadline: 60s}\n", i)
		}
		shape := small
		shape.domains, shape.models = 1, list.String()
		f := newTestFleet(t, shape)
		defer f.close()
		ask := func(model int, timeout time.Duration) (time.Duration, error) {
			start := time.Now()
			_, err := f.nodes[0].generate(fmt.Sprint("m", model), "x", timeout)
			return time.Since(start), err
		}
		if _, err := ask(0, time.Minute); err != nil {
			t.Fatal(err)
		}
		f.weights.SetSpeed(0.01)
		for i := 1; i <= 9; i++ {
			took, err := ask(i, 10*time.Minute)
			if err != nil && (verdict.Of(err).Verdict != verdict.NotRun || took > 10*time.Minute) {
				t.Errorf("after %v: %v", took, err)
			}
		}
		took, err := ask(10, 30*time.Second)
		if f := verdict.Of(err); err == nil || f.Verdict != verdict.NotRun || f.RetryAfter == 0 || took > 5*time.Second {
			t.Errorf("a doomed load: after %v: %v", took, err)
		}
		f.weights.SetSpeed(1)
		time.Sleep(time.Minute)
		if _, err := ask(13, 30*time.Second); err != nil {
			t.Errorf("with short deadlines only, after the store recovered: %v", err)
		}
		if _, err := ask(11, 10*time.Minute); err != nil {
			t.Errorf("after the store recovered: %v", err)
		}
		if _, err := ask(12, 30*time.Second); err != nil {
			t.Errorf("soon after the store recovered: %v", err)
		}
		f.checkCounts()
	})
}

// TestManyColdModels: twelve cold models are asked for at once. Loaded a few at
// a time, most come within a deadline that none would meet if all shared the
// weight store's streams; what is refused is refused truthfully.
func TestManyColdModels(t *testing.T) {
	const (
		models   = 12
		deadline = 40 * time.Second // one undisturbed load takes 15 s
		minReady = 7
	)
	synctest.Test(t, func(t *testing.T) {
		var list strings.Builder
		for i := range models {
			fmt.Fprintf(&list, "  - {name: m%d, version: \"1\", memory: 14GiB, maxReplicas: 1, deadline: 60s}\n", i)
		}
		shape := small
		shape.models = list.String()
		f := newTestFleet(t, shape)
		defer f.close()
		time.Sleep(10 * time.Second)
		var (
			mu       sync.Mutex
			answered int
			all      sync.WaitGroup
		)
		for i := range models {
			all.Go(func() {
				_, err := f.nodes[i%len(f.nodes)].generate(fmt.Sprint("m", i), "x", deadline)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					answered++
				}
			})
		}
		all.Wait()
		t.Logf("answered=%d of %d", answered, models)
		if answered < minReady {
			t.Errorf("%d of %d answered in time, want at least %d", answered, models, minReady)
		}
		f.checkCounts()
	})
}
