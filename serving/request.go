package serving

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/martenport/martenport/verdict"
)

// Request is a request of a client, with its complete body.
type Request struct {
	// ID is set by the client and unique to this attempt.
	ID string
	// Method, Host and Target (path and query) are forwarded unchanged.
	Method, Host, Target string
	// Header holds the headers that are forwarded: neither connection headers nor headers that the system sets.
	Header http.Header
	Body   []byte
	// LastEventID is the last event that the client has of a stream that it resumes, "" if it resumes none. Resumes is
	// the ID of the attempt that brought the stream's first event, "" if the client does not name it.
	LastEventID, Resumes string
	// Fingerprint identifies the content of the request over all attempts.
	Fingerprint Fingerprint
	// ClientAddress is the IP address that the request came from. A client may have several, and clients may share one.
	ClientAddress string
	// Unit is the unit that the request needs on its engine; empty if it needs none.
	Unit Unit
	// PromptParts identify the parts of the prompt, shared parts first.
	PromptParts []string
	// PromptTokens and OutputTokens are the numbers of tokens that the client announced. HasTokenCount is set if it
	// announced them, and InvalidTokenCount if the announcement could not be parsed.
	PromptTokens, OutputTokens       int
	HasTokenCount, InvalidTokenCount bool
	// Credential identifies the workspace of the request.
	Credential Credential
	// Arrived is when the request had been read.
	Arrived time.Time
	// Timeout is how long the client waits after Arrived; 0 if it did not state that.
	Timeout time.Duration
}

// Path returns Target without its query.
func (r *Request) Path() string {
	for i := range len(r.Target) {
		if r.Target[i] == '?' {
			return r.Target[:i]
		}
	}
	return r.Target
}

// Attempt is one send of a request to a backend server.
type Attempt struct {
	Request *Request
	Server  Server
	// Engine is set if the server is a model engine.
	Engine bool
	// Remaining is the time that the server has for the request.
	Remaining time.Duration
	// Urgency is the rank of the attempt at an engine; 0 is the most urgent.
	Urgency int
	// ResumeAfter is the last event that the client has received, "" to start from the beginning.
	ResumeAfter string
	// KeysRequired is set if requests carry keys. Keys are not forwarded to servers.
	KeysRequired bool
	// Workspace is the workspace of the request; "" if it needs no key.
	Workspace string
	// Repeated is set if the request was sent to the server before. It needs a new connection then: on one that has carried
	// it, an answer that the server gives twice would be taken for the answer to this attempt.
	Repeated bool
	// Backup is the address of the engine that the memory of the run is sent to as it grows; "" for none.
	Backup string
	// ContinueFromBackup is set if the server keeps the backup of this request's run, and is to go on from there. If
	// it has no backup, it does not run the request.
	ContinueFromBackup bool
}

// Response is a backend server's response to an Attempt.
type Response struct {
	Status int
	// Header holds the headers that are forwarded to the client.
	Header http.Header
	// Body must be closed. Reading fails if the response is cut off.
	Body io.ReadCloser
	// EndsWithConnection is set if nothing but the end of its connection states the end of the body. Reading fails at the
	// end, then, unless the server still runs.
	EndsWithConnection bool
	// ProcessUnknown is set if the response may come from another process than the one that is known as the server.
	ProcessUnknown bool
	// ConfirmProcess asks the server again if ProcessUnknown is set, and reports whether the response comes from the known
	// process. It may be nil.
	ConfirmProcess func() bool
	// NotExecuted is set if the server stated that the request did not run.
	NotExecuted bool
	// Misdirected is set if the address belongs to another server by now, or the unit that the request needs is not
	// loaded.
	Misdirected bool
	// Events is set if the body is a stream of events.
	Events bool
	// Via is the instance through which the response came; "" if the connection to the server was direct.
	Via string
	// RecordOversized, if set, records that the server sent an event that is longer than allowed.
	RecordOversized func()
	// HasRetryAfter is set if the server rejected the request and asked for a pause without requests.
	HasRetryAfter bool
}

// Sender sends attempts to backend servers.
type Sender interface {
	// Send returns the response once its headers have been read. The error is a *verdict.Failure: NotRun if the
	// server cannot have read the request, else MayHaveRun. Cancelling ctx ends the attempt, also while the body is
	// read.
	Send(ctx context.Context, a Attempt) (*Response, error)
}

// Handler answers clients' requests.
type Handler interface {
	// Serve writes the response to w, or returns the reason why there is none. In that case it has written nothing,
	// unless the failure's reason is verdict.ReasonBroken; the connection must then be closed.
	Serve(ctx context.Context, r *Request, w http.ResponseWriter) *verdict.Failure
}
