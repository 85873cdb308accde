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

// TestSlowWeightStore slows the weight store down to 1/100 of its speed. Requests whose
// load would not finish in time must be refused with NotRun by their deadline at the
// latest, and promptly once slow loads have been observed. When the weight store
// recovers, requests must be answered again.
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
			elapsed, err := ask(i, 10*time.Minute)
			if err != nil && (verdict.FromError(err).Verdict != verdict.NotRun || elapsed > 10*time.Minute) {
				t.Errorf("request during the slowdown: after %v: %v, want NotRun by the deadline", elapsed, err)
			}
		}
		elapsed, err := ask(10, 30*time.Second)
		if f := verdict.FromError(err); err == nil || f.Verdict != verdict.NotRun || f.RetryAfter == 0 || elapsed > 5*time.Second {
			t.Errorf("request whose load is too slow: after %v: %v, want NotRun within 5 s", elapsed, err)
		}
		f.weights.SetSpeed(1)
		time.Sleep(time.Minute)
		if _, err := ask(13, 30*time.Second); err != nil {
			t.Errorf("request with a short deadline, first after the recovery: %v", err)
		}
		if _, err := ask(11, 10*time.Minute); err != nil {
			t.Errorf("request with a long deadline after the recovery: %v", err)
		}
		if _, err := ask(12, 30*time.Second); err != nil {
			t.Errorf("further request with a short deadline after the recovery: %v", err)
		}
		f.checkCounts()
	})
}

// TestManyColdModels guards against concurrent loads slowing each other down until all
// miss their deadline. Twelve cold models are requested concurrently; loaded a few at a
// time, most are ready within a deadline that none would meet if all loads shared the
// weight store's bandwidth.
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
			t.Errorf("%d of %d requests answered in time, want at least %d", answered, models, minReady)
		}
		f.checkCounts()
	})
}
