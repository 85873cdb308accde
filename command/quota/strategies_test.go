package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// These tests compare strategies for enforcing a limit over all instances: how many requests within their
// limits each one refuses under a load of many workspaces, and how many queries it needs.

// load generates requests of workspaces of very different sizes. Each client of a workspace always uses
// the same instance.
type load struct {
	instances, clients int
	limits             map[string]serving.Limit
	// total is the cost of all requests per second.
	total float64
	names []string
	// fractions are the workspaces' fractions of the total.
	fractions []float64
	rand      *rand.Rand
}

const (
	loadWorkspaces = 16
	// meanCost is the mean cost of a request, maxCost the largest.
	meanCost, maxCost = 1100, 7000
	// limitHeadroom is the ratio of a workspace's limit to its mean demand.
	limitHeadroom = 1.8
	// minLimit is the lowest limit of a workspace.
	minLimit = 4200
)

// newLoad returns a load that grows with the number of instances.
func newLoad(instances int, seed uint64) *load {
	l := &load{instances: instances, clients: 314 * instances / 71, total: 440000 * float64(instances) / 71, limits: map[string]serving.Limit{}, rand: rand.New(rand.NewPCG(seed, 7))}
	sum := 0.0
	for i := range loadWorkspaces {
		l.names = append(l.names, fmt.Sprintf("w%d", i))
		l.fractions = append(l.fractions, math.Pow(float64(i+1), -1.2))
		sum += l.fractions[i]
	}
	for i := range l.fractions {
		l.fractions[i] /= sum
		rate := max(minLimit, limitHeadroom*l.fractions[i]*l.total)
		l.limits[l.names[i]] = serving.Limit{Tokens: true, Rate: rate, Burst: rate}
	}
	return l
}

// arrival is one request.
type arrival struct {
	at        time.Time
	workspace string
	instance  int
	cost      float64
}

// arrivals returns the requests of a period in which the workspace hot sends the given multiple of its
// mean demand.
func (l *load) arrivals(length time.Duration, hot string, times float64) []arrival {
	type client struct {
		workspace string
		instance  int
	}
	byWorkspace := map[string][]client{}
	for i, name := range l.names {
		for range max(1, int(l.fractions[i]*float64(l.clients))) {
			byWorkspace[name] = append(byWorkspace[name], client{name, l.rand.IntN(l.instances)})
		}
	}
	var list []arrival
	for i, name := range l.names {
		perSecond := l.fractions[i] * l.total / meanCost
		if name == hot {
			perSecond *= times
		}
		for at := l.rand.ExpFloat64() / perSecond; at < length.Seconds(); at += l.rand.ExpFloat64() / perSecond {
			c := byWorkspace[name][l.rand.IntN(len(byWorkspace[name]))]
			cost := min(maxCost, meanCost*math.Exp(l.rand.NormFloat64()*0.9-0.405))
			list = append(list, arrival{epoch.Add(time.Duration(at * float64(time.Second))), c.workspace, c.instance, cost})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	return list
}

// outcome is the result of a simulation. A request is conforming if it is within its workspace's limit,
// provided that all conforming requests before it were admitted.
type outcome struct {
	asked, conforming, refusedConforming, queries int
	// The following are by workspace.
	conformingBy, refusedBy map[string]int
	admittedCost            map[string]float64
}

// strategy decides about requests, and reports whether it needed a query.
type strategy interface {
	advance(now time.Time)
	request(a arrival) (admitted, queried bool)
}

// simulate has a strategy decide about arrivals.
func simulate(l *load, list []arrival, w strategy) outcome {
	o := outcome{conformingBy: map[string]int{}, refusedBy: map[string]int{}, admittedCost: map[string]float64{}}
	buckets := map[string]*Bucket{}
	for _, a := range list {
		w.advance(a.at)
		limit := l.limits[a.workspace]
		b := buckets[a.workspace]
		if b == nil {
			b = &Bucket{level: limit.Burst, refilledAt: epoch}
			buckets[a.workspace] = b
		}
		b.Refill(Share{limit.Rate, limit.Burst}, a.at)
		admitted, queried := w.request(a)
		o.asked++
		if queried {
			o.queries++
		}
		if admitted {
			o.admittedCost[a.workspace] += a.cost
		}
		if b.Take(a.cost) {
			o.conforming++
			o.conformingBy[a.workspace]++
			if !admitted {
				o.refusedConforming++
				o.refusedBy[a.workspace]++
			}
		}
	}
	return o
}

// fixedShares gives each instance the same fraction of each limit.
type fixedShares struct {
	*load
	params  Params
	buckets map[string]*Bucket
}

func (w *fixedShares) advance(time.Time) {}
func (w *fixedShares) request(a arrival) (admitted, queried bool) {
	key := fmt.Sprint(a.workspace, " ", a.instance)
	limit := w.limits[a.workspace]
	n := float64(w.instances)
	share := Share{limit.Rate / n, w.params.capacity(limit) / n}
	b := w.buckets[key]
	if b == nil {
		b = &Bucket{level: share.Saved, refilledAt: epoch}
		w.buckets[key] = b
	}
	b.Refill(share, a.at)
	return b.Take(a.cost), false
}

// alwaysAsk queries the holder for each request.
type alwaysAsk struct {
	*load
	lender *Lender
	// lost is the time from which no holder answers; zero if the holder is not lost.
	lost time.Time
}

func (w *alwaysAsk) advance(time.Time) {}
func (w *alwaysAsk) request(a arrival) (admitted, queried bool) {
	if !w.lost.IsZero() && a.at.After(w.lost) {
		return false, true
	}
	return w.lender.Grant(a.workspace, a.cost, w.limits[a.workspace], a.at).Granted, true
}

// lendAndAsk lends shares and queries the holder beyond them, as the product does.
type lendAndAsk struct {
	*load
	shares         []*Shares
	lender         *Lender
	nextReport     []time.Time
	reportInterval time.Duration
	lost           time.Time
	// maxLoans is the largest number of loans in one answer.
	maxLoans int
}

func newLendAndAsk(l *load, p Params) *lendAndAsk {
	w := &lendAndAsk{load: l, lender: NewLender(p, true, nil, epoch.Add(-time.Minute)), reportInterval: min(time.Second, time.Duration(l.instances)*8*time.Millisecond)}
	for i := range l.instances {
		w.shares = append(w.shares, NewShares(p.Lifetime))
		w.nextReport = append(w.nextReport, epoch.Add(time.Duration(i)*w.reportInterval/time.Duration(l.instances)))
	}
	return w
}

func (w *lendAndAsk) limit(name string) (serving.Limit, bool) {
	limit, ok := w.limits[name]
	return limit, ok
}

func (w *lendAndAsk) advance(now time.Time) {
	if !w.lost.IsZero() && now.After(w.lost) {
		return
	}
	for i, next := range w.nextReport {
		for ; !next.After(now); next = next.Add(w.reportInterval) {
			loans := w.lender.Lend(fmt.Sprint(i), w.shares[i].Report(next), w.limit, next)
			w.shares[i].Apply(loans, next, next)
			w.maxLoans = max(w.maxLoans, len(loans))
		}
		w.nextReport[i] = next
	}
}

func (w *lendAndAsk) request(a arrival) (admitted, queried bool) {
	s := w.shares[a.instance]
	switch {
	case s.Take(a.workspace, a.cost, a.at):
		return true, false
	case !w.lost.IsZero() && a.at.After(w.lost):
		return false, true
	}
	answer := w.lender.Grant(a.workspace, a.cost, w.limits[a.workspace], a.at)
	if !answer.Granted {
		s.RecordRefusal(a.workspace, a.cost, a.at)
	}
	return answer.Granted, true
}

// TestSmallWorkspacesGetTheirLimits guards against small workspaces being refused within their limits,
// as happens with fixed shares for nearly all of their requests. It simulates a load of workspaces of
// very different sizes, one of which sends six times its mean demand. Of the conforming requests of the
// others, at least 98% are admitted for each workspace, and at least 99% in total. The overloading
// workspace gets at least 90% of its limit.
func TestSmallWorkspacesGetTheirLimits(t *testing.T) {
	p := Params{Window: 8 * time.Second, Overage: 0.1, Slack: 17000, Lifetime: 7 * time.Second}
	const hot, length = "w1", 20 * time.Second
	for _, instances := range []int{71, 330} {
		refused := 0
		l := newLoad(instances, 1)
		list := l.arrivals(length, hot, 6)
		lent := newLendAndAsk(l, p)
		ask := &alwaysAsk{load: l, lender: newLendAndAsk(l, p).lender}
		fixed := &fixedShares{load: l, params: p, buckets: map[string]*Bucket{}}
		result := simulate(l, list, lent)
		t.Logf("%d instances, lent and asked: %s, at most %d loans in an answer", instances, result.summaryWithout(hot), lent.maxLoans)
		t.Logf("%d instances, always asked: %s", instances, simulate(l, list, ask).summaryWithout(hot))
		t.Logf("%d instances, fixed shares: %s", instances, simulate(l, list, fixed).summaryWithout(hot))
		for _, name := range l.names {
			if name == hot {
				continue // which of its requests are conforming depends on which were admitted
			}
			refused += result.refusedBy[name]
			if 100*result.refusedBy[name] > 2*result.conformingBy[name] {
				t.Errorf("%d instances: %d of %d conforming requests of %s refused", instances, result.refusedBy[name], result.conformingBy[name], name)
			}
		}
		if 100*refused > result.conforming-result.conformingBy[hot] {
			t.Errorf("%d instances: %d of %d conforming requests refused", instances, refused, result.conforming-result.conformingBy[hot])
		}
		if got, want := result.admittedCost[hot], 0.9*l.limits[hot].Rate*length.Seconds(); got < want {
			t.Errorf("%d instances: %.0f admitted of the overloading workspace, want at least %.0f", instances, got, want)
		}
	}
}

// summaryWithout describes the outcome for all workspaces but one.
func (o outcome) summaryWithout(hot string) string {
	worst, name, refused, conforming := 0.0, "", 0, 0
	for w, n := range o.conformingBy {
		if w == hot {
			continue
		}
		refused += o.refusedBy[w]
		conforming += n
		if fraction := float64(o.refusedBy[w]) / float64(n); fraction > worst {
			worst, name = fraction, w
		}
	}
	return fmt.Sprintf("%d of %d within limits refused (worst %.3f, %s), a query for %.3f of %d requests", refused, conforming, worst, name, float64(o.queries)/float64(o.asked), o.asked)
}

// TestHolderLost: for 5 s after the holder is lost, which is how long the takeover by its successor
// takes, at least half of the requests are admitted from shares alone. With queries only, none would
// be.
func TestHolderLost(t *testing.T) {
	p := Params{Window: 8 * time.Second, Overage: 0.1, Slack: 17000, Lifetime: 7 * time.Second}
	l := newLoad(71, 2)
	list := l.arrivals(15*time.Second, "", 1)
	w := newLendAndAsk(l, p)
	w.lost = epoch.Add(10 * time.Second)
	before, after := 0, 0
	refusedBefore, refusedAfter := 0, 0
	for _, a := range list {
		w.advance(a.at)
		admitted, _ := w.request(a)
		if a.at.Before(w.lost) {
			before++
			if !admitted {
				refusedBefore++
			}
			continue
		}
		after++
		if !admitted {
			refusedAfter++
		}
	}
	t.Logf("refused: %d of %d with a holder, %d of %d without", refusedBefore, before, refusedAfter, after)
	if 2*refusedAfter > after {
		t.Errorf("%d of %d refused without a holder, want less than half", refusedAfter, after)
	}
}
