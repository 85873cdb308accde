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

// TestAdapters: requests for two adapters of a cold model load the model once
// and each adapter once, onto the resident model.
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
					t.Errorf("%s at %s: %v", adapter, n.settings.Name, err)
				}
			})
		}
		all.Wait()
		if n := f.loads(); n != 3 {
			t.Errorf("%d loads, want the model and two adapters\n%s", n, f.trace(event.Filter{}))
		}
		f.checkCounts()
	})
}

// TestEngineReclaimed: an engine that is taken away with its model and comes
// back empty is found out, and the model is loaded again, once.
func TestEngineReclaimed(t *testing.T) {
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
				t.Errorf("%s: %v", n.settings.Name, err)
			}
		}
		if n := f.loads(); n != 2 {
			t.Errorf("%d loads, want 2", n)
		}
		if n := f.replicas("caption"); n != 1 {
			t.Errorf("%d replicas", n)
		}
	})
}

// TestTimelineNamesTheDead: events of all instances come in causal order, and
// an instance that does not answer is named.
func TestTimelineNamesTheDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, small)
		defer f.close()
		if _, err := f.nodes[1].generate("caption", "x", time.Minute); err != nil {
			t.Fatal(err)
		}
		dead := f.nodes[5]
		f.kill(dead)
		f.nodes = f.nodes[:5]
		ctx, cancel := context.WithTimeout(t.Context(), timelineTimeout)
		defer cancel()
		merged := f.nodes[0].timeline.Collect(ctx, modelFilter("caption"))
		if len(merged.Unreachable) != 1 || merged.Unreachable[0] != dead.settings.Name {
			t.Errorf("unreachable %v", merged.Unreachable)
		}
		var kinds []string
		for i, e := range merged.Events {
			kinds = append(kinds, string(e.Kind))
			if i > 0 && e.Stamp.Compare(merged.Events[i-1].Stamp) < 0 {
				t.Errorf("%v comes before its cause", e)
			}
		}
		order := strings.Join(kinds, " ")
		at := -1
		for _, kind := range []string{"request_accept", "wake", "load_order", "loaded", "attempt", "request_answer"} {
			next := strings.Index(order, kind)
			if next <= at {
				t.Errorf("%s is missing or out of order in: %s", kind, order)
			}
			at = next
		}
	})
}
