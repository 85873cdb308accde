// Package dispatch brings a request to a replica and its answer back whole. It
// finds or wakes a replica, sends attempts, and decides about retries by the
// verdict alone.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/command/routing"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
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
}

// DefaultParams returns the bounds used unless set otherwise.
func DefaultParams() Params {
	return Params{MaxAttempts: 3, MaxResumes: 2, RetryPause: 20 * time.Millisecond, CancelTimeout: 2 * time.Second}
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
	growing  sync.Map // models for which a replica is being asked for
}

// New returns a dispatcher that reaches engines by dial.
func New(params Params, tables *table.Tables, events *event.Recorder, balancer *routing.Balancer, line *admission.Line, waker Waker, dial func(declaration.Engine) backend.Engine) *Dispatcher {
	return &Dispatcher{params: params, tables: tables, events: events, balancer: balancer, line: line, waker: waker, dial: dial}
}

// Generate runs the request within ctx's deadline and hands the answer to
// sink. An error is a *verdict.Failure whose verdict holds for all attempts
// together.
func (d *Dispatcher) Generate(ctx context.Context, req Request, sink Sink) (Result, error) {
	var result Result
	worst := verdict.NotRun
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
		if attempt == d.params.MaxAttempts || !verdict.Retryable(err, req.Idempotent) || !sink.Restart() {
			return result, f.WithVerdict(worst)
		}
		if !pause(ctx, d.params.RetryPause) {
			return result, verdict.New(worst, verdict.ReasonDeadline, "no time for another attempt after: %s", f.Detail)
		}
	}
}

// find returns a replica that has all that the request needs, after having it
// loaded if need be. Those that refused the request before are passed over
// until a wake has confirmed what is loaded.
func (d *Dispatcher) find(ctx context.Context, req Request, refused map[string]bool, result *Result) (room, error) {
	for range maxFinds {
		index := d.tables.Config.Index()
		units, err := unitsOf(index, req)
		if err != nil {
			return room{}, err
		}
		if len(d.candidates(units, refused)) > 0 {
			found, err := d.await(ctx, req, units, refused)
			if err != nil || found.done != nil {
				return found, err
			}
		}
		result.Cold = true
		missing := d.firstMissing(index, units)
		if _, err := d.waker.Wake(ctx, missing); err != nil {
			if d.firstMissing(index, units) != missing && ctx.Err() == nil {
				continue // the adapter's model has gone meanwhile
			}
			return room{}, err
		}
		clear(refused)
		if err := d.awaitNews(ctx, index, units, missing); err != nil {
			return room{}, err
		}
	}
	return room{}, verdict.Refuse(verdict.ReasonNoReplica, "%s was loaded and gone again %d times", req.Model, maxFinds)
}

// room is a place on a replica that was taken for a request. done gives it back.
type room struct {
	engine table.EngineView
	done   func(failed bool)
}

// await waits in line for room on a replica. It returns no room when there is
// no replica any more.
func (d *Dispatcher) await(ctx context.Context, req Request, units []backend.Unit, refused map[string]bool) (room, error) {
	deadline, _ := ctx.Deadline()
	waiter := admission.Waiter{
		Model: req.Model, Caller: req.Caller, Priority: req.Priority, Deadline: deadline,
		Service: d.soonest(units, refused, req.MaxTokens),
	}
	var found room
	err := d.line.Wait(ctx, waiter, func() bool {
		candidates := d.candidates(units, refused)
		if len(candidates) == 0 {
			return true // to be woken again
		}
		domain := d.tables.Members.Self().FailureDomain
		chosen, ok := d.balancer.Choose(candidates, domain, req.Session, time.Now())
		if ok {
			found = room{chosen, d.balancer.Sent(chosen.Engine)}
		}
		return ok
	})
	return found, err
}

// soonest returns the observed time of a request on the fastest replica.
func (d *Dispatcher) soonest(units []backend.Unit, refused map[string]bool, tokens int) time.Duration {
	var best time.Duration
	for i, r := range d.candidates(units, refused) {
		if s := d.balancer.Service(r.Engine, tokens); i == 0 || s < best {
			best = s
		}
	}
	return best
}

// candidates lists the replicas that a request may be sent to.
func (d *Dispatcher) candidates(units []backend.Unit, refused map[string]bool) []table.EngineView {
	replicas := slices.DeleteFunc(d.replicas(d.tables.Config.Index(), units), func(e table.EngineView) bool { return refused[e.Engine] })
	return d.preferReachable(replicas)
}

// Run serves requests in line whenever an engine has news, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		_, changed := d.tables.Engines.Mark()
		d.line.Poke()
		d.growBusy(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if !pause(ctx, pokeGap) {
			return
		}
	}
}

// pokeGap is the shortest pause between two looks for news of engines.
const pokeGap = 20 * time.Millisecond

// maxFinds bounds how often a request waits for what it needs: its model, its
// adapter, and each once more if it was unloaded meanwhile.
const maxFinds = 4

// unitsOf lists what an engine must hold for the request, the model first.
func unitsOf(index *declaration.Index, req Request) ([]backend.Unit, error) {
	model, found := index.Models[req.Model]
	if !found {
		return nil, verdict.Refuse(verdict.ReasonUnknownModel, "model %q is not declared", req.Model)
	}
	if model.MaxReplicas == 0 {
		return nil, verdict.Refuse(verdict.ReasonNoReplica, "operators allow no replica of %q", req.Model)
	}
	units := []backend.Unit{{Model: model.Name, Version: model.Version}}
	if req.Adapter == "" {
		return units, nil
	}
	adapter, found := index.Adapters[declaration.AdapterID{Model: req.Model, Adapter: req.Adapter}]
	if !found {
		return nil, verdict.Refuse(verdict.ReasonUnknownModel, "adapter %q of model %q is not declared", req.Adapter, req.Model)
	}
	return append(units, backend.Unit{Model: model.Name, Adapter: adapter.Name, Version: adapter.Version}), nil
}

// replicas lists the engines that hold all units and stay.
func (d *Dispatcher) replicas(index *declaration.Index, units []backend.Unit) []table.EngineView {
	var out []table.EngineView
	for _, e := range d.tables.Engines.All() {
		declared, known := index.Engines[e.Engine]
		if known && !declared.Lost && !e.Leaving && holdsAll(e, units) {
			out = append(out, e)
		}
	}
	return out
}

// preferReachable leaves out replicas in failure domains of which no instance
// is known to be alive, unless there are no others: their domain may be cut
// off, and what is known of them old.
func (d *Dispatcher) preferReachable(replicas []table.EngineView) []table.EngineView {
	var out []table.EngineView
	for _, r := range replicas {
		if len(d.tables.Members.AliveIn(r.FailureDomain)) > 0 {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return replicas
	}
	return out
}

func holdsAll(e table.EngineView, units []backend.Unit) bool {
	for _, u := range units {
		if !e.Resident(u) {
			return false
		}
	}
	return true
}

// firstMissing returns the model if no engine has it, else the adapter.
func (d *Dispatcher) firstMissing(index *declaration.Index, units []backend.Unit) backend.Unit {
	if len(units) == 1 || len(d.replicas(index, units[:1])) == 0 {
		return units[0]
	}
	return units[1]
}

// awaitNews waits until this instance has heard that the unit is resident,
// which it may learn a little later than that the wake is done.
func (d *Dispatcher) awaitNews(ctx context.Context, index *declaration.Index, units []backend.Unit, missing backend.Unit) error {
	ctx, cancel := context.WithTimeout(ctx, newsLimit)
	defer cancel()
	for {
		_, changed := d.tables.Engines.Mark()
		if len(d.replicas(index, []backend.Unit{missing})) > 0 || len(d.replicas(index, units)) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict.Refuse(verdict.ReasonNoReplica, "no word of the loaded replica of %s", missing.ID())
		}
	}
}

// newsLimit is how long word of a finished load may take to get here.
const newsLimit = 5 * time.Second

// attempt sends the request once, resumes its answer where it breaks off, and
// cancels it at the engine when it is given up.
func (d *Dispatcher) attempt(ctx context.Context, taken room, req Request, sink Sink, result *Result) (err error) {
	defer d.line.Poke()
	defer func() { taken.done(blames(err)) }()
	view := taken.engine
	declared, found := d.tables.Config.Index().Engines[view.Engine]
	if !found {
		return verdict.Refuse(verdict.ReasonNoReplica, "engine %s is not declared any more", view.Engine)
	}
	units, err := unitsOf(d.tables.Config.Index(), req)
	if err != nil {
		return err
	}
	engine := d.dial(*declared)
	a := newAttempt(req, units[len(units)-1])
	d.events.Record(event.Event{Kind: event.KindAttempt, Request: req.ID, Model: req.Model, Engine: view.Engine, Detail: "attempt=" + a.ID})
	result.Tokens = 0
	timed := d.timed(view.Engine, req, sink)
	err = d.run(ctx, engine, a, timed, result)
	if err == nil {
		timed.finish()
	}
	if err != nil {
		d.events.Record(event.Event{Kind: event.KindAttemptFail, Request: req.ID, Model: req.Model, Engine: view.Engine, Detail: err.Error()})
		d.giveUp(ctx, engine, a, err)
	}
	return err
}

func newAttempt(req Request, u backend.Unit) backend.Attempt {
	return backend.Attempt{
		Unit: u, ID: uuid.NewString(), Prompt: req.Prompt, MaxTokens: req.MaxTokens,
		Priority: req.Priority, Session: req.Session,
	}
}

// blames reports whether the failure speaks against the backend server.
func blames(err error) bool {
	if err == nil {
		return false
	}
	reason := verdict.Of(err).Reason
	return reason == verdict.ReasonBackend || reason == verdict.ReasonBroken
}

// giveUp cancels an attempt that may still run.
func (d *Dispatcher) giveUp(ctx context.Context, engine backend.Engine, a backend.Attempt, err error) {
	if verdict.Of(err).Verdict == verdict.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.params.CancelTimeout)
	go func() {
		defer cancel()
		_ = engine.Cancel(ctx, a.ID)
	}()
}

func (d *Dispatcher) run(ctx context.Context, engine backend.Engine, a backend.Attempt, sink Sink, result *Result) error {
	for resume := 0; ; resume++ {
		err := d.stream(ctx, engine, &a, sink, result)
		if err == nil || ctx.Err() != nil {
			return timedOut(ctx, err)
		}
		f := verdict.Of(err)
		if f.Reason != verdict.ReasonBroken || resume == d.params.MaxResumes {
			return err
		}
	}
}

// timedOut names the deadline or the caller as the reason where that is so.
func timedOut(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	f := verdict.Of(err)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(f.Verdict, verdict.ReasonDeadline, "deadline passed: %s", f.Detail)
	case ctx.Err() != nil:
		return verdict.New(f.Verdict, verdict.ReasonCancelled, "caller cancelled or left: %s", f.Detail)
	}
	return err
}

// stream takes tokens from a.From on until the end.
func (d *Dispatcher) stream(ctx context.Context, engine backend.Engine, a *backend.Attempt, sink Sink, result *Result) error {
	s, err := engine.Generate(ctx, *a)
	if err != nil {
		if a.From > 0 {
			return verdict.Of(err).WithVerdict(verdict.MayHaveRun)
		}
		return err
	}
	defer s.Close()
	for {
		t, err := s.Next()
		if err != nil {
			return err
		}
		if t.End {
			return nil
		}
		if err := sink.Token(t); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "caller left: %v", err)
		}
		a.From = t.Sequence + 1
		result.Tokens++
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
