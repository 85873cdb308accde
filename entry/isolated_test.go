package entry

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// isolationSettle is the time from the loss of a path until requests have to be served as before it.
const isolationSettle = 3 * time.Second

// newIsolationFleet returns a load fleet whose instances' paths to servers can be broken.
func newIsolationFleet(t *testing.T) *loadFleet {
	return startLoadFleet(&fleet{t: t, links: map[int]*serverLink{}})
}

// breakPaths breaks the paths of instances to all servers.
func (f *loadFleet) breakPaths(c cut, instances ...*running) {
	for machine, r := range f.instances {
		if slices.Contains(instances, r) {
			f.links[machine].set(c)
		}
	}
}

// others returns the instances that are not among those given.
func (f *loadFleet) others(instances ...*running) []*running {
	return slices.DeleteFunc(slices.Clone(f.instances), func(r *running) bool { return slices.Contains(instances, r) })
}

// outcomesAt counts the outcomes of the requests sent to some instances in a period.
func (f *loadFleet) outcomesAt(instances []*running, from, to time.Time) (e outcomes) {
	return f.countOutcomes(from, to, func(req *loadRequest) bool { return slices.Contains(instances, req.instance) })
}

// TestCallersOfInstanceWithoutPathAreServed guards against requests that fail at an instance that reaches no server although
// other instances do.
func TestCallersOfInstanceWithoutPathAreServed(t *testing.T) {
	for name, c := range map[string]cut{"refused": cutRefused, "silent": cutSilent, "new ones refused": cutNew} {
		t.Run(name, func(t *testing.T) {
			f := newIsolationFleet(t)
			f.startLoad()
			time.Sleep(time.Second)
			isolated := f.others(f.holder())[:3]
			f.breakPaths(c, isolated...)
			settled := time.Now().Add(isolationSettle)
			time.Sleep(isolationSettle)
			for _, r := range isolated {
				if a := f.request(r, "unsafe", ""); a.status != http.StatusOK {
					t.Errorf("unsafe request: %+v", a)
				}
			}
			time.Sleep(3 * time.Second)
			ended := time.Now()
			f.stopLoad()
			cutOff, rest := f.outcomesAt(isolated, settled, ended), f.outcomesAt(f.others(isolated...), settled, ended)
			t.Logf("without a path: %v; with one: %v", cutOff, rest)
			if 20*cutOff.served < 19*cutOff.total || 20*rest.served < 19*rest.total {
				t.Errorf("without a path: %v; with one: %v; want 95%% served at both", cutOff, rest)
			}
			f.checkServerInvariants()
		})
	}
}

// TestHolderWithoutPathHandsOver guards against a holder that keeps the lease although it reaches no engine, and makes all
// other instances refuse requests for models that are loaded.
func TestHolderWithoutPathHandsOver(t *testing.T) {
	for name, c := range map[string]cut{"refused": cutRefused, "silent": cutSilent} {
		t.Run(name, func(t *testing.T) {
			f := newIsolationFleet(t)
			f.startLoad()
			time.Sleep(time.Second)
			holder := f.holder()
			others := f.others(holder)
			f.breakPaths(c, holder)
			broken := time.Now()
			f.requestUntilServed(others[0], "stream", "m4")
			f.await("another holder", func() bool { h := f.holder(); return h != nil && h != holder })
			time.Sleep(time.Second)
			ended := time.Now()
			f.stopLoad()
			e := f.outcomesAt(others, broken, ended)
			t.Logf("at the other instances: %v", e)
			if 20*e.served < 19*e.total {
				t.Errorf("at the other instances: %v; want 95%% served", e)
			}
			f.checkServerInvariants()
		})
	}
}

// TestLostPathIsNoCrash guards against requests that count as the cause of crashes because an instance lost its path to
// servers that are running.
func TestLostPathIsNoCrash(t *testing.T) {
	f := newIsolationFleet(t)
	f.startLoad()
	time.Sleep(time.Second)
	isolated := f.others(f.holder())[0]
	for range 5 {
		f.breakPaths(cutRefused, isolated)
		time.Sleep(700 * time.Millisecond)
		f.breakPaths(notCut, isolated)
		time.Sleep(300 * time.Millisecond)
	}
	f.stopLoad()
	for _, server := range isolated.dir.All() {
		if isolated.crashes.Crashed(server) {
			t.Errorf("%s counts as ended", server.ID)
		}
	}
	for _, r := range f.instances {
		if records := r.quarantine.ledger.List(time.Now()); len(records) > 0 {
			t.Errorf("%s: %d requests count as the cause of an end: %+v", r.address, len(records), records[0])
		}
	}
}
