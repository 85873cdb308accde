// Package pause waits for a time under a context, or for a word.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether it passed before ctx ended.
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

// Until waits for d or until something comes from woken, and reports whether that was
// before ctx ended.
func Until(ctx context.Context, d time.Duration, woken <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-woken:
		return true
	case <-ctx.Done():
		return false
	}
}

// Wake has whoever waits for something from woken, which holds one item, go on. It does not
// wait itself: where nobody waits the word stays, and several become one.
func Wake(woken chan<- struct{}) {
	select {
	case woken <- struct{}{}:
	default:
	}
}
