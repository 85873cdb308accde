package replicas

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/serving"
)

// hotModelFleet returns three engines, of which a and b each have room made by evicting a copy, and c has the hot model.
func hotModelFleet(now time.Time) *Fleet {
	f := testFleet(now, testSpec("hot", "m1", "m2", "m3"), []string{"m1"}, []string{"m2"}, []string{"hot"})
	f.RecordArrivals("hot", arrivals(400), now)
	f.SetRunning(map[string]map[serving.Unit]int{"c-engine": {{Model: "hot"}: 400}}, now)
	return f
}

// furtherCopy returns the engine that gets the hot model's further copy, "" if there is none.
func furtherCopy(f *Fleet, now time.Time) string {
	for _, op := range f.Dispatch(now) {
		if op.Load.Model == "hot" {
			return op.Engine
		}
	}
	return ""
}

// TestFurtherCopyOnFastEngine: a hot model's further copy goes to the faster of two engines that are as good otherwise.
// The speed of an earlier process of the engine, and one that is not positive, do not count.
func TestFurtherCopyOnFastEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	usual := furtherCopy(hotModelFleet(now), now)
	other := map[string]string{"a-engine": "b-engine", "b-engine": "a-engine"}[usual]
	if other == "" {
		t.Fatalf("the further copy is on %q", usual)
	}
	for name, test := range map[string]struct {
		speeds []balance.EngineSpeed
		want   string
	}{
		"slow":            {[]balance.EngineSpeed{{Engine: usual, Speed: 0.5}}, other},
		"other is fast":   {[]balance.EngineSpeed{{Engine: usual, Speed: 0.7}, {Engine: other, Speed: 1.5}}, other},
		"fast":            {[]balance.EngineSpeed{{Engine: usual, Speed: 1.5}}, usual},
		"both slow":       {[]balance.EngineSpeed{{Engine: usual, Speed: 0.5}, {Engine: other, Speed: 0.5}}, usual},
		"earlier process": {[]balance.EngineSpeed{{Engine: usual, Born: 1, Speed: 0.5}}, usual},
		"not a speed":     {[]balance.EngineSpeed{{Engine: usual}, {Engine: "gone", Speed: 0.5}}, usual},
	} {
		f := hotModelFleet(now)
		f.Engine(usual).Server.Born = 2
		f.SetSpeeds(test.speeds)
		if got := furtherCopy(f, now); got != test.want {
			t.Errorf("%s: on %s, want %s", name, got, test.want)
		}
	}
}

// TestEvictionPrefersSlowEngine: a copy on a slow engine costs less to evict.
func TestEvictionPrefersSlowEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	f := hotModelFleet(now)
	e := f.Engine("c-engine")
	usual := f.victims(e, now)[0].cost
	f.SetSpeeds([]balance.EngineSpeed{{Engine: "c-engine", Speed: 0.5}})
	if slow := f.victims(e, now)[0].cost; usual <= 0 || slow >= usual {
		t.Errorf("cost %f, %f on a slow engine", usual, slow)
	}
	f.SetSpeeds(nil)
	if again := f.victims(e, now)[0].cost; again != usual {
		t.Errorf("cost %f after the speed was forgotten, want %f", again, usual)
	}
}

// TestEqualSpeedsPlaceAsBefore: without known differences, the same operations follow from the same demand, also after
// a speed was known and forgotten.
func TestEqualSpeedsPlaceAsBefore(t *testing.T) {
	play := func(speeds bool) (operations []Operation) {
		now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
		models := []string{"m1", "m2", "m3", "m4", "m5"}
		f := testFleet(now, testSpec(models...), []string{"m1"}, []string{"m2"}, []string{"m3"})
		for range 200 {
			now = now.Add(50 * time.Millisecond)
			if speeds {
				f.SetSpeeds([]balance.EngineSpeed{{Engine: "a-engine", Speed: 0.5}})
				f.SetSpeeds([]balance.EngineSpeed{{Engine: "a-engine", Speed: 1}})
			}
			model := models[random.IntN(len(models))]
			f.RecordArrivals(model, arrivals(1+random.IntN(9)), now)
			f.Find("llm", serving.Unit{Model: model}, waitingOnTime(1), now)
			operations = append(operations, f.Dispatch(now)...)
		}
		return operations
	}
	if without, with := play(false), play(true); len(without) == 0 || !reflect.DeepEqual(without, with) {
		t.Errorf("%d operations, %d and other ones with equal speeds", len(without), len(with))
	}
}
