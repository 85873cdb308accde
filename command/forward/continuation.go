package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/continuation"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// RunMemory calls engines about the memory of runs.
type RunMemory interface {
	// RunState returns whether an engine still works on the request with the given ID.
	RunState(ctx context.Context, s serving.Server, id string) serving.RunState
	// FreeBackup lets an engine drop the backup of the request with the given ID.
	FreeBackup(ctx context.Context, s serving.Server, id string) error
}

// engineCallTimeout bounds a call to an engine about the memory of a run.
const engineCallTimeout = 300 * time.Millisecond

// backups are the backups that engines keep for streams of this instance.
type backups struct {
	memory RunMemory
	set    *metrics.Set

	mu     sync.Mutex
	ledger *continuation.Ledger // guarded by mu
}

// newBackups returns backups, or nil without a RunMemory.
func newBackups(memory RunMemory, counts *Counts) *backups {
	if memory == nil {
		return nil
	}
	b := &backups{memory: memory, set: counts.set, ledger: continuation.NewLedger(continuation.DefaultLimits())}
	b.set.NewGauge("martenport_stream_backups", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.ledger.InUse())
	})
	return b
}

func (b *backups) reserve(s serving.Server, targets []continuation.Target) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.ledger.Reserve(s.ID, s.FailureDomain, targets)
	found := "kept"
	if id == "" {
		found = "none"
	}
	b.set.GetOrCreateCounter(`martenport_stream_backups_total{backup="` + found + `"}`).Inc()
	return id
}

func (b *backups) release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Release(id)
}

func (b *backups) count(o continuation.Outcome) {
	b.set.GetOrCreateCounter(`martenport_continuations_total{outcome="` + string(o) + `"}`).Inc()
}

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
	if _, known := t.f.dir.Server(target.ID); !known || t.isLeaving(target) || t.f.guard.Crashed(target) {
		return serving.Server{}, t.refuseContinuation("its backup engine is gone")
	}
	wait := clock.Until(t.notBefore(target))
	if wait > maxTurnWait || wait >= clock.Until(t.nextOutputDeadline()) {
		return serving.Server{}, t.refuseContinuation("its backup engine takes nothing now")
	}
	return target, t.pauseFor(ctx, wait)
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

// reserveBackup returns the engine that keeps the backup of a stream on the given engine: one that
// has the unit, since only there the stream can go on. Its ID is empty if there is none.
func (t *transaction) reserveBackup(engine serving.Server) serving.Server {
	var targets []continuation.Target
	for _, r := range t.f.dir.Replicas(t.service.Name, t.request.Unit, clock.Now()) {
		s := r.Server
		if r.Ready.IsZero() && !t.excluded[s.ID] && !t.isLeaving(s) && !t.f.guard.Crashed(s) {
			targets = append(targets, continuation.Target{ID: s.ID, FailureDomain: s.FailureDomain, Running: r.Others, Slots: s.Slots})
		}
	}
	if n := uint64(len(targets)); n > 0 { // instances that know the same begin at different engines
		first := xxhash.Sum64String(t.request.ID) % n
		targets = append(targets[first:], targets[:first]...)
	}
	id := t.f.backups.reserve(engine, targets)
	if id == "" {
		return serving.Server{}
	}
	s, known := t.f.dir.Server(id)
	if !known {
		t.f.backups.release(id)
	}
	return s
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
				return false
			}
		default:
			return false
		}
	}
}

// runState returns whether the engine before still works on the stream.
func (t *transaction) runState(ctx context.Context) serving.RunState {
	if t.f.guard.Crashed(t.onlyRun.engine) {
		return serving.RunGone
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return t.f.backups.memory.RunState(ctx, t.onlyRun.engine, t.request.ID)
}

// logContinuation counts and logs whether a stream that broke off goes on.
func (t *transaction) logContinuation(o continuation.Outcome) {
	t.f.backups.count(o)
	t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{
		"server": t.onlyRun.engine.ID, "backup": t.onlyRun.backup.ID, "event": t.out.lastEventID, "outcome": o,
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
