package quota

import "time"

// bucket is something that is saved up at a rate, up to a number.
type bucket struct {
	level   float64
	settled time.Time
}

// settle adds what has been gained until now at the rate of a share, up to what it may save.
func (b *bucket) settle(s Share, now time.Time) {
	if elapsed := now.Sub(b.settled); elapsed > 0 && !b.settled.IsZero() {
		b.level += s.Rate * elapsed.Seconds()
	}
	if b.settled.IsZero() || now.After(b.settled) {
		b.settled = now
	}
	b.level = min(b.level, s.Saved)
}

// take takes an amount and reports whether it was there.
func (b *bucket) take(amount float64) bool {
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}
