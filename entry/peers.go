package entry

import "time"

// peerCountRetention is how long a higher count of instances is kept after it was last reported. A
// lower count may mean that a new holder does not reach all instances. Those that are cut off from it
// go on spending their shares of the budget of repeated sends, which the others must not use.
const peerCountRetention = 10 * time.Minute

// peerCount is the number of instances among which a failure domain's part of the budget of repeated
// sends is divided: the highest number that holders have reported in the current and in the previous
// period of peerCountRetention each.
type peerCount struct {
	periodStart       time.Time
	current, previous int
}

// update records a holder's count, 0 if it has none yet, and returns the maximum.
func (p *peerCount) update(n int, now time.Time) int {
	if now.Sub(p.periodStart) >= peerCountRetention {
		p.previous, p.current = p.current, 0
		p.periodStart = now
	}
	p.current = max(p.current, n)
	return max(p.previous, p.current)
}
