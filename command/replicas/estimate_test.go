package replicas

import (
	"slices"
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

// waiter is a request in a play of waiters.
type waiter struct {
	model                  string
	arrived, expires, asks time.Time
	served, refused, held  bool
}

// playTakeover plays requests that arrive after a takeover: the engines are read after 2 s and ordered after 3 s, and the
// rate of the weight store allows a load in 4 s. One model is on a disk, the other only in the store. With before, units
// that no engine can take are asked for again after 1 s, and estimates for the store count from now.
func playTakeover(before bool) []*waiter {
	now := time.Unix(1000, 0)
	f := fleetOfNewHolder(now)
	f.Engines()[0].Tiers["m2"] = serving.TierDisk
	f.index, f.remoteLimiter = index{}, remoteLimiter{}
	for _, e := range f.Engines() {
		e.Spec.RemoteLoadsPerSecond = 0.25
	}
	load := f.Engines()[0].Spec.Models["m1"].RemoteLoad + f.params.OrderTime
	var waiters []*waiter
	for i := range 40 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		w := &waiter{model: []string{"m1", "m2"}[i%2], arrived: at, asks: at, expires: at.Add(time.Duration(4+i%7*2) * time.Second)}
		waiters = append(waiters, w)
	}
	var loading []Operation
	for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(50 * time.Millisecond) {
		if at.Equal(now.Add(2 * time.Second)) {
			for _, e := range f.Engines() {
				f.Adopt(e.Server.ID, serving.Report{}, at)
			}
		}
		for _, w := range waiters {
			w.ask(f, before, load, at)
		}
		loading = append(loading, f.Dispatch(at)...)
		for _, op := range loading {
			if !op.Ready.After(at) {
				f.Done(op, at)
			}
		}
		loading = slices.DeleteFunc(loading, func(op Operation) bool { return !op.Ready.After(at) })
	}
	return waiters
}

// ask asks for the request's model if that is due, and serves or refuses the request.
func (w *waiter) ask(f *Fleet, before bool, load time.Duration, at time.Time) {
	if w.served || w.refused || at.Before(w.asks) {
		return
	}
	left := Waiting{Instance: w.expires.String(), OnTime: 1, Left: w.expires.Sub(at)}
	found, ok := f.Find("llm", serving.Unit{Model: w.model}, left, at)
	ready := found.Ready
	switch {
	case !ok && before:
		ready = at.Add(time.Second)
	case !ok:
		ready = later(ready, at.Add(time.Second))
	case before && found.Engine == "" && w.model == "m1":
		ready = at.Add(load)
	}
	w.asks = at.Add(250 * time.Millisecond)
	switch {
	case !ready.Before(w.expires):
		w.refused, w.held = true, at.Sub(w.arrived) > time.Second/2
		f.SetWaiting("llm", w.model, Waiting{Instance: left.Instance}, at)
	case found.Engine != "" && !ready.After(at):
		w.served = true
		f.SetWaiting("llm", w.model, Waiting{Instance: left.Instance}, at)
	}
}

// TestRefusedAtOnceAfterTakeover: after a takeover every request that was served before is served, and most of those that
// were held and then refused are refused when they arrive.
func TestRefusedAtOnceAfterTakeover(t *testing.T) {
	before, after := playTakeover(true), playTakeover(false)
	count := func(waiters []*waiter) (served, refused, held int) {
		for _, w := range waiters {
			if w.served {
				served++
			}
			if w.refused {
				refused++
			}
			if w.held {
				held++
			}
		}
		return served, refused, held
	}
	servedBefore, refusedBefore, heldBefore := count(before)
	served, refused, held := count(after)
	t.Logf("served %d, refused %d, held %d before; %d, %d, %d after", servedBefore, refusedBefore, heldBefore, served, refused, held)
	for i, w := range after {
		if before[i].served && !w.served {
			t.Errorf("request %d for %s, which gives up after %s, was served before", i, w.model, w.expires.Sub(w.arrived))
		}
	}
	if served == 0 || refused == 0 || heldBefore == 0 || 4*held > heldBefore {
		t.Errorf("%d held refusals before, %d after, want at most a quarter", heldBefore, held)
	}
}
