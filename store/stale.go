package store

import "context"

// staleKey marks contexts of reads that may be stale.
type staleKey struct{}

// AllowStale has Get and List answer with what may be seconds old, where the platform
// offers that: such reads are cheap and are not held back by its rates. A caller must
// bear an old answer, as a conditional write on its version does.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether a read may be answered with what is seconds old.
func StaleAllowed(ctx context.Context) bool {
	allowed, _ := ctx.Value(staleKey{}).(bool)
	return allowed
}
