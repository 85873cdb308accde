// Package dispatch brings a request to a replica and its answer back whole. It
// finds or wakes a replica, sends attempts, and decides about retries by the
// verdict alone.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/command/routing"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// Params bound what is done for one request.
type Params struct {
	// MaxAttempts bounds the attempts, the first included.
	MaxAttempts int
	// MaxResumes bounds how often one attempt's broken answer is resumed.
	MaxResumes int
	// RetryPause is the pause before a second attempt.
	RetryPause time.Duration
	// CancelTimeout bounds the cancel of an abandoned attempt.
	CancelTimeout time.Duration
	// RetryRatio is how many retries each request earns, and RetryBurst how
	// many can be saved up.
	RetryRatio float64
	RetryBurst int
}

// DefaultParams returns the bounds used unless set otherwise.
func DefaultParams() Params {
	return Params{MaxAttempts: 3, MaxResumes: 2, RetryPause: 20 * time.Millisecond, CancelTimeout: 2 * time.Second, RetryRatio: 0.2, RetryBurst: 100}
}

// Request is one request of a caller.
type Request struct {
	ID         string
	Model      string
	Adapter    string
	Prompt     string
	MaxTokens  int
	Priority   int
	Session    string
	Idempotent bool
	// Caller is whose turn it is when requests have to wait.
	Caller string
}

// Result says where a request was answered.
type Result struct {
	Engine string
	Tokens int
	// Cold is set when the request waited for a load.
	Cold bool
}

// Sink takes the tokens of an answer in order.
type Sink interface {
	// Token takes the next token. An error means that the caller has gone.
	Token(t backend.Token) error
	// Restart discards the tokens taken so far and reports whether that is
	// still possible.
	Restart() bool
}

// Waker has units loaded.
type Waker interface {
	// Wake has at least one replica loaded and names its engine.
	Wake(ctx context.Context, u backend.Unit) (string, error)
	// Grow has one replica more loaded than the number given, if operators
	// and engines permit.
	Grow(ctx context.Context, u backend.Unit, replicas int) error
	// LoadTime is the expected time of a load that finds nothing cached.
	LoadTime(memory int64) time.Duration
}

// Dispatcher dispatches the requests of one instance.
type Dispatcher struct {
	params   Params
	tables   *table.Tables
	events   *event.Recorder
	balancer *routing.Balancer
	line     *admission.Line
	waker    Waker
	dial     func(declaration.Engine) backend.Engine
	budget   *budget
	growing  sync.Map // models for which a replica is being asked for
}

// New returns a dispatcher that reaches engines by dial.
func New(params Params, tables *table.Tables, events *event.Recorder, balancer *routing.Balancer, line *admission.Line, waker Waker, dial func(declaration.Engine) backend.Engine) *Dispatcher {
	return &Dispatcher{params: params, tables: tables, events: events, balancer: balancer, line: line, waker: waker, dial: dial, budget: newBudget(params.RetryRatio, params.RetryBurst)}
}

// Generate runs the request within ctx's deadline and hands the answer to
// sink. An error is a *verdict.Failure whose verdict holds for all attempts
// together.
func (d *Dispatcher) Generate(ctx context.Context, req Request, sink Sink) (Result, error) {
	var result Result
	worst := verdict.NotRun
	d.budget.earn()
	refused := map[string]bool{}
	for attempt := 1; ; attempt++ {
		room, err := d.find(ctx, req, refused, &result)
		if err == nil {
			result.Engine = room.engine.Engine
			err = d.attempt(ctx, room, req, sink, &result)
			refused[result.Engine] = true
		}
		if err == nil {
			return result, nil
		}
		f := verdict.Of(err)
		worst = max(worst, f.Verdict)
		if attempt == d.params.MaxAttempts || !verdict.Retryable(err, req.Idempotent) || !sink.Restart() || !d.budget.spend() {
			return result, f.WithVerdict(worst)
		}
		if !pause.For(ctx, d.params.RetryPause) {
			return result, verdict.New(worst, verdict.ReasonDeadline, "no time for another attempt after: %s", f.Detail)
		}
	}
}
