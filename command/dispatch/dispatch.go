// Package dispatch sends requests to replicas and returns their complete
// answers. It finds a replica or has one loaded, sends attempts, and decides on
// retries from the verdict of the failed attempt alone.
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

// Params configures a Dispatcher.
type Params struct {
	// MaxAttempts is the maximum number of attempts per request, including the first.
	MaxAttempts int
	// MaxResumes is the maximum number of times that a broken answer of one
	// attempt is resumed.
	MaxResumes int
	// RetryPause is the pause before each further attempt.
	RetryPause time.Duration
	// CancelTimeout limits the call that cancels an abandoned attempt.
	CancelTimeout time.Duration
	// RetryRatio is the number of retries that each request adds to the retry
	// budget, RetryBurst the maximum that accumulates there.
	RetryRatio float64
	RetryBurst int
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{MaxAttempts: 3, MaxResumes: 2, RetryPause: 20 * time.Millisecond, CancelTimeout: 2 * time.Second, RetryRatio: 0.2, RetryBurst: 100}
}

// Request is one inference request.
type Request struct {
	ID         string
	Model      string
	Adapter    string
	Prompt     string
	MaxTokens  int
	Priority   int
	Session    string
	Idempotent bool
	// Caller identifies the sender; queued requests are served fairly per caller.
	Caller string
}

// Result describes how a request was served.
type Result struct {
	Engine string
	Tokens int
	// Cold is set if the request had to wait for a model or adapter to load.
	Cold bool
}

// Sink receives the tokens of an answer in order.
type Sink interface {
	// Token receives the next token. An error means that the caller has disconnected.
	Token(t backend.Token) error
	// Restart discards the tokens received so far, so that another attempt can
	// start over. It returns false if they can no longer be discarded.
	Restart() bool
}

// Waker loads units onto engines.
type Waker interface {
	// Wake ensures that at least one replica of u is loaded and returns the name
	// of its engine.
	Wake(ctx context.Context, u backend.Unit) (string, error)
	// ScaleUp loads one replica more than the given number, if the declared limit
	// and the engines' memory permit.
	ScaleUp(ctx context.Context, u backend.Unit, replicas int) error
	// LoadTime returns the expected duration of a load of the given number of
	// bytes with nothing cached.
	LoadTime(memory int64) time.Duration
}

// Dispatcher dispatches the requests received by one entry instance.
type Dispatcher struct {
	params    Params
	tables    *table.Tables
	events    *event.Recorder
	balancer  *routing.Balancer
	queue     *admission.Queue
	waker     Waker
	dial      func(declaration.Engine) backend.Engine
	budget    *budget
	scalingUp sync.Map // names of models with a scale-up in progress
}

// New returns a Dispatcher that uses dial to obtain the client of an engine.
func New(params Params, tables *table.Tables, events *event.Recorder, balancer *routing.Balancer, queue *admission.Queue, waker Waker, dial func(declaration.Engine) backend.Engine) *Dispatcher {
	return &Dispatcher{params: params, tables: tables, events: events, balancer: balancer, queue: queue, waker: waker, dial: dial, budget: newBudget(params.RetryRatio, params.RetryBurst)}
}

// Generate runs the request within ctx's deadline and passes the answer to
// sink. The error is a *verdict.Failure whose verdict covers all attempts.
func (d *Dispatcher) Generate(ctx context.Context, req Request, sink Sink) (Result, error) {
	var result Result
	worst := verdict.NotRun
	d.budget.earn()
	tried := map[string]bool{}
	for attempt := 1; ; attempt++ {
		reserved, err := d.acquire(ctx, req, tried, &result)
		if err == nil {
			result.Engine = reserved.engine.Engine
			err = d.attempt(ctx, reserved, req, sink, &result)
			tried[result.Engine] = true
		}
		if err == nil {
			return result, nil
		}
		f := verdict.FromError(err)
		worst = max(worst, f.Verdict)
		if attempt == d.params.MaxAttempts || !verdict.Retryable(err, req.Idempotent) || !sink.Restart() || !d.budget.spend() {
			return result, f.WithVerdict(worst)
		}
		if !pause.For(ctx, d.params.RetryPause) {
			return result, verdict.New(worst, verdict.ReasonDeadline, "no time for another attempt after: %s", f.Detail)
		}
	}
}
