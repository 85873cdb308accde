package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/httphead"
	"github.com/martenport/martenport/internal/tcpdial"
	"github.com/martenport/martenport/verdict"
)

// Paths of the HTTP interface of engines and plain services.
const (
	PathFence    = "/v1/fence"
	PathLoad     = "/v1/load"
	PathUnload   = "/v1/unload"
	PathRole     = "/v1/role"
	PathReport   = "/v1/report"
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
	PathCall     = "/v1/call"
)

// Refusal is the body of a response with status 4xx or 5xx.
type Refusal struct {
	Error string `json:"error"`
	// NotRun is set if the backend server asserts that the request did not run.
	NotRun       bool  `json:"not_run"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// maxHeadBytes bounds the head of a response, with the informational ones before it.
const maxHeadBytes = 16 << 10

// Size limits of response bodies: reports and acknowledgements of orders, answers of
// plain services, and refusals.
const (
	maxReportBytes  = 4 << 20
	maxCallBytes    = 8 << 20
	maxRefusalBytes = 64 << 10
)

// HTTP implements Engine and Service for the backend server at one base URL.
type HTTP struct {
	base       string
	client     *http.Client
	credential string
}

// NewHTTP returns a client of the backend server at the base URL, which sends requests
// like the given one. credential, if not empty, is sent as a bearer token with each POST
// request.
func NewHTTP(base string, client *http.Client, credential string) *HTTP {
	checked := *client
	if checked.Transport == nil {
		checked.Transport = http.DefaultTransport
	}
	checked.Transport = httphead.Transport{Base: checked.Transport}
	return &HTTP{base: base, client: &checked, credential: credential}
}

// An unreachable backend server must be detected quickly: a request sent on a
// connection whose peer no longer responds fails with verdict MayHaveRun, one for
// which no connection could be established with NotRun. dialTimeout limits the
// establishment of a connection. An open connection is closed when data or a
// keep-alive probe stays unacknowledged for ackTimeout, which is several round trips.
const (
	dialTimeout = time.Second
	ackTimeout  = 4 * time.Second
)

// NewTransport returns a connection pool to be shared by the clients of all backend
// servers.
func NewTransport() *http.Transport {
	dial := tcpdial.Params{Connect: dialTimeout, UnackedTimeout: ackTimeout}
	return &http.Transport{
		DialContext: httphead.ScanConns(tcpdial.CheckEnds(dial.Dial)), MaxIdleConnsPerHost: 64, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

type fenceRequest struct {
	Epoch uint64 `json:"epoch"`
}

// Fence implements Engine.
func (h *HTTP) Fence(ctx context.Context, epoch uint64) (Report, error) {
	var report Report
	err := h.order(ctx, PathFence, fenceRequest{Epoch: epoch}, &report)
	return report, err
}

// Load implements Engine.
func (h *HTTP) Load(ctx context.Context, o Order) (Ack, error) {
	var ack Ack
	err := h.order(ctx, PathLoad, o, &ack)
	return ack, err
}

// Unload implements Engine.
func (h *HTTP) Unload(ctx context.Context, o Order) (Ack, error) {
	var ack Ack
	err := h.order(ctx, PathUnload, o, &ack)
	return ack, err
}

// SetRole implements Engine.
func (h *HTTP) SetRole(ctx context.Context, o Order) (Ack, error) {
	var ack Ack
	err := h.order(ctx, PathRole, o, &ack)
	return ack, err
}

// Report implements Engine.
func (h *HTTP) Report(ctx context.Context, after uint64) (Report, error) {
	target := h.base + PathReport + "?after=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "backend: report")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Report{}, ErrUnknown
	}
	defer drainAndClose(resp.Body)
	var report Report
	if resp.StatusCode != http.StatusOK {
		return report, ErrRefused
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report)
	return report, errors.Wrap(err, "backend: report")
}

// order sends an order and decodes the response into out. The error wraps
// ErrStaleEpoch, ErrRefused or ErrUnknown.
func (h *HTTP) order(ctx context.Context, path string, body, out any) error {
	resp, connected, err := h.postTraced(ctx, path, body)
	if err != nil && !connected {
		return errors.Wrapf(ErrRefused, "no connection: %v", err)
	}
	if err != nil {
		return ErrUnknown
	}
	defer drainAndClose(resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrStaleEpoch
	case resp.StatusCode < http.StatusInternalServerError:
		return errors.Wrap(ErrRefused, readRefusal(resp.Body).Error)
	default:
		return ErrUnknown
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(out); err != nil {
		return ErrUnknown
	}
	return nil
}

// postTraced is like post and also reports whether a connection was obtained.
// Without one, no byte of the request was sent.
func (h *HTTP) postTraced(ctx context.Context, path string, body any) (*http.Response, bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := h.post(httptrace.WithClientTrace(ctx, trace), path, body)
	return resp, connected.Load(), err
}

// post sends a POST request. The transport never retries it, since it has no
// idempotency header and its body cannot be rewound.
func (h *HTTP) post(ctx context.Context, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "backend: encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "backend: request")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if h.credential != "" {
		req.Header.Set("Authorization", "Bearer "+h.credential)
	}
	return h.client.Do(req)
}

// readRefusal reads the body of a response with status 4xx or 5xx.
func readRefusal(body io.Reader) Refusal {
	var r Refusal
	if err := json.NewDecoder(io.LimitReader(body, maxRefusalBytes)).Decode(&r); err != nil {
		return Refusal{Error: "unreadable refusal"}
	}
	return r
}

// drainAndClose reads what is left of a body, up to maxRefusalBytes, so that the
// connection can be reused, and closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRefusalBytes)
	_ = body.Close()
}

// requestFailure converts an error response to a Failure. Its verdict is NotRun only
// if the backend server asserts it.
func requestFailure(resp *http.Response) *verdict.Failure {
	r := readRefusal(resp.Body)
	v := verdict.MayHaveRun
	if r.NotRun {
		v = verdict.NotRun
	}
	f := verdict.New(v, verdict.ReasonBackend, "backend server: status %d: %s", resp.StatusCode, r.Error)
	return f.WithRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
}
