package quota

import "time"

// Bucket is something that is saved up at a rate, up to a number. It is not safe for concurrent use.
type Bucket struct {
	level   float64
	settled time.Time
}

// NewBucket returns a bucket that has so much as of a time.
func NewBucket(level float64, settled time.Time) Bucket {
	return Bucket{level: level, settled: settled}
}

// Level returns what there was when it was last settled.
func (b *Bucket) Level() float64 { return b.level }

// Settle adds what has been gained until now at the rate of a share, up to what it may save.
func (b *Bucket) Settle(s Share, now time.Time) {
	if elapsed := now.Sub(b.settled); elapsed > 0 && !b.settled.IsZero() {
		b.level += s.Rate * elapsed.Seconds()
	}
	if b.settled.IsZero() || now.After(b.settled) {
		b.settled = now
	}
	b.level = min(b.level, s.Saved)
}

// Take takes an amount and reports whether it was there.
func (b *Bucket) Take(amount float64) bool {
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}
