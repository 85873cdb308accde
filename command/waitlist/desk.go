package waitlist

import (
	"sync"
	"time"
)

// Desk is one instance's part in the list. It is safe for concurrent use.
type Desk struct {
	mu sync.Mutex
	// refused and begun are not yet reported.
	refused []refusal       // guarded by mu
	begun   []uint64        // guarded by mu
	due     map[uint64]bool // guarded by mu
	queues  map[Key]Queue   // guarded by mu
	own     map[Key]float64 // requests refused here since the update; guarded by mu
	// updatedAt is when the last update was received; guarded by mu.
	updatedAt time.Time
}

// refusal is a request that was refused at a time.
type refusal struct {
	Refused
	at time.Time
}

// NewDesk returns a Desk that knows of no list.
func NewDesk() *Desk {
	return &Desk{due: map[uint64]bool{}, queues: map[Key]Queue{}, own: map[Key]float64{}}
}

// Begin reports whether it is the turn of a request, which then runs.
func (d *Desk) Begin(request uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if request == 0 || !d.current(now) || !d.due[request] {
		return false
	}
	delete(d.due, request)
	if len(d.begun) < maxReported {
		d.begun = append(d.begun, request)
	}
	return true
}

// Refuse returns when the turn of a refused request is expected to come. The request gets a turn if that is within
// the given time. known is false while the holder has told nothing about the model; the request is then listed.
// random, in [0, 1), spreads the returns of requests that different instances refuse at the same time.
func (d *Desk) Refuse(r Refused, within time.Duration, random float64, now time.Time) (wait time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := Key{r.Model, r.Class}
	queue, known := d.queues[key]
	known = known && d.current(now)
	if known {
		wait = queue.Wait + time.Duration((d.own[key]+random)*float64(queue.Each))
		wait += time.Duration(random * float64(returnSpread))
	}
	r.TooLate = wait > within
	if r.Request != 0 && len(d.refused) < maxReported {
		d.refused = append(d.refused, refusal{r, now})
	}
	if !r.TooLate && len(d.own) < maxModels {
		d.own[key]++
	}
	return wait, known
}

// returnSpread is the time over which the returns of requests are spread that were refused between two updates.
const returnSpread = 500 * time.Millisecond

// current reports whether the last update is still relied on. d.mu must be held.
func (d *Desk) current(now time.Time) bool {
	age := now.Sub(d.updatedAt)
	return age >= 0 && age < dueLifetime
}

// Report returns the next report, and forgets what it contains.
func (d *Desk) Report(now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Begun: d.begun}
	for _, refused := range d.refused {
		refused.Age = max(0, now.Sub(refused.at))
		r.Refused = append(r.Refused, refused.Refused)
	}
	d.refused, d.begun = nil, nil
	return r
}

// Restore takes back a report that was not answered. The holder may have received it: listing a request twice, or
// naming it twice as begun, changes nothing.
func (d *Desk) Restore(r Report, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, refused := range r.Refused {
		if len(d.refused) < maxReported {
			d.refused = append(d.refused, refusal{refused, now.Add(-refused.Age)})
		}
	}
	d.begun = append(d.begun, r.Begun[:min(len(r.Begun), maxReported-len(d.begun))]...)
}

// Apply replaces what is known by the holder's update. Requests that began here since the last report stay begun.
func (d *Desk) Apply(u Update, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updatedAt = now
	clear(d.queues)
	for _, q := range u.Queues[:min(len(u.Queues), maxQueues)] {
		d.queues[Key{q.Model, q.Class}] = q
	}
	clear(d.own)
	clear(d.due)
	for _, request := range u.Due[:min(len(u.Due), maxDue)] {
		d.due[request] = true
	}
	for _, request := range d.begun {
		delete(d.due, request)
	}
}
