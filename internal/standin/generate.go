package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/verdict"
)

// attemptRetention is how long an attempt can be resumed after its end.
const attemptRetention = 5 * time.Second

// attempt is a request that an engine is running, or ran within the last attemptRetention.
type attempt struct {
	id   string
	stop context.CancelFunc

	mu      sync.Mutex
	tokens  []backend.Token // guarded by mu
	failed  bool            // guarded by mu
	changed chan struct{}   // guarded by mu
}

func (a *attempt) addToken(t backend.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = append(a.tokens, t)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) fail() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = true
	close(a.changed)
	a.changed = make(chan struct{})
}

// Generate implements backend.Engine. If the attempt's ID is known, it resumes that attempt.
func (e *Engine) Generate(ctx context.Context, req backend.Attempt) (backend.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, found := e.attempts[req.ID]
	if found {
		return &tokenReader{ctx: ctx, attempt: a, next: req.From}, nil
	}
	if req.Resume {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "attempt %s is not known any more", req.ID)
	}
	if err := e.admit(req); err != nil {
		return nil, err
	}
	runCtx, stop := context.WithCancel(e.loadCtx)
	a = &attempt{id: req.ID, stop: stop, changed: make(chan struct{})}
	e.attempts[req.ID] = a
	e.tally.Requests++
	e.runs[req.Prompt]++
	u := e.units[req.Unit.ID()]
	u.Served++
	u.Running++
	go e.run(runCtx, a, u, req)
	return &tokenReader{ctx: ctx, attempt: a}, nil
}

// admit refuses an attempt if the engine is leaving or the unit is not resident. e.mu must be held.
func (e *Engine) admit(req backend.Attempt) error {
	if e.leaving {
		return verdict.Refuse(verdict.ReasonBackend, "engine is leaving")
	}
	u, found := e.units[req.Unit.ID()]
	if !found || u.State != backend.Resident || u.Version != req.Version {
		return verdict.Refuse(verdict.ReasonBackend, "%s %s is not resident", req.Unit.ID(), req.Version)
	}
	return nil
}

func (e *Engine) run(ctx context.Context, a *attempt, u *unit, req backend.Attempt) {
	defer e.finish(a, u)
	e.addQueued(1)
	select {
	case e.batch <- struct{}{}:
		e.addQueued(-1)
	case <-ctx.Done():
		e.addQueued(-1)
		a.fail()
		return
	}
	defer func() { <-e.batch }()
	for i := range int64(req.MaxTokens) {
		if !pause.For(ctx, e.stepTime()) {
			a.fail()
			return
		}
		a.addToken(backend.Token{Attempt: a.id, Sequence: i, Text: fmt.Sprintf("%s:%d ", req.Prompt, i)})
	}
	a.addToken(backend.Token{Attempt: a.id, Sequence: int64(req.MaxTokens), End: true})
}

func (e *Engine) addQueued(delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += delta
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.params.StepTime) * e.slowdown)
}

func (e *Engine) finish(a *attempt, u *unit) {
	e.mu.Lock()
	u.Running--
	if u.State == backend.Unloading {
		e.removeIdle()
		e.notifyChange()
	}
	ctx := e.loadCtx
	e.mu.Unlock()
	pause.For(ctx, attemptRetention)
	e.mu.Lock()
	delete(e.attempts, a.id)
	e.mu.Unlock()
}

// Cancel implements backend.Engine.
func (e *Engine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, found := e.attempts[id]; found {
		a.stop()
	}
	return nil
}

// tokenReader is a backend.Stream of the tokens of an attempt.
type tokenReader struct {
	ctx     context.Context
	attempt *attempt
	next    int64
}

// Next implements backend.Stream.
func (r *tokenReader) Next() (backend.Token, error) {
	for {
		r.attempt.mu.Lock()
		ready, failed, changed := int64(len(r.attempt.tokens)) > r.next, r.attempt.failed, r.attempt.changed
		var t backend.Token
		if ready {
			t = r.attempt.tokens[r.next]
		}
		r.attempt.mu.Unlock()
		switch {
		case ready:
			r.next++
			return t, nil
		case failed:
			return t, verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "attempt stopped")
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return t, verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "%v", r.ctx.Err())
		}
	}
}

// Close implements backend.Stream.
func (r *tokenReader) Close() error { return nil }
