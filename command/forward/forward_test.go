package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// reply is what a fake server does with one attempt.
type reply struct {
	failure     *verdict.Failure
	status      int
	notExecuted bool
	misdir      bool
	events      bool
	body        string
	// broken makes reading the body fail at its end.
	broken bool
	// hasRetryAfter is set if the server sets a Retry-After.
	hasRetryAfter bool
	// processUnknown is set if another process may have answered.
	processUnknown bool
}

// fakeServers answers attempts in the order of replies and records the attempts.
type fakeServers struct {
	replies  []reply
	attempts []serving.Attempt
	// onSend is called with each attempt before it is answered.
	onSend func(serving.Attempt)
}

func (f *fakeServers) Send(_ context.Context, a serving.Attempt) (*serving.Response, error) {
	f.attempts = append(f.attempts, a)
	if f.onSend != nil {
		f.onSend(a)
	}
	r := f.replies[0]
	if len(f.replies) > 1 {
		f.replies = f.replies[1:]
	}
	if r.failure != nil {
		return nil, r.failure
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.broken {
		body = io.MultiReader(body, brokenReader{})
	}
	return &serving.Response{
		Status: r.status, Header: http.Header{"X-Server": {a.Server.ID}}, Body: io.NopCloser(body),
		NotExecuted: r.notExecuted, Misdirected: r.misdir, Events: r.events, HasRetryAfter: r.hasRetryAfter, ProcessUnknown: r.processUnknown,
	}, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fakePlacer returns a fixed place for units and records the requests for it.
type fakePlacer struct {
	mu       sync.Mutex
	place    Place // guarded by mu in tests that change it concurrently
	err      error
	requests []PlaceRequest
	// delay is how long the answer to a request for a place takes.
	delay time.Duration
	// waiting is the number of waiting requests, and onTime the value passed by the last one.
	waiting int
	onTime  time.Time
	// arrivals are the recorded demands; guarded by mu.
	arrivals []Demand
}

func (f *fakePlacer) RequestPlace(_ context.Context, w PlaceRequest) (Place, error) {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, w)
	return f.place, f.err
}
func (f *fakePlacer) RecordArrival(_ serving.Unit, d Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, d)
}
func (f *fakePlacer) RegisterWait(_ serving.Unit, _ int, onTime, _ time.Time) func() {
	f.onTime = onTime
	f.waiting++
	return func() { f.waiting-- }
}
func (f *fakePlacer) RegisterRun(Run) func(bool) { return func(bool) {} }

// fixture is a Forwarder with fake dependencies.
type fixture struct {
	servers   *fakeServers
	placer    *fakePlacer
	guard     *fakeGuard
	limiter   *fakeServerLimiter
	permits   *fakePermits
	access    *fakeAccess
	dir       *directory.Directory
	forwarder *Forwarder
}

// newFixture returns a fixture with a plain service with servers s1 to s3, and an engine service
// with engines e1 and e2 that both have the model "warm".
func newFixture(t testing.TB, replies ...reply) *fixture {
	t.Helper()
	config := &serving.Config{Version: 1, Services: map[string]serving.Service{
		"plain": {Name: "plain"}, "llm": {Name: "llm", Engine: &serving.EngineSpec{}},
	}}
	route := func(name string, kind serving.Kind, service string, resumable bool) {
		config.Routes = append(config.Routes, serving.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second, Objective: 400 * time.Millisecond,
			Targets: []serving.Target{{Service: service, Weight: 1}}, Attempts: 2, Resumable: resumable,
		})
	}
	route("safe", serving.Idempotent, "plain", false)
	route("unsafe", serving.NonIdempotent, "plain", false)
	route("stream", serving.Streaming, "llm", true)
	route("once", serving.Streaming, "llm", false)
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	dir := directory.New()
	dir.ApplyConfig(config)
	now := time.Now()
	for _, id := range []string{"s1", "s2", "s3"} {
		dir.ApplyServer(serving.Server{ID: id, Service: "plain", Revision: 1}, now)
	}
	for _, id := range []string{"e1", "e2"} {
		dir.ApplyServer(serving.Server{ID: id, Service: "llm", Revision: 1, Models: map[string][]string{"warm": nil}}, now)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{servers: &fakeServers{replies: replies}, placer: &fakePlacer{}, dir: dir, guard: &fakeGuard{}, limiter: &fakeServerLimiter{}, permits: newFakePermits(), access: &fakeAccess{dir: dir}}
	f.forwarder = New(DefaultParams("d"), Dependencies{
		Directory: dir, Sender: f.servers, Placer: f.placer, Balancer: balance.New(balance.DefaultParams()),
		Budget: newFilledBudget(BudgetParams{Ratio: 1, Extra: 100, Window: time.Minute}), Guard: f.guard, Access: f.access,
		Limiter: f.limiter, Gate: brittle.NewGate("a", f.permits, func() int { return 7 }), Counts: NewCounts(metrics.NewSet()), Log: log,
	})
	return f
}

// serve sends a POST request on a route through the Forwarder.
func (f *fixture) serve(route, model string, timeout time.Duration) (*httptest.ResponseRecorder, *verdict.Failure) {
	w := httptest.NewRecorder()
	r := &serving.Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Target: "/" + route + "/x?q=1", Header: http.Header{}, Unit: serving.Unit{Model: model},
		Arrived: time.Now(), Timeout: timeout,
	}
	return w, f.forwarder.Serve(context.Background(), r, w)
}

var (
	mayHaveRun = verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "lost")
	notSent    = verdict.New(verdict.NotRun, verdict.ReasonBackend, "refused")
)

// TestResends: which failures lead to another send, and what is reported to the client.
func TestResends(t *testing.T) {
	ok := reply{status: 200, body: "done"}
	tests := map[string]struct {
		route   string
		replies []reply
		sends   int
		status  int // 0: no answer
		verdict verdict.Verdict
	}{
		"answered":                         {"unsafe", []reply{ok}, 1, 200, 0},
		"non-idempotent, answer lost":      {"unsafe", []reply{{failure: mayHaveRun}, ok}, 1, 0, verdict.MayHaveRun},
		"non-idempotent, not sent":         {"unsafe", []reply{{failure: notSent}, ok}, 2, 200, 0},
		"non-idempotent, server's own 503": {"unsafe", []reply{{status: 503, notExecuted: true}, ok}, 2, 200, 0},
		"non-idempotent, failed":           {"unsafe", []reply{{status: 500, body: "no"}, ok}, 1, 500, 0},
		"non-idempotent, answer cut":       {"unsafe", []reply{{status: 200, body: "do", broken: true}, ok}, 1, 0, verdict.MayHaveRun},
		"idempotent, answer lost":          {"safe", []reply{{failure: mayHaveRun}, ok}, 2, 200, 0},
		"idempotent, answer cut":           {"safe", []reply{{status: 200, body: "do", broken: true}, ok}, 2, 200, 0},
		"idempotent, failed":               {"safe", []reply{{status: 500, body: "no"}, ok}, 2, 200, 0},
		"idempotent, attempts used up":     {"safe", []reply{{failure: mayHaveRun}, {failure: mayHaveRun}, ok}, 2, 0, verdict.MayHaveRun},
		"refused after it may have run":    {"safe", []reply{{failure: mayHaveRun}, {status: 503, notExecuted: true}, {status: 503, notExecuted: true}}, 3, 0, verdict.MayHaveRun},
		"all refuse":                       {"unsafe", []reply{{status: 503, notExecuted: true}}, 3, 0, verdict.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.replies...)
			w, failure := f.serve(test.route, "", 0)
			if len(f.servers.attempts) != test.sends {
				t.Errorf("%d sends, want %d", len(f.servers.attempts), test.sends)
			}
			switch {
			case test.status != 0 && (failure != nil || w.Code != test.status):
				t.Errorf("status %d, %v; want %d", w.Code, failure, test.status)
			case test.status == 0 && (failure == nil || failure.Verdict != test.verdict):
				t.Errorf("failure %v, want %v", failure, test.verdict)
			}
			seen := map[string]bool{}
			for _, a := range f.servers.attempts {
				if seen[a.Server.ID] {
					t.Errorf("sent to %s twice", a.Server.ID)
				}
				seen[a.Server.ID] = true
			}
		})
	}
}

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// TestStreamResumed: a stream that breaks off is resumed at another engine after the last complete
// event, with the header of the first engine.
func TestStreamResumed(t *testing.T) {
	f := newFixture(t,
		reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", broken: true},
		reply{status: 200, events: true, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
	)
	w, failure := f.serve("stream", "warm", 0)
	if failure != nil {
		t.Fatal(failure)
	}
	if w.Body.String() != threeEvents {
		t.Errorf("client got %q", w.Body.String())
	}
	if after := f.servers.attempts[1].ResumeAfter; after != "2" {
		t.Errorf("resumed after %q, want 2", after)
	}
	if first := f.servers.attempts[0].Server.ID; w.Header().Get("X-Server") != first {
		t.Errorf("header of %s, want %s", w.Header().Get("X-Server"), first)
	}
}

// TestStreamBroken: a stream that cannot be resumed must not appear complete to the client nor end
// within an event.
func TestStreamBroken(t *testing.T) {
	for name, r := range map[string]reply{
		"reset":                {status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true},
		"ends within an event": {status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, r)
			w, failure := f.serve("once", "warm", 0)
			if failure == nil || failure.Reason != verdict.ReasonBroken {
				t.Errorf("failure %v, want broken", failure)
			}
			if w.Body.String() != "id: 1\ndata: a\n\n" {
				t.Errorf("client got %q", w.Body.String())
			}
			if len(f.servers.attempts) != 1 {
				t.Errorf("%d sends of a stream that may run once", len(f.servers.attempts))
			}
		})
	}
}

// TestColdModel: a request waits for a load that completes before its client gives up, even if the
// load makes it miss its objective. This applies to first attempts as well as to later ones, which
// have a shorter timeout.
func TestColdModel(t *testing.T) { synctest.Test(t, testColdModel) }

func testColdModel(t *testing.T) {
	for _, timeout := range []time.Duration{4 * time.Second, 3 * time.Second} {
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
		f.placer.place = Place{Engine: "e1", Ready: time.Now().Add(450 * time.Millisecond)}
		start := time.Now()
		w, failure := f.serve("stream", "cold", timeout)
		if failure != nil || w.Body.String() != threeEvents {
			t.Fatalf("%v, %q", failure, w.Body.String())
		}
		if waited := time.Since(start); waited < 450*time.Millisecond || waited > 500*time.Millisecond {
			t.Errorf("sent after %s, the load took 450 ms", waited)
		}
		if want := start.Add(400*time.Millisecond - DefaultParams("").FirstEvent); !f.placer.onTime.Equal(want) {
			t.Errorf("on time until %s, want %s", f.placer.onTime.Sub(start), want.Sub(start))
		}
		if f.placer.waiting != 0 {
			t.Errorf("%d requests still registered as waiting", f.placer.waiting)
		}
	}
}

// TestWaitEndsWhenUnitReady: a request that waits for a unit, without an engine chosen for the load
// yet, is sent as soon as the holder reports an engine that has the unit.
func TestWaitEndsWhenUnitReady(t *testing.T) { synctest.Test(t, testWaitEndsWhenUnitReady) }

func testWaitEndsWhenUnitReady(t *testing.T) {
	f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
	f.placer.place = Place{Ready: time.Now().Add(3 * time.Second)}
	start := time.Now()
	time.AfterFunc(200*time.Millisecond, func() {
		view := directory.EngineView{Engine: "e1", Units: []directory.UnitView{{Unit: serving.Unit{Model: "cold"}}}}
		f.dir.ApplyViews(1, []directory.EngineView{view}, nil, time.Now())
	})
	_, failure := f.serve("stream", "cold", 5*time.Second)
	if waited := time.Since(start); failure != nil || waited > 200*time.Millisecond+replicaPollInterval {
		t.Errorf("%v after %s, want an answer at most %s after the load", failure, waited, replicaPollInterval)
	}
}

// TestWaitRefusedWhenEstimateGrows: a waiting request is refused as soon as the estimated load time
// exceeds its deadline, not when its client gives up.
func TestWaitRefusedWhenEstimateGrows(t *testing.T) {
	synctest.Test(t, testWaitRefusedWhenEstimateGrows)
}

func testWaitRefusedWhenEstimateGrows(t *testing.T) {
	f := newFixture(t, reply{status: 200})
	f.placer.place = Place{Ready: time.Now().Add(3 * time.Second)}
	start := time.Now()
	time.AfterFunc(700*time.Millisecond, func() {
		f.placer.mu.Lock()
		defer f.placer.mu.Unlock()
		f.placer.place = Place{Ready: time.Now().Add(time.Minute)}
	})
	_, failure := f.serve("stream", "cold", 5*time.Second)
	if failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter < 50*time.Second {
		t.Fatalf("%v", failure)
	}
	if waited := time.Since(start); waited > 700*time.Millisecond+placeRefreshInterval {
		t.Errorf("refused after %s, the estimate exceeded the deadline after 700 ms", waited)
	}
}

// TestLoadTooLateForClient: a request is refused immediately if its load will complete after the
// client gives up.
func TestLoadTooLateForClient(t *testing.T) { synctest.Test(t, testLoadTooLateForClient) }

func testLoadTooLateForClient(t *testing.T) {
	f := newFixture(t, reply{status: 200})
	f.serve("stream", "warm", 4*time.Second) // the timeout that is usual for the route
	f.placer.place = Place{Engine: "e1", Ready: time.Now().Add(time.Minute)}
	_, failure := f.serve("stream", "cold", time.Second)
	if failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter < 30*time.Second {
		t.Errorf("%v, retry after %v", failure, failure.RetryAfter)
	}
}

// TestMissingUnitIsReported: the next request for a place names the engine that did not have the
// unit.
func TestMissingUnitIsReported(t *testing.T) {
	f := newFixture(t, reply{status: 421, notExecuted: true, misdir: true}, reply{status: 421, notExecuted: true, misdir: true}, reply{status: 200, events: true, body: threeEvents})
	f.placer.place = Place{Engine: "e1"}
	if _, failure := f.serve("stream", "warm", 0); failure != nil {
		t.Fatal(failure)
	}
	if len(f.placer.requests) == 0 || f.placer.requests[0].Missing == "" {
		t.Errorf("asked %+v, want the engine without the unit to be named", f.placer.requests)
	}
}

// TestRepeatedAttemptIsMarked guards against an attempt that goes to a server again on a connection that has carried it.
func TestRepeatedAttemptIsMarked(t *testing.T) {
	refused := reply{status: http.StatusServiceUnavailable, notExecuted: true}
	f := newFixture(t, refused, refused, refused, reply{status: 200, events: true, body: threeEvents})
	f.placer.place = Place{Engine: "e1"}
	if _, failure := f.serve("stream", "warm", 0); failure != nil {
		t.Fatal(failure)
	}
	seen, repeated := map[string]bool{}, 0
	for n, a := range f.servers.attempts {
		if a.Repeated != seen[a.Server.ID] {
			t.Errorf("attempt %d at %s: repeated %v, want %v", n, a.Server.ID, a.Repeated, seen[a.Server.ID])
		}
		if a.Repeated {
			repeated++
		}
		seen[a.Server.ID] = true
	}
	if repeated == 0 {
		t.Errorf("%d attempts at %d servers, want one that goes to a server again", len(f.servers.attempts), len(seen))
	}
}

// TestDrainRefusesWaitingRequest: an instance that shuts down refuses waiting requests. Guards
// against a request that is lost in the shutdown (found by portage as LOST, mix 684510430417).
func TestDrainRefusesWaitingRequest(t *testing.T) { synctest.Test(t, testDrainRefusesWaitingRequest) }

func testDrainRefusesWaitingRequest(t *testing.T) {
	f := newFixture(t, reply{status: 200, events: true})
	f.serve("stream", "warm", 4*time.Second)
	f.placer.place = Place{Engine: "e1", Ready: time.Now().Add(2 * time.Second)}
	time.AfterFunc(20*time.Millisecond, f.forwarder.Drain)
	_, failure := f.serve("stream", "cold", 3900*time.Millisecond)
	if failure == nil || failure.Verdict != verdict.NotRun || failure.Reason != verdict.ReasonDraining {
		t.Errorf("%v, want a refusal because the instance is draining", failure)
	}
	if len(f.servers.attempts) != 1 {
		t.Error("a refused request was sent")
	}
}

// TestBudgetSpent: a request that has not run is not sent again if the budget of repeated sends is
// exhausted, and the client is informed that it has not run.
func TestBudgetSpent(t *testing.T) {
	f := newFixture(t, reply{status: 503, notExecuted: true}, reply{status: 200, body: "done"})
	f.forwarder.budget.SetParams(BudgetParams{Window: time.Minute}, time.Now())
	_, failure := f.serve("safe", "", 0)
	if failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 || len(f.servers.attempts) != 1 {
		t.Errorf("%+v after %d sends, want a refusal after one", failure, len(f.servers.attempts))
	}
}
