package backpressure

import (
	"sync"
	"time"

	"github.com/martenport/martenport/command/quota"
)

// QueryLimiter bounds the rate at which an instance asks the holder to admit single requests to
// rate-limited servers. If all servers of a busy service are at their limits, each request would cause a
// query, and a holder that has no processor time left for its other work is unavailable to all
// instances. It is safe for concurrent use.
type QueryLimiter struct {
	mu      sync.Mutex
	bucket  quota.Bucket // guarded by mu
	started bool         // guarded by mu
}

const (
	// totalQueryRate is the number of queries per second from all instances together. Each takes about
	// 30 us of processor time at the holder, so all together take 0.06 of a core; the holder has 0.8
	// of a core in large deployments.
	totalQueryRate = 2000
	// queryBurstDuration sets the burst: an instance may save up the queries of this time, and at
	// least minQueryBurst.
	queryBurstDuration = 500 * time.Millisecond
	// minQueryBurst is the minimum number of queries that an instance may save up.
	minQueryBurst = 4
)

// Take takes one query from this instance's part of the total rate, which is divided equally among the
// given number of instances. It reports whether the query may be sent.
func (q *QueryLimiter) Take(instances int, now time.Time) bool {
	share := quota.Share{Rate: totalQueryRate / float64(max(1, instances))}
	share.Saved = max(minQueryBurst, share.Rate*queryBurstDuration.Seconds())
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.started {
		q.bucket, q.started = quota.NewBucket(share.Saved, now), true
	}
	q.bucket.Refill(share, now)
	return q.bucket.Take(1)
}
