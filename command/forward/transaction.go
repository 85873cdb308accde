package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// transaction is the processing of one request by this instance: all its sends to servers until the
// final answer.
type transaction struct {
	f *Forwarder
	admission
	service serving.Service
	request *serving.Request
	out     *clientWriter
	// deadline is when the final answer is due: the earlier of the client's and the route's
	// deadline.
	deadline time.Time

	// sends is the number of sends that reached a server, and runs the number of those that may
	// have run.
	sends, runs int
	// mayHaveRun is set if a send may have run, so that the request must not be reported as not
	// run.
	mayHaveRun bool
	// drawnAt is when the next send was drawn from the budget in advance; zero if it was not.
	drawnAt time.Time
	// excluded are the IDs of servers to which the request is not sent again.
	excluded map[string]bool
	// consultedForSend is the number of the send, from 1, before which the holder was last
	// consulted.
	consultedForSend int
	// missing is the ID of the last engine that did not have the unit.
	missing string
	// unreachable is the ID of the last engine to which no connection could be made.
	unreachable string
	// soleReplica is set if the chosen engine is the only one known to have the unit.
	soleReplica bool
	// retryPauses is the number of pauses so far before a server was asked again.
	retryPauses int
	// waits records what the request waited for, and how long.
	waits waitTimes
	// sentTo are the IDs of the servers to which the request was sent, in order.
	sentTo []string
	// server is the ID of the server to which the request was last sent.
	server string
	// serverVersion is the version of that server's software, and serverBorn the start of its process, as announced when
	// the request was sent.
	serverVersion string
	serverBorn    int64
	// version is the software version that the stream is bound to, "" while its client has no event, and versionPinned
	// whether the current server's first event was compared with it.
	version       string
	versionPinned bool
	// versionUnknown is set if it is not known which version wrote what the client has, so that no server may continue it.
	versionUnknown bool
	// originUnheard is set if the stream was about to begin at version, and no other instance is known to keep that.
	originUnheard bool
	// continued is that of the binding.
	continued string
	// via is the instance through which the server last answered; "" if the connection was direct.
	via string
	// endsWithConnection is set if the answer of that server states its end only by that of its connection.
	endsWithConnection bool
	// sentAt is when the request was last sent to that server.
	sentAt time.Time
	// firstEventAt is when the current server sent its first event; zero before.
	firstEventAt time.Time
	// begunRecorded is set once that server's answer is recorded as begun.
	begunRecorded bool
	// serverLimits is the state of the servers that limit the requests they accept.
	serverLimits limitedServers
	// speed follows the stream of the current attempt, to learn the engine's speed.
	speed streamSpeed
	// roomAt is when the first of the engines that have the unit and are full may have room; the zero
	// time if none is full. It is set by each choice of an engine.
	roomAt time.Time
	// search is the search for room at brittle servers, and sendAdmission the admission of the last send.
	search        roomSearch
	sendAdmission brittle.Admission
	// sentAsBrittle is whether the server was known to be brittle when the request was last sent.
	sentAsBrittle bool
	// trial is the permission of a suspect to run; zero if there is none.
	trial Trial
	// last is the failure of the last attempt; nil before.
	last *verdict.Failure
	// room is the class whose room the request takes; nil if the service is not contended.
	room *RoomClass
	// onlyRun is the single run of a stream that must not be repeated; nil for other requests, and
	// if it cannot outlive its engine.
	onlyRun *onlyRun
}

// newTransaction returns the transaction of an admitted request, and records the request for the
// budget and for demand forecasts.
func (f *Forwarder) newTransaction(a admission, b binding, r *serving.Request, w http.ResponseWriter) *transaction {
	route := a.route
	t := &transaction{
		f: f, admission: a, request: r, out: newClientWriter(w, r.LastEventID), excluded: map[string]bool{},
		service: b.service, version: b.version, continued: b.continued,
	}
	t.deadline = r.Arrived.Add(allowedTime(route, r))
	t.room = t.roomClass()
	t.onlyRun = f.newOnlyRun(t)
	f.budget.RecordRequest(t.service.Name, r.Arrived)
	if t.service.Engine != nil && r.Unit.Model != "" {
		t.recordArrival()
	}
	return t
}

// nextOutputDeadline returns when the client gives up if it has received nothing more by then.
func (t *transaction) nextOutputDeadline() time.Time {
	if t.route.ClientIdleTimeout == 0 {
		return t.deadline
	}
	last := t.request.Arrived
	if t.out.started {
		last = t.out.lastWrite
	}
	if giveUp := last.Add(t.route.ClientIdleTimeout); giveUp.Before(t.deadline) {
		return giveUp
	}
	return t.deadline
}

// defaultTimeout applies to requests for which neither the client nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// run sends the request to one server after another until it is answered or cannot be sent again.
func (t *transaction) run(ctx context.Context) *verdict.Failure {
	for {
		if failure := t.leavingFailure(); failure != nil {
			return t.finalFailure(ctx, failure)
		}
		if failure := t.quarantineFailure(); failure != nil {
			return t.finalFailure(ctx, failure)
		}
		server, failure := t.nextServer(ctx)
		if failure != nil {
			return t.finalFailure(ctx, failure)
		}
		if failure := t.deadlineFailure(); failure != nil {
			return t.finalFailure(ctx, failure)
		}
		admitted, failure := t.checkQuarantine(ctx, server)
		if failure != nil {
			return t.finalFailure(ctx, failure)
		}
		if !admitted {
			continue
		}
		if !t.admitByServer(ctx, server) || t.isLeaving(server) {
			t.refundAdmission()
			t.endTrial(server, false)
			continue
		}
		if !t.beginSend(ctx, server) {
			t.refundAdmission()
			t.endTrial(server, false)
			continue
		}
		if failure := t.sendFailure(); failure != nil {
			t.sendAdmission.End(brittle.Unknown, clock.Now())
			t.refundAdmission()
			t.endTrial(server, false)
			return t.finalFailure(ctx, failure)
		}
		answered, failure := t.attempt(ctx, server)
		t.serverLimits.refund = nil
		if answered {
			t.recordDuration()
			return nil
		}
		t.last = failure
		if ctx.Err() != nil || !t.goesOn(ctx, failure) {
			return t.finalFailure(ctx, failure)
		}
		t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{"server": server.ID, "verdict": failure.Verdict}).
			Info("sending request again: " + failure.Detail)
	}
}

// sendFailure returns why a request must not be sent although a server has been chosen, nil if it may.
func (t *transaction) sendFailure() *verdict.Failure {
	if failure := t.leavingFailure(); failure != nil { // waiting for the server's admission may have taken long
		return failure
	}
	if !t.withinBudget() {
		return t.lastFailure("the budget of repeated sends is spent")
	}
	return nil
}

// deadlineFailure refuses a request whose deadline has passed although its context has not ended:
// context timers do not advance while the machine is suspended.
func (t *transaction) deadlineFailure() *verdict.Failure {
	if clock.Exact().Before(t.deadline) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDeadline, "the time was over before the request could be sent")
}

// withinBudget reports whether the next send may be made. Every send after the first is drawn from
// the budget of repeated sends, unless that was done in advance.
func (t *transaction) withinBudget() bool {
	drawn := clock.Since(t.drawnAt) < drawValidity
	t.drawnAt = time.Time{}
	return t.sends == 0 || drawn || t.drawRepeatedSend()
}

// drawValidity is how long after its draw the next send may be made. If draws remained valid while
// requests wait for a model to be loaded, which takes seconds, sends that accrued in two windows
// would be made in one.
const drawValidity = 500 * time.Millisecond

// drawRepeatedSend draws one more send from the budget, and logs the state of the bucket: a
// violation of the bound over all instances can be traced only with the state of each instance.
func (t *transaction) drawRepeatedSend() bool {
	now := clock.Now()
	allowed := t.f.budget.Take(t.service.Name, now)
	t.f.counts.repeatedSend(t.service.Name, allowed)
	s := t.f.budget.State(t.service.Name, now)
	t.f.log.WithFields(logrus.Fields{
		"request": t.request.ID, "service": t.service.Name, "allowed": allowed, "requests": s.Requests, "repeats": s.Repeats,
		"left": s.Level, "instances": s.Instances, "age_ms": s.Age.Milliseconds(),
	}).Info("repeated send drawn from the budget")
	return allowed
}

// mayResend reports whether the request may be sent again after failure.
func (t *transaction) mayResend(failure *verdict.Failure) bool {
	if failure.Verdict == verdict.NotRun {
		return true
	}
	return t.route.MayRepeat() && t.runs < t.route.Attempts
}

// lastFailure returns the failure of the last attempt, extended by the reason why the request is not
// sent again.
func (t *transaction) lastFailure(reason string) *verdict.Failure {
	if t.last == nil {
		return verdict.Refuse(verdict.ReasonBackend, "%s", reason)
	}
	return verdict.New(t.last.Verdict, t.last.Reason, "%s; %s", t.last.Detail, reason).WithRetryAfter(t.f.params.RetryPause)
}

// finalFailure converts the last failure into the one reported to the client.
func (t *transaction) finalFailure(ctx context.Context, failure *verdict.Failure) *verdict.Failure {
	f := *failure
	if t.mayHaveRun && f.Verdict == verdict.NotRun {
		f.Verdict = verdict.MayHaveRun
	}
	switch {
	case endedByLeaving(ctx) && !t.out.started:
		f.Reason, f.RetryAfter = verdict.ReasonDraining, drainRetryAfter
	case errors.Is(ctx.Err(), context.Canceled) && !endedByLeaving(ctx):
		f.Reason = verdict.ReasonCancelled
	case t.out.started:
		f.Reason = verdict.ReasonBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason = verdict.ReasonDeadline
	}
	if f.Verdict == verdict.NotRun && f.Reason == verdict.ReasonDeadline && f.RetryAfter == 0 {
		f.RetryAfter = t.returnAfterDeadline()
	}
	return &f
}

// attempt sends the request to a server and relays the answer. answered states that the client has
// its answer.
func (t *transaction) attempt(ctx context.Context, server serving.Server) (answered bool, failure *verdict.Failure) {
	t.server, t.serverVersion, t.serverBorn = server.ID, server.Version, server.Born
	t.firstEventAt, t.begunRecorded, t.versionPinned = time.Time{}, false, false
	now := clock.Now()
	t.sentAt = now
	requestCtx := ctx
	defer func() { t.endTrial(server, failure != nil && failure.Verdict == verdict.MayHaveRun) }()
	defer func() { t.recordOutcome(requestCtx, server, failure) }()
	balancerDone := t.f.balancer.Start(server.ID, server.FailureDomain)
	placerDone := func(bool) {}
	if t.request.Unit.Model != "" {
		placerDone = t.f.placer.RegisterRun(Run{Engine: server.ID, Unit: t.request.Unit, Deferrable: deferrable(t.route), SoleReplica: t.soleReplica, Room: t.room})
	}
	outcome := balance.Neutral
	defer func() {
		placerDone(outcome == balance.Succeeded)
		balancerDone(outcome, clock.Now())
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := serving.Attempt{
		Request: t.request, Server: server, Engine: t.service.Engine != nil, Remaining: t.deadline.Sub(now), Urgency: t.urgency(), ResumeAfter: t.out.order.lastID,
		KeysRequired: t.config.KeysRequired(), Workspace: t.workspaceName(), Repeated: slices.Contains(t.sentTo, server.ID),
	}
	t.sentTo = append(t.sentTo, server.ID)
	t.beginOnlyRun(&a)
	resp, err := t.f.sender.Send(ctx, a)
	defer func() { t.endSend(server, resp, failure) }()
	if resp != nil {
		t.via, t.endsWithConnection = resp.Via, resp.EndsWithConnection
	}
	if err != nil {
		return false, t.handleSendFailure(ctx, server, err, now, &outcome)
	}
	defer resp.Body.Close()
	if resp.NotExecuted || t.notContinued(resp) {
		outcome = rejectionOutcome(resp)
		return false, t.handleNotExecuted(server, resp, &outcome)
	}
	t.sendAdmission.Accepted()
	t.sends++
	t.runs++
	t.mayHaveRun = true
	t.beginSpeedSample(server, now)
	failure = t.relay(ctx, resp)
	outcome = t.answerOutcome(ctx, resp, failure)
	if failure != nil {
		t.excluded[server.ID] = true
	}
	return failure == nil, failure
}

// rejectionOutcome returns the outcome for the balancer if the server rejected the request without
// running it. A server that sets a Retry-After is not counted as failing: it receives nothing until
// then, and afterwards its previous share again.
func rejectionOutcome(resp *serving.Response) balance.Outcome {
	if resp.HasRetryAfter {
		return balance.Neutral
	}
	return balance.Failed
}

// handleNotExecuted handles an answer that states that the server has not run the request.
func (t *transaction) handleNotExecuted(server serving.Server, resp *serving.Response, outcome *balance.Outcome) *verdict.Failure {
	t.sends++
	t.excluded[server.ID] = true
	// Misdirected means that an engine lacks the unit, or that another process than the announced
	// plain server listens at its address. The second case has to count as a failure: otherwise the
	// record of a server that is gone is preferred to its successor for as long as it stays in the
	// directory.
	if resp.Misdirected && t.request.Unit.Model != "" {
		*outcome = balance.Neutral
		t.missing = server.ID
		t.f.dir.ReportMissingUnit(server.ID, t.request.Unit, clock.Now())
	}
	t.recordIfFull(server, resp, outcome)
	return verdict.Refuse(verdict.ReasonBackend, "server %s has not run it: status %d", server.ID, resp.Status)
}

// answerOutcome returns the outcome of an answer for the balancer.
func (t *transaction) answerOutcome(ctx context.Context, resp *serving.Response, failure *verdict.Failure) balance.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && failure != nil, resp.HasRetryAfter:
		return balance.Neutral
	case failure != nil || resp.Status >= http.StatusInternalServerError:
		return balance.Failed
	default:
		return balance.Succeeded
	}
}

// pauseFor pauses for d. It fails if the request ends first or the instance shuts down.
func (t *transaction) pauseFor(ctx context.Context, d time.Duration) *verdict.Failure {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-t.f.draining:
		return t.f.drainingFailure()
	case <-ctx.Done():
	}
	return verdict.Refuse(verdict.ReasonDeadline, "the time was over after %s of waiting", clock.Since(t.request.Arrived).Round(time.Millisecond))
}
