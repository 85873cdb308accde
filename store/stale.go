package store

import "context"

// staleKey is the context key of WithStaleReads.
type staleKey struct{}

// WithStaleReads returns a context under which Get and List may return data that is seconds old, if
// the store offers that. Such reads are cheap and are exempt from its rate limits. The caller must
// tolerate stale data, as a conditional write on the returned version does.
func WithStaleReads(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether reads under ctx may return data that is seconds old.
func StaleAllowed(ctx context.Context) bool {
	allowed, _ := ctx.Value(staleKey{}).(bool)
	return allowed
}
