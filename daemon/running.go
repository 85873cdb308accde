package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// errCancelled is the cancellation cause of a request's context after Cancel.
var errCancelled = errors.New("cancelled by the caller")

// runningRequests tracks running requests, so that they can be cancelled by ID or key.
type runningRequests struct {
	mu     sync.Mutex
	cancel map[string]context.CancelCauseFunc // guarded by mu; by request ID
	byKey  map[callerKey]string               // guarded by mu; request IDs
}

// callerKey is a key as sent by a caller.
type callerKey struct{ caller, key string }

func newRunningRequests() *runningRequests {
	return &runningRequests{cancel: map[string]context.CancelCauseFunc{}, byKey: map[callerKey]string{}}
}

// add registers a request. It returns the context to run the request with, and a
// function that must be called once when the request has ended.
func (r *runningRequests) add(ctx context.Context, id, caller, key string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel[id] = cancel
	if key != "" {
		r.byKey[callerKey{caller, key}] = id
	}
	return ctx, func() { r.remove(id, callerKey{caller, key}) }
}

func (r *runningRequests) remove(id string, key callerKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel[id](nil)
	delete(r.cancel, id)
	if r.byKey[key] == id {
		delete(r.byKey, key)
	}
}

// cancelRequest cancels the request with the given ID, or with the caller's key if id
// is empty, and reports whether it was running.
func (r *runningRequests) cancelRequest(id, caller, key string) bool {
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

// ids returns the IDs of all running requests in sorted order.
func (r *runningRequests) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.cancel))
}
