package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// trip is the way of one request through this instance.
type trip struct {
	f *Forwarder
	admission
	service serving.Service
	request *serving.Request
	out     *writer
	// deadline is when the final answer is due: the sooner of the client's and
	// the route's.
	deadline time.Time

	// sends counts the sends that reached a server, runs those that may have
	// run.
	sends, runs int
	// mayHaveRun: a send may have run, so that "not run" may not be said.
	mayHaveRun bool
	// prepaid is when the next send was drawn from the budget, zero if it was not.
	prepaid time.Time
	// excluded are servers that are not asked again.
	excluded map[string]bool
	// consulted is the number of the send, from 1, before which the holder was last consulted.
	consulted int
	// missing is the last engine that did not have the unit.
	missing string
	// unreachable is the last engine that could not be connected to.
	unreachable string
	// only: the one engine that is known to have the unit was chosen.
	only bool
	// pauses counts the pauses before a server was asked again.
	pauses int
	// waits is what the request waited for, and how long.
	waits  waits
	server string
	// firstHere is when the server sent its first event, zero before.
	firstHere time.Time
	// intake is what is known of the servers that limit what they take.
	intake intake
	// trial is the leave to run of a suspect; zero if there is none.
	trial Trial
	last  *verdict.Failure
}

func (f *Forwarder) newTrip(a admission, r *serving.Request, w http.ResponseWriter) *trip {
	route := a.route
	t := &trip{
		f: f, admission: a, request: r, out: newWriter(w), excluded: map[string]bool{},
		service: a.config.Services[chooseTarget(route.Targets)],
	}
	allowed := route.Timeout
	if r.Timeout > 0 && (allowed == 0 || r.Timeout < allowed) {
		allowed = r.Timeout
	}
	if allowed == 0 {
		allowed = defaultTimeout
	}
	t.deadline = r.Arrived.Add(allowed)
	f.budget.Request(t.service.Name, r.Arrived)
	if t.service.Engine != nil && r.Unit.Model != "" {
		f.placer.Arrived(r.Unit, Urgency{Priority: route.Priority, Deferrable: deferrable(route), Late: t.lateByLoad()})
	}
	return t
}

// due is when the client leaves if nothing more has come by then.
func (t *trip) due() time.Time {
	if t.route.Patience == 0 {
		return t.deadline
	}
	last := t.request.Arrived
	if t.out.started {
		last = t.out.written
	}
	if due := last.Add(t.route.Patience); due.Before(t.deadline) {
		return due
	}
	return t.deadline
}

// defaultTimeout bounds a request for which neither client nor route says how
// long it may take.
const defaultTimeout = 30 * time.Second

// run takes the request from server to server until it is answered.
func (t *trip) run(ctx context.Context) *verdict.Failure {
	for {
		if failure := t.f.left(); failure != nil {
			return t.final(ctx, failure)
		}
		if failure := t.quarantined(); failure != nil {
			return t.final(ctx, failure)
		}
		server, failure := t.choose(ctx)
		if failure != nil {
			return t.final(ctx, failure)
		}
		if failure := t.overdue(); failure != nil {
			return t.final(ctx, failure)
		}
		admitted, failure := t.passesQuarantine(ctx, server)
		if failure != nil {
			return t.final(ctx, failure)
		}
		if !admitted {
			continue
		}
		if !t.admit(ctx, server) || t.leftMeanwhile(server) {
			t.returnAdmission()
			t.endTrial(server, false)
			continue
		}
		if !t.paid() {
			t.returnAdmission()
			t.endTrial(server, false)
			return t.final(ctx, t.lastFailure("the budget of repeated sends is spent"))
		}
		answered, failure := t.attempt(ctx, server)
		t.intake.giveBack = nil
		if answered {
			return nil
		}
		t.last = failure
		if ctx.Err() != nil || !t.mayTryAgain(failure) {
			return t.final(ctx, failure)
		}
		t.f.log.WithFields(t.fields()).WithFields(logrus.Fields{"server": server.ID, "verdict": failure.Verdict}).
			Info("sending once more: " + failure.Detail)
	}
}

// overdue refuses a request whose time is over though its context has not ended: the timers
// of contexts stand still while the machine is suspended.
func (t *trip) overdue() *verdict.Failure {
	if clock.Exact().Before(t.deadline) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDeadline, "the time was over before the request could be sent")
}

// paid draws the next send from the budget of repeated ones, if it is one.
func (t *trip) paid() bool {
	prepaid := clock.Since(t.prepaid) < prepaidFor
	t.prepaid = time.Time{}
	return t.sends == 0 || prepaid || t.draw()
}

// prepaidFor is how long the next send may be put off after it was drawn. Draws that
// wait for a model to be loaded, which takes seconds, would be sent in one window
// though they were gained in two.
const prepaidFor = 500 * time.Millisecond

// draw takes one more send from the budget, and logs what that rested on: a bound
// over all instances that is broken can be traced only with each one's account.
func (t *trip) draw() bool {
	now := clock.Now()
	allowed := t.f.budget.Take(t.service.Name, now)
	t.f.counts.repeat(t.service.Name, allowed)
	s := t.f.budget.Spending(t.service.Name, now)
	t.f.log.WithFields(logrus.Fields{
		"request": t.request.ID, "service": t.service.Name, "allowed": allowed, "requests": s.Requests, "repeats": s.Repeats,
		"left": s.Level, "instances": s.Instances, "age_ms": s.Age.Milliseconds(),
	}).Info("repeated send drawn from the budget")
	return allowed
}

// mayTryAgain reports whether the request may be sent once more after failure.
func (t *trip) mayTryAgain(failure *verdict.Failure) bool {
	if failure.Verdict == verdict.NotRun {
		return true
	}
	return t.route.MayRepeat() && t.runs < t.route.Attempts
}

func (t *trip) lastFailure(reason string) *verdict.Failure {
	if t.last == nil {
		return verdict.Refuse(verdict.ReasonBackend, "%s", reason)
	}
	return verdict.New(t.last.Verdict, t.last.Reason, "%s; %s", t.last.Detail, reason).After(t.f.params.RetryPause)
}

// final turns the last failure into what the client may be told.
func (t *trip) final(ctx context.Context, failure *verdict.Failure) *verdict.Failure {
	f := *failure
	if t.mayHaveRun && f.Verdict == verdict.NotRun {
		f.Verdict = verdict.MayHaveRun
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		f.Reason = verdict.ReasonCancelled
	case t.out.started:
		f.Reason = verdict.ReasonBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason = verdict.ReasonDeadline
	}
	return &f
}

// attempt sends the request to a server and passes the answer on. answered
// means that the client has its answer.
func (t *trip) attempt(ctx context.Context, server serving.Server) (answered bool, failure *verdict.Failure) {
	t.server, t.firstHere = server.ID, time.Time{}
	now := clock.Now()
	whole := ctx
	defer func() { t.endTrial(server, failure != nil && failure.Verdict == verdict.MayHaveRun) }()
	defer func() { t.recordFailure(whole, server, failure) }()
	ended := t.f.balancer.Start(server.ID, server.FailureDomain)
	done := func(bool) {}
	if t.request.Unit.Model != "" {
		done = t.f.placer.Started(Run{Engine: server.ID, Unit: t.request.Unit, Deferrable: deferrable(t.route), Only: t.only})
	}
	outcome := balance.Neutral
	defer func() {
		done(outcome == balance.Succeeded)
		ended(outcome, clock.Now())
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := t.f.sender.Send(ctx, serving.Attempt{
		Request: t.request, Server: server, Left: t.deadline.Sub(now), Urgency: urgency(t.route), ResumeAfter: t.out.lastEvent,
		Guarded: t.config.Guarded(), Workspace: t.workspaceName(),
	})
	if err != nil {
		return false, t.sendFailed(ctx, server, err, now, &outcome)
	}
	defer resp.Body.Close()
	if resp.NotRun {
		outcome = turnedAway(resp)
		return false, t.notRun(server, resp, &outcome)
	}
	t.sends++
	t.runs++
	t.mayHaveRun = true
	failure = t.relay(ctx, resp)
	outcome = t.judge(ctx, resp, failure)
	if failure != nil {
		t.excluded[server.ID] = true
	}
	return failure == nil, failure
}

// maxUrgency is the least urgent rank that engines know.
const maxUrgency = 9

// urgency ranks a request at an engine as its route does.
func urgency(r *serving.Route) int { return min(maxUrgency, max(0, r.Priority)) }

// silentAfter is how long a request must have been with a server to tell something by its
// silence: many times what an engine that has room takes to a first event.
const silentAfter = time.Second

// sendFailed handles a send without an answer.
func (t *trip) sendFailed(ctx context.Context, server serving.Server, err error, sent time.Time, outcome *balance.Outcome) *verdict.Failure {
	failure := verdict.Of(err)
	t.excluded[server.ID] = true
	switch {
	case !errors.Is(ctx.Err(), context.Canceled):
		*outcome = balance.Unreachable
	case clock.Since(sent) >= silentAfter:
		*outcome = balance.Silent
	}
	if failure.Verdict == verdict.NotRun {
		t.returnAdmission()
		t.unreachable = server.ID
	} else {
		t.sends++
		t.runs++
		t.mayHaveRun = true
	}
	return failure
}

// turnedAway says what an answer that has not run the request tells of the server. One that asks
// for rest is not counted as failing: it gets nothing for so long, and then what it got before.
func turnedAway(resp *serving.Response) balance.Outcome {
	if resp.Rests {
		return balance.Neutral
	}
	return balance.Failed
}

// notRun handles a server's own word that it has not run the request.
func (t *trip) notRun(server serving.Server, resp *serving.Response, outcome *balance.Outcome) *verdict.Failure {
	t.sends++
	t.excluded[server.ID] = true
	// Of an engine this says that it lacks the unit. A plain server is another one than was
	// announced: it has to count as failed, or the entry of one that is gone is chosen
	// before its successor for as long as it stays.
	if resp.Misdirected && t.request.Unit.Model != "" {
		*outcome = balance.Neutral
		t.missing = server.ID
		t.f.dir.Lacks(server.ID, t.request.Unit, clock.Now())
	}
	return verdict.Refuse(verdict.ReasonBackend, "server %s has not run it: status %d", server.ID, resp.Status)
}

// judge says what an answer tells of the server.
func (t *trip) judge(ctx context.Context, resp *serving.Response, failure *verdict.Failure) balance.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && failure != nil, resp.Rests:
		return balance.Neutral
	case failure != nil || resp.Status >= http.StatusInternalServerError:
		return balance.Failed
	default:
		return balance.Succeeded
	}
}

// pauseFor waits, and fails when the request's time ends before or the instance
// leaves.
func (t *trip) pauseFor(ctx context.Context, d time.Duration) *verdict.Failure {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-t.f.leaving:
		return t.f.left()
	case <-ctx.Done():
	}
	return verdict.Refuse(verdict.ReasonDeadline, "the time was over after %s of waiting", clock.Since(t.request.Arrived).Round(time.Millisecond))
}

func (t *trip) fields() logrus.Fields {
	fields := logrus.Fields{
		"request": t.request.ID, "route": t.route.Name, "config": t.config.Version, "sends": t.sends,
		"ms": clock.Since(t.request.Arrived).Milliseconds(), "fingerprint": t.request.Fingerprint,
	}
	if t.request.Unit.Model != "" {
		fields["unit"] = t.request.Unit.String()
	}
	if name := t.workspaceName(); name != "" {
		fields["workspace"] = name
	}
	return fields
}

// end counts and logs how the request ended.
func (t *trip) end(failure *verdict.Failure) {
	t.f.counts.end(failure, clock.Since(t.request.Arrived))
	log := t.f.log.WithFields(t.fields()).WithFields(logrus.Fields{
		"server": t.server, "waited_ms": t.waits.total().Milliseconds(), "waited_for": t.waits.longest(), "promised_ms": t.waits.promised.Milliseconds(),
		"priority": t.route.Priority, "objective_ms": t.route.Objective.Milliseconds(),
	})
	if !t.out.first.IsZero() {
		log = log.WithFields(logrus.Fields{"first_ms": t.out.first.Sub(t.request.Arrived).Milliseconds(), "pause_ms": t.out.pause.Milliseconds()})
	}
	if held := t.intake.heldFor(); held != "" {
		log = log.WithField("held_back", held)
	}
	if failure == nil {
		log.WithField("status", t.out.status).Info("request answered")
		return
	}
	log.WithFields(logrus.Fields{
		"verdict": failure.Verdict, "reason": failure.Reason, "retry_after_ms": failure.RetryAfter.Milliseconds(),
	}).Info("request not answered: " + failure.Detail)
}
