package backpressure

import (
	"sync"
	"time"

	"github.com/martenport/martenport/command/quota"
)

// Questions bounds how often instances ask the holder for single sends: where all servers of a busy
// service limit what they take, each request would ask, and a holder that has no processor time left
// for its other work is lost to all. It is safe for concurrent use.
type Questions struct {
	mu    sync.Mutex
	saved quota.Bucket // guarded by mu
	begun bool         // guarded by mu
}

const (
	// allQuestions is how many a second all instances together may ask: each takes some 30 us of the
	// holder's processor time, which has .8 of a core where it is large.
	allQuestions = 2000
	// questionsFor is for how long an instance may save up questions.
	questionsFor = 500 * time.Millisecond
	// leastQuestions is how many it may save up at least.
	leastQuestions = 4
)

// Take takes one question of this instance's part, one of so many.
func (q *Questions) Take(instances int, now time.Time) bool {
	part := quota.Share{Rate: allQuestions / float64(max(1, instances))}
	part.Saved = max(leastQuestions, part.Rate*questionsFor.Seconds())
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.begun {
		q.saved, q.begun = quota.NewBucket(part.Saved, now), true
	}
	q.saved.Refill(part, now)
	return q.saved.Take(1)
}
