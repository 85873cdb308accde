package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// A request may crash each server that starts to process it, and is sent again by clients and
// instances. Its quarantine state is therefore checked before each send and not only on arrival:
// while the request waited for a load, servers may have crashed under other attempts of it.

// Guard tracks the requests under which servers crash. Package quarantine explains the states of
// requests, suspects and trials.
type Guard interface {
	// Ready reports whether the quarantine records have been loaded, which an instance does first
	// after its start.
	Ready() bool
	// State returns how a request is treated and, unless it is clear, because of which fingerprint. StateOn
	// returns how it is treated on one server: a quarantined request may run alone on a software version
	// under which no server has crashed.
	State(i quarantine.Identity) (state quarantine.State, cause serving.Fingerprint)
	StateOn(i quarantine.Identity, s serving.Server) quarantine.State
	// Crashed reports whether a server is known to have crashed although it is still announced.
	Crashed(s serving.Server) bool
	// RequestTrial requests permission for a suspect to run alone on a server, for at most longest.
	// Its errors are ErrTrialBusy and ErrNoHolder.
	RequestTrial(ctx context.Context, i quarantine.Identity, s serving.Server, longest time.Duration) (Trial, error)
	// Implicated reports whether a server is known to have crashed under a request whose state is
	// still clear.
	Implicated(i quarantine.Identity) bool
	// Consult exchanges the records of a request with the holder. Its error is ErrNoHolder.
	Consult(ctx context.Context, i quarantine.Identity) error
	// RecordBrokenAnswer records that an answer broke off, and starts a check of whether the server
	// has crashed.
	RecordBrokenAnswer(b quarantine.BrokenAttempt) CrashCheck
	// Inconclusive reports whether answers broke off on a server and it is not known whether it has
	// crashed.
	Inconclusive(s serving.Server) bool
	// RecordBegun records that a server of a software version has begun an answer to a request, and goes on.
	RecordBegun(i quarantine.Identity, version string)
	// RecordSuccess records that a server of a software version has answered a request completely and
	// successfully.
	RecordSuccess(i quarantine.Identity, version string)
}

// CrashCheck is the progress of a check of whether a server has crashed.
type CrashCheck struct {
	// FirstProbe is closed when the server has been probed once, and Done when it is known whether
	// it has crashed, as far as that can be determined immediately.
	FirstProbe, Done <-chan struct{}
}

// Trial is a suspect's permission to run alone on a server.
type Trial struct {
	// Grace is how long after its first event the suspect must keep running alone.
	Grace time.Duration
	// End ends the trial; it may be called more than once. inconclusive states that the answer
	// broke off and it is not known whether the server has crashed.
	End func(inconclusive bool)
}

// ErrTrialBusy is returned if another suspect runs on the server, or the same request on another
// server.
var ErrTrialBusy = errors.New("forward: a suspect is on trial")

// maxSubjectLength bounds the description of a request, in bytes.
const maxSubjectLength = 120

// subject returns a human-readable description of a request.
func subject(r *serving.Request) string {
	s := r.Method + " " + r.Host + r.Path()
	if r.Unit.Model != "" {
		s += " " + r.Unit.String()
	}
	return s[:min(len(s), maxSubjectLength)]
}

// quarantineFailure returns the permanent refusal of a request under which servers crash, and nil
// for other requests. It has no Retry-After, so that clients do not retry: the request would not be
// served later either.
func (t *transaction) quarantineFailure() *verdict.Failure {
	state, cause := t.f.guard.State(t.identity())
	if state != quarantine.Quarantined {
		return nil
	}
	what := "request"
	if cause != t.request.Fingerprint {
		what = "prompt with"
	}
	return verdict.Refuse(verdict.ReasonQuarantined, "%s %s is quarantined: %d servers or more ended while it ran there, one while it ran alone",
		what, cause, quarantine.QuarantineAfter)
}

// identity returns by what the request is recognized.
func (t *transaction) identity() quarantine.Identity {
	return quarantine.Identity{Fingerprint: t.request.Fingerprint, Service: t.service.Name, PromptParts: t.request.PromptParts}
}

// Timing of trials.
const (
	// trialPollInterval is the pause before a suspect requests a trial again: about the time in
	// which another suspect reaches its first event.
	trialPollInterval = 50 * time.Millisecond
	// noTrialRetryAfter is the Retry-After of a suspect that is refused because no holder could
	// be asked for a trial, or because other suspects run first: about the time until there is a
	// new holder.
	noTrialRetryAfter = 2 * time.Second
	// trialSlack is how long after the request's deadline a trial may last: the time that the
	// message about its end takes to arrive.
	trialSlack = time.Second
)

// checkQuarantine reports whether the request may be sent to the server now. A suspect needs a
// trial there; if it cannot have one, checkQuarantine returns false after a pause or refuses the
// request.
func (t *transaction) checkQuarantine(ctx context.Context, server serving.Server) (bool, *verdict.Failure) {
	t.consultHolder(ctx)
	switch t.f.guard.StateOn(t.identity(), server) {
	case quarantine.Clear:
		return true, nil
	case quarantine.Quarantined:
		t.excluded[server.ID] = true
		return false, t.quarantineFailure()
	}
	trial, err := t.f.guard.RequestTrial(ctx, t.identity(), server, clock.Until(t.deadline)+trialSlack)
	switch {
	case err == nil:
		t.trial = trial
		return true, nil
	case !errors.Is(err, ErrTrialBusy):
		return false, verdict.Refuse(verdict.ReasonPlatform, "servers ended while the request ran there, and nobody can let it run alone: %v", err).WithRetryAfter(noTrialRetryAfter)
	case clock.Until(t.nextOutputDeadline()) < t.f.params.FirstEvent+trialPollInterval:
		return false, verdict.Refuse(verdict.ReasonQueueFull, "servers ended while the request ran there, and others run alone before it").WithRetryAfter(noTrialRetryAfter)
	}
	return false, t.pauseFor(ctx, trialPollInterval)
}

// consultHolder consults the holder once before each send of a request under which a server has
// crashed. Many clients may send the request to many instances at the same time, each of which
// knows of only one crash: without consulting the holder, these sends would crash as many servers
// again. If no holder answers, the decision is based on what this instance knows, since most
// requests under which one server crashed are not the cause.
func (t *transaction) consultHolder(ctx context.Context) {
	identity := t.identity()
	if t.consultedForSend > t.sends || !t.f.guard.Implicated(identity) {
		return
	}
	t.consultedForSend = t.sends + 1
	if err := t.f.guard.Consult(ctx, identity); err != nil {
		t.f.log.WithFields(t.logFields()).WithField("error", err).Info("server ended while the request ran there; holder could not be consulted")
	}
}

// endTrial ends the trial of a suspect on a server, if there is one. ran states that the request
// was sent there and may have run. Only then can the trial be inconclusive: other answers that
// broke off on the server say nothing about a run that did not begin.
func (t *transaction) endTrial(server serving.Server, ran bool) {
	if t.trial.End != nil {
		t.trial.End(ran && t.f.guard.Inconclusive(server))
	}
	t.trial = Trial{}
}

// recordBegun records that the answer of the current server has begun and goes on, once it has for
// quarantine.MinGrace: what crashes servers when they begin to answer does so sooner.
func (t *transaction) recordBegun(now time.Time) {
	if t.begunRecorded || now.Sub(t.firstEventAt) < quarantine.MinGrace {
		return
	}
	t.begunRecorded = true
	t.f.guard.RecordBegun(t.identity(), t.serverVersion)
}

// endTrialAfterGrace ends the trial once the suspect has run beyond its grace period, so that other
// suspects can run on the server.
func (t *transaction) endTrialAfterGrace(now time.Time) {
	if t.trial.End != nil && now.Sub(t.firstEventAt) > t.trial.Grace {
		t.trial.End(false)
	}
}

// Time limits for the server check that a request waits for after its answer broke off.
const (
	// firstCheckTimeout applies to requests whose state is clear: a refused connection reveals a
	// crash within milliseconds.
	firstCheckTimeout = 100 * time.Millisecond
	// suspectCheckTimeout applies to suspects, for which it has to be known whether the server has
	// crashed.
	suspectCheckTimeout = 500 * time.Millisecond
)

// recordOutcome reports the outcome of an attempt to the guard, and waits for the check of the
// server if the answer broke off.
func (t *transaction) recordOutcome(ctx context.Context, server serving.Server, failure *verdict.Failure) {
	fp := t.request.Fingerprint
	if failure == nil {
		if t.out.status < http.StatusMultipleChoices {
			t.f.guard.RecordSuccess(t.identity(), server.Version)
		}
		return
	}
	clientLeft := errors.Is(ctx.Err(), context.Canceled) || failure.Reason == verdict.ReasonCancelled
	if failure.Verdict != verdict.MayHaveRun || ctx.Err() != nil && !clientLeft {
		return
	}
	b := quarantine.BrokenAttempt{
		Fingerprint: fp, Subject: subject(t.request), Server: server, PromptParts: t.request.PromptParts, SentAt: t.sentAt, Isolated: t.trial.End != nil, Unresponsive: failure.Silent, ClientGone: clientLeft,
	}
	if !t.firstEventAt.IsZero() {
		b.RunTime = clock.Since(t.firstEventAt)
	}
	check := t.f.guard.RecordBrokenAnswer(b)
	switch {
	case clientLeft:
	case t.isClear():
		awaitCheck(ctx, check.FirstProbe, firstCheckTimeout)
	case !awaitCheck(ctx, check.Done, suspectCheckTimeout):
		t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{"server": server.ID}).Info("server check timed out; unknown whether the server has ended")
	}
}

// isClear reports whether the request may run without restriction.
func (t *transaction) isClear() bool {
	state, _ := t.f.guard.State(t.identity())
	return state == quarantine.Clear
}

// awaitCheck waits for a check of a server for at most timeout, and reports whether it completed.
func awaitCheck(ctx context.Context, done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
