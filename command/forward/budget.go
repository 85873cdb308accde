package forward

import (
	"sync"
	"time"
)

// BudgetParams bound the repeated sends of all instances together.
type BudgetParams struct {
	// Ratio is the part of a service's requests that may be sent once more,
	// and Extra how many beyond it, within Window, over all instances.
	Ratio, Extra float64
	Window       time.Duration
}

// safety keeps what an instance takes for itself below its share: instances
// learn of each other with a lag, and requests spread unevenly.
const safety = 0.6

// Budget is one instance's share of the repeated sends to each service.
type Budget struct {
	began    time.Time
	mu       sync.Mutex
	params   BudgetParams        // guarded by mu
	services map[string]*account // guarded by mu
}

// account holds the recent requests and repeated sends, in the order of time.
type account struct {
	requests, repeats []time.Time
}

// NewBudget returns a budget of which nothing has been spent.
func NewBudget(p BudgetParams) *Budget {
	return &Budget{began: time.Now(), params: p, services: map[string]*account{}}
}

// SetParams puts other bounds in force.
func (b *Budget) SetParams(p BudgetParams) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.params = p
}

// Request notes a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.requests = append(a.requests, now)
}

// Take reports whether one more send of a request is within the share of one of
// instances, and spends it if so.
func (b *Budget) Take(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	share := b.params.Ratio*float64(len(a.requests)) + b.params.Extra/float64(max(1, instances))
	if float64(len(a.repeats)+1) > share*safety {
		return false
	}
	a.repeats = append(a.repeats, now)
	return true
}

// Spending is what a budget's decision rests on, for the log.
type Spending struct {
	// Requests and Repeats are those of the window that ends now, at this instance.
	Requests, Repeats int
	// Age is how long the process has kept count.
	Age time.Duration
}

// Spending returns the present account of a service.
func (b *Budget) Spending(service string, now time.Time) Spending {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	return Spending{Requests: len(a.requests), Repeats: len(a.repeats), Age: now.Sub(b.began)}
}

// account needs mu. It forgets what is older than the window.
func (b *Budget) account(service string, now time.Time) *account {
	a := b.services[service]
	if a == nil {
		a = &account{}
		b.services[service] = a
	}
	a.requests = recent(a.requests, now.Add(-b.params.Window))
	a.repeats = recent(a.repeats, now.Add(-b.params.Window))
	return a
}

func recent(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}
