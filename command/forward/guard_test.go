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

// fakeGuard says what it is told to, and notes what it hears.
type fakeGuard struct {
	// states are returned one after the other, the last one again and again.
	states []quarantine.State
	// busy is how often a trial is refused, err what it fails with after that.
	busy  int
	err   error
	ended map[string]bool
	// implicates: servers end where answers break off. told are the states after a question
	// to the holder, which fails with consultErr.
	implicates bool
	// inconclusive: answers broke off on each server, of which nobody knows whether it has ended.
	inconclusive bool
	told         []quarantine.State
	consultErr   error

	consulted, tries, answered, over int
	// inconclusiveEnds counts the trials that ended in doubt.
	inconclusiveEnds int
	breaks           []quarantine.BrokenAttempt
}

func (g *fakeGuard) State(serving.Fingerprint, string) quarantine.State {
	if len(g.states) == 0 {
		return quarantine.Clear
	}
	state := g.states[0]
	if len(g.states) > 1 {
		g.states = g.states[1:]
	}
	return state
}

func (g *fakeGuard) Ready() bool { return true }

func (g *fakeGuard) StateOn(fp serving.Fingerprint, _ serving.Server) quarantine.State {
	return g.State(fp, "")
}

func (g *fakeGuard) Ended(s serving.Server) bool { return g.ended[s.ID] }

func (g *fakeGuard) Try(context.Context, serving.Fingerprint, serving.Server, time.Duration) (Trial, error) {
	g.tries++
	if g.busy > 0 {
		g.busy--
		return Trial{}, ErrTrialBusy
	}
	return Trial{Grace: time.Second, End: g.endTrial}, g.err
}

func (g *fakeGuard) endTrial(inconclusive bool) {
	g.over++
	if inconclusive {
		g.inconclusiveEnds++
	}
}

func (g *fakeGuard) RecordFailure(b quarantine.BrokenAttempt) CrashCheck {
	g.breaks = append(g.breaks, b)
	over := make(chan struct{})
	close(over)
	return CrashCheck{FirstLook: over, Done: over}
}

func (g *fakeGuard) Implicated(serving.Fingerprint) bool {
	return g.implicates && len(g.breaks) > 0
}

func (g *fakeGuard) Consult(context.Context, serving.Fingerprint) error {
	g.consulted++
	if g.consultErr == nil {
		g.states = g.told
	}
	return g.consultErr
}

func (g *fakeGuard) Inconclusive(serving.Server) bool { return g.inconclusive }

func (g *fakeGuard) Answered(serving.Fingerprint) { g.answered++ }

// TestQuarantinedWhileItWaits: a request that is quarantined while it waits for a load, or
// between two sends, is not sent, and its client is told for good.
func TestQuarantinedWhileItWaits(t *testing.T) {
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
				t.Errorf("%s: %+v, want a refusal for good", name, failure)
			}
			if len(f.servers.attempts) != test.sends {
				t.Errorf("%s: %d sends, want %d", name, len(f.servers.attempts), test.sends)
			}
		})
	}
}

// TestSuspectRunsAlone: a suspect waits until it may run, ends its trial, and is refused in
// time where it may not run; nobody else is held up.
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
		"after another": {states: suspect, busy: 3, sends: 1, atLeast: 3 * trialPause},
		"never":         {states: suspect, busy: 1000, reason: verdict.ReasonQueueFull, end: 2 * time.Second},
		"nobody to ask": {states: suspect, err: ErrNoHolder, reason: verdict.ReasonPlatform, end: time.Millisecond},
		"no suspect":    {busy: 1000, sends: 1},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, stream)
			f.guard.states, f.guard.busy, f.guard.err = test.states, test.busy, test.err
			began := time.Now()
			_, failure := f.serve("stream", "warm", 2*time.Second)
			took := time.Since(began)
			if len(f.servers.attempts) != test.sends || f.guard.over != f.guard.tries-min(test.busy, f.guard.tries) && test.err == nil {
				t.Errorf("%s: %d sends, %d trials over of %d asked for", name, len(f.servers.attempts), f.guard.over, f.guard.tries)
			}
			if test.sends == 0 && (failure == nil || failure.Reason != test.reason || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0) {
				t.Errorf("%s: %+v, want a refusal for %s that says when to come back", name, failure, test.reason)
			}
			if test.sends > 0 && (failure != nil || f.guard.answered != 1) {
				t.Errorf("%s: %+v, %d times answered", name, failure, f.guard.answered)
			}
			if took < test.atLeast || test.end > 0 && took > test.end {
				t.Errorf("%s: took %s", name, took)
			}
		})
	}
}

// TestBreaksAreReported: what breaks off is reported, with how long it had run;
// refusals and answers are not.
func TestBreaksAreReported(t *testing.T) {
	tests := map[string]struct {
		reply  reply
		breaks int
	}{
		"no answer":          {reply{failure: mayHaveRun}, 1},
		"refused connection": {reply{failure: notSent}, 0},
		"stream breaks off":  {reply{status: 200, events: true, body: "id: 1\ndata: x\n\n", broken: true}, 1},
		"not run":            {reply{status: 503, notRun: true}, 0},
		"error":              {reply{status: 500}, 0},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, test.reply)
			f.guard.states = []quarantine.State{quarantine.Suspect}
			_, _ = f.serve("once", "warm", 2*time.Second)
			if len(f.guard.breaks) != test.breaks || f.guard.answered != 0 {
				t.Errorf("%s: %d breaks, want %d; %d answered", name, len(f.guard.breaks), test.breaks, f.guard.answered)
			}
			for _, b := range f.guard.breaks {
				if b.Left || b.Server.ID == "" {
					t.Errorf("%s: %+v", name, b)
				}
			}
		})
	}
}

// TestEndedServersAreNotAsked: a server that has ended is passed over while it is announced.
func TestEndedServersAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, body: "done"})
		f.guard.ended = map[string]bool{"s1": true, "s3": true}
		for range 20 {
			if _, failure := f.serve("safe", "", time.Second); failure != nil {
				t.Fatal(failure)
			}
		}
		for _, a := range f.servers.attempts {
			if a.Server.ID != "s2" {
				t.Fatalf("server %s was asked", a.Server.ID)
			}
		}
	})
}

// TestRepeatConsultsTheHolder: a request under which a server has ended is not sent once more
// before the holder has said what else is known of it. Guards against requests that end a server
// for each try of each client while the word of the first ends is on its way.
func TestRepeatConsultsTheHolder(t *testing.T) {
	broken := reply{status: 200, events: true, body: "id: 1\n", broken: true}
	whole := reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"}
	tests := map[string]struct {
		told      quarantine.State
		err       error
		ended     bool
		sends     int
		consulted int
		tries     int
	}{
		"nothing else known": {told: quarantine.Clear, ended: true, sends: 2, consulted: 1},
		"a suspect":          {told: quarantine.Suspect, ended: true, sends: 2, consulted: 1, tries: 1},
		"quarantined":        {told: quarantine.Quarantined, ended: true, sends: 1, consulted: 1},
		"no holder":          {err: ErrNoHolder, ended: true, sends: 2, consulted: 1},
		"no end":             {sends: 2},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, broken, whole)
			f.guard.implicates, f.guard.told, f.guard.consultErr = test.ended, []quarantine.State{test.told}, test.err
			_, _ = f.serve("stream", "warm", 4*time.Second)
			if len(f.servers.attempts) != test.sends || f.guard.consulted != test.consulted || f.guard.tries != test.tries {
				t.Errorf("%s: %d sends, %d questions, %d trials; want %d, %d and %d", name,
					len(f.servers.attempts), f.guard.consulted, f.guard.tries, test.sends, test.consulted, test.tries)
			}
		})
	}
}

// TestTrialThatNeverRanIsNotInDoubt: a suspect that its server refused is free to run elsewhere at
// once, though other answers broke off there. Guards against a request that is held for seconds and
// ends its next server when it must not be sent any more (entry TestPoisonRequest).
func TestTrialThatNeverRanIsNotInDoubt(t *testing.T) {
	tests := map[string]struct {
		reply            reply
		inconclusiveEnds int
	}{
		"refused connection": {reply{failure: notSent}, 0},
		"not run":            {reply{status: 503, notRun: true}, 0},
		"no answer":          {reply{failure: mayHaveRun}, 1},
		"broken off":         {reply{status: 200, events: true, body: "id: 1\n", broken: true}, 1},
	}
	for name, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, test.reply)
			f.guard.states, f.guard.inconclusive = []quarantine.State{quarantine.Suspect}, true
			_, _ = f.serve("once", "warm", time.Second)
			if got := min(1, f.guard.inconclusiveEnds); f.guard.over == 0 || got != test.inconclusiveEnds {
				t.Errorf("%s: %d of %d trials ended in doubt", name, f.guard.inconclusiveEnds, f.guard.over)
			}
		})
	}
}
