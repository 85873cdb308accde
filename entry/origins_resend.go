package entry

import (
	"context"
	"sync"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
)

// unkeptOrigins are the origins that this instance has sent and no other one keeps: it reached none, or those that it knew are
// gone. They are sent again until the streams cannot be resumed any more.
type unkeptOrigins struct {
	mu      sync.Mutex
	origins []unkeptOrigin // oldest first; guarded by mu
}

type unkeptOrigin struct {
	skew.Entry
	begunAt time.Time
}

const (
	// resendInterval is the time between two attempts to send origins that no other instance keeps.
	resendInterval = time.Second
	// maxUnkept bounds these origins, about 150 B each.
	maxUnkept = 8192
)

// add adds an origin, unless there are too many.
func (u *unkeptOrigins) add(origin unkeptOrigin) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.origins) < maxUnkept {
		u.origins = append(u.origins, origin)
	}
}

// take removes and returns the origins of the streams that can still be resumed.
func (u *unkeptOrigins) take(now time.Time) []unkeptOrigin {
	u.mu.Lock()
	defer u.mu.Unlock()
	var taken []unkeptOrigin
	for _, origin := range u.origins {
		if now.Sub(origin.begunAt) < skew.Lifetime {
			taken = append(taken, origin)
		}
	}
	u.origins = nil
	return taken
}

// runResend sends origins that no other instance keeps again, until ctx ends.
func (o *streamOrigins) runResend(ctx context.Context) {
	for pause.For(ctx, resendInterval) {
		o.resend(ctx)
	}
}

// resend sends the origins that no other instance keeps again.
func (o *streamOrigins) resend(ctx context.Context) {
	origins := o.unkept.take(clock.Now())
	if len(origins) == 0 {
		return
	}
	entries := make([]skew.Entry, len(origins))
	for n, origin := range origins {
		entries[n] = origin.Entry
	}
	kept, instances := o.sendBatch(ctx, entries)
	for _, origin := range origins {
		if !kept[origin.Attempt] {
			o.unkept.add(origin)
		}
	}
	if len(kept) > 0 {
		o.logSent(len(kept), instances, "no other instance kept them")
	}
}
