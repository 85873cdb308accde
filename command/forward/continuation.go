package forward

import (
	"context"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/continuation"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// onlyRun is the run of a stream that must not be repeated.
type onlyRun struct {
	stream *continuation.Stream
	// engine is the engine that the stream was last sent to, and backup the one that keeps its
	// memory; its ID is empty if there is none.
	engine, backup serving.Server
	// copies are the engines that may hold a backup.
	copies []serving.Server
	// answeredOtherwise is set if the engine answered with something else than a stream of events.
	answeredOtherwise bool
}

// copyIDs returns the IDs of the engines that may hold a backup.
func (r *onlyRun) copyIDs() string {
	ids := make([]string, 0, len(r.copies))
	for _, s := range r.copies {
		ids = append(ids, s.ID)
	}
	return strings.Join(ids, ",")
}

// newOnlyRun returns the run of a stream that neither the client nor the system may repeat, and nil
// for other requests.
func (f *Forwarder) newOnlyRun(t *transaction) *onlyRun {
	engine := t.service.Engine
	if f.backups == nil || engine == nil || !engine.Backups || t.request.Unit.Model == "" || t.route.Kind != serving.Streaming || t.route.Resumable {
		return nil
	}
	return &onlyRun{stream: continuation.New(continuation.DefaultParams())}
}

// nextServer returns the server to send to next: the backup engine for a stream that goes on there.
func (t *transaction) nextServer(ctx context.Context) (serving.Server, *verdict.Failure) {
	if t.onlyRun == nil || t.onlyRun.stream.State() != continuation.Continuing {
		return t.choose(ctx)
	}
	target := t.onlyRun.backup
	if s, known := t.f.dir.Server(target.ID); !known || s.Version != t.onlyRun.engine.Version || t.isLeaving(target) || t.f.guard.Crashed(target) {
		return serving.Server{}, t.refuseContinuation("its backup engine is gone")
	}
	wait := clock.Until(t.notBefore(target))
	if wait > maxTurnWait || wait >= clock.Until(t.nextOutputDeadline()) {
		return serving.Server{}, t.refuseContinuation("its backup engine takes nothing now")
	}
	if failure := t.pauseFor(ctx, wait); failure != nil {
		return serving.Server{}, failure
	}
	return target, nil
}

// refuseContinuation ends a stream that its backup engine does not take.
func (t *transaction) refuseContinuation(reason string) *verdict.Failure {
	t.onlyRun.stream.Refuse()
	t.f.backups.count(continuation.Refused)
	return t.lastFailure(reason)
}

// beginOnlyRun completes an attempt of a stream that must not be repeated: it names the engine that
// keeps the backup, and for a stream that goes on, the backup to go on from.
func (t *transaction) beginOnlyRun(a *serving.Attempt) {
	r := t.onlyRun
	if r == nil {
		return
	}
	a.ContinueFromBackup = r.stream.State() == continuation.Continuing
	if r.backup.ID != "" {
		t.f.backups.release(r.backup.ID)
	}
	r.engine, r.backup, r.answeredOtherwise = a.Server, t.reserveBackup(a.Server), false
	a.Backup = r.backup.Address
	if r.backup.ID != "" {
		r.copies = append(r.copies, r.backup)
	}
	r.stream.Sent(r.engine.ID, r.backup.ID)
}

// notContinued reports whether an engine did not let a stream go on: it answers with another status
// if it has no backup.
func (t *transaction) notContinued(resp *serving.Response) bool {
	if t.onlyRun == nil {
		return false
	}
	t.onlyRun.answeredOtherwise = resp.Status != http.StatusOK || !resp.Events
	return t.onlyRun.answeredOtherwise && t.mayHaveRun
}

// goesOn reports whether the request is sent again after a failure. A stream that must not be
// repeated goes on at its backup engine, once the engine before does not work on it any more.
func (t *transaction) goesOn(ctx context.Context, failure *verdict.Failure) bool {
	r := t.onlyRun
	switch {
	case r == nil:
		return t.mayResend(failure)
	case !t.mayHaveRun:
		r.stream.NotSent()
		r.copies = nil
		return t.mayResend(failure)
	case failure.Verdict == verdict.NotRun:
		r.stream.Refuse()
		t.logContinuation(r.stream.Outcome())
		return false
	case failure.Verdict != verdict.MayHaveRun || failure.Reason != verdict.ReasonBackend || r.answeredOtherwise:
		return false
	}
	now := clock.Now()
	giveUp := t.nextOutputDeadline().Add(-t.f.params.FirstEvent)
	if lapse := now.Add(t.service.Engine.BackupTTL); lapse.Before(giveUp) {
		giveUp = lapse
	}
	r.stream.Broke(now, t.firstEventAt, giveUp)
	goesOn := t.awaitEndOfRun(ctx)
	t.logContinuation(r.stream.Outcome())
	return goesOn
}

// awaitEndOfRun waits until the engine before does not work on the stream any more, and reports
// whether the stream goes on.
func (t *transaction) awaitEndOfRun(ctx context.Context) bool {
	r := t.onlyRun
	for {
		switch r.stream.Next(clock.Now()) {
		case continuation.Continue:
			return true
		case continuation.Check:
			asked := clock.Now()
			r.stream.Checked(t.runState(ctx), asked)
		case continuation.Pause:
			if t.pauseFor(ctx, continuation.DefaultParams().CheckPause) != nil {
				r.stream.GiveUp()
				return false
			}
		default:
			return false
		}
	}
}

// runState returns whether the engine before still works on the stream. An engine that counts as ended is asked as well: it
// may have lost its entry only.
func (t *transaction) runState(ctx context.Context) serving.RunState {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return t.f.backups.memory.RunState(ctx, t.onlyRun.engine, t.request.ID)
}

// logContinuation counts and logs whether a stream that broke off goes on.
func (t *transaction) logContinuation(o continuation.Outcome) {
	t.f.backups.count(o)
	t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{
		"server": t.onlyRun.engine.ID, "backup": t.onlyRun.backup.ID, "event": t.out.order.lastID, "outcome": o,
	}).Info("stream broke off that must not be repeated")
}

// endOnlyRun ends the account of a stream that must not be repeated. Engines drop the backup of a
// complete run by themselves, others are freed.
func (t *transaction) endOnlyRun(ctx context.Context, failure *verdict.Failure) {
	r := t.onlyRun
	if r == nil {
		return
	}
	r.stream.End()
	if r.backup.ID != "" {
		t.f.backups.release(r.backup.ID)
	}
	if failure != nil && t.mayHaveRun && len(r.copies) > 0 {
		go t.freeCopies(context.WithoutCancel(ctx))
	}
}

// freeCopies lets engines drop the backups of a stream. One that cannot be reached drops it once it
// lapses.
func (t *transaction) freeCopies(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	for _, s := range t.onlyRun.copies {
		if err := t.f.backups.memory.FreeBackup(ctx, s, t.request.ID); err != nil {
			t.f.log.WithFields(t.logFields()).WithField("error", err).Info("backup of a stream could not be freed")
		}
	}
}
