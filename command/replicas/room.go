package replicas

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// The load that this file answers: callers of different patience and priority share the engines of a service, and one
// class of them sends a burst. Each class is guaranteed the room that it usually takes. Room that a class does not use
// is lent to the others, and what a class asks for beyond its guarantee it gets only from what is left.

// usualWindow is the time constant of the usual room of a class. It is scarceUsualWindow while room is scarce: a burst
// lasts seconds, a lasting change of demand longer, and a burst must not raise its own guarantee.
const (
	usualWindow       = 15 * time.Second
	scarceUsualWindow = 5 * time.Minute
)

// minHistory is how long a class must have been observed without a shortage until its usual room is known.
const minHistory = 5 * time.Second

// warmUp is how long rates rise after the first report until they include what is usual.
const warmUp = 2 * trafficWindow

// usualRoom is the number of concurrent requests that a class usually has in a service.
type usualRoom struct {
	requests float64
	// begun is how long traffic has been counted, up to warmUp.
	begun time.Duration
	// observed is how long the class has been observed without a shortage, up to usualWindow.
	observed time.Duration
}

// known reports whether the class has been observed for long enough.
func (u usualRoom) known() bool { return u.observed >= minHistory }

// observe records that the class asked for a number of concurrent requests for a time.
func (u *usualRoom) observe(requests float64, scarce bool, passed time.Duration) {
	passed = min(passed, time.Second) // nothing is known of a longer pause
	switch {
	case passed <= 0:
	case u.begun < warmUp:
		u.begun += passed
	case !scarce:
		u.observed = min(usualWindow, u.observed+passed)
		u.requests += float64(passed) / float64(u.observed) * (requests - u.requests)
	case u.known():
		u.requests += float64(passed) / float64(scarceUsualWindow) * (requests - u.requests)
	}
}

// guaranteedShare returns the share of what a class asks for that its guarantee covers: all of it while its usual
// room is not known. What is usual varies by chance: a count has the deviation of its
// square root, of which three cover nearly all that is no burst.
func (u usualRoom) guaranteedShare(requested float64) float64 {
	guaranteed := u.requests + 3*math.Sqrt(max(0, u.requests))
	if !u.known() || requested <= guaranteed {
		return 1
	}
	return guaranteed / requested
}

// claim is what one class asks for, in concurrent requests.
type claim struct {
	class serving.TrafficClass
	// requested includes guaranteed, the part that the guarantee of the class covers.
	requested, guaranteed float64
}

// divideRoom returns the share of its requests that each class is admitted, in the order of claims. room is for how
// many there is room once the queues are as long as they should be, and excess how many fewer must come until then.
//
// Guaranteed requests come first. If there is too little room even for them, the classes are admitted in proportion to
// their weight. What is left goes to the highest priority that asks for more. The excess is taken from those that got
// more than their guarantee, and then from the lowest priority only, because the queues are its: engines serve the
// higher ones first. A class is never admitted a smaller share than one of lower priority.
func divideRoom(room, excess float64, claims []claim) []float64 {
	guaranteed := fillByWeight(room, claims)
	for _, g := range guaranteed {
		room -= g
	}
	lent := make([]float64, len(claims))
	for priority := range serving.LowestPriority + 1 {
		room -= lend(room, priority, claims, lent)
	}
	last := 0
	for priority := serving.LowestPriority; priority >= 0; priority-- {
		excess -= withdraw(excess, priority, claims, lent)
	}
	for _, c := range claims {
		last = max(last, c.class.Priority)
	}
	withdraw(excess, last, claims, guaranteed)
	for i := range lent {
		lent[i] += guaranteed[i]
	}
	return orderedShares(claims, lent)
}

// withdraw lowers what classes of one priority are admitted by up to excess requests, and returns by how many.
func withdraw(excess float64, priority int, claims []claim, admitted []float64) float64 {
	total := 0.0
	for i, c := range claims {
		if c.class.Priority == priority {
			total += admitted[i]
		}
	}
	if total <= 0 || excess <= 0 {
		return 0
	}
	share := min(1, excess/total)
	for i, c := range claims {
		if c.class.Priority == priority {
			admitted[i] *= 1 - share
		}
	}
	return share * total
}

// lend admits requests of one priority beyond the guarantees of their classes, as far as there is room, and returns how
// many.
func lend(room float64, priority int, claims []claim, admitted []float64) float64 {
	extra := 0.0
	for _, c := range claims {
		if c.class.Priority == priority {
			extra += c.requested - c.guaranteed
		}
	}
	if extra <= 0 || room <= 0 {
		return 0
	}
	share := min(1, room/extra)
	for i, c := range claims {
		if c.class.Priority == priority {
			admitted[i] += share * (c.requested - c.guaranteed)
		}
	}
	return share * extra
}

// fillByWeight returns how many of the guaranteed requests of each class fit into the room. The admitted share of a
// class is proportional to its weight, up to 1, so that priorities are filled in their order.
func fillByWeight(room float64, claims []claim) []float64 {
	admitted := make([]float64, len(claims))
	for priority := range serving.LowestPriority + 1 {
		open := 0.0 // the guaranteed requests of this priority and lower ones, by weight
		for _, c := range claims {
			if c.class.Priority >= priority {
				open += c.guaranteed * serving.Weight(c.class.Priority)
			}
		}
		if open <= 0 || room <= 0 {
			break
		}
		share := min(1, room/open*serving.Weight(priority))
		for i, c := range claims {
			if c.class.Priority == priority {
				admitted[i] = share * c.guaranteed
				room -= admitted[i]
			}
		}
	}
	return admitted
}

// orderedShares converts admitted requests into shares. A class of higher priority with a smaller share than the next
// lower one shares the room of both with it.
func orderedShares(claims []claim, admitted []float64) []float64 {
	type group struct {
		admitted, requested float64
		members             []int
	}
	share := func(g group) float64 {
		if g.requested <= 0 {
			return 1
		}
		return g.admitted / g.requested
	}
	var order []int
	for i, c := range claims {
		if c.requested > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(claims[a].class.Priority, claims[b].class.Priority),
			cmp.Compare(admitted[b]/claims[b].requested, admitted[a]/claims[a].requested))
	})
	var groups []group
	for _, i := range order {
		g := group{admitted[i], claims[i].requested, []int{i}}
		for len(groups) > 0 && share(groups[len(groups)-1]) < share(g) && claims[groups[len(groups)-1].members[0]].class.Priority < claims[i].class.Priority {
			above := groups[len(groups)-1]
			groups = groups[:len(groups)-1]
			g = group{above.admitted + g.admitted, above.requested + g.requested, append(above.members, g.members...)}
		}
		groups = append(groups, g)
	}
	shares := make([]float64, len(claims))
	for i := range shares {
		shares[i] = 1
	}
	for _, g := range groups {
		for _, i := range g.members {
			shares[i] = min(1, share(g))
		}
	}
	return shares
}
