package quota

import "time"

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	level      float64
	refilledAt time.Time
}

// NewBucket returns a bucket that had the given level at the time refilledAt.
func NewBucket(level float64, refilledAt time.Time) Bucket {
	return Bucket{level: level, refilledAt: refilledAt}
}

// Level returns the level at the last refill, less what was taken since.
func (b *Bucket) Level() float64 { return b.level }

// Refill adds what has been gained until now at the share's rate, up to the share's capacity.
func (b *Bucket) Refill(s Share, now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 && !b.refilledAt.IsZero() {
		b.level += s.Rate * elapsed.Seconds()
	}
	if b.refilledAt.IsZero() || now.After(b.refilledAt) {
		b.refilledAt = now
	}
	b.level = min(b.level, s.Saved)
}

// Take takes an amount if the level is sufficient, and reports whether it was.
func (b *Bucket) Take(amount float64) bool {
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}
