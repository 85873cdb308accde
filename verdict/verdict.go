// Package verdict says whether a request may have run.
//
// Every refusal and failure inside martenport is a *Failure carrying a
// Verdict. Retries are decided by the verdict alone.
package verdict

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run on a backend server.
type Verdict int

// The verdicts, from the one that permits most to the one that permits least.
const (
	// NotRun means that the request did not run and will not run.
	NotRun Verdict = iota + 1
	// MayHaveRun means that the request may have run or may still run.
	MayHaveRun
	// Ran means that the request ran.
	Ran
)

// String returns the verdict's name as used in the interface.
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

// The reasons of refusals and failures.
const (
	ReasonInvalid      Reason = "invalid"       // the request breaks a limit or lacks a field
	ReasonNoRoute      Reason = "no_route"      // no configured route leads to a service
	ReasonUnknownModel Reason = "unknown_model" // not declared
	ReasonQueueFull    Reason = "queue_full"    // a bounded queue is full
	ReasonDeadline     Reason = "deadline"      // cannot be met, or has passed
	ReasonNoReplica    Reason = "no_replica"    // cap or memory permits no replica now
	ReasonDraining     Reason = "draining"      // the instance is leaving
	ReasonPlatform     Reason = "platform"      // the platform cannot be reached and is needed
	ReasonBackend      Reason = "backend"       // the backend server refused or failed
	ReasonBroken       Reason = "broken"        // the answer broke off
	ReasonKeyReused    Reason = "key_reused"    // the key was used with other content
	ReasonKeyTaken     Reason = "key_taken"     // the key ran or may have run elsewhere
	ReasonCancelled    Reason = "cancelled"     // the caller cancelled or left
	ReasonTooSlow      Reason = "too_slow"      // a load that is needed cannot be finished in time
	ReasonNoSlot       Reason = "no_slot"       // every slot of the model is bound elsewhere
	ReasonNotOrderer   Reason = "not_orderer"   // the instance does not order this engine
	ReasonStaleEpoch   Reason = "stale_epoch"   // the engine has seen a newer fencing number
	ReasonQuarantined  Reason = "quarantined"   // servers end while the request runs
	ReasonUnauthorized Reason = "unauthorized"  // the request bears no key that is known
	ReasonOverLimit    Reason = "over_limit"    // the workspace asks for more than its limit
	ReasonHeldBack     Reason = "held_back"     // all servers that could run it limit what they take, or rest
	ReasonStalePlan    Reason = "stale_plan"    // the plan's base generation is not current
)

// Failure is a refused or failed request.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// RetryAfter is when trying again makes sense; 0 when it never does.
	RetryAfter time.Duration
	// Silent: what was awaited did not come; a cut link, a frozen machine and one without
	// power do the same.
	Silent bool
	// Engines are those that stand in the way: for no_slot, the engines that
	// hold the slots.
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

// After returns a copy of f with the given retry-after.
func (f *Failure) After(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// From returns a copy of f that notes what its cause tells beside the detail.
func (f *Failure) From(cause error) *Failure {
	c := *f
	var timed net.Error
	c.Silent = errors.As(cause, &timed) && timed.Timeout()
	return &c
}

// WithVerdict returns a copy of f with verdict v.
func (f *Failure) WithVerdict(v Verdict) *Failure {
	c := *f
	c.Verdict = v
	return &c
}

// Of returns err as a Failure. An error that carries no Failure is taken as
// MayHaveRun, the verdict that never permits a wrong retry.
func Of(err error) *Failure {
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
	f := Of(err)
	switch f.Reason {
	case ReasonBackend, ReasonBroken, ReasonNoReplica:
	default:
		return false
	}
	return f.Verdict == NotRun || idempotent
}
