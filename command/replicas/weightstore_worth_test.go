package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestNoRemoteLoadForRequestsThatGiveUp: a load from the weight store is started for requests that will still wait when it
// ends, or for a model with many later requests, not for a rare model whose only request gives up before. That request
// still gets the true duration of the load.
func TestNoRemoteLoadForRequestsThatGiveUp(t *testing.T) {
	for _, c := range []struct {
		name      string
		left      time.Duration
		arrivals  int
		wantLoads int
	}{
		{"patient", 20 * time.Second, 1, 1},
		{"leaves, rare", 2 * time.Second, 0, 0},
		{"leaves, many follow", 2 * time.Second, 20, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := testFleet(now, testSpec("m1", "m2"), []string{"m1"}, nil)
			for _, e := range f.Engines() {
				e.Tiers["m2"] = serving.TierRemote
			}
			f.index = index{}
			f.RecordArrivals("m2", arrivals(c.arrivals), now)
			waiting := Waiting{Instance: "instance", OnTime: 1, Left: c.left}
			found, ok := f.Find("llm", serving.Unit{Model: "m2"}, waiting, now)
			load := f.Engines()[0].Spec.Models["m2"].RemoteLoad
			if !ok || found.Ready.Sub(now) < load {
				t.Errorf("found %t, ready in %s, want at least %s", ok, found.Ready.Sub(now), load)
			}
			if loads := f.Dispatch(now); len(loads) != c.wantLoads {
				t.Errorf("%+v, want %d loads", loads, c.wantLoads)
			}
		})
	}
}
