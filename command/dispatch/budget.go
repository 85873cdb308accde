package dispatch

import "sync"

// budget bounds retries to a part of the requests, so that a backend server in
// trouble is not sent several times the load, and a storm of retries does not
// cross into other failure domains.
type budget struct {
	ratio float64 // retries earned by each request
	most  float64 // retries that can be saved up

	mu   sync.Mutex
	left float64 // guarded by mu
}

func newBudget(ratio float64, most int) *budget {
	return &budget{ratio: ratio, most: float64(most), left: float64(most)}
}

// earn is called for each request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.most, b.left+b.ratio)
}

// spend reports whether a retry is within the budget, and takes it.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
