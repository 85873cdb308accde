package forward

import (
	"sync"
	"time"

	"github.com/martenport/martenport/internal/clock"
)

// BudgetParams bound the repeated sends of all instances together.
type BudgetParams struct {
	// Ratio is the part of a service's requests that may be sent once more,
	// and Extra how many beyond it, within Window, over all instances.
	Ratio, Extra float64
	Window       time.Duration
	// Domains is how many failure domains have an equal part of Extra each.
	Domains int
}

// Parts of the bound, see Budget.
const (
	// gained is the part that is gained within a window: a service in trouble for long
	// gets that much of it in each.
	gained = 0.5
	// whole is the part that is used up within a window at the most: what was saved up
	// before it and what is gained for it.
	whole = 0.995
	// lateness is how late requests may be noted here and draws may arrive at a backend
	// server, together: a connection takes 0.8 s at most, and a draw is sent within
	// prepaidFor. It is a time, whatever the window: allowed for as a part of 10 s it let
	// 5 in 100 too many arrive in windows of 4 s.
	lateness = 1500 * time.Millisecond
	// shared is the part of Extra that is shared out. The rest is for shares that add
	// up to more while instances learn of a new one.
	shared = 0.95
	// rounding is less than any repeat: gains are sums of fractions.
	rounding = 1e-6
)

// Budget is one instance's share of the repeated sends to each service.
//
// The bound is on the sum over all instances, and no instance knows what others, or
// an earlier process on its machine, have spent. So an account begins empty, and
// whatever is forgotten makes it smaller: an account that began full would have each
// restart spend the share again. The account of a service gains gained x Ratio with
// each request and gained x share with each Window, and has at most saved x (Ratio x
// requests remembered + share). What arrives within a Window was drawn in it or late
// before it, so that the processes of one machine have at most what they had then and
// gained since:
//
//	saved x (Ratio x requests before + share) + gained x (Ratio x requests since + share x (1 + lateness / Window))
//
// All these requests were made in the Window or in the one before it, since those of the
// last Window - lateness are remembered. Neither part is above one half, so the sum over
// all machines is at most Ratio x the larger count of the two windows + whole x all
// shares, and these add up to shared x Extra.
type Budget struct {
	mu       sync.Mutex
	began    time.Time
	params   BudgetParams        // guarded by mu
	services map[string]*account // guarded by mu
	// unused is the account of a service without requests so far; guarded by mu.
	unused account
	// instances share the part of this failure domain; 0 while that number is not
	// known; guarded by mu.
	instances int
}

// account is what may be spent on repeated sends to a service, as of settled.
type account struct {
	level   float64
	settled time.Time
	// requests are those remembered and repeats those of the last window, in the
	// order of time.
	requests, repeats []time.Time
}

// NewBudget returns a budget in which nothing has been gained.
func NewBudget(p BudgetParams) *Budget {
	return &Budget{began: clock.Now(), params: p, services: map[string]*account{}}
}

// SetParams puts other bounds in force.
func (b *Budget) SetParams(p BudgetParams, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settleAll(now)
	b.params = p
}

// SetInstances sets by how many instances the part of this failure domain is shared.
// While that is not known, 0, there is no share of Extra: a guess that is too small
// would have all instances together take more than there is.
func (b *Budget) SetInstances(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.instances {
		return
	}
	b.settleAll(now)
	b.instances = n
}

// Request notes a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.requests = append(a.requests, now)
	a.level = min(a.level+gained*b.params.Ratio, b.most(a))
}

// Take reports whether one more send of a request is within the budget, and spends
// it if so.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	if a.level < 1-rounding {
		return false
	}
	a.level = max(0, a.level-1)
	a.repeats = append(a.repeats, now)
	return true
}

// Spending is what a budget's decision rests on, for the log.
type Spending struct {
	// Level is what is left to spend.
	Level float64
	// Requests are those remembered and Repeats those of the window that ends now, at
	// this instance.
	Requests, Repeats int
	// Instances share the part of this failure domain; 0 while that is not known.
	Instances int
	// Age is how long the process has kept count.
	Age time.Duration
}

// Spending returns the present account of a service.
func (b *Budget) Spending(service string, now time.Time) Spending {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	return Spending{Level: a.level, Requests: len(a.requests), Repeats: len(a.repeats), Instances: b.instances, Age: now.Sub(b.began)}
}

// account needs mu. It returns the account of a service as of now.
func (b *Budget) account(service string, now time.Time) *account {
	a := b.services[service]
	if a == nil {
		b.settle(&b.unused, now)
		a = &account{level: b.unused.level, settled: b.unused.settled}
		b.services[service] = a
	}
	b.settle(a, now)
	return a
}

// settleAll needs mu. It is called before what accounts gain by changes.
func (b *Budget) settleAll(now time.Time) {
	b.settle(&b.unused, now)
	for _, a := range b.services {
		b.settle(a, now)
	}
}

// settle needs mu. It adds what time has brought, and forgets what is older than the
// window.
func (b *Budget) settle(a *account, now time.Time) {
	if a.settled.IsZero() {
		a.settled = now
	}
	if elapsed := now.Sub(a.settled); elapsed > 0 {
		a.level += b.gain(elapsed)
		a.settled = now
	}
	a.requests = recent(a.requests, now.Add(-max(0, b.params.Window-lateness)))
	a.repeats = recent(a.repeats, now.Add(-b.params.Window))
	a.level = min(a.level, b.most(a))
}

// gain needs mu. It is what an account gains with time.
func (b *Budget) gain(elapsed time.Duration) float64 {
	if b.params.Window <= 0 {
		return 0
	}
	return gained * b.share() * float64(elapsed) / float64(b.params.Window)
}

// most needs mu. It is the highest level of an account.
func (b *Budget) most(a *account) float64 {
	return b.saved() * (b.params.Ratio*float64(len(a.requests)) + b.share())
}

// saved needs mu. It is the part that can be saved up for a sudden failure: what the
// gains of a window and of the lateness before it leave; nothing in windows not longer
// than about lateness.
func (b *Budget) saved() float64 {
	if b.params.Window <= 0 {
		return 0
	}
	return max(0, whole-gained*(1+float64(lateness)/float64(b.params.Window)))
}

// share needs mu. It is this instance's part of Extra.
func (b *Budget) share() float64 {
	if b.instances <= 0 {
		return 0
	}
	return shared * b.params.Extra / float64(max(1, b.params.Domains)) / float64(b.instances)
}

func recent(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}
