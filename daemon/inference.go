package daemon

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"connectrpc.com/grpchealth"
	"google.golang.org/protobuf/proto"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/dispatch"
	"github.com/martenport/martenport/verdict"
	"github.com/martenport/martenport/verdict/rpcerror"
)

// compressMinBytes is the minimum size of a compressed message. It excludes messages
// with a single token, for which compression does not pay.
const compressMinBytes = 4096

// callerHandler returns the handler of the callers' API and of health checks.
func (c *Core) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(martenportv1connect.NewInferenceServiceHandler(inference{c},
		connect.WithReadMaxBytes(c.settings.MaxPromptBytes+frameOverhead),
		connect.WithCompressMinBytes(compressMinBytes)))
	mux.Handle(grpchealth.NewHandler(c.health))
	return mux
}

// inference implements the callers' API.
type inference struct{ c *Core }

// Generate implements martenportv1connect.InferenceServiceHandler.
func (i inference) Generate(ctx context.Context, msg *connect.Request[martenportv1.GenerateRequest]) (*connect.Response[martenportv1.GenerateResponse], error) {
	answer, err := i.c.Generate(ctx, msg.Msg)
	if err != nil {
		return nil, rpcerror.New(err)
	}
	return connect.NewResponse(answer), nil
}

// Generate runs one request and returns its answer. The error is a
// *verdict.Failure.
func (c *Core) Generate(ctx context.Context, req *martenportv1.GenerateRequest) (*martenportv1.GenerateResponse, error) {
	j, err := c.generateJob(req)
	if err != nil {
		return nil, c.refuse(req.Model, err)
	}
	var out *martenportv1.GenerateResponse
	answer, err := c.run(ctx, j, func(ctx context.Context) ([]byte, error) {
		sink := &bufferSink{}
		result, err := c.dispatcher.Generate(ctx, dispatchRequest(j.id, req), sink)
		if err != nil {
			return nil, err
		}
		out = &martenportv1.GenerateResponse{
			RequestId: j.id, Text: sink.text.String(), Tokens: int32(result.Tokens), Engine: result.Engine, Cold: result.Cold,
		}
		if j.runKey == "" {
			return nil, nil // without a key, the answer cannot be requested again
		}
		return proto.Marshal(out)
	})
	if err != nil {
		return nil, err
	}
	if out != nil {
		return out, nil
	}
	out = &martenportv1.GenerateResponse{}
	if err := proto.Unmarshal(answer, out); err != nil {
		return nil, verdict.New(verdict.Ran, verdict.ReasonBroken, "held answer: %v", err)
	}
	return out, nil
}

// GenerateStream implements martenportv1connect.InferenceServiceHandler. A
// repeated key is answered with the complete text in one message.
func (i inference) GenerateStream(ctx context.Context, msg *connect.Request[martenportv1.GenerateRequest], stream *connect.ServerStream[martenportv1.GenerateStreamResponse]) error {
	req := msg.Msg
	j, err := i.c.generateJob(req)
	if err != nil {
		return rpcerror.New(i.c.refuse(req.Model, err))
	}
	sink := &streamSink{id: j.id, stream: stream, keepText: j.runKey != ""}
	answer, err := i.c.run(ctx, j, func(ctx context.Context) ([]byte, error) {
		if _, err := i.c.dispatcher.Generate(ctx, dispatchRequest(j.id, req), sink); err != nil {
			return nil, err
		}
		return []byte(sink.text.String()), nil
	})
	if err != nil {
		return rpcerror.New(err)
	}
	return sink.finish(string(answer))
}

// Call implements martenportv1connect.InferenceServiceHandler.
func (i inference) Call(ctx context.Context, msg *connect.Request[martenportv1.CallRequest]) (*connect.Response[martenportv1.CallResponse], error) {
	req := msg.Msg
	j, err := i.c.callJob(req)
	if err != nil {
		return nil, rpcerror.New(i.c.refuse(req.Service, err))
	}
	body, err := i.c.run(ctx, j, func(ctx context.Context) ([]byte, error) {
		return i.c.caller.Call(ctx, dispatch.ServiceRequest{ID: j.id, Service: req.Service, Method: req.Method, Body: req.Body})
	})
	if err != nil {
		return nil, rpcerror.New(err)
	}
	return connect.NewResponse(&martenportv1.CallResponse{RequestId: j.id, Body: body}), nil
}

// Cancel implements martenportv1connect.InferenceServiceHandler.
func (i inference) Cancel(_ context.Context, msg *connect.Request[martenportv1.CancelRequest]) (*connect.Response[martenportv1.CancelResponse], error) {
	found := i.c.running.cancelRequest(msg.Msg.RequestId, msg.Msg.Caller, msg.Msg.Key)
	return connect.NewResponse(&martenportv1.CancelResponse{Found: found}), nil
}

// bufferSink is a sink that buffers the complete answer.
type bufferSink struct{ text strings.Builder }

// Token implements dispatch.Sink.
func (c *bufferSink) Token(t backend.Token) error {
	c.text.WriteString(t.Text)
	return nil
}

// Restart implements dispatch.Sink.
func (c *bufferSink) Restart() bool {
	c.text.Reset()
	return true
}

// streamSink is a sink that sends each token to the caller immediately. It blocks on
// a slow caller, so that the memory used for buffered tokens is bounded.
type streamSink struct {
	id     string
	stream *connect.ServerStream[martenportv1.GenerateStreamResponse]
	next   int64
	// keepText is set if the complete text is needed to answer repeats of the key.
	keepText bool
	text     strings.Builder
}

// Token implements dispatch.Sink.
func (s *streamSink) Token(t backend.Token) error {
	err := s.stream.Send(&martenportv1.GenerateStreamResponse{RequestId: s.id, Sequence: s.next, Text: t.Text})
	s.next++
	if s.keepText {
		s.text.WriteString(t.Text)
	}
	return err
}

// Restart implements dispatch.Sink. Tokens that have been sent cannot be discarded.
func (s *streamSink) Restart() bool { return s.next == 0 }

// finish sends the end message. If no token was sent, as for a repeated key, it sends
// the complete answer first.
func (s *streamSink) finish(answer string) error {
	if s.next == 0 && answer != "" {
		if err := s.Token(backend.Token{Text: answer}); err != nil {
			return err
		}
	}
	return s.stream.Send(&martenportv1.GenerateStreamResponse{RequestId: s.id, Sequence: s.next, End: true})
}
