package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/verdict"
)

// attempt sends the request once, resumes its answer where it breaks off, and
// cancels it at the engine when it is given up.
func (d *Dispatcher) attempt(ctx context.Context, taken room, req Request, sink Sink, result *Result) (err error) {
	defer d.line.Poke()
	defer func() { taken.done(blames(err)) }()
	view := taken.engine
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
	timed := d.timed(view.Engine, req, sink)
	err = d.run(ctx, engine, a, timed, result)
	if err == nil {
		timed.finish()
		return nil
	}
	d.events.Record(event.Event{Kind: event.KindAttemptFail, Request: req.ID, Model: req.Model, Engine: view.Engine, Detail: err.Error()})
	d.giveUp(ctx, engine, a, err)
	return err
}

func newAttempt(req Request, u backend.Unit) backend.Attempt {
	return backend.Attempt{
		Unit: u, ID: uuid.NewString(), Prompt: req.Prompt, MaxTokens: req.MaxTokens,
		Priority: req.Priority, Session: req.Session,
	}
}

// blames reports whether the failure speaks against the backend server.
func blames(err error) bool {
	if err == nil {
		return false
	}
	reason := verdict.Of(err).Reason
	return reason == verdict.ReasonBackend || reason == verdict.ReasonBroken
}

// giveUp cancels an attempt that may still run.
func (d *Dispatcher) giveUp(ctx context.Context, engine backend.Engine, a backend.Attempt, err error) {
	if verdict.Of(err).Verdict == verdict.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.params.CancelTimeout)
	go func() {
		defer cancel()
		_ = engine.Cancel(ctx, a.ID)
	}()
}

func (d *Dispatcher) run(ctx context.Context, engine backend.Engine, a backend.Attempt, sink Sink, result *Result) error {
	for resume := 0; ; resume++ {
		err := d.stream(ctx, engine, &a, sink, result)
		if err == nil {
			return nil
		}
		f := verdict.Of(err)
		if a.Resume {
			// The engine's NotRun is about the resumption only.
			f = f.WithVerdict(max(f.Verdict, verdict.MayHaveRun))
		}
		if ctx.Err() != nil || f.Reason != verdict.ReasonBroken || resume == d.params.MaxResumes {
			return timedOut(ctx, f)
		}
		a.Resume = true
	}
}

// timedOut names the deadline or the caller as the reason where that is so.
func timedOut(ctx context.Context, f *verdict.Failure) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(f.Verdict, verdict.ReasonDeadline, "deadline passed: %s", f.Detail)
	case ctx.Err() != nil:
		return verdict.New(f.Verdict, verdict.ReasonCancelled, "caller cancelled or left: %s", f.Detail)
	}
	return f
}

// stream takes tokens from a.From on until the end.
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
