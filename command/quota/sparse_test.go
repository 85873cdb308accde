package quota

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// newSparseLoad returns a load of about 55 requests per second, regardless of the number of instances.
func newSparseLoad(instances int, seed uint64) *load {
	l := newLoad(instances, seed)
	l.total, l.clients = 60000, 314
	for i, name := range l.names {
		rate := max(minLimit, limitHeadroom*l.fractions[i]*l.total)
		l.limits[name] = serving.Limit{Tokens: true, Rate: rate, Burst: rate}
	}
	return l
}

// TestFewRequestsPerInstance guards against refusing requests within their limits where each instance
// has a request only occasionally: at most 2% may be refused while a holder answers. Nearly every
// request then needs a query, so the more instances there are, the more requests are refused when the
// holder is lost.
func TestFewRequestsPerInstance(t *testing.T) {
	const length, lostAfter = 20 * time.Second, 15 * time.Second
	p := Params{Window: 8 * time.Second, Overage: 0.1, Slack: 17000, Lifetime: 7 * time.Second}
	for _, instances := range []int{30, 100, 300} {
		l := newSparseLoad(instances, 1)
		list := l.arrivals(length, "", 1)
		withHolder := simulate(l, list, newLendAndAsk(l, p))
		t.Logf("%d instances: %s", instances, withHolder.summaryWithout(""))
		if 50*withHolder.refusedConforming > withHolder.conforming {
			t.Errorf("%d instances: %d of %d requests within their limits refused", instances, withHolder.refusedConforming, withHolder.conforming)
		}
		lost := newLendAndAsk(l, p)
		lost.lost = epoch.Add(lostAfter)
		withoutHolder := simulate(l, list, lost)
		t.Logf("%d instances, the holder lost for the last %s: %s", instances, length-lostAfter, withoutHolder.summaryWithout(""))
	}
}
