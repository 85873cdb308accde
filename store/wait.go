package store

import (
	"context"
	"time"
)

// waitKey is the context key of WithMaxWait.
type waitKey struct{}

// WithMaxWait returns a context under which Watch returns after wait if there are no events, even if
// the client's own waiting time is longer.
func WithMaxWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

// LimitWait returns how long a watch may wait: the client's own waiting time, or the limit that
// WithMaxWait set if that is shorter.
func LimitWait(ctx context.Context, wait time.Duration) time.Duration {
	if limit, limited := ctx.Value(waitKey{}).(time.Duration); limited {
		return min(limit, wait)
	}
	return wait
}
