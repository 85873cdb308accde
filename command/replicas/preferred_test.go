package replicas

import (
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestPreferredEngine: a model is loaded on the engine that keeps the memory of a run, unless that engine would need the
// weight store for it, is unreachable or is unknown. Without requests that wait, nothing is preferred.
func TestPreferredEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		preferred string
		change    func(f *Fleet)
		want      string
	}{
		"none":                {"", func(*Fleet) {}, "a-engine"},
		"preferred":           {"c-engine", func(*Fleet) {}, "c-engine"},
		"without the weights": {"c-engine", func(f *Fleet) { f.Engine("c-engine").Tiers["m4"] = serving.TierRemote; f.index = index{} }, "a-engine"},
		"unreachable":         {"c-engine", func(f *Fleet) { f.Unreachable("c-engine", now) }, "a-engine"},
		"not known":           {"gone", func(*Fleet) {}, "a-engine"},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"}, []string{"m1", "m2"}, []string{"m1", "m2"})
			test.change(f)
			f.Prefer("llm", "m4", test.preferred, waitingOnTime(1), now)
			operations := requestModel(t, f, "m4", now)
			if len(operations) != 1 || operations[0].Engine != test.want || operations[0].Remote {
				t.Errorf("%+v, want a load from the disk of %s", operations, test.want)
			}
		})
	}
	f := testFleet(now, testSpec("m1", "m2"), []string{"m1"})
	f.Prefer("llm", "m2", "a-engine", Waiting{Instance: "instance"}, now)
	if operations := f.Dispatch(now); len(operations) != 0 {
		t.Errorf("%+v for no request", operations)
	}
}

// TestLoadable: engines that have the weights but not the model, free ones first.
func TestLoadable(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2"), []string{"m1"}, []string{"m2"}, []string{"m2"}, []string{"m2"})
	f.Engine("b-engine").Busy, f.Engine("b-engine").FreeAt = true, now.Add(time.Second)
	f.Unreachable("c-engine", now)
	if got := f.Loadable("llm", "m1", now); !slices.Equal(got, []string{"d-engine", "b-engine"}) {
		t.Errorf("loadable at %v", got)
	}
	if got := f.Loadable("other", "m1", now); len(got) != 0 {
		t.Errorf("loadable at %v of another service", got)
	}
}
