package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// silenceThreshold is the time without an answer after which a server counts as silent if the client
// then leaves: many times what an engine with a free slot takes to its first event.
const silenceThreshold = time.Second

// handleSendFailure handles a send without an answer.
func (t *transaction) handleSendFailure(ctx context.Context, server serving.Server, err error, sent time.Time, outcome *balance.Outcome) *verdict.Failure {
	failure := verdict.FromError(err)
	if failure.Verdict == verdict.NotRun && t.isResting(server) { // it may have asked for that during the send
		t.refundAdmission()
		return failure
	}
	t.excluded[server.ID] = true
	switch {
	case !errors.Is(ctx.Err(), context.Canceled):
		*outcome = balance.Unreachable
	case clock.Since(sent) >= silenceThreshold:
		*outcome = balance.Silent
	}
	if failure.Verdict == verdict.NotRun {
		t.refundAdmission()
		t.unreachable = server.ID
	} else {
		t.sends++
		t.runs++
		t.mayHaveRun = true
	}
	return failure
}
