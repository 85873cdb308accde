package dispatch

import "sync"

// budget limits retries to a fraction of the requests, so that retries neither
// multiply the load on a failing backend server nor spread an overload to other
// failure domains.
type budget struct {
	ratio float64 // retries added per request
	burst float64 // maximum number of retries that accumulate

	mu        sync.Mutex
	available float64 // retries available; guarded by mu
}

func newBudget(ratio float64, burst int) *budget {
	return &budget{ratio: ratio, burst: float64(burst), available: float64(burst)}
}

// earn adds the share of one request to the budget.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.burst, b.available+b.ratio)
}

// spend takes one retry from the budget and reports whether one was available.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
