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

// A request may end each server that begins it, and is sent again by clients and instances.
// What is known of it is asked before each send and not only when it arrives: one may have
// waited for a load while servers ended under other tries of it.

// Guard knows under which requests servers end.
type Guard interface {
	// Ready reports whether it is known which requests are held: an instance that has just
	// started reads it first.
	Ready() bool
	// State returns how a request for a service is treated, and StateOn how on one server: a
	// quarantined one may run alone on a version of the software under which none has ended.
	State(fp serving.Fingerprint, service string) quarantine.State
	StateOn(fp serving.Fingerprint, s serving.Server) quarantine.State
	// Ended reports whether a server is known to have ended, though it is still announced.
	Ended(s serving.Server) bool
	// Try asks that a suspect may run alone on a server, for so long at the most. Its errors
	// are ErrTrialBusy and ErrNoHolder.
	Try(ctx context.Context, fp serving.Fingerprint, s serving.Server, longest time.Duration) (Trial, error)
	// Implicated reports whether a server is known to have ended under a clear request.
	Implicated(fp serving.Fingerprint) bool
	// Consult exchanges with the holder what is known of a request. Its error is ErrNoHolder.
	Consult(ctx context.Context, fp serving.Fingerprint) error
	// RecordFailure notes that an answer broke off, and has the server be checked.
	RecordFailure(b quarantine.BrokenAttempt) CrashCheck
	// Inconclusive reports whether answers broke off on a server, and it is not known whether it
	// has ended.
	Inconclusive(s serving.Server) bool
	// Answered notes that a request was answered whole and with success.
	Answered(fp serving.Fingerprint)
}

// CrashCheck tells how far it is known whether a server has ended.
type CrashCheck struct {
	// FirstLook is closed when the server was looked at once, Done when it is known whether it
	// has ended, as far as that can be known at once.
	FirstLook, Done <-chan struct{}
}

// Trial is a suspect's leave to run on a server.
type Trial struct {
	// Grace is how long after the first event the run has to itself.
	Grace time.Duration
	// End ends the trial; it may be called again. inconclusive: the answer broke off, and it is
	// not known whether the server has ended.
	End func(inconclusive bool)
}

// ErrTrialBusy: another suspect runs on the server, or the request itself on another one.
var ErrTrialBusy = errors.New("forward: a suspect is on trial")

// subjectLength bounds what a request is called, in bytes.
const subjectLength = 120

// subject says to people what a request is.
func subject(r *serving.Request) string {
	s := r.Method + " " + r.Host + r.Path()
	if r.Unit.Model != "" {
		s += " " + r.Unit.String()
	}
	return s[:min(len(s), subjectLength)]
}

// quarantined refuses a request under which servers end, for good: there is no time after
// which it would be served, and a client that is told so does not come again.
func (t *trip) quarantined() *verdict.Failure {
	if t.f.guard.State(t.request.Fingerprint, t.service.Name) != quarantine.Quarantined {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQuarantined, "request %s is quarantined: %d servers or more ended while it ran there, one while it ran alone",
		t.request.Fingerprint, quarantine.QuarantineAfter)
}

// Waiting of suspects.
const (
	// trialPause is the pause before a suspect asks again whether it may run: about what
	// another one takes to its first event.
	trialPause = 50 * time.Millisecond
	// noTrialRetry is told to the client of a suspect while nobody can let it run: about the
	// time in which there is a holder again.
	noTrialRetry = 2 * time.Second
	// trialSlack is how much longer than the request a trial may last: the way of the word
	// that it is over.
	trialSlack = time.Second
)

// passesQuarantine reports whether the request may be sent to the server now. A suspect has to be
// on trial there; while it cannot be, a pause has passed.
func (t *trip) passesQuarantine(ctx context.Context, server serving.Server) (bool, *verdict.Failure) {
	t.consult(ctx)
	switch t.f.guard.StateOn(t.request.Fingerprint, server) {
	case quarantine.Clear:
		return true, nil
	case quarantine.Quarantined:
		t.excluded[server.ID] = true
		return false, t.quarantined()
	}
	trial, err := t.f.guard.Try(ctx, t.request.Fingerprint, server, clock.Until(t.deadline)+trialSlack)
	switch {
	case err == nil:
		t.trial = trial
		return true, nil
	case !errors.Is(err, ErrTrialBusy):
		return false, verdict.Refuse(verdict.ReasonPlatform, "servers ended while the request ran there, and nobody can let it run alone: %v", err).After(noTrialRetry)
	case clock.Until(t.due()) < t.f.params.FirstEvent+trialPause:
		return false, verdict.Refuse(verdict.ReasonQueueFull, "servers ended while the request ran there, and others run alone before it").After(noTrialRetry)
	}
	return false, t.pauseFor(ctx, trialPause)
}

// consult has what the holder knows of the request count before it is sent, once for each send, if
// a server has ended under it. Many clients may have it at many instances at once, of which each
// knows of one end only: sent without a question, it would end as many servers again. Without a
// holder that answers it goes by what this instance knows: most requests under which one server
// ended are not the cause.
func (t *trip) consult(ctx context.Context) {
	fp := t.request.Fingerprint
	if t.consulted > t.sends || !t.f.guard.Implicated(fp) {
		return
	}
	t.consulted = t.sends + 1
	if err := t.f.guard.Consult(ctx, fp); err != nil {
		t.f.log.WithFields(t.fields()).WithField("error", err).Info("a server ended while the request ran there, and no holder says what else is known")
	}
}

// endTrial ends the trial of a suspect on a server, if there is one. ran: it was sent there, and may
// have run. Only then is there a doubt: other answers that broke off there say nothing of a run that
// never began.
func (t *trip) endTrial(server serving.Server, ran bool) {
	if t.trial.End != nil {
		t.trial.End(ran && t.f.guard.Inconclusive(server))
	}
	t.trial = Trial{}
}

// passedTrial lets other suspects run on the server once this one has gone on for long enough.
func (t *trip) passedTrial(now time.Time) {
	if t.trial.End != nil && now.Sub(t.firstHere) > t.trial.Grace {
		t.trial.End(false)
	}
}

// Bounds of the time that a request whose answer broke off waits for word of its server.
const (
	// firstLookTime is for a clear one: a refused connection shows an end within milliseconds.
	firstLookTime = 100 * time.Millisecond
	// settleTime is for a suspect, which is to know whether the server has ended.
	settleTime = 500 * time.Millisecond
)

// recordFailure says how an attempt ended.
func (t *trip) recordFailure(ctx context.Context, server serving.Server, failure *verdict.Failure) {
	fp := t.request.Fingerprint
	if failure == nil {
		if t.out.status < http.StatusMultipleChoices {
			t.f.guard.Answered(fp)
		}
		return
	}
	left := errors.Is(ctx.Err(), context.Canceled) || failure.Reason == verdict.ReasonCancelled
	if failure.Verdict != verdict.MayHaveRun || ctx.Err() != nil && !left {
		return
	}
	b := quarantine.BrokenAttempt{
		Fingerprint: fp, Subject: subject(t.request), Server: server, Alone: t.trial.End != nil, Silent: failure.Silent, Left: left,
	}
	if !t.firstHere.IsZero() {
		b.Ran = clock.Since(t.firstHere)
	}
	check := t.f.guard.RecordFailure(b)
	switch {
	case left:
	case t.f.guard.State(fp, t.service.Name) == quarantine.Clear:
		awaitCheck(ctx, check.FirstLook, firstLookTime)
	case !awaitCheck(ctx, check.Done, settleTime):
		t.f.log.WithFields(t.fields()).WithFields(logrus.Fields{"server": server.ID}).Info("not known in time whether the server has ended")
	}
}

// awaitCheck waits for a check of a server for so long at the most, and reports whether it came.
func awaitCheck(ctx context.Context, done <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
