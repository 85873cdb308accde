package forward

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

// boundChecker checks the repeated sends of several instances against the bound on their sum.
type boundChecker struct {
	params            BudgetParams
	requests, repeats []time.Time
}

// excess returns by how much the repeats in the worst window exceed the bound, and when that window
// begins. The request count used is the largest of those of that window, the window before it and
// the window that begins half a window earlier.
func (f *boundChecker) excess() (worst float64, from time.Time) {
	w := f.params.Window
	slices.SortFunc(f.requests, time.Time.Compare)
	slices.SortFunc(f.repeats, time.Time.Compare)
	starts := slices.Clone(f.repeats)
	for _, t := range f.repeats { // the last and the first window that contain the repeat
		starts = append(starts, t.Add(1-w))
	}
	for _, start := range starts {
		most := 0
		for _, before := range []time.Duration{0, w / 2, w} {
			most = max(most, countWithin(f.requests, start.Add(-before), w))
		}
		over := float64(countWithin(f.repeats, start, w)) - f.params.Ratio*float64(most) - f.params.Extra
		if over > worst {
			worst, from = over, start
		}
	}
	return worst, from
}

// countWithin returns the number of times within a window; times must be sorted.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}

// newFilledBudget returns the budget of a single instance that has run for a window.
func newFilledBudget(p BudgetParams) *Budget {
	b := NewBudget(p)
	now := time.Now()
	b.SetInstances(1, now.Add(-p.Window))
	b.SetParams(p, now)
	return b
}

// TestBudget: repeated sends stay within the share of an instance.
func TestBudget(t *testing.T) {
	b := NewBudget(BudgetParams{Ratio: 0.2, Extra: 50, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	b.SetInstances(10, now)
	for range 100 {
		b.RecordRequest("s", now)
	}
	taken := 0
	for range 100 {
		if b.Take("s", now) {
			taken++
		}
	}
	if share := 0.2*100 + 50.0/10; float64(taken) > share || taken < 10 {
		t.Errorf("%d repeats taken of a share of %.0f", taken, share)
	}
	if !b.Take("s", now.Add(11*time.Second)) {
		t.Error("nothing may be sent again one window later")
	}
}

// TestBudgetOverRestarts guards against a budget that is spent again after each restart. All
// servers of a service failed from 8 s on, and all six instances were killed and restarted at 10,
// 13, 16 and 19 s. The servers received 203 repeated sends within ten seconds, where 157 were
// allowed. Each new process drew the share of Extra of its machine again, because what the previous
// one had spent was lost: the log of the draws showed 202 allowed in that window, 73 of them by
// processes from before the first kill, and each later process started its count at 0.
func TestBudgetOverRestarts(t *testing.T) {
	const (
		instances = 6
		perSecond = 9 // requests per second for the service at each instance
	)
	params := BudgetParams{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}
	f := &boundChecker{params: params}
	budgets := make([]*Budget, instances)
	begin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	restarts := []float64{0, 20, 23, 26, 29}
	for s := 0.0; s < 45; s += 1.0 / perSecond {
		now := at(s)
		if len(restarts) > 0 && s >= restarts[0] {
			restarts = restarts[1:]
			for i := range budgets {
				budgets[i] = NewBudget(params)
				budgets[i].SetInstances(instances, now)
			}
		}
		for _, b := range budgets {
			b.RecordRequest("s", now)
			f.requests = append(f.requests, now)
			failing := s >= 18 && s < 38
			if failing && b.Take("s", now) {
				f.repeats = append(f.repeats, now)
			}
		}
	}
	if over, from := f.excess(); over > 0 {
		t.Errorf("%.1f repeated sends beyond the bound in the window from %s on", over, from.Sub(begin))
	}
	if len(f.repeats) == 0 {
		t.Error("nothing was sent again")
	}
}

// machine is one of several machines that share the budget; its process may be replaced.
type machine struct {
	budget *Budget
	domain int
}

// cluster is a group of machines that send to a few services, any of which may fail.
type cluster struct {
	params   BudgetParams
	machines []*machine
	checkers map[string]*boundChecker // by service
	now      time.Time
	// maxRecordDelayMS is the maximum delay in milliseconds with which requests are recorded.
	// Repeated sends are delayed by at most the remainder of maxTotalDelayMS.
	maxRecordDelayMS int
}

// machinesIn returns the number of machines in a failure domain.
func (s *cluster) machinesIn(domain int) int {
	n := 0
	for _, m := range s.machines {
		if m.domain == domain {
			n++
		}
	}
	return n
}

// addMachine adds a machine, after the other machines of its domain have been informed of it.
func (s *cluster) addMachine(domain int) {
	n := s.machinesIn(domain) + 1
	for _, m := range s.machines {
		if m.domain == domain {
			m.budget.SetInstances(n, s.now)
		}
	}
	m := &machine{domain: domain}
	s.machines = append(s.machines, m)
	s.restart(m, true)
}

// restart replaces a machine's process. known states whether the new one knows the number of
// instances.
func (s *cluster) restart(m *machine, known bool) {
	m.budget = NewBudget(s.params)
	if known {
		m.budget.SetInstances(s.machinesIn(m.domain), s.now)
	}
}

// serve records a request that was sent recordDelay ago, and sends it again up to tries times as
// the budget allows. These sends arrive after arrivalDelay.
func (s *cluster) serve(m *machine, service string, tries int, recordDelay, arrivalDelay time.Duration) {
	checker := s.checkers[service]
	if checker == nil {
		checker = &boundChecker{params: s.params}
		s.checkers[service] = checker
	}
	checker.requests = append(checker.requests, s.now.Add(-recordDelay))
	m.budget.RecordRequest(service, s.now)
	for range tries {
		if m.budget.Take(service, s.now) {
			checker.repeats = append(checker.repeats, s.now.Add(arrivalDelay))
		}
	}
}

// maxTotalDelayMS is the maximum sum, in milliseconds, of the delays with which requests are
// recorded and repeated sends arrive, in a window of 10 s: the delay that Budget allows for, see
// maxDelay.
const maxTotalDelayMS = 1500

// TestBudgetBound: for any restarts, arrivals, failures and added machines, and any number of
// failure domains and services, the repeated sends that arrive within any window stay within the
// bound on their sum, also if the delays with which requests are recorded and sends arrive add up
// to 1.5 s of a window of 10 s.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		s := &cluster{checkers: map[string]*boundChecker{}, now: time.Unix(1000, 0)}
		s.params = BudgetParams{
			Ratio: rapid.SampledFrom([]float64{0, 0.2, 0.2, 1}).Draw(t, "ratio"), Extra: rapid.SampledFrom([]float64{0, 10, 52, 200}).Draw(t, "extra"),
			Window: window, Domains: rapid.IntRange(1, 3).Draw(t, "domains"),
		}
		for d := range s.params.Domains {
			for range rapid.IntRange(1, 3).Draw(t, "machines") {
				s.addMachine(d)
			}
		}
		s.maxRecordDelayMS = rapid.SampledFrom([]int{0, 1, 700, maxTotalDelayMS}).Draw(t, "noted_most")
		s.now = s.now.Add(rapid.SampledFrom([]time.Duration{0, window, 10 * window}).Draw(t, "idle"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.step(t)
		}
		for name, checker := range s.checkers {
			if over, from := checker.excess(); over > roundingError {
				t.Fatalf("service %s: %.2f repeated sends beyond the bound from %s on", name, over, from.Sub(time.Unix(1000, 0)))
			}
		}
	})
}

// step performs one random action.
func (s *cluster) step(t *rapid.T) {
	m := rapid.SampledFrom(s.machines).Draw(t, "machine")
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0:
		s.restart(m, rapid.Bool().Draw(t, "known"))
	case 1:
		for _, m := range s.machines {
			s.restart(m, true)
		}
	case 2:
		s.addMachine(m.domain)
	case 3, 4:
		ms := rapid.OneOf(rapid.SampledFrom([]int{1, 1500, 5000, 8500, 10000}), rapid.IntRange(1, 12000)).Draw(t, "ms")
		s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
	default:
		service := rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "service")
		tries := rapid.SampledFrom([]int{0, 1, 3, 50}).Draw(t, "tries") // 50 uses everything saved
		recordDelay := rapid.OneOf(rapid.SampledFrom([]int{0, s.maxRecordDelayMS}), rapid.IntRange(0, s.maxRecordDelayMS)).Draw(t, "noted_ms")
		arrivalDelay := rapid.OneOf(rapid.SampledFrom([]int{0, maxTotalDelayMS - s.maxRecordDelayMS}), rapid.IntRange(0, maxTotalDelayMS-s.maxRecordDelayMS)).Draw(t, "arrives_ms")
		n := rapid.IntRange(1, 30).Draw(t, "requests")
		for _, m := range s.machines {
			for range n {
				s.serve(m, service, tries, time.Duration(recordDelay)*time.Millisecond, time.Duration(arrivalDelay)*time.Millisecond)
			}
		}
	}
}

// TestBudgetSpentAtOnce: instances that save as much as they can and then repeatedly spend all of
// it at once stay within the bound, at request rates from zero to high. In the first window they
// can spend at least four fifths of it.
func TestBudgetSpentAtOnce(t *testing.T) {
	const (
		perDomain = 2
		step      = 100 * time.Millisecond
		tries     = 100
	)
	for _, requests := range []int{0, 1, 5} { // in each step, at each machine
		s := &cluster{checkers: map[string]*boundChecker{}, now: time.Unix(1000, 0)}
		s.params = BudgetParams{Ratio: 0.2, Extra: 100, Window: 10 * time.Second, Domains: 3}
		for d := range s.params.Domains * perDomain {
			s.addMachine(d % s.params.Domains)
		}
		checker := &boundChecker{params: s.params}
		s.checkers["a"] = checker
		for at := time.Duration(0); at < 5*s.params.Window; at += step {
			failing := at >= 2*s.params.Window
			for _, m := range s.machines {
				for range requests {
					s.serve(m, "a", 0, 0, 0)
				}
				for range tries {
					if failing && m.budget.Take("a", s.now) {
						checker.repeats = append(checker.repeats, s.now)
					}
				}
			}
			s.now = s.now.Add(step)
		}
		over, from := checker.excess()
		if over > roundingError {
			t.Errorf("%d requests a step: %.1f repeated sends beyond the bound from %s on", requests, over, from)
		}
		first := countWithin(checker.repeats, checker.repeats[0], s.params.Window)
		if least := 0.8*s.params.Extra + 0.8*s.params.Ratio*float64(requests*len(s.machines)*100); float64(first) < least {
			t.Errorf("%d requests a step: %d repeated sends in the first window, want %.0f at least", requests, first, least)
		}
	}
}

// TestDrawExpires: a send that was drawn before its server was known is made without another draw
// if it is made immediately, but not after a wait: otherwise requests that wait for the same load
// would all be sent in one window although their draws accrued in two.
func TestDrawExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200})
		r := &transaction{f: f.forwarder, service: serving.Service{Name: "plain"}, request: &serving.Request{ID: "r"}, sends: 1}
		draws := func() int { return f.forwarder.budget.State("plain", time.Now()).Repeats }
		r.drawnAt = time.Now()
		if !r.withinBudget() || draws() != 0 {
			t.Errorf("%d draws for a send that has just been drawn", draws())
		}
		if !r.withinBudget() || draws() != 1 {
			t.Errorf("%d draws for the next send, want 1", draws())
		}
		r.drawnAt = time.Now()
		time.Sleep(drawValidity)
		if !r.withinBudget() || draws() != 2 {
			t.Errorf("%d draws in total after a drawn send has waited, want 2", draws())
		}
	})
}

// TestBudgetUnknownInstanceCount: an instance that does not know how many instances share the
// budget has no part of Extra; its bucket gains only from its requests.
func TestBudgetUnknownInstanceCount(t *testing.T) {
	b := NewBudget(BudgetParams{Ratio: 0.2, Extra: 52, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	b.SetInstances(0, now)
	now = now.Add(time.Minute)
	if b.Take("s", now) {
		t.Error("a share of Extra was spent although the number of instances is unknown")
	}
	for range 100 {
		b.RecordRequest("s", now)
	}
	if !b.Take("s", now) {
		t.Error("requests have not filled the bucket")
	}
}

// TestBudgetFirstRequestOfService: the first request for a service can use what accrued while the
// instance ran.
func TestBudgetFirstRequestOfService(t *testing.T) {
	b := NewBudget(BudgetParams{Ratio: 0.2, Extra: 52, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	b.SetInstances(6, now)
	now = now.Add(time.Minute)
	b.RecordRequest("rare", now)
	if !b.Take("rare", now) {
		t.Error("nothing has accrued for a service before its first request")
	}
}
