// Package rpcerror converts failures to errors of the Connect protocol.
package rpcerror

import (
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/verdict"
)

// codes maps reasons to codes of the Connect protocol. Reasons that are not listed map to
// Unavailable.
var codes = map[verdict.Reason]connect.Code{
	verdict.ReasonInvalid:      connect.CodeInvalidArgument,
	verdict.ReasonUnknownModel: connect.CodeNotFound,
	verdict.ReasonQueueFull:    connect.CodeResourceExhausted,
	verdict.ReasonDeadline:     connect.CodeDeadlineExceeded,
	verdict.ReasonNoReplica:    connect.CodeUnavailable,
	verdict.ReasonKeyReused:    connect.CodeInvalidArgument,
	verdict.ReasonKeyTaken:     connect.CodeAborted,
	verdict.ReasonStalePlan:    connect.CodeFailedPrecondition,
	verdict.ReasonCancelled:    connect.CodeCanceled,
	verdict.ReasonBroken:       connect.CodeDataLoss,
}

// New converts err to a Connect error with a Failure as its detail.
func New(err error) error {
	f := verdict.FromError(err)
	code, found := codes[f.Reason]
	if !found {
		code = connect.CodeUnavailable
	}
	out := connect.NewError(code, f)
	detail, detailErr := connect.NewErrorDetail(&martenportv1.Failure{
		Verdict: martenportv1.Verdict(f.Verdict), Reason: string(f.Reason), Detail: f.Detail,
		RetryAfterMs: int64((f.RetryAfter + time.Millisecond - 1) / time.Millisecond),
	})
	if detailErr == nil {
		out.AddDetail(detail)
	}
	return out
}

// Refused converts the error of a request that is not read for lack of room. It has not run.
func Refused(err error) error {
	return New(verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "%v", err))
}
