package wake

import (
	"context"
	"sync"
	"time"

	"github.com/martenport/martenport/verdict"
)

// flights shares one piece of work among all who ask for it while it runs. The
// work's context ends when the last of them has left: a load that can serve
// nobody any more is not started.
type flights struct {
	mu   sync.Mutex
	byID map[string]*flight // guarded by mu
}

// flight is one piece of shared work.
type flight struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	waiters int       // guarded by mu
	latest  time.Time // guarded by mu; the latest deadline of those that wait

	engine string // set before done is closed
	err    error  // set before done is closed
}

// work is what a flight runs. latest returns the time after which nobody waits
// for the result.
type work func(ctx context.Context, latest func() time.Time) (string, error)

// join starts the work named id or joins it, and returns its result, or a
// refusal once ctx ends. latest is how long the waiter has use for the result.
// A waiter whose ctx ends before is counted out only after the grace time, in
// which it may come back.
func (f *flights) join(ctx context.Context, id string, latest time.Time, grace time.Duration, run work) (string, error) {
	one := f.enter(id, latest, run)
	defer time.AfterFunc(grace, func() { f.leave(id, one) })
	select {
	case <-one.done:
		return one.engine, one.err
	case <-ctx.Done():
		return "", verdict.Refuse(verdict.ReasonDeadline, "%s was not loaded in time", id)
	}
}

func (f *flights) enter(id string, deadline time.Time, run work) *flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	one, found := f.byID[id]
	if found {
		one.mu.Lock()
		defer one.mu.Unlock()
		one.waiters++
		if deadline.After(one.latest) {
			one.latest = deadline
		}
		return one
	}
	ctx, cancel := context.WithCancel(context.Background())
	one = &flight{cancel: cancel, done: make(chan struct{}), waiters: 1, latest: deadline}
	if f.byID == nil {
		f.byID = map[string]*flight{}
	}
	f.byID[id] = one
	go func() {
		one.engine, one.err = run(ctx, one.latestDeadline)
		f.remove(id, one)
		close(one.done)
	}()
	return one
}

func (one *flight) latestDeadline() time.Time {
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.latest
}

// leave counts a waiter out; the last one ends the work.
func (f *flights) leave(id string, one *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	one.mu.Lock()
	defer one.mu.Unlock()
	one.waiters--
	if one.waiters > 0 {
		return
	}
	one.cancel()
	if f.byID[id] == one {
		delete(f.byID, id)
	}
}

func (f *flights) remove(id string, one *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID[id] == one {
		delete(f.byID, id)
	}
}
