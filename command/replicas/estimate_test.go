package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// storeOnly returns a fleet of two engines that have none of the models' weights.
func storeOnly(now time.Time, models ...string) *Fleet {
	f := testFleet(now, testSpec(models...), nil, nil)
	for _, e := range f.Engines() {
		clear(e.Tiers)
	}
	f.index = index{}
	return f
}

// fleetOfNewHolder returns such a fleet whose engines have yet to be read, and may be ordered after 3 s.
func fleetOfNewHolder(now time.Time) *Fleet {
	f := storeOnly(now, "m1", "m2", "m3")
	for _, e := range f.Engines() {
		e.MustBeRead, e.NotBefore = true, now.Add(3*time.Second)
	}
	return f
}

// TestEstimateBeforeEnginesAreRead: a new holder that has not read its engines says at once how long a load from the
// weight store takes at least, so that requests which give up before are refused when they arrive. Before, they were
// told to ask again until the engines had been read. The unit counts as not placed, so that an instance which knows of
// an engine with the unit still uses that one.
func TestEstimateBeforeEnginesAreRead(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, change := range map[string]func(f *Fleet){
		"engines unread": func(*Fleet) {},
		"no orders":      func(f *Fleet) { f.Suspend(true) },
	} {
		f := fleetOfNewHolder(now)
		change(f)
		w := Waiting{Instance: "instance", OnTime: 1, Left: 8 * time.Second}
		found, ok := f.Find("llm", serving.Unit{Model: "m1"}, w, now)
		earliest := now.Add(3*time.Second + f.Engines()[0].Spec.Models["m1"].RemoteLoad)
		if ok || found.Ready.Before(earliest) {
			t.Errorf("%s: found %t, ready in %s, want not found and at least %s", name, ok, found.Ready.Sub(now), earliest.Sub(now))
		}
		if before, known := f.remoteQueueReady(f.wantedModels["m1"], now); known {
			t.Errorf("%s: ready in %s by the estimate of before, want none", name, before.Sub(now))
		}
	}
}

// TestEstimateLeavesServedRequests: requests that a new holder's engines can serve are not told to give up. Either their
// weights lie on an engine's disk, or the load from the store ends in their time, and then it does.
func TestEstimateLeavesServedRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleetOfNewHolder(now)
	f.Engines()[0].Tiers["m2"] = serving.TierDisk
	f.index = index{}
	patient := Waiting{Instance: "instance", OnTime: 1, Left: 10 * time.Second}
	if found, ok := f.Find("llm", serving.Unit{Model: "m2"}, patient, now); ok || !found.Ready.IsZero() {
		t.Errorf("%+v, %t: want no time for a model on a disk", found, ok)
	}
	found, _ := f.Find("llm", serving.Unit{Model: "m3"}, patient, now)
	for _, e := range f.Engines() {
		f.Adopt(e.Server.ID, serving.Report{}, now.Add(2*time.Second))
	}
	begins := now.Add(3 * time.Second)
	f.SetWaiting("llm", "m3", Waiting{Instance: "instance", OnTime: 1, Left: 7 * time.Second}, begins)
	for _, op := range f.Dispatch(begins) {
		if op.Load.Model == "m3" {
			if !op.Ready.Equal(found.Ready) {
				t.Errorf("ready in %s, was told %s", op.Ready.Sub(now), found.Ready.Sub(now))
			}
			return
		}
	}
	t.Error("the load from the store did not begin")
}

// TestStoreEstimateWaitsForRate: an estimate counts from when the rate of the weight store allows the next load, and the
// load then begins. Before, it counted from each time it was made: a request waited for a load that came no nearer, and
// was refused only when it had less left than a load takes.
func TestStoreEstimateWaitsForRate(t *testing.T) {
	now := time.Unix(1000, 0)
	f := storeOnly(now, "m1", "m2", "m3")
	f.remoteLimiter = remoteLimiter{}
	for _, e := range f.Engines() {
		e.Spec.RemoteLoadsPerSecond = 0.25
	}
	load := f.Engines()[0].Spec.Models["m1"].RemoteLoad
	w := func(left time.Duration) Waiting { return Waiting{Instance: "instance", OnTime: 1, Left: left} }
	found, ok := f.Find("llm", serving.Unit{Model: "m1"}, w(30*time.Second), now)
	told, before := found.Ready, now.Add(load+f.params.OrderTime)
	if !ok || !told.Equal(before.Add(4*time.Second)) {
		t.Fatalf("ready in %s, want 4 s later than %s", told.Sub(now), before.Sub(now))
	}
	for at := now; at.Before(told); at = at.Add(100 * time.Millisecond) {
		for _, op := range f.Dispatch(at) {
			if late := op.Ready.Sub(told); late < 0 || late > 200*time.Millisecond {
				t.Errorf("the load is ready %s later than told", late)
			}
			return
		}
		f.SetWaiting("llm", "m1", w(now.Add(30*time.Second).Sub(at)), at)
		if again, _ := f.Find("llm", serving.Unit{Model: "m1"}, Waiting{}, at); again.Ready.Sub(told).Abs() > time.Millisecond {
			t.Fatalf("after %s the estimate moved by %s", at.Sub(now), again.Ready.Sub(told))
		}
	}
	t.Error("the load did not begin")
}
