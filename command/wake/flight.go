package wake

import (
	"context"
	"sync"
	"time"

	"github.com/martenport/martenport/verdict"
)

// flightGroup shares one call among all callers that request the same ID while it runs. The context
// of the call is cancelled when the last caller has left, so that no load is started that nobody
// waits for any more.
type flightGroup struct {
	mu   sync.Mutex
	byID map[string]*flight // guarded by mu
}

// flight is one shared call.
type flight struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu          sync.Mutex
	waiters     int       // guarded by mu
	maxDeadline time.Time // guarded by mu; latest deadline of all callers

	engine string // set before done is closed
	err    error  // set before done is closed
}

// flightFunc is the function that a flight runs. latest returns the latest deadline of all callers,
// after which the result is of no use.
type flightFunc func(ctx context.Context, latest func() time.Time) (string, error)

// do starts the call with the given ID, or joins the one in progress, and returns its result, or a
// refusal once ctx ends. latest is the time until which the caller can use the result. A caller
// counts as waiting until grace has elapsed after do returned, so that the call continues if the
// caller repeats it within that time.
func (f *flightGroup) do(ctx context.Context, id string, latest time.Time, grace time.Duration, run flightFunc) (string, error) {
	fl := f.startOrJoin(id, latest, run)
	defer time.AfterFunc(grace, func() { f.leave(id, fl) })
	select {
	case <-fl.done:
		return fl.engine, fl.err
	case <-ctx.Done():
		return "", verdict.Refuse(verdict.ReasonDeadline, "%s was not loaded in time", id)
	}
}

func (f *flightGroup) startOrJoin(id string, deadline time.Time, run flightFunc) *flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl, found := f.byID[id]
	if found {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.waiters++
		if deadline.After(fl.maxDeadline) {
			fl.maxDeadline = deadline
		}
		return fl
	}
	ctx, cancel := context.WithCancel(context.Background())
	fl = &flight{cancel: cancel, done: make(chan struct{}), waiters: 1, maxDeadline: deadline}
	if f.byID == nil {
		f.byID = map[string]*flight{}
	}
	f.byID[id] = fl
	go func() {
		fl.engine, fl.err = run(ctx, fl.latestDeadline)
		f.remove(id, fl)
		close(fl.done)
	}()
	return fl
}

func (fl *flight) latestDeadline() time.Time {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.maxDeadline
}

// leave removes one caller. When the last one leaves, the call is cancelled.
func (f *flightGroup) leave(id string, fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.waiters--
	if fl.waiters > 0 {
		return
	}
	fl.cancel()
	if f.byID[id] == fl {
		delete(f.byID, id)
	}
}

func (f *flightGroup) remove(id string, fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID[id] == fl {
		delete(f.byID, id)
	}
}
