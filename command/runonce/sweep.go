package runonce

import (
	"context"
	"encoding/json"
	"time"

	"github.com/martenport/martenport/store"
)

// sweepBatch limits the deletions per sweep, so that a sweep does not use up the
// store's write rate.
const sweepBatch = 200

// Sweep deletes stored records older than the retention time, at most sweepBatch
// of them, and returns the number deleted. It is sufficient that one instance of
// the fleet calls it.
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
