// Package pause waits for a duration under a context, or until a signal on a channel.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns true if d elapsed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until d has elapsed or wake receives a value. It returns false if ctx ended first.
func Until(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// Wake signals the receiver of wake, a channel with a buffer of one. It does not block: without a
// waiting receiver the signal stays in the buffer, and several signals become one.
func Wake(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
