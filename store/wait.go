package store

import (
	"context"
	"time"
)

// waitKey has the longest wait of a watch.
type waitKey struct{}

// WaitAtMost has Watch answer without events after so long, where the client would wait longer.
func WaitAtMost(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

// MostWait returns how long a watch may wait that would wait so long by itself.
func MostWait(ctx context.Context, wait time.Duration) time.Duration {
	if most, limited := ctx.Value(waitKey{}).(time.Duration); limited {
		return min(most, wait)
	}
	return wait
}
