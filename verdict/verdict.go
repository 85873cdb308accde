// Package verdict defines whether a request may have run.
//
// Every refusal and failure inside martenport is a *Failure that carries a Verdict. Whether
// the request may be retried follows from the verdict; see Retryable.
package verdict

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request may have run on a backend server.
type Verdict int

// The verdicts, from the one that permits most retries to the one that permits fewest.
const (
	// NotRun means that the request did not run and will not run.
	NotRun Verdict = iota + 1
	// MayHaveRun means that the request may have run or may still run.
	MayHaveRun
	// Ran means that the request ran.
	Ran
)

// String returns the verdict's name as used in the API.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case MayHaveRun:
		return "MayHaveRun"
	case Ran:
		return "Ran"
	default:
		return "Unknown"
	}
}

// Reason is a stable machine-readable cause; docs/API.md lists them.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonInvalid      Reason = "invalid"       // the request exceeds a limit or lacks a field
	ReasonNoRoute      Reason = "no_route"      // no configured route leads to a service
	ReasonUnknownModel Reason = "unknown_model" // the model is not declared
	ReasonQueueFull    Reason = "queue_full"    // a bounded queue is full
	ReasonDeadline     Reason = "deadline"      // the deadline cannot be met, or has passed
	ReasonNoReplica    Reason = "no_replica"    // the replica limit or memory currently permits no replica
	ReasonDraining     Reason = "draining"      // the instance is leaving
	ReasonPlatform     Reason = "platform"      // the platform is required and not reachable
	ReasonBackend      Reason = "backend"       // the backend server refused or failed
	ReasonBroken       Reason = "broken"        // the response broke off
	ReasonKeyReused    Reason = "key_reused"    // the key was used for a request with other content
	ReasonKeyTaken     Reason = "key_taken"     // the request of the key ran or may have run elsewhere
	ReasonCancelled    Reason = "cancelled"     // the client cancelled the request or disconnected
	ReasonTooSlow      Reason = "too_slow"      // a required model load cannot finish in time
	ReasonNoSlot       Reason = "no_slot"       // every slot of the model is bound to another engine
	ReasonNotOrderer   Reason = "not_orderer"   // the instance is not the orderer of this engine
	ReasonStaleEpoch   Reason = "stale_epoch"   // the engine has seen a newer fencing number
	ReasonQuarantined  Reason = "quarantined"   // servers ended while the request ran on them
	ReasonUnauthorized Reason = "unauthorized"  // the request has no known key
	ReasonOverLimit    Reason = "over_limit"    // the workspace exceeds its limit
	ReasonHeldBack     Reason = "held_back"     // all eligible servers are at their limit or asked for a pause
	ReasonVersion      Reason = "version"       // no server has the software version that began the stream, or that version is not known
	ReasonStalePlan    Reason = "stale_plan"    // the plan's base generation is not current
)

// Failure is a refused or failed request.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// RetryAfter is how long to wait before a retry; 0 if a retry is pointless.
	RetryAfter time.Duration
	// Silent reports that the request timed out without a response. A partition, a suspended
	// machine and one without power cannot be told apart.
	Silent bool
	// Engines are the engines that caused the refusal; for no_slot, the engines that hold the
	// slots.
	Engines []string
}

// Error returns reason, verdict and detail in one line.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Verdict, f.Detail)
}

// New returns a Failure with a formatted detail.
func New(v Verdict, r Reason, format string, args ...any) *Failure {
	return &Failure{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Refuse returns a Failure with verdict NotRun.
func Refuse(r Reason, format string, args ...any) *Failure {
	return New(NotRun, r, format, args...)
}

// WithRetryAfter returns a copy of f with the given retry-after.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy of f with Silent set according to its cause: true if cause is a network
// timeout.
func (f *Failure) WithCause(cause error) *Failure {
	c := *f
	var netErr net.Error
	c.Silent = errors.As(cause, &netErr) && netErr.Timeout()
	return &c
}

// WithVerdict returns a copy of f with verdict v.
func (f *Failure) WithVerdict(v Verdict) *Failure {
	c := *f
	c.Verdict = v
	return &c
}

// FromError returns err as a Failure, nil if err is nil. An error that wraps no Failure gets the
// verdict MayHaveRun, which never permits an unsafe retry.
func FromError(err error) *Failure {
	if err == nil {
		return nil
	}
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(err, context.Canceled) {
		return New(MayHaveRun, ReasonCancelled, "%v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return New(MayHaveRun, ReasonDeadline, "%v", err)
	}
	return New(MayHaveRun, ReasonBackend, "%v", err)
}

// Retryable reports whether a request that failed with err may be sent again.
func Retryable(err error, idempotent bool) bool {
	f := FromError(err)
	switch f.Reason {
	case ReasonBackend, ReasonBroken, ReasonNoReplica:
	default:
		return false
	}
	return f.Verdict == NotRun || idempotent
}
