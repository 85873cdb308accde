package daemon

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/event"
)

const withAdapters = oneReplica + `adapters:
  - {name: wedding, model: caption, version: "1", memory: 1GiB}
  - {name: album, model: caption, version: "1", memory: 1GiB}
`

// TestAdapters guards against duplicate loads by concurrent requests: requests for
// two adapters of a cold model load the model once, and each adapter once onto the
// resident model.
func TestAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := small
		shape.models = withAdapters
		f := newTestFleet(t, shape)
		defer f.close()
		var all sync.WaitGroup
		for i, n := range f.nodes {
			all.Go(func() {
				adapter := []string{"wedding", "album"}[i%2]
				_, err := n.generateAs(&martenportv1.GenerateRequest{
					Model: "caption", Adapter: adapter, Prompt: fmt.Sprint(i), MaxTokens: 4, Idempotent: true,
				})
				if err != nil {
					t.Errorf("request for adapter %s at %s: %v", adapter, n.settings.Name, err)
				}
			})
		}
		all.Wait()
		if n := f.loads(); n != 3 {
			t.Errorf("%d loads, want 3 (the model and two adapters)\n%s", n, f.trace(event.Filter{}))
		}
		f.checkCounts()
	})
}

// TestEngineRestartedEmpty checks that the restart of an engine, which loses its
// loaded model, is detected, and that the model is loaded again exactly once.
func TestEngineRestartedEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		if _, err := f.nodes[0].generate("caption", "x", time.Minute); err != nil {
			t.Fatal(err)
		}
		for _, e := range f.engines {
			if e.Holds("caption") {
				e.Restart()
			}
		}
		for _, n := range f.nodes {
			if _, err := n.generate("caption", "y", time.Minute); err != nil {
				t.Errorf("request at %s after the restart: %v", n.settings.Name, err)
			}
		}
		if n := f.loads(); n != 2 {
			t.Errorf("%d loads, want 2", n)
		}
		if n := f.replicas("caption"); n != 1 {
			t.Errorf("%d replicas, want 1", n)
		}
	})
}

// TestTimelineReportsUnreachable checks that the timeline contains the events of all
// instances in causal order, and lists an instance that does not answer as
// unreachable.
func TestTimelineReportsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		if _, err := f.nodes[1].generate("caption", "x", time.Minute); err != nil {
			t.Fatal(err)
		}
		stopped := f.nodes[5]
		f.kill(stopped)
		f.nodes = f.nodes[:5]
		ctx, cancel := context.WithTimeout(t.Context(), timelineTimeout)
		defer cancel()
		merged := f.nodes[0].timeline.Collect(ctx, modelFilter("caption"))
		if len(merged.Unreachable) != 1 || merged.Unreachable[0] != stopped.settings.Name {
			t.Errorf("unreachable instances %v, want only the stopped one", merged.Unreachable)
		}
		var kinds []string
		for i, e := range merged.Events {
			kinds = append(kinds, string(e.Kind))
			if i > 0 && e.Stamp.Compare(merged.Events[i-1].Stamp) < 0 {
				t.Errorf("event %v is out of stamp order", e)
			}
		}
		order := strings.Join(kinds, " ")
		at := -1
		for _, kind := range []string{"request_accept", "wake", "load_order", "loaded", "attempt", "request_answer"} {
			next := strings.Index(order, kind)
			if next <= at {
				t.Errorf("event %s missing or out of order in: %s", kind, order)
			}
			at = next
		}
	})
}
