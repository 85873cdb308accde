package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// fakeIntake says what it is told to of servers.
type fakeIntake struct {
	// rests is until when servers rest, and limits how many sends they still take.
	rests  map[string]time.Time
	limits map[string]int
	// after is when to ask again, spare what was asked for requests that can go elsewhere.
	after                  time.Duration
	spare, returned, asked int
	// meanwhile is called while a server is asked.
	meanwhile func(s serving.Server)
}

func (i *fakeIntake) RetryAfterUntil(s serving.Server) time.Time { return i.rests[s.ID] }

func (i *fakeIntake) Limited(s serving.Server) (bool, time.Time) {
	_, limited := i.limits[s.ID]
	return limited, time.Time{}
}

func (i *fakeIntake) Admit(_ context.Context, s serving.Server, t quota.Turn, _ bool) Admission {
	i.asked++
	if i.meanwhile != nil {
		i.meanwhile(s)
	}
	if t.Spare {
		i.spare++
	}
	if i.limits[s.ID] == 0 {
		return Admission{After: i.after}
	}
	i.limits[s.ID]--
	return Admission{Granted: true, GiveBack: func() { i.returned++ }}
}

// TestLimitedServerIsSpared: a server that limits what it takes gets what it lets through, and the
// rest goes to others, at once; a send that reached no server is given back.
func TestLimitedServerIsSpared(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.intake.limits, f.intake.after = map[string]int{"s1": 1}, time.Minute
	sends := map[string]int{}
	for range 40 {
		if w, failure := f.serve("unsafe", "", 0); failure != nil || w.Code != http.StatusOK {
			t.Fatalf("%v, status %d", failure, w.Code)
		}
	}
	for _, a := range f.servers.attempts {
		sends[a.Server.ID]++
	}
	if sends["s1"] != 1 || f.intake.spare == 0 {
		t.Errorf("%v sent, want one to s1; asked as spare %d times", sends, f.intake.spare)
	}
	f = newFixture(t, reply{failure: notSent}, reply{status: 200, body: "done"})
	f.intake.limits = map[string]int{"s1": 9, "s2": 9, "s3": 9}
	if _, failure := f.serve("unsafe", "", 0); failure != nil || f.intake.returned != 1 {
		t.Errorf("%v, %d given back, want 1", failure, f.intake.returned)
	}
}

// TestAllHeldBack: where no server takes anything a request is refused at once if it cannot be sent
// in time, and told when it can; else it waits for its turn and is sent then.
func TestAllHeldBack(t *testing.T) {
	for _, service := range []struct{ route, model string }{{"unsafe", ""}, {"stream", "warm"}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, reply{status: 200, body: threeEvents, events: service.model != ""})
			f.placer.err = ErrNoRoom
			until := clock.Now().Add(3 * time.Second)
			f.intake.rests = map[string]time.Time{"s1": until, "s2": until.Add(time.Second), "s3": until, "e1": until, "e2": until}
			began := time.Now()
			_, failure := f.serve(service.route, service.model, 0)
			if failure == nil || failure.Reason != verdict.ReasonHeldBack || failure.Verdict != verdict.NotRun || time.Since(began) > 0 {
				t.Fatalf("%s: %v after %s, want a refusal at once", service.route, failure, time.Since(began))
			}
			if failure.RetryAfter < 3*time.Second || failure.RetryAfter > 4*time.Second {
				t.Errorf("%s: told to come back after %s, want a time soon after the rest", service.route, failure.RetryAfter)
			}
			time.Sleep(2500 * time.Millisecond)
			w, failure := f.serve(service.route, service.model, 0)
			if failure != nil || w.Code != http.StatusOK || clock.Now().Before(until) {
				t.Errorf("%s: %v, status %d, %s before the end of the rest", service.route, failure, w.Code, clock.Until(until))
			}
		})
	}
}

// TestServerLeavesMeanwhile: a server that is known to leave while it is asked whether it takes the request does not get it.
func TestServerLeavesMeanwhile(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.intake.limits = map[string]int{"s1": 9, "s2": 9, "s3": 9}
	left := ""
	f.intake.meanwhile = func(s serving.Server) {
		if left == "" {
			left = s.ID
			f.dir.Leave(directory.Leaver{ID: s.ID, Born: s.Born}, clock.Now())
		}
	}
	if _, failure := f.serve("unsafe", "", 0); failure != nil {
		t.Fatal(failure)
	}
	if sent := f.servers.attempts[0].Server.ID; sent == left || f.intake.returned != 1 {
		t.Errorf("sent to %s, which leaves; given back %d times, want 1", sent, f.intake.returned)
	}
}

// TestRestAskedMeanwhile: a server that asks for rest while a request is on its way to it is not
// sent what comes after, though it was chosen before.
func TestRestAskedMeanwhile(t *testing.T) {
	f := newFixture(t, reply{status: 503, notRun: true}, reply{status: 200, body: "done"})
	f.intake.rests = map[string]time.Time{"s2": clock.Now().Add(time.Minute), "s3": clock.Now().Add(time.Minute)}
	_, failure := f.serve("unsafe", "", 0)
	if failure == nil || failure.Verdict != verdict.NotRun || len(f.servers.attempts) != 1 {
		t.Errorf("%v, %d sends, want one and a refusal", failure, len(f.servers.attempts))
	}
}

// TestRestIsNoFailure: a server that turned requests away and asked for rest gets its part again
// once that is over. One that fails does not, as long as others do not.
func TestRestIsNoFailure(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.intake.rests = map[string]time.Time{"s2": clock.Now().Add(time.Minute), "s3": clock.Now().Add(time.Minute)}
	f.servers.replies = []reply{{status: 503, notRun: true, rests: true}}
	for range 10 {
		f.serve("unsafe", "", 0)
	}
	f.intake.rests = nil
	f.servers.attempts, f.servers.replies = nil, []reply{{status: 200, body: "done"}}
	sends := map[string]int{}
	for range 90 {
		f.serve("unsafe", "", 0)
	}
	for _, a := range f.servers.attempts {
		sends[a.Server.ID]++
	}
	if sends["s1"] < 10 {
		t.Errorf("%v: the server that rested should get about a third", sends)
	}
}

// TestFewServersAreAsked: where all of many servers take no more, a request asks some of them and is
// refused then.
func TestFewServersAreAsked(t *testing.T) {
	f := newFixture(t, reply{status: 200, body: "done"})
	f.intake.limits, f.intake.after = map[string]int{"s1": 0, "s2": 0, "s3": 0}, time.Minute
	for n := range 100 {
		id := fmt.Sprintf("more-%d", n)
		f.dir.ApplyServer(serving.Server{ID: id, Service: "plain", Revision: 1}, time.Now())
		f.intake.limits[id] = 0
	}
	_, failure := f.serve("unsafe", "", 0)
	if failure == nil || failure.Reason != verdict.ReasonHeldBack || f.intake.asked != mostTurns {
		t.Errorf("%v after %d questions, want a refusal after %d", failure, f.intake.asked, mostTurns)
	}
}
