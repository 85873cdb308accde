package entry

import "time"

// peerCountRetention is how long a higher count of instances is kept after it was last
// heard. One that falls may mean that a new holder does not hear from all: those cut
// off from it go on spending their shares of the budget of repeated sends, and the
// others must not take these.
const peerCountRetention = 10 * time.Minute

// peerCount is how many instances share a failure domain's part of the budget: the
// highest number that holders have told within peersMemory, at least. It keeps the
// highest of the period that runs and of the one before.
type peerCount struct {
	periodStart       time.Time
	current, previous int
}

// update notes a holder's count, 0 if it has none yet, and returns the highest.
func (p *peerCount) update(n int, now time.Time) int {
	if now.Sub(p.periodStart) >= peerCountRetention {
		p.previous, p.current = p.current, 0
		p.periodStart = now
	}
	p.current = max(p.current, n)
	return max(p.previous, p.current)
}
