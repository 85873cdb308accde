package forward

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/verdict"
)

// fakePermits keeps the semaphores of all brittle servers in this process, or refuses all permits if refuseFor is set.
type fakePermits struct {
	refuseFor time.Duration

	mu         sync.Mutex
	semaphores map[string]*brittle.Semaphore // guarded by mu
	asked      int                           // guarded by mu
}

func newFakePermits() *fakePermits { return &fakePermits{semaphores: map[string]*brittle.Semaphore{}} }

func (p *fakePermits) of(s brittle.Server) *brittle.Semaphore {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if p.semaphores[s.ID] == nil {
		p.semaphores[s.ID] = brittle.NewSemaphore(s, false)
	}
	return p.semaphores[s.ID]
}

// Acquire implements brittle.Permits.
func (p *fakePermits) Acquire(ctx context.Context, r brittle.Request) brittle.Answer {
	semaphore := p.of(r.Server)
	if p.refuseFor > 0 {
		time.Sleep(r.Wait)
		return brittle.Answer{Answered: true, Grant: brittle.Grant{RetryAfter: p.refuseFor}}
	}
	return brittle.Answer{Answered: true, Grant: semaphore.Acquire(ctx, r)}
}

// Accept implements brittle.Permits.
func (p *fakePermits) Accept(s brittle.Server, permit brittle.Permit) { p.of(s).Accept(permit) }

// Release implements brittle.Permits.
func (p *fakePermits) Release(s brittle.Server, permit brittle.Permit, o brittle.Outcome) {
	p.of(s).Release(permit, o)
}

// TestBrittleServersWithoutRoomRefuseInTime guards against requests that are held to their deadline, or sent to servers that end
// if they have to reject them.
func TestBrittleServersWithoutRoomRefuseInTime(t *testing.T) {
	for route, model := range map[string]string{"safe": "", "unsafe": "", "stream": "warm", "once": "warm"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, reply{status: 503, notExecuted: true})
			f.limiter.brittle = map[string]int{"s1": 2, "s2": 2, "s3": 2, "e1": 2, "e2": 2}
			f.placer.place = Place{Engine: "e1", Ready: time.Now()}
			_, _ = f.serve(route, model, 0) // each server rejects it once
			sends := len(f.servers.attempts)
			begun := time.Now()
			_, failure := f.serve(route, model, 0)
			if failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter < time.Second {
				t.Errorf("%s: %+v, want a refusal with a Retry-After", route, failure)
			}
			if held := time.Since(begun); held > 2*maxBrittleWait {
				t.Errorf("%s: held for %s", route, held)
			}
			if len(f.servers.attempts) > sends {
				t.Errorf("%s: sent %d times to servers that had no room a moment ago", route, len(f.servers.attempts)-sends)
			}
		})
	}
}

// TestRefusalForBrittleServersTellsWhenToReturn guards against a Retry-After in the past where the room at brittle servers is taken
// by other requests (soak seed 127), and against one that is shorter than the servers' instances say.
func TestRefusalForBrittleServersTellsWhenToReturn(t *testing.T) {
	for route, model := range map[string]string{"safe": "", "unsafe": "", "stream": "warm", "once": "warm"} {
		for _, after := range []time.Duration{time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, reply{status: 200, body: "done"})
				f.refuseAllPermits(after)
				f.placer.place, f.placer.delay = Place{Engine: "e1", Ready: time.Now()}, 45*time.Millisecond
				begun := time.Now()
				_, failure := f.serve(route, model, 0)
				if failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter < max(minRoomRetryAfter, after) {
					t.Errorf("%s: %+v, want a refusal with a Retry-After of %s", route, failure, after)
				}
				if held := time.Since(begun); held > 2*maxBrittleWait || len(f.servers.attempts) > 0 {
					t.Errorf("%s: held for %s, sent %d times", route, held, len(f.servers.attempts))
				}
				if f.permits.asked > maxLimitedServers {
					t.Errorf("%s: asked for %d permits", route, f.permits.asked)
				}
			})
		}
	}
}

// refuseAllPermits makes all servers brittle and full.
func (f *fixture) refuseAllPermits(retryAfter time.Duration) {
	f.limiter.brittle, f.permits.refuseFor = map[string]int{}, retryAfter
	for _, s := range f.dir.All() {
		f.limiter.brittle[s.ID] = 2
	}
}

// TestHeldBackUntilDeadlineTellsWhenToReturn guards against a refusal without a Retry-After of a request that servers held
// back while it waited for a place, until its time was over (soak seed 103).
func TestHeldBackUntilDeadlineTellsWhenToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, body: "done"})
		f.refuseAllPermits(time.Second)
		f.placer.place, f.placer.delay = Place{Engine: "e1", Ready: time.Now()}, time.Minute
		_, failure := f.serve("stream", "warm", 2*time.Second)
		if failure == nil || failure.Reason != verdict.ReasonDeadline || failure.RetryAfter < time.Second {
			t.Errorf("%+v, want a refusal with a Retry-After", failure)
		}
	})
}

// TestLimitedServersHeldBackUntilDeadline guards against clients that return at once to servers with a Retry-After.
func TestLimitedServersHeldBackUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, body: "done"})
		soon := time.Now().Add(10 * time.Millisecond)
		f.limiter.retryAfterUntil = map[string]time.Time{"e1": soon, "e2": soon}
		f.placer.place, f.placer.delay = Place{Engine: "e1", Ready: time.Now()}, time.Minute
		_, failure := f.serve("stream", "warm", 2*time.Second)
		if failure == nil || failure.Reason != verdict.ReasonDeadline || failure.RetryAfter <= maxTurnWait {
			t.Errorf("%+v, want a refusal with a Retry-After of over %s", failure, maxTurnWait)
		}
	})
}

// TestAbandonedSendsAreReported guards against room that is given away while the server may still have the request.
func TestAbandonedSendsAreReported(t *testing.T) {
	cases := map[string]struct {
		reply     reply
		abandoned int
	}{
		"no answer":       {reply{failure: verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "")}, 1},
		"part of one":     {reply{status: 200, body: "do", broken: true}, 1},
		"whole answer":    {reply{status: 200, body: "done"}, 0},
		"error":           {reply{status: 500}, 0},
		"never connected": {reply{failure: verdict.New(verdict.NotRun, verdict.ReasonBackend, "")}, 0},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, c.reply)
			f.limiter.brittle = map[string]int{"s1": 2, "s2": 2, "s3": 2}
			_, _ = f.serve("unsafe", "", 0)
			n := 0
			for _, s := range f.permits.semaphores {
				n += s.State().Abandoned
			}
			if n != c.abandoned {
				t.Errorf("%s: %d abandoned requests, want %d", name, n, c.abandoned)
			}
		})
	}
}
