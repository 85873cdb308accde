package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

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
