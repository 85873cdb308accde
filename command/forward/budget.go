package forward

import (
	"sync"
	"time"

	"github.com/martenport/martenport/internal/clock"
)

// BudgetParams bound the repeated sends of all instances together.
type BudgetParams struct {
	// Ratio is the fraction of a service's requests that may be sent again within Window, and Extra
	// the number of repeated sends allowed beyond that. Both apply to the sum over all instances.
	Ratio, Extra float64
	Window       time.Duration
	// Domains is the number of failure domains among which Extra is divided equally.
	Domains int
}

// Fractions of the bound, see Budget.
const (
	// accrualFraction is the fraction of the bound that accrues per window. A service that fails
	// for a long time can spend this much in every window.
	accrualFraction = 0.5
	// boundFraction is the fraction of the bound that can be spent within one window at most: what
	// was saved before the window plus what accrues for it.
	boundFraction = 0.995
	// maxDelay is the maximum sum of the delay with which requests are recorded here and the delay
	// with which drawn sends arrive at a backend server: a connection takes at most 0.8 s, and a
	// send is made within drawValidity after its draw. It does not depend on the window: when it was
	// a fraction of the window, suitable for 10 s, 5% too many sends arrived in windows of 4 s.
	maxDelay = 1500 * time.Millisecond
	// sharedFraction is the fraction of Extra that is divided among instances. The rest is a
	// reserve: instances learn of a new one at different times, and until all of them have reduced
	// their shares, the shares add up to more than the total.
	sharedFraction = 0.95
	// roundingError is the tolerance for the sums of fractions that accrue; it is less than one
	// repeated send.
	roundingError = 1e-6
)

// Budget is one instance's share of the repeated sends to each service, kept in a token bucket for
// each service.
//
// The bound applies to the sum over all instances, and no instance knows what the others, or an
// earlier process on its machine, have spent. Therefore a bucket starts empty, and lost state only
// makes it smaller: if buckets started full, each restart would spend the share again. The bucket
// of a service gains accrualFraction x Ratio with each request and accrualFraction x extraShare in
// each Window, and holds at most capacityFraction x (Ratio x requests remembered + extraShare). A
// send that arrives within a Window was drawn in it or at most maxDelay before it. So the processes
// of one machine can spend at most what their bucket held maxDelay before the Window plus what has
// accrued from then to the end of the Window:
//
//	capacityFraction x (Ratio x requests before + extraShare) +
//	accrualFraction x (Ratio x requests since + extraShare x (1 + maxDelay / Window))
//
// All these requests were made in the Window or in the one before it, since the requests of the
// last Window - maxDelay are remembered. Neither fraction exceeds one half, so the sum over all
// machines is at most Ratio x the larger request count of the two windows + boundFraction x all
// shares, and these add up to sharedFraction x Extra.
type Budget struct {
	mu      sync.Mutex
	created time.Time
	params  BudgetParams       // guarded by mu
	buckets map[string]*bucket // guarded by mu
	// idle is the bucket of all services without requests so far; the bucket of a service starts
	// with its level. Guarded by mu.
	idle bucket
	// instances is the number of instances that share this failure domain's part of Extra; 0 if
	// unknown; guarded by mu.
	instances int
}

// bucket holds what may be spent on repeated sends to a service, as calculated at updated.
type bucket struct {
	level   float64
	updated time.Time
	// requests are the times of the requests that are remembered, and repeats those of the repeated
	// sends of the last window, both in chronological order.
	requests, repeats []time.Time
}

// NewBudget returns a budget with empty buckets.
func NewBudget(p BudgetParams) *Budget {
	return &Budget{created: clock.Now(), params: p, buckets: map[string]*bucket{}}
}

// SetParams replaces the parameters from now on.
func (b *Budget) SetParams(p BudgetParams, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillAll(now)
	b.params = p
}

// SetInstances sets the number of instances that share this failure domain's part of Extra. While
// it is unknown (0), this instance has no share of Extra: if the number were underestimated, all
// instances together would spend more than Extra.
func (b *Budget) SetInstances(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.instances {
		return
	}
	b.refillAll(now)
	b.instances = n
}

// RecordRequest records a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(service, now)
	bkt.requests = append(bkt.requests, now)
	bkt.level = min(bkt.level+accrualFraction*b.params.Ratio, b.capacity(bkt))
}

// Take reports whether the budget allows one more send of a request, and spends it if so.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(service, now)
	if bkt.level < 1-roundingError {
		return false
	}
	bkt.level = max(0, bkt.level-1)
	bkt.repeats = append(bkt.repeats, now)
	return true
}

// BudgetState is the state of a bucket that a decision of Take was based on, for the log.
type BudgetState struct {
	// Level is the number of repeated sends that may still be made.
	Level float64
	// Requests is the number of requests remembered, and Repeats the number of repeated sends in
	// the window that ends now, both at this instance.
	Requests, Repeats int
	// Instances is the number of instances that share this failure domain's part of Extra; 0 if
	// unknown.
	Instances int
	// Age is the time since this Budget was created, at the start of the process.
	Age time.Duration
}

// State returns the present state of the bucket of a service.
func (b *Budget) State(service string, now time.Time) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(service, now)
	return BudgetState{Level: bkt.level, Requests: len(bkt.requests), Repeats: len(bkt.repeats), Instances: b.instances, Age: now.Sub(b.created)}
}

// bucket returns the bucket of a service, refilled up to now. b.mu must be held.
func (b *Budget) bucket(service string, now time.Time) *bucket {
	bkt := b.buckets[service]
	if bkt == nil {
		b.refill(&b.idle, now)
		bkt = &bucket{level: b.idle.level, updated: b.idle.updated}
		b.buckets[service] = bkt
	}
	b.refill(bkt, now)
	return bkt
}

// refillAll refills all buckets up to now. It is called before a change of the rate at which they
// refill. b.mu must be held.
func (b *Budget) refillAll(now time.Time) {
	b.refill(&b.idle, now)
	for _, bkt := range b.buckets {
		b.refill(bkt, now)
	}
}

// refill adds what has accrued since the last call, and drops requests and repeats that are outside
// the window. b.mu must be held.
func (b *Budget) refill(bkt *bucket, now time.Time) {
	if bkt.updated.IsZero() {
		bkt.updated = now
	}
	if elapsed := now.Sub(bkt.updated); elapsed > 0 {
		bkt.level += b.accrued(elapsed)
		bkt.updated = now
	}
	bkt.requests = dropBefore(bkt.requests, now.Add(-max(0, b.params.Window-maxDelay)))
	bkt.repeats = dropBefore(bkt.repeats, now.Add(-b.params.Window))
	bkt.level = min(bkt.level, b.capacity(bkt))
}

// accrued returns what a bucket gains within elapsed. b.mu must be held.
func (b *Budget) accrued(elapsed time.Duration) float64 {
	if b.params.Window <= 0 {
		return 0
	}
	return accrualFraction * b.extraShare() * float64(elapsed) / float64(b.params.Window)
}

// capacity returns the highest level of a bucket. b.mu must be held.
func (b *Budget) capacity(bkt *bucket) float64 {
	return b.capacityFraction() * (b.params.Ratio*float64(len(bkt.requests)) + b.extraShare())
}

// capacityFraction returns the fraction of the bound that can be saved for a sudden failure:
// boundFraction less what accrues in a window and in maxDelay before it. It is 0 in windows that
// are not longer than about maxDelay. b.mu must be held.
func (b *Budget) capacityFraction() float64 {
	if b.params.Window <= 0 {
		return 0
	}
	return max(0, boundFraction-accrualFraction*(1+float64(maxDelay)/float64(b.params.Window)))
}

// extraShare returns this instance's part of Extra. b.mu must be held.
func (b *Budget) extraShare() float64 {
	if b.instances <= 0 {
		return 0
	}
	return sharedFraction * b.params.Extra / float64(max(1, b.params.Domains)) / float64(b.instances)
}

// dropBefore returns the times that are not before from; times must be sorted.
func dropBefore(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}
