package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/verdict"
)

// attempt sends the request to the reserved replica once, resumes a broken
// answer stream, and cancels the attempt at the engine if it is abandoned.
func (d *Dispatcher) attempt(ctx context.Context, reserved reservation, req Request, sink Sink, result *Result) (err error) {
	defer d.queue.GrantWaiting()
	defer func() { reserved.release(isServerFault(err)) }()
	view := reserved.engine
	declared, found := d.tables.Config.Index().Engines[view.Engine]
	if !found {
		return verdict.Refuse(verdict.ReasonNoReplica, "engine %s is not declared any more", view.Engine)
	}
	units, err := unitsOf(d.tables.Config.Index(), req)
	if err != nil {
		return err
	}
	engine := d.dial(*declared)
	a := newAttempt(req, units[len(units)-1])
	d.events.Record(event.Event{Kind: event.KindAttempt, Request: req.ID, Model: req.Model, Engine: view.Engine, Detail: "attempt=" + a.ID})
	result.Tokens = 0
	timed := d.newTimedSink(view.Engine, req, sink)
	err = d.run(ctx, engine, a, timed, result)
	if err == nil {
		timed.finish()
		return nil
	}
	d.events.Record(event.Event{Kind: event.KindAttemptFail, Request: req.ID, Model: req.Model, Engine: view.Engine, Detail: err.Error()})
	d.cancelAttempt(ctx, engine, a, err)
	return err
}

func newAttempt(req Request, u backend.Unit) backend.Attempt {
	return backend.Attempt{
		Unit: u, ID: uuid.NewString(), Prompt: req.Prompt, MaxTokens: req.MaxTokens,
		Priority: req.Priority, Session: req.Session,
	}
}

// isServerFault reports whether err counts as a failure of the backend server.
func isServerFault(err error) bool {
	if err == nil {
		return false
	}
	reason := verdict.FromError(err).Reason
	return reason == verdict.ReasonBackend || reason == verdict.ReasonBroken
}

// cancelAttempt asks the engine, in the background, to cancel a failed attempt
// that may still be running.
func (d *Dispatcher) cancelAttempt(ctx context.Context, engine backend.Engine, a backend.Attempt, err error) {
	if verdict.FromError(err).Verdict == verdict.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.params.CancelTimeout)
	go func() {
		defer cancel()
		_ = engine.Cancel(ctx, a.ID)
	}()
}

// run streams the answer of attempt a to sink and resumes it up to MaxResumes
// times when the stream breaks off.
func (d *Dispatcher) run(ctx context.Context, engine backend.Engine, a backend.Attempt, sink Sink, result *Result) error {
	for resume := 0; ; resume++ {
		err := d.stream(ctx, engine, &a, sink, result)
		if err == nil {
			return nil
		}
		f := verdict.FromError(err)
		if a.Resume {
			// NotRun from the engine covers only the resumption, not the original attempt.
			f = f.WithVerdict(max(f.Verdict, verdict.MayHaveRun))
		}
		if ctx.Err() != nil || f.Reason != verdict.ReasonBroken || resume == d.params.MaxResumes {
			return withContextReason(ctx, f)
		}
		a.Resume = true
	}
}

// withContextReason returns f, with the reason replaced by ReasonDeadline or
// ReasonCancelled if ctx has ended.
func withContextReason(ctx context.Context, f *verdict.Failure) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(f.Verdict, verdict.ReasonDeadline, "deadline passed: %s", f.Detail)
	case ctx.Err() != nil:
		return verdict.New(f.Verdict, verdict.ReasonCancelled, "caller cancelled or left: %s", f.Detail)
	}
	return f
}

// stream reads tokens from a.From up to the end token and passes them to sink.
// It advances a.From past each delivered token, so that a can be resumed.
func (d *Dispatcher) stream(ctx context.Context, engine backend.Engine, a *backend.Attempt, sink Sink, result *Result) error {
	s, err := engine.Generate(ctx, *a)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		t, err := s.Next()
		if err != nil {
			return err
		}
		if t.End {
			return nil
		}
		if err := sink.Token(t); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "caller left: %v", err)
		}
		a.From = t.Sequence + 1
		result.Tokens++
	}
}
