package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Draw is a request that asks for a part of its workspace's limit.
type Draw struct {
	Cost float64
	// Request identifies the request over all its attempts, at whichever instances; 0 if unknown. Nothing
	// is booked for an unknown request.
	Request uint64
	// Class is the traffic class of the request.
	Class serving.TrafficClass
	// Within is the time from the request's first attempt within which its place must come to be of use to
	// the client, and Left the same from now on. Nothing is booked if one of them is 0.
	Within, Left time.Duration
}

// booking is a part of a limit's future gains that is kept for a refused request until it returns.
type booking struct {
	request uint64
	class   serving.TrafficClass
	cost    float64
	// at is when the limit will suffice for the request.
	at time.Time
}

// told is a refused request without a booking.
type told struct {
	// first is when it was refused first, and until the time that it was told last.
	first, until time.Time
	// early is the number of returns before that time.
	early int
}

// returns are the refused requests of a workspace that were told when to return.
type returns struct {
	// booked are those for which room is kept, ordered by time.
	booked []booking
	// told are the others.
	told     map[uint64]told
	purgedAt time.Time
	// asked is, by class, the smoothed cost per second of the requests that are no returns, as of askedAt.
	asked   map[serving.TrafficClass]float64
	askedAt time.Time
}

const (
	// maxBookings, maxTold and maxClasses bound what is kept of a workspace, and with it the memory and the
	// work of a query.
	maxBookings, maxTold, maxClasses = 256, 1024, 8
	// maxBookingDelay bounds how far in the future gains are booked. Few clients wait longer.
	maxBookingDelay = 10 * time.Second
	// returnGrace is how long a place is kept after its time: a client needs a new connection, and the
	// answers may be slow under load.
	returnGrace = time.Second
	// returnTolerance is how much before its time a request may return, since the clocks of clients run at
	// different rates.
	returnTolerance = 20 * time.Millisecond
	// purgeInterval is the shortest interval between searches for told requests that have not returned.
	purgeInterval = 100 * time.Millisecond
	// maxToldDelay bounds the told times that are heeded: a later one stems from a jump of the clock.
	maxToldDelay = time.Minute
	// maxEarly is how often a request may return before its time and still get a place afterwards. A client
	// that honours Retry-After only for a part of its remaining time returns early once or twice.
	maxEarly = 3
	// askedWindow is the averaging time of what the classes ask for. A class that asks for less than minAsked
	// a second is forgotten.
	askedWindow = 3 * time.Second
	minAsked    = 0.01
)

// Grant answers a query for one request of which nothing is known but its cost. It must be called only
// while the lease is valid and the previous holder's lease has expired.
func (l *Lender) Grant(workspace string, cost float64, limit serving.Limit, now time.Time) Answer {
	return l.GrantBooked(workspace, Draw{Cost: cost}, limit, now)
}

// GrantBooked answers a query for one request, like Grant. It answers the load of a workspace that asks
// for several times its limit: if all refused requests were told the time as if they were alone, they
// would return together, and all but one would be refused again. Here each gets a place behind those of
// its traffic class, and what the limit gains for that place is kept for it until it returns, at whichever
// instance. The classes share the gains, so that urgent requests are not behind patient ones, and few light
// ones not behind many heavy ones. A request whose place would come too late for its client
// gets none; it is told when there will be room behind the others. Places that nobody claims lapse.
//
// A request that returns before its time gains nothing, and if it does so often it gets no place, except if
// the reserve is full and would not gain more.
func (l *Lender) GrantBooked(workspace string, d Draw, limit serving.Limit, now time.Time) Answer {
	if !limit.Limited() {
		return Answer{Granted: true, Known: true}
	}
	a := l.account(workspace, limit, now)
	l.refill(a, now)
	if d.Cost > l.params.capacity(limit) {
		return Answer{Known: true}
	}
	r := &a.returns
	r.dropLapsed(now)
	i := r.find(d.Request)
	if i < 0 {
		r.recordAsked(d, now)
	}
	if r.mayTake(i, d, a.reserve.level, limit.Rate, now) || a.reserve.level >= max(d.Cost, a.unlent.Saved) {
		a.reserve.Take(d.Cost)
		r.remove(i, d.Request)
		return Answer{Granted: true, Known: true}
	}
	if i >= 0 {
		return Answer{Known: true, After: max(minReturnDelay, r.booked[i].at.Sub(now)), Place: i + 1}
	}
	if wait := r.waitOf(d.Request, now); wait > 0 {
		r.recordEarly(d.Request)
		return Answer{Known: true, After: wait}
	}
	return r.refuse(d, a.reserve.level, limit.Rate, now)
}

// minReturnDelay is the shortest time that a refused request is told.
const minReturnDelay = returnTolerance + time.Millisecond

// mayTake reports whether a request may be granted from a reserve of the given level, which gains rate per
// second. i is the index of its booking, -1 if it has none.
func (r *returns) mayTake(i int, d Draw, level, rate float64, now time.Time) bool {
	if i >= 0 {
		return level >= d.Cost && !now.Before(r.booked[i].at.Add(-returnTolerance))
	}
	if r.waitOf(d.Request, now) > 0 || r.told[d.Request].early >= maxEarly {
		return false
	}
	return level >= d.Cost+r.keptFrom(d.Class, rate, now)
}

// refuse books a place for a request, or tells it only when there will be room.
func (r *returns) refuse(d Draw, level, rate float64, now time.Time) Answer {
	t, known := r.told[d.Request]
	if !known {
		t.first = now
	}
	after := r.placeAfter(d, level, rate, now)
	if d.Request == 0 {
		return Answer{Known: true, After: after}
	}
	useful := min(d.Within-now.Sub(t.first), d.Left, maxBookingDelay)
	if after > useful || t.early >= maxEarly || len(r.booked) >= maxBookings {
		t.until = now.Add(after)
		r.tell(d.Request, t, now)
		return Answer{Known: true, After: after}
	}
	b := booking{d.Request, d.Class, d.Cost, now.Add(after)}
	i, _ := slices.BinarySearchFunc(r.booked, b, func(x, y booking) int { return x.at.Compare(y.at) })
	r.booked = slices.Insert(r.booked, i, b)
	return Answer{Known: true, After: after, Place: i + 1}
}

// placeAfter returns the time until the next place of a class. What is lent is used up and becomes
// available again, so the full rate of the limit applies.
func (r *returns) placeAfter(d Draw, level, rate float64, now time.Time) time.Duration {
	last, missing := now, d.Cost+r.keptFrom(d.Class, rate, now)-level
	for _, b := range r.booked {
		if b.class == d.Class && b.at.After(last) {
			last, missing = b.at, d.Cost
		}
	}
	if len(r.booked) > 0 {
		rate = r.fairRate(d.Class, rate)
	}
	after := last.Sub(now) + time.Duration(max(0, missing)/rate*float64(time.Second))
	return min(max(after, minReturnDelay), maxToldDelay)
}

// recordAsked adds a request to what its class asks for, unless it returns.
func (r *returns) recordAsked(d Draw, now time.Time) {
	if _, known := r.told[d.Request]; known {
		return
	}
	if r.asked == nil {
		r.asked = map[serving.TrafficClass]float64{}
	}
	decay := math.Exp(-max(0, now.Sub(r.askedAt).Seconds()) / askedWindow.Seconds())
	for class := range r.asked {
		if r.asked[class] *= decay; r.asked[class] < minAsked {
			delete(r.asked, class)
		}
	}
	r.askedAt = now
	if _, known := r.asked[d.Class]; known || len(r.asked) < maxClasses {
		r.asked[d.Class] += d.Cost / askedWindow.Seconds()
	}
}

// fairRate returns the part of a rate that a class gets. If all ask for more than that, no class gets more than
// it asks for while another one gets less.
func (r *returns) fairRate(class serving.TrafficClass, rate float64) float64 {
	demand, sum := max(r.asked[class], minAsked), 0.0
	for _, d := range r.asked {
		sum += d
	}
	if sum <= rate {
		return rate * min(1, demand/max(sum, minAsked))
	}
	left, fair := rate, rate
	demands := slices.Sorted(maps.Values(r.asked))
	for i, d := range demands {
		fair = left / float64(len(demands)-i)
		if d > fair {
			break
		}
		left -= d
	}
	return min(fair, max(demand, rate/maxClasses))
}

// light reports whether a class asks for so little that its requests need not queue: less than half of what
// the classes ask for in the mean, and less than half of an equal part of the rate.
func (r *returns) light(class serving.TrafficClass, rate float64) bool {
	sum := 0.0
	for _, demand := range r.asked {
		sum += demand
	}
	demand, known := r.asked[class]
	return known && demand*2*float64(len(r.asked)) < min(sum, rate)
}

// keptFrom returns how much of the reserve is kept from the newcomers of a class.
func (r *returns) keptFrom(class serving.TrafficClass, rate float64, now time.Time) float64 {
	if r.light(class, rate) {
		return 0
	}
	return r.keptFor(rate, now)
}

// keptFor returns how much of a reserve that gains rate per second must be kept so that each booked request
// finds its cost when its place comes.
func (r *returns) keptFor(rate float64, now time.Time) float64 {
	kept, sum := 0.0, 0.0
	for _, b := range r.booked {
		sum += b.cost
		kept = max(kept, sum-rate*max(0, b.at.Sub(now).Seconds()))
	}
	return kept
}

// find returns the index of a request's booking, -1 if it has none.
func (r *returns) find(request uint64) int {
	if request == 0 {
		return -1
	}
	return slices.IndexFunc(r.booked, func(b booking) bool { return b.request == request })
}

// remove forgets a request that runs. i is the index of its booking, -1 if it has none.
func (r *returns) remove(i int, request uint64) {
	delete(r.told, request)
	if i >= 0 {
		r.booked = slices.Delete(r.booked, i, i+1)
	}
}

// tell records what a request without a booking was told, if there is room.
func (r *returns) tell(request uint64, t told, now time.Time) {
	if len(r.told) >= maxTold && now.Sub(r.purgedAt).Abs() >= purgeInterval {
		r.purgedAt = now
		maps.DeleteFunc(r.told, func(_ uint64, t told) bool { return t.lapsed(now) })
	}
	if _, known := r.told[request]; !known && len(r.told) >= maxTold {
		return
	}
	if r.told == nil {
		r.told = map[uint64]told{}
	}
	r.told[request] = t
}

// recordEarly records that a request returned before its time.
func (r *returns) recordEarly(request uint64) {
	t := r.told[request]
	t.early++
	r.told[request] = t
}

// lapsed reports whether the request did not return in time, or the clock has jumped.
func (t told) lapsed(now time.Time) bool {
	wait := t.until.Sub(now)
	return wait < -returnGrace || wait > maxToldDelay
}

// waitOf returns how long a request without a booking still has to wait.
func (r *returns) waitOf(request uint64, now time.Time) time.Duration {
	t, known := r.told[request]
	if wait := t.until.Sub(now); known && !t.lapsed(now) && wait > returnTolerance {
		return wait
	}
	return 0
}

// dropLapsed removes the bookings whose requests did not return in time, and those that are further in
// the future than any is made, as after a jump of the clock.
func (r *returns) dropLapsed(now time.Time) {
	r.booked = slices.DeleteFunc(r.booked, func(b booking) bool {
		wait := b.at.Sub(now)
		return wait < -returnGrace || wait > maxBookingDelay
	})
}
