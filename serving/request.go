package serving

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/martenport/martenport/verdict"
)

// Request is one request of a client, read whole.
type Request struct {
	// ID is the client's own, unique to this try.
	ID string
	// Method, Host and Target (path and query) are passed on unchanged.
	Method, Host, Target string
	// Header holds what is passed on: neither what concerns one connection
	// nor what is the system's to set.
	Header http.Header
	Body   []byte
	// Fingerprint names what is asked for, over all tries.
	Fingerprint Fingerprint
	// Unit is what a generation needs on its engine; empty for other requests.
	Unit Unit
	// PromptParts identify the parts of the prompt, shared ones first.
	PromptParts []string
	// PromptTokens and OutputTokens are the sizes that the client announced. Sized: it did;
	// BadSize: in a way that cannot be read.
	PromptTokens, OutputTokens int
	Sized, BadSize             bool
	// Credential shows whose the request is.
	Credential Credential
	// Arrived is when the request had been read.
	Arrived time.Time
	// Timeout is how long the client waits from then on; 0 when it did not say.
	Timeout time.Duration
}

// Path is Target without its query.
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
	// Left is how long the server may work on it.
	Left time.Duration
	// Urgency ranks it at an engine, 0 first.
	Urgency int
	// ResumeAfter is the last event that the client has, "" to begin.
	ResumeAfter string
	// Guarded: requests are sent with keys, which servers are not told.
	Guarded bool
	// Workspace is whose the request is; "" if it needs no key.
	Workspace string
}

// Response is a backend server's answer to an Attempt.
type Response struct {
	Status int
	// Header holds what is passed on to the client.
	Header http.Header
	// Body must be closed. It fails when the answer breaks off.
	Body io.ReadCloser
	// NotRun is the server's own word that the request did not run.
	NotRun bool
	// Misdirected: the address belongs to another server by now, or what the
	// request needs is not loaded.
	Misdirected bool
	// Events: the body is a series of events.
	Events bool
	// Rests: the server turns the request away and asks for a time without any.
	Rests bool
}

// Sender sends attempts to backend servers.
type Sender interface {
	// Send returns the answer's head. Its error is a *verdict.Failure: NotRun
	// if the server cannot have read the request, else MayHaveRun. Ending ctx
	// ends the attempt, also while the body is read.
	Send(ctx context.Context, a Attempt) (*Response, error)
}

// Handler answers clients' requests.
type Handler interface {
	// Serve writes the answer to w, or returns why there is none; it then has
	// written nothing, unless Broken is set in the failure's reason
	// (verdict.ReasonBroken), after which the connection must be closed.
	Serve(ctx context.Context, r *Request, w http.ResponseWriter) *verdict.Failure
}
