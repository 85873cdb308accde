package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// fakeGuard returns preset states and records its calls.
type fakeGuard struct {
	// states are returned one after the other; the last one is repeated.
	states []quarantine.State
	// busy is how many times a trial is refused, and err the error of later calls of RequestTrial.
	busy    int
	err     error
	crashed map[string]bool
	// implicates is set if servers crash when answers break off. statesFromHolder are the states
	// after the holder was consulted, which fails with consultErr.
	implicates bool
	// inconclusive is set if answers broke off on every server and it is not known whether the
	// servers have crashed.
	inconclusive     bool
	statesFromHolder []quarantine.State
	consultErr       error

	consulted, trialRequests, answered, begun, trialsEnded int
	// inconclusiveEnds is the number of trials that ended inconclusively.
	inconclusiveEnds int
	brokenAttempts   []quarantine.BrokenAttempt
}

func (g *fakeGuard) State(i quarantine.Identity) (quarantine.State, serving.Fingerprint) {
	if len(g.states) == 0 {
		return quarantine.Clear, ""
	}
	state := g.states[0]
	if len(g.states) > 1 {
		g.states = g.states[1:]
	}
	return state, i.Fingerprint
}

func (g *fakeGuard) Ready() bool { return true }

func (g *fakeGuard) StateOn(i quarantine.Identity, _ serving.Server) quarantine.State {
	state, _ := g.State(i)
	return state
}

func (g *fakeGuard) Crashed(s serving.Server) bool { return g.crashed[s.ID] }

func (g *fakeGuard) RequestTrial(context.Context, quarantine.Identity, serving.Server, time.Duration) (Trial, error) {
	g.trialRequests++
	if g.busy > 0 {
		g.busy--
		return Trial{}, ErrTrialBusy
	}
	return Trial{Grace: time.Second, End: g.endTrial}, g.err
}

func (g *fakeGuard) endTrial(inconclusive bool) {
	g.trialsEnded++
	if inconclusive {
		g.inconclusiveEnds++
	}
}

func (g *fakeGuard) RecordBrokenAnswer(b quarantine.BrokenAttempt) CrashCheck {
	g.brokenAttempts = append(g.brokenAttempts, b)
	closed := make(chan struct{})
	close(closed)
	return CrashCheck{FirstProbe: closed, Done: closed}
}

func (g *fakeGuard) Implicated(quarantine.Identity) bool {
	return g.implicates && len(g.brokenAttempts) > 0
}

func (g *fakeGuard) Consult(context.Context, quarantine.Identity) error {
	g.consulted++
	if g.consultErr == nil {
		g.states = g.statesFromHolder
	}
	return g.consultErr
}

func (g *fakeGuard) Inconclusive(serving.Server) bool { return g.inconclusive }

func (g *fakeGuard) RecordBegun(quarantine.Identity, string) { g.begun++ }

func (g *fakeGuard) RecordSuccess(quarantine.Identity, string) { g.answered++ }

// TestQuarantinedBeforeSend: a request that is quarantined while it waits for a load, or between
// two sends, is not sent, and the refusal is permanent.
func TestQuarantinedBeforeSend(t *testing.T) {
	broken := reply{status: 200, events: true, body: "id: 1\n", broken: true}
	tests := map[string]struct {
		states []quarantine.State
		model  string
		sends  int
	}{
		"on arrival":     {[]quarantine.State{quarantine.Quarantined}, "warm", 0},
		"after an end":   {[]quarantine.State{quarantine.Clear, quarantine.Clear, quarantine.Clear, quarantine.Quarantined}, "warm", 1},
		"while it waits": {[]quarantine.State{quarantine.Clear, quarantine.Quarantined}, "cold", 0},
		"as it is sent":  {[]quarantine.State{quarantine.Clear, quarantine.Quarantined}, "warm", 0},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, broken)
			f.guard.states = test.states
			f.placer.place = Place{Engine: "e1", Ready: time.Now().Add(300 * time.Millisecond)}
			_, failure := f.serve("stream", test.model, 4*time.Second)
			if failure == nil || failure.Reason != verdict.ReasonQuarantined || failure.RetryAfter != 0 {
				t.Errorf("%s: %+v, want a permanent refusal", name, failure)
			}
			if len(f.servers.attempts) != test.sends {
				t.Errorf("%s: %d sends, want %d", name, len(f.servers.attempts), test.sends)
			}
		})
	}
}

// TestSuspectRunsAlone: a suspect waits until it may run and ends its trial, and is refused in time
// if it may not run. Requests that are not suspects are not delayed.
func TestSuspectRunsAlone(t *testing.T) {
	stream := reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"}
	suspect := []quarantine.State{quarantine.Suspect}
	tests := map[string]struct {
		states       []quarantine.State
		busy, sends  int
		err          error
		reason       verdict.Reason
		atLeast, end time.Duration
	}{
		"alone at once": {states: suspect, sends: 1},
		"after another": {states: suspect, busy: 3, sends: 1, atLeast: 3 * trialPollInterval},
		"never":         {states: suspect, busy: 1000, reason: verdict.ReasonQueueFull, end: 2 * time.Second},
		"nobody to ask": {states: suspect, err: ErrNoHolder, reason: verdict.ReasonPlatform, end: time.Millisecond},
		"no suspect":    {busy: 1000, sends: 1},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, stream)
			f.guard.states, f.guard.busy, f.guard.err = test.states, test.busy, test.err
			start := time.Now()
			_, failure := f.serve("stream", "warm", 2*time.Second)
			duration := time.Since(start)
			if len(f.servers.attempts) != test.sends || f.guard.trialsEnded != f.guard.trialRequests-min(test.busy, f.guard.trialRequests) && test.err == nil {
				t.Errorf("%s: %d sends, %d of %d requested trials ended", name, len(f.servers.attempts), f.guard.trialsEnded, f.guard.trialRequests)
			}
			if test.sends == 0 && (failure == nil || failure.Reason != test.reason || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0) {
				t.Errorf("%s: %+v, want a refusal for %s with a Retry-After", name, failure, test.reason)
			}
			if test.sends > 0 && (failure != nil || f.guard.answered != 1) {
				t.Errorf("%s: %+v, %d times answered", name, failure, f.guard.answered)
			}
			if duration < test.atLeast || test.end > 0 && duration > test.end {
				t.Errorf("%s: took %s", name, duration)
			}
		})
	}
}

// TestBrokenAnswersReported: an answer that breaks off is reported to the guard; refusals and
// complete answers are not.
func TestBrokenAnswersReported(t *testing.T) {
	tests := map[string]struct {
		reply    reply
		failures int
	}{
		"no answer":          {reply{failure: mayHaveRun}, 1},
		"refused connection": {reply{failure: notSent}, 0},
		"stream breaks off":  {reply{status: 200, events: true, body: "id: 1\ndata: x\n\n", broken: true}, 1},
		"not run":            {reply{status: 503, notExecuted: true}, 0},
		"error":              {reply{status: 500}, 0},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, test.reply)
			f.guard.states = []quarantine.State{quarantine.Suspect}
			_, _ = f.serve("once", "warm", 2*time.Second)
			if len(f.guard.brokenAttempts) != test.failures || f.guard.answered != 0 {
				t.Errorf("%s: %d broken answers, want %d; %d answered", name, len(f.guard.brokenAttempts), test.failures, f.guard.answered)
			}
			for _, b := range f.guard.brokenAttempts {
				if b.ClientGone || b.Server.ID == "" {
					t.Errorf("%s: %+v", name, b)
				}
			}
		})
	}
}

// TestCrashedServersSkipped: a server that has crashed is not chosen although it is still announced.
func TestCrashedServersSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, body: "done"})
		f.guard.crashed = map[string]bool{"s1": true, "s3": true}
		for range 20 {
			if _, failure := f.serve("safe", "", time.Second); failure != nil {
				t.Fatal(failure)
			}
		}
		for _, a := range f.servers.attempts {
			if a.Server.ID != "s2" {
				t.Fatalf("request was sent to %s", a.Server.ID)
			}
		}
	})
}

// TestResendConsultsHolder: a request under which a server has crashed is not sent again before the
// holder has been consulted. Guards against requests that crash a server with each attempt of each
// client while the reports of the first crashes are still being distributed.
func TestResendConsultsHolder(t *testing.T) {
	broken := reply{status: 200, events: true, body: "id: 1\n", broken: true}
	whole := reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"}
	tests := map[string]struct {
		fromHolder quarantine.State
		err        error
		ended      bool
		sends      int
		consulted  int
		tries      int
	}{
		"nothing else known": {fromHolder: quarantine.Clear, ended: true, sends: 2, consulted: 1},
		"a suspect":          {fromHolder: quarantine.Suspect, ended: true, sends: 2, consulted: 1, tries: 1},
		"quarantined":        {fromHolder: quarantine.Quarantined, ended: true, sends: 1, consulted: 1},
		"no holder":          {err: ErrNoHolder, ended: true, sends: 2, consulted: 1},
		"no end":             {sends: 2},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, broken, whole)
			f.guard.implicates, f.guard.statesFromHolder, f.guard.consultErr = test.ended, []quarantine.State{test.fromHolder}, test.err
			_, _ = f.serve("stream", "warm", 4*time.Second)
			if len(f.servers.attempts) != test.sends || f.guard.consulted != test.consulted || f.guard.trialRequests != test.tries {
				t.Errorf("%s: %d sends, %d consultations, %d trials; want %d, %d and %d", name,
					len(f.servers.attempts), f.guard.consulted, f.guard.trialRequests, test.sends, test.consulted, test.tries)
			}
		})
	}
}

// TestUnsentTrialIsConclusive: a suspect that was refused by its server may run elsewhere
// immediately, although other answers broke off on that server. Guards against a request that is
// held for seconds and then crashes its next server although it must no longer be sent (entry
// TestPoisonRequest).
func TestUnsentTrialIsConclusive(t *testing.T) {
	tests := map[string]struct {
		reply            reply
		inconclusiveEnds int
	}{
		"refused connection": {reply{failure: notSent}, 0},
		"not run":            {reply{status: 503, notExecuted: true}, 0},
		"no answer":          {reply{failure: mayHaveRun}, 1},
		"broken off":         {reply{status: 200, events: true, body: "id: 1\n", broken: true}, 1},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, test.reply)
			f.guard.states, f.guard.inconclusive = []quarantine.State{quarantine.Suspect}, true
			_, _ = f.serve("once", "warm", time.Second)
			if got := min(1, f.guard.inconclusiveEnds); f.guard.trialsEnded == 0 || got != test.inconclusiveEnds {
				t.Errorf("%s: %d of %d trials ended inconclusively", name, f.guard.inconclusiveEnds, f.guard.trialsEnded)
			}
		})
	}
}
