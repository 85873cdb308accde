package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// fakeServerLimiter returns preset limits of servers.
type fakeServerLimiter struct {
	// retryAfterUntil is until when each server must not be sent anything, and limits how many
	// sends each one still accepts.
	retryAfterUntil map[string]time.Time
	limits          map[string]int
	// after is when to ask again, and spare the number of requests for permission that could also
	// be sent elsewhere.
	after                  time.Duration
	spare, returned, asked int
	// brittle is how many rejections each brittle server tolerates.
	brittle map[string]int
	// onAdmit is called during each request for permission.
	onAdmit func(s serving.Server)
}

func (l *fakeServerLimiter) RetryAfterUntil(s serving.Server) time.Time {
	return l.retryAfterUntil[s.ID]
}

func (l *fakeServerLimiter) Brittle(s serving.Server) (brittle.Server, bool) {
	tolerated, isBrittle := l.brittle[s.ID]
	return brittle.Server{ID: s.ID, Slots: s.Slots, Tolerated: tolerated}, isBrittle
}

func (l *fakeServerLimiter) Limited(s serving.Server) (bool, time.Time) {
	_, limited := l.limits[s.ID]
	return limited, time.Time{}
}

func (l *fakeServerLimiter) Admit(_ context.Context, s serving.Server, t quota.Turn, _ bool) Admission {
	l.asked++
	if l.onAdmit != nil {
		l.onAdmit(s)
	}
	if t.Spare {
		l.spare++
	}
	if l.limits[s.ID] == 0 {
		return Admission{RetryAfter: l.after}
	}
	l.limits[s.ID]--
	return Admission{Granted: true, Refund: func() { l.returned++ }}
}

// TestServerLimitRespected: a server with a limit receives only what it admits, the other requests
// are sent to other servers without delay, and the permission for a send that reached no server is
// returned.
func TestServerLimitRespected(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.limiter.limits, f.limiter.after = map[string]int{"s1": 1}, time.Minute
	sends := map[string]int{}
	for range 40 {
		if w, failure := f.serve("unsafe", "", 0); failure != nil || w.Code != http.StatusOK {
			t.Fatalf("%v, status %d", failure, w.Code)
		}
	}
	for _, a := range f.servers.attempts {
		sends[a.Server.ID]++
	}
	if sends["s1"] != 1 || f.limiter.spare == 0 {
		t.Errorf("%v sent, want one to s1; %d requests for spare capacity", sends, f.limiter.spare)
	}
	f = newFixture(t, reply{failure: notSent}, reply{status: 200, body: "done"})
	f.limiter.limits = map[string]int{"s1": 9, "s2": 9, "s3": 9}
	if _, failure := f.serve("unsafe", "", 0); failure != nil || f.limiter.returned != 1 {
		t.Errorf("%v, %d permissions returned, want 1", failure, f.limiter.returned)
	}
}

// TestAllServersUnavailable: if no server accepts requests, a request is refused immediately with a
// Retry-After if it cannot be sent in time. Otherwise it waits and is sent as soon as a server
// accepts it.
func TestAllServersUnavailable(t *testing.T) {
	for _, service := range []struct{ route, model string }{{"unsafe", ""}, {"stream", "warm"}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, reply{status: 200, body: threeEvents, events: service.model != ""})
			f.placer.err = ErrNoRoom
			until := clock.Now().Add(3 * time.Second)
			f.limiter.retryAfterUntil = map[string]time.Time{"s1": until, "s2": until.Add(time.Second), "s3": until, "e1": until, "e2": until}
			start := time.Now()
			_, failure := f.serve(service.route, service.model, 0)
			if failure == nil || failure.Reason != verdict.ReasonHeldBack || failure.Verdict != verdict.NotRun || time.Since(start) > 0 {
				t.Fatalf("%s: %v after %s, want an immediate refusal", service.route, failure, time.Since(start))
			}
			if failure.RetryAfter < 3*time.Second || failure.RetryAfter > 4*time.Second {
				t.Errorf("%s: retry after %s, want a time soon after the servers accept requests again", service.route, failure.RetryAfter)
			}
			time.Sleep(2500 * time.Millisecond)
			w, failure := f.serve(service.route, service.model, 0)
			if failure != nil || w.Code != http.StatusOK || clock.Now().Before(until) {
				t.Errorf("%s: %v, status %d, %s before the servers accept requests", service.route, failure, w.Code, clock.Until(until))
			}
		})
	}
}

// TestServerLeavesDuringAdmission: a request is not sent to a server that starts to leave while
// permission is requested for it.
func TestServerLeavesDuringAdmission(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.limiter.limits = map[string]int{"s1": 9, "s2": 9, "s3": 9}
	leaving := ""
	f.limiter.onAdmit = func(s serving.Server) {
		if leaving == "" {
			leaving = s.ID
			f.dir.MarkLeaving(directory.LeavingServer{ID: s.ID, Born: s.Born}, clock.Now())
		}
	}
	if _, failure := f.serve("unsafe", "", 0); failure != nil {
		t.Fatal(failure)
	}
	if sent := f.servers.attempts[0].Server.ID; sent == leaving || f.limiter.returned != 1 {
		t.Errorf("sent to %s, which is leaving; %d permissions returned, want 1", sent, f.limiter.returned)
	}
}

// TestRetryAfterDuringRequest: a server that has rejected a request is not sent it again while all
// others have set a Retry-After; the request is refused after one send.
func TestRetryAfterDuringRequest(t *testing.T) {
	f := newFixture(t, reply{status: 503, notExecuted: true}, reply{status: 200, body: "done"})
	f.limiter.retryAfterUntil = map[string]time.Time{"s2": clock.Now().Add(time.Minute), "s3": clock.Now().Add(time.Minute)}
	_, failure := f.serve("unsafe", "", 0)
	if failure == nil || failure.Verdict != verdict.NotRun || len(f.servers.attempts) != 1 {
		t.Errorf("%v, %d sends, want one and a refusal", failure, len(f.servers.attempts))
	}
}

// TestRetryAfterNotCountedAsFailure: a server that rejected requests with a Retry-After receives
// its share again once that time has passed. A server that fails does not, as long as other servers
// do not fail.
func TestRetryAfterNotCountedAsFailure(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.limiter.retryAfterUntil = map[string]time.Time{"s2": clock.Now().Add(time.Minute), "s3": clock.Now().Add(time.Minute)}
	f.servers.replies = []reply{{status: 503, notExecuted: true, hasRetryAfter: true}}
	for range 10 {
		f.serve("unsafe", "", 0)
	}
	f.limiter.retryAfterUntil = nil
	f.servers.attempts, f.servers.replies = nil, []reply{{status: 200, body: "done"}}
	sends := map[string]int{}
	for range 90 {
		f.serve("unsafe", "", 0)
	}
	for _, a := range f.servers.attempts {
		sends[a.Server.ID]++
	}
	if sends["s1"] < 10 {
		t.Errorf("%v: the server whose Retry-After has passed should receive about a third", sends)
	}
}

// TestLimitedServersAskedBounded: if all of many servers are at their limits, a request asks only
// some of them for permission and is then refused.
func TestLimitedServersAskedBounded(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.limiter.limits, f.limiter.after = map[string]int{"s1": 0, "s2": 0, "s3": 0}, time.Minute
	for n := range 100 {
		id := fmt.Sprintf("more-%d", n)
		f.dir.ApplyServer(serving.Server{ID: id, Service: "plain", Revision: 1}, time.Now())
		f.limiter.limits[id] = 0
	}
	_, failure := f.serve("unsafe", "", 0)
	if failure == nil || failure.Reason != verdict.ReasonHeldBack || f.limiter.asked != maxLimitedServers {
		t.Errorf("%v after %d requests for permission, want a refusal after %d", failure, f.limiter.asked, maxLimitedServers)
	}
}
