package placement

import (
	"slices"
	"time"
)

// keptGaps is how many idle gaps are remembered for one unit: enough for two
// bursts a day over a fortnight.
const keptGaps = 28

// burstGap is the shortest pause between uses that counts as idleness. Shorter
// ones are pauses within a burst and would drown the long ones.
const burstGap = 5 * time.Second

// History is the recent idle gaps of one unit.
type History struct {
	Last time.Time
	Gaps []time.Duration
}

// Histories holds the history of each unit by id.
type Histories map[string]*History

// Use notes that the unit was last used at t.
func (h Histories) Use(unitID string, t time.Time) {
	one, found := h[unitID]
	if !found {
		h[unitID] = &History{Last: t}
		return
	}
	gap := t.Sub(one.Last)
	if gap <= 0 {
		return
	}
	one.Last = t
	if gap < burstGap {
		return
	}
	one.Gaps = append(one.Gaps, gap)
	if len(one.Gaps) > keptGaps {
		one.Gaps = slices.Delete(one.Gaps, 0, 1)
	}
}

// Gaps returns the unit's gaps, or the gaps of all units when it has too few
// of its own to say anything.
func (h Histories) Gaps(unitID string) []time.Duration {
	if one, found := h[unitID]; found && len(one.Gaps) >= minGaps {
		return one.Gaps
	}
	var pooled []time.Duration
	for _, one := range h {
		pooled = append(pooled, one.Gaps...)
	}
	return pooled
}

// minGaps is the fewest gaps from which a unit's own keep-alive is worked out.
const minGaps = 3

// ReturnChance estimates how likely a unit that has been idle for age is used
// again within horizon, with one pseudo-count on either side.
func ReturnChance(gaps []time.Duration, age, horizon time.Duration) float64 {
	returned, open := 1.0, 2.0
	for _, g := range gaps {
		if g <= age {
			continue
		}
		open++
		if g <= age+horizon {
			returned++
		}
	}
	return returned / open
}

// KeepFor returns how long an idle unit is kept. Of the lengths that would
// have mattered in the past gaps it takes the one with the least cost, where a
// second of idle memory costs idleCost and a load that has to be repeated
// costs loadCost. Without past gaps it is the length at which both are equal,
// which is at most twice the cost of the best choice in hindsight.
func KeepFor(gaps []time.Duration, idleCost, loadCost float64) time.Duration {
	breakEven := time.Duration(loadCost / idleCost * float64(time.Second))
	if len(gaps) < minGaps {
		return breakEven
	}
	best, bestCost := time.Duration(0), keepCost(gaps, 0, idleCost, loadCost)
	for _, g := range gaps {
		keep := g + g/keepMargin
		if cost := keepCost(gaps, keep, idleCost, loadCost); cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return best
}

// keepMargin adds a tenth to a gap seen before, since the next is not the same
// to the second.
const keepMargin = 10

func keepCost(gaps []time.Duration, keep time.Duration, idleCost, loadCost float64) float64 {
	cost := 0.0
	for _, g := range gaps {
		cost += min(g, keep).Seconds() * idleCost
		if g > keep {
			cost += loadCost
		}
	}
	return cost
}
