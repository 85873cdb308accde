package quota

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// newSparseLoad is a load of some 55 requests a second, however many instances there are.
func newSparseLoad(instances int, seed uint64) *load {
	l := newLoad(instances, seed)
	l.total, l.clients = 60000, 314
	for i, name := range l.names {
		rate := max(leastLimit, roomOverUsual*l.parts[i]*l.total)
		l.limits[name] = serving.Limit{Tokens: true, Rate: rate, Burst: rate}
	}
	return l
}

// TestFewRequestsAtManyInstances: where each instance has a request now and then, under two in a
// hundred of those that are within their limits are refused while a holder answers. Nearly each then
// needs a question to the holder, so that its loss is felt the more the more instances there are.
func TestFewRequestsAtManyInstances(t *testing.T) {
	const length, lostAfter = 20 * time.Second, 15 * time.Second
	p := Params{Window: 8 * time.Second, Overage: 0.1, Slack: 17000, Lifetime: 7 * time.Second}
	for _, instances := range []int{30, 100, 300} {
		l := newSparseLoad(instances, 1)
		list := l.arrivals(length, "", 1)
		kept := play(l, list, newLentWay(l, p))
		t.Logf("%d instances: %s", instances, kept.but(""))
		if 50*kept.refusedOwed > kept.owed {
			t.Errorf("%d instances: %d of %d refused that were within their limits", instances, kept.refusedOwed, kept.owed)
		}
		lost := newLentWay(l, p)
		lost.lost = epoch.Add(lostAfter)
		without := play(l, list, lost)
		t.Logf("%d instances, the holder lost for the last %s: %s", instances, length-lostAfter, without.but(""))
	}
}
