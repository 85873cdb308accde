package daemon

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/command/dispatch"
	"github.com/martenport/martenport/command/runonce"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/verdict"
)

// Limits of request fields, not configurable. frameOverhead is added to the maximum
// prompt size for the other fields of a message.
const (
	maxNameBytes  = 256
	maxPriority   = 9
	frameOverhead = 4096
)

// defaultTokens is the maximum number of tokens of a request that does not set one.
const defaultTokens = 256

// job is one validated request.
type job struct {
	id, model, caller string
	// rawKey is the key as sent by the caller; the request can be cancelled by it.
	rawKey string
	// runKey is the name of the key in the run registry, and fingerprint the hash of
	// the request's content. Both are set only for requests that must run at most once.
	runKey, fingerprint string
	deadline            time.Duration
	modelLimit          int
}

// generateJob validates an inference request and returns its job. It sets
// req.MaxTokens to defaultTokens if it is 0. The error is a *verdict.Failure.
func (c *Core) generateJob(req *martenportv1.GenerateRequest) (job, error) {
	s := c.settings
	if err := checkNames(req.Model, req.Adapter, req.Key, req.Session, req.Caller); err != nil {
		return job{}, err
	}
	switch {
	case req.Model == "":
		return job{}, verdict.Refuse(verdict.ReasonInvalid, "model is missing")
	case len(req.Prompt) > s.MaxPromptBytes:
		return job{}, verdict.Refuse(verdict.ReasonInvalid, "prompt has %d bytes, more than %d", len(req.Prompt), s.MaxPromptBytes)
	case req.MaxTokens < 0 || int(req.MaxTokens) > s.MaxTokens:
		return job{}, verdict.Refuse(verdict.ReasonInvalid, "max_tokens %d is not from 0 to %d", req.MaxTokens, s.MaxTokens)
	case req.Priority < 0 || req.Priority > maxPriority:
		return job{}, verdict.Refuse(verdict.ReasonInvalid, "priority %d is not from 0 to %d", req.Priority, maxPriority)
	}
	model, found := c.tables.Config.Index().Models[req.Model]
	if !found {
		return job{}, verdict.Refuse(verdict.ReasonUnknownModel, "model %q is not declared", req.Model)
	}
	deadline, err := c.deadline(req.TimeoutMs, model.Deadline)
	if err != nil {
		return job{}, err
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultTokens
	}
	j := job{id: uuid.NewString(), model: req.Model, caller: req.Caller, rawKey: req.Key, deadline: deadline, modelLimit: model.QueueLimit}
	if !req.Idempotent {
		j.requireAtMostOnce(req.Model, req.Adapter, strconv.Itoa(int(req.MaxTokens)), req.Prompt)
	}
	return j, nil
}

// callJob validates a call to a plain service and returns its job. The error is a
// *verdict.Failure.
func (c *Core) callJob(req *martenportv1.CallRequest) (job, error) {
	if err := checkNames(req.Service, req.Method, req.Key, req.Caller); err != nil {
		return job{}, err
	}
	if len(req.Body) > c.settings.MaxPromptBytes {
		return job{}, verdict.Refuse(verdict.ReasonInvalid, "body has %d bytes, more than %d", len(req.Body), c.settings.MaxPromptBytes)
	}
	service, method, err := dispatch.FindMethod(c.tables.Config.Index(), req.Service, req.Method)
	if err != nil {
		return job{}, err
	}
	deadline, err := c.deadline(req.TimeoutMs, service.Deadline)
	if err != nil {
		return job{}, err
	}
	j := job{id: uuid.NewString(), model: req.Service, caller: req.Caller, rawKey: req.Key, deadline: deadline}
	if !method.Idempotent {
		j.requireAtMostOnce(req.Service, req.Method, string(req.Body))
	}
	return j, nil
}

// requireAtMostOnce makes the job run at most once for its key, if it has one. A
// repeat must have the same content; the parts of content are joined with NUL bytes,
// so only the last part may contain arbitrary bytes.
func (j *job) requireAtMostOnce(content ...string) {
	if j.rawKey == "" {
		return
	}
	j.runKey = runonce.Key(j.caller, j.rawKey)
	j.fingerprint = runonce.Fingerprint([]byte(strings.Join(content, "\x00")))
}

// checkNames refuses names, keys and sessions longer than maxNameBytes.
func checkNames(names ...string) error {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return verdict.Refuse(verdict.ReasonInvalid, "a name, key or session has %d bytes, more than %d", len(n), maxNameBytes)
		}
	}
	return nil
}

// deadline returns the time limit of a request: timeoutMS, or the declared one if
// timeoutMS is 0.
func (c *Core) deadline(timeoutMS int64, declared time.Duration) (time.Duration, error) {
	if timeoutMS < 0 || timeoutMS > c.settings.MaxTimeout.Milliseconds() {
		return 0, verdict.Refuse(verdict.ReasonInvalid, "timeout_ms %d is not from 0 to %d", timeoutMS, c.settings.MaxTimeout.Milliseconds())
	}
	if timeoutMS == 0 {
		return declared, nil
	}
	return time.Duration(timeoutMS) * time.Millisecond, nil
}

func dispatchRequest(id string, req *martenportv1.GenerateRequest) dispatch.Request {
	return dispatch.Request{
		ID: id, Model: req.Model, Adapter: req.Adapter, Prompt: req.Prompt,
		MaxTokens: int(req.MaxTokens), Priority: int(req.Priority), Session: req.Session, Idempotent: req.Idempotent,
		Caller: req.Caller,
	}
}

// refuse counts and records a request that was refused as invalid before admission,
// and returns err.
func (c *Core) refuse(model string, err error) error {
	c.gate.Reject()
	c.events.Record(event.Event{Kind: event.KindRefuse, Model: truncateName(model), Detail: err.Error()})
	return err
}

// truncateName limits a name that has not been validated to maxNameBytes.
func truncateName(name string) string {
	return name[:min(len(name), maxNameBytes)]
}

// run admits a job, calls work, at most once for the job's key, and records the
// outcome. The error is a *verdict.Failure.
func (c *Core) run(ctx context.Context, j job, work func(context.Context) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, j.deadline)
	defer cancel()
	start := time.Now()
	ticket, err := c.gate.Admit(j.model, j.caller, j.modelLimit)
	if err != nil {
		c.recordEnd(j, start, err)
		return nil, err
	}
	ctx, ended := c.running.add(ctx, j.id, j.caller, j.rawKey)
	defer ended()
	c.events.Record(event.Event{Kind: event.KindAccept, Request: j.id, Model: j.model})
	answer, err := c.runOnce(ctx, j, work)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		f := verdict.FromError(err)
		err = verdict.New(f.Verdict, verdict.ReasonCancelled, "the caller cancelled or left: %s", f.Detail)
	}
	ticket.Done(err)
	c.recordEnd(j, start, err)
	return answer, err
}

// runOnce calls work. If the job has a key, work is called at most once for it, and
// repeats return the answer of the first run.
func (c *Core) runOnce(ctx context.Context, j job, work func(context.Context) ([]byte, error)) ([]byte, error) {
	if j.runKey == "" {
		return work(ctx)
	}
	run, answer, err := c.runs.Begin(ctx, j.runKey, j.fingerprint)
	if run == nil {
		return answer, err
	}
	answer, err = work(ctx)
	run.Finish(ctx, answer, err)
	return answer, err
}

// recordEnd records the event and the duration of a finished request.
func (c *Core) recordEnd(j job, start time.Time, err error) {
	e := event.Event{Kind: event.KindAnswer, Request: j.id, Model: j.model}
	if err != nil {
		f := verdict.FromError(err)
		e.Kind, e.Detail = event.KindFail, f.Error()
		if f.Verdict == verdict.NotRun {
			e.Kind = event.KindRefuse
		}
		if f.Reason == verdict.ReasonCancelled {
			e.Kind = event.KindCancel
		}
	}
	c.events.Record(e)
	c.metrics.requestSeconds.UpdateDuration(start)
}
