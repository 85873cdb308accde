package runonce

import (
	"context"
	"encoding/json"
	"time"

	"github.com/martenport/martenport/store"
)

// sweepBatch bounds the deletions of one sweep, to leave the platform's write
// rate to others.
const sweepBatch = 200

// Sweep removes records older than the retention time from the platform and
// returns how many. One instance does it for all.
func (r *Registry) Sweep(ctx context.Context, now time.Time) (int, error) {
	snap, err := r.store.List(ctx, store.PrefixRuns)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, obj := range snap.Objects {
		var record Record
		if json.Unmarshal(obj.Value, &record) != nil || now.Sub(time.UnixMilli(record.CreatedMS)) < r.params.Retention {
			continue
		}
		if err := r.store.Delete(ctx, obj.Key, obj.Version); err != nil {
			return removed, err
		}
		removed++
		if removed == sweepBatch {
			break
		}
	}
	return removed, nil
}
