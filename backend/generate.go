package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/verdict"
)

// Generate implements Engine.
func (h *HTTP) Generate(ctx context.Context, a Attempt) (Stream, error) {
	resp, err := h.request(ctx, PathGenerate, a)
	if err != nil {
		return nil, err
	}
	body := &tokenReader{ReadCloser: resp.Body}
	return &stream{attempt: a.ID, next: a.From, body: body, decoder: json.NewDecoder(body)}, nil
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, attempt string) error {
	resp, err := h.post(ctx, PathCancel, Attempt{ID: attempt})
	if err != nil {
		return ErrUnknown
	}
	drainAndClose(resp.Body)
	return nil
}

// Call implements Service.
func (h *HTTP) Call(ctx context.Context, c Call) ([]byte, error) {
	resp, err := h.request(ctx, PathCall, c)
	if err != nil {
		return nil, err
	}
	defer drainAndClose(resp.Body)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBytes+1))
	if err != nil {
		return nil, verdict.New(verdict.Ran, verdict.ReasonBroken, "answer broke off: %v", err)
	}
	if len(body) > maxCallBytes {
		return nil, verdict.New(verdict.Ran, verdict.ReasonBroken, "answer is larger than %d bytes", maxCallBytes)
	}
	return body, nil
}

// request sends a request once and returns the response, whose body the caller must
// close, or a *verdict.Failure. After a send error its verdict is NotRun only if no
// connection was obtained, so that no byte was sent.
func (h *HTTP) request(ctx context.Context, path string, body any) (*http.Response, error) {
	resp, connected, err := h.postTraced(ctx, path, body)
	if err != nil {
		v := verdict.NotRun
		if connected {
			v = verdict.MayHaveRun
		}
		return nil, verdict.New(v, reasonOf(ctx), "send to backend server: %v", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer drainAndClose(resp.Body)
		return nil, requestFailure(resp)
	}
	return resp, nil
}

// reasonOf returns the reason of a failed send: the end of ctx, else the backend
// server.
func reasonOf(ctx context.Context) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCancelled
	default:
		return verdict.ReasonBackend
	}
}

// stream implements Stream. It checks that all tokens belong to the attempt and that
// none is missing.
type stream struct {
	attempt string
	next    int64
	body    *tokenReader
	decoder *json.Decoder
}

// maxTokenBytes bounds what is read for one token, which the decoder keeps in memory until the token is complete.
const maxTokenBytes = 64 << 10

var errTokenTooLarge = errors.Newf("a token is larger than %d bytes, or none comes", maxTokenBytes)

// tokenReader fails once more than maxTokenBytes have been read since the last token.
type tokenReader struct {
	io.ReadCloser
	read int
}

// Read implements io.Reader.
func (r *tokenReader) Read(p []byte) (int, error) {
	if r.read > maxTokenBytes {
		return 0, errTokenTooLarge
	}
	n, err := r.ReadCloser.Read(p)
	r.read += n
	return n, err
}

// Next implements Stream.
func (s *stream) Next() (Token, error) {
	var t Token
	if err := s.decoder.Decode(&t); err != nil {
		return Token{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "answer broke off at %d: %v", s.next, err)
	}
	s.body.read = 0
	if t.Attempt != s.attempt {
		return Token{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "answer of attempt %q in the place of %q", t.Attempt, s.attempt)
	}
	if t.Sequence != s.next {
		return Token{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "answer jumps from %d to %d", s.next, t.Sequence)
	}
	s.next++
	return t, nil
}

// Close implements Stream.
func (s *stream) Close() error { return s.body.Close() }
