package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// errCancelled is the cause of a request's context ended by Cancel.
var errCancelled = errors.New("cancelled by the caller")

// runningRequests lets running requests be cancelled by id or key.
type runningRequests struct {
	mu     sync.Mutex
	cancel map[string]context.CancelCauseFunc // guarded by mu; by request id
	byKey  map[callerKey]string               // guarded by mu; request id
}

// callerKey is a key as its caller gave it.
type callerKey struct{ caller, key string }

func newRunningRequests() *runningRequests {
	return &runningRequests{cancel: map[string]context.CancelCauseFunc{}, byKey: map[callerKey]string{}}
}

// start notes a request and returns its context and what to call at its end.
func (r *runningRequests) start(ctx context.Context, id, caller, key string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel[id] = cancel
	if key != "" {
		r.byKey[callerKey{caller, key}] = id
	}
	return ctx, func() { r.end(id, callerKey{caller, key}) }
}

func (r *runningRequests) end(id string, key callerKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel[id](nil)
	delete(r.cancel, id)
	if r.byKey[key] == id {
		delete(r.byKey, key)
	}
}

// stop cancels a request and reports whether it was running.
func (r *runningRequests) stop(id, caller, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" {
		id = r.byKey[callerKey{caller, key}]
	}
	cancel, found := r.cancel[id]
	if found {
		cancel(errCancelled)
	}
	return found
}

func (r *runningRequests) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.cancel))
}
