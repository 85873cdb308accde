package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/grpchealth"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/dispatch"
	"github.com/martenport/martenport/command/runonce"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/verdict"
)

// The limits of request fields that are not settings.
const (
	maxNameBytes  = 256
	maxPriority   = 9
	frameOverhead = 4096
)

// defaultTokens is taken where a request does not say how many tokens it wants.
const defaultTokens = 256

// callerHandler serves callers.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(d.settings.MaxPromptBytes + frameOverhead)
	mux.Handle(martenportv1connect.NewInferenceServiceHandler(inference{d}, limit))
	mux.Handle(grpchealth.NewHandler(d.health))
	return mux
}

// inference implements the callers' interface.
type inference struct{ d *Daemon }

// job is one accepted request on its way.
type job struct {
	id, model, caller string
	key, content      string // for requests that run at most once
	deadline          time.Duration
	modelLimit        int
}

// Generate implements martenportv1connect.InferenceServiceHandler.
func (i inference) Generate(ctx context.Context, msg *connect.Request[martenportv1.GenerateRequest]) (*connect.Response[martenportv1.GenerateResponse], error) {
	req := msg.Msg
	j, err := i.generateJob(req)
	if err != nil {
		return nil, i.refuse(req.Model, req.Caller, err)
	}
	answer, err := i.run(ctx, j, func(ctx context.Context) ([]byte, error) {
		sink := &collector{}
		result, err := i.d.dispatcher.Generate(ctx, dispatchRequest(j.id, req), sink)
		if err != nil {
			return nil, err
		}
		return proto.Marshal(&martenportv1.GenerateResponse{
			RequestId: j.id, Text: sink.text.String(), Tokens: int32(result.Tokens), Engine: result.Engine, Cold: result.Cold,
		})
	})
	if err != nil {
		return nil, connectError(err)
	}
	out := &martenportv1.GenerateResponse{}
	if err := proto.Unmarshal(answer, out); err != nil {
		return nil, connectError(verdict.New(verdict.Ran, verdict.ReasonBroken, "held answer: %v", err))
	}
	return connect.NewResponse(out), nil
}

// GenerateStream implements martenportv1connect.InferenceServiceHandler. A
// repeated key is answered by the whole text in one message.
func (i inference) GenerateStream(ctx context.Context, msg *connect.Request[martenportv1.GenerateRequest], stream *connect.ServerStream[martenportv1.GenerateStreamResponse]) error {
	req := msg.Msg
	j, err := i.generateJob(req)
	if err != nil {
		return i.refuse(req.Model, req.Caller, err)
	}
	sink := &sender{id: j.id, stream: stream}
	answer, err := i.run(ctx, j, func(ctx context.Context) ([]byte, error) {
		if _, err := i.d.dispatcher.Generate(ctx, dispatchRequest(j.id, req), sink); err != nil {
			return nil, err
		}
		return []byte(sink.text.String()), nil
	})
	if err != nil {
		return connectError(err)
	}
	return sink.finish(string(answer))
}

// Call implements martenportv1connect.InferenceServiceHandler.
func (i inference) Call(ctx context.Context, msg *connect.Request[martenportv1.CallRequest]) (*connect.Response[martenportv1.CallResponse], error) {
	req := msg.Msg
	j, err := i.callJob(req)
	if err != nil {
		return nil, i.refuse(req.Service, req.Caller, err)
	}
	body, err := i.run(ctx, j, func(ctx context.Context) ([]byte, error) {
		return i.d.caller.Call(ctx, dispatch.ServiceRequest{ID: j.id, Service: req.Service, Method: req.Method, Body: req.Body})
	})
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&martenportv1.CallResponse{RequestId: j.id, Body: body}), nil
}

// Cancel implements martenportv1connect.InferenceServiceHandler.
func (i inference) Cancel(_ context.Context, msg *connect.Request[martenportv1.CancelRequest]) (*connect.Response[martenportv1.CancelResponse], error) {
	found := i.d.running.stop(msg.Msg.RequestId, msg.Msg.Key)
	return connect.NewResponse(&martenportv1.CancelResponse{Found: found}), nil
}

// generateJob checks a request and works out how it is run.
func (i inference) generateJob(req *martenportv1.GenerateRequest) (job, error) {
	s := i.d.settings
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
	model, found := i.d.tables.Config.Index().Models[req.Model]
	if !found {
		return job{}, verdict.Refuse(verdict.ReasonUnknownModel, "model %q is not declared", req.Model)
	}
	deadline, err := i.deadline(req.TimeoutMs, model.Deadline)
	if err != nil {
		return job{}, err
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultTokens
	}
	j := job{id: uuid.NewString(), model: req.Model, caller: req.Caller, deadline: deadline, modelLimit: model.QueueLimit}
	if !req.Idempotent && req.Key != "" {
		j.key = runonce.Key(req.Caller, req.Key)
		j.content = runonce.Fingerprint([]byte(strings.Join([]string{req.Model, req.Adapter, req.Prompt}, "\x00")))
	}
	return j, nil
}

func (i inference) callJob(req *martenportv1.CallRequest) (job, error) {
	if err := checkNames(req.Service, req.Method, req.Key, req.Caller); err != nil {
		return job{}, err
	}
	if len(req.Body) > i.d.settings.MaxPromptBytes {
		return job{}, verdict.Refuse(verdict.ReasonInvalid, "body has %d bytes, more than %d", len(req.Body), i.d.settings.MaxPromptBytes)
	}
	service, method, err := dispatch.FindMethod(i.d.tables.Config.Index(), req.Service, req.Method)
	if err != nil {
		return job{}, err
	}
	deadline, err := i.deadline(req.TimeoutMs, service.Deadline)
	if err != nil {
		return job{}, err
	}
	j := job{id: uuid.NewString(), model: req.Service, caller: req.Caller, deadline: deadline}
	if !method.Idempotent && req.Key != "" {
		j.key = runonce.Key(req.Caller, req.Key)
		j.content = runonce.Fingerprint([]byte(strings.Join([]string{req.Service, req.Method, string(req.Body)}, "\x00")))
	}
	return j, nil
}

func checkNames(names ...string) error {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return verdict.Refuse(verdict.ReasonInvalid, "a name, key or session has %d bytes, more than %d", len(n), maxNameBytes)
		}
	}
	return nil
}

// deadline returns the time that the request allows, or the declared one.
func (i inference) deadline(timeoutMS int64, declared time.Duration) (time.Duration, error) {
	if timeoutMS < 0 || timeoutMS > i.d.settings.MaxTimeout.Milliseconds() {
		return 0, verdict.Refuse(verdict.ReasonInvalid, "timeout_ms %d is not from 0 to %d", timeoutMS, i.d.settings.MaxTimeout.Milliseconds())
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
	}
}

// refuse counts and records a request that was refused before its way began.
func (i inference) refuse(model, caller string, err error) error {
	i.d.gate.Reject()
	i.d.events.Record(event.Event{Kind: event.KindRefuse, Model: limitName(model), Detail: err.Error()})
	return connectError(err)
}

func limitName(name string) string {
	return name[:min(len(name), maxNameBytes)]
}

// run takes a job through admission, the account of keys, and work, and
// records how it ended.
func (i inference) run(ctx context.Context, j job, work func(context.Context) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, j.deadline)
	defer cancel()
	start := time.Now()
	ticket, err := i.d.gate.Enter(j.model, j.caller, j.modelLimit)
	if err != nil {
		i.end(j, start, err)
		return nil, err
	}
	ctx, ended := i.d.running.start(ctx, j.id, j.key)
	defer ended()
	i.d.events.Record(event.Event{Kind: event.KindAccept, Request: j.id, Model: j.model})
	answer, err := i.once(ctx, j, work)
	ticket.Leave(err)
	i.end(j, start, err)
	return answer, err
}

// once runs work, at most once for the job's key if it has one.
func (i inference) once(ctx context.Context, j job, work func(context.Context) ([]byte, error)) ([]byte, error) {
	if j.key == "" {
		return work(ctx)
	}
	run, answer, err := i.d.runs.Begin(ctx, j.key, j.content)
	if run == nil {
		return answer, err
	}
	answer, err = work(ctx)
	run.Finish(ctx, answer, err)
	return answer, err
}

func (i inference) end(j job, start time.Time, err error) {
	e := event.Event{Kind: event.KindAnswer, Request: j.id, Model: j.model}
	if err != nil {
		f := verdict.Of(err)
		e.Kind, e.Detail = event.KindFail, f.Error()
		if f.Verdict == verdict.NotRun {
			e.Kind = event.KindRefuse
		}
		if f.Reason == verdict.ReasonCancelled {
			e.Kind = event.KindCancel
		}
	}
	i.d.events.Record(e)
	i.d.metrics.requestSeconds.UpdateDuration(start)
}

// collector is a sink that keeps the whole answer.
type collector struct{ text strings.Builder }

// Token implements dispatch.Sink.
func (c *collector) Token(t backend.Token) error {
	c.text.WriteString(t.Text)
	return nil
}

// Restart implements dispatch.Sink.
func (c *collector) Restart() bool {
	c.text.Reset()
	return true
}

// sender is a sink that sends tokens on at once. It waits for a slow caller,
// so that what is kept for it is bounded.
type sender struct {
	id     string
	stream *connect.ServerStream[martenportv1.GenerateStreamResponse]
	next   int64
	text   strings.Builder
}

// Token implements dispatch.Sink.
func (s *sender) Token(t backend.Token) error {
	err := s.stream.Send(&martenportv1.GenerateStreamResponse{RequestId: s.id, Sequence: s.next, Text: t.Text})
	s.next++
	s.text.WriteString(t.Text)
	return err
}

// Restart implements dispatch.Sink: what was sent cannot be taken back.
func (s *sender) Restart() bool { return s.next == 0 }

// finish sends what was not sent yet, which is all of a repeated key's answer,
// and the end.
func (s *sender) finish(answer string) error {
	if s.next == 0 && answer != "" {
		if err := s.Token(backend.Token{Text: answer}); err != nil {
			return err
		}
	}
	return s.stream.Send(&martenportv1.GenerateStreamResponse{RequestId: s.id, Sequence: s.next, End: true})
}
