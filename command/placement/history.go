package placement

import (
	"slices"
	"time"
)

// keptGaps is how many idle gaps are remembered of one unit, and pooledGaps of
// all units together.
const (
	keptGaps   = 48
	pooledGaps = 256
)

// burstGap is the shortest pause between uses that counts as idleness.
const burstGap = time.Second

// Histories is the recent idle gaps of the units that an orderer has seen. It
// is not safe for concurrent use.
type Histories struct {
	units map[string]*history
	// pool holds the newest gaps of all units: what is known of a unit that
	// has few gaps of its own.
	pool []time.Duration
	next int // where the next gap goes once pool is full
}

type history struct {
	last time.Time
	gaps []time.Duration
}

// NewHistories returns empty histories.
func NewHistories() *Histories {
	return &Histories{units: map[string]*history{}}
}

// Use notes that the unit was last used at t.
func (h *Histories) Use(unitID string, t time.Time) {
	one, found := h.units[unitID]
	if !found {
		h.units[unitID] = &history{last: t}
		return
	}
	gap := t.Sub(one.last)
	if gap <= 0 {
		return
	}
	one.last = t
	if gap < burstGap {
		return
	}
	one.gaps = append(one.gaps, gap)
	if len(one.gaps) > keptGaps {
		one.gaps = slices.Delete(one.gaps, 0, 1)
	}
	if len(h.pool) < pooledGaps {
		h.pool = append(h.pool, gap)
		return
	}
	h.pool[h.next] = gap
	h.next = (h.next + 1) % pooledGaps
}

// Ready notes that the unit became ready at t, after a load. The time of the
// load is no idleness.
func (h *Histories) Ready(unitID string, t time.Time) {
	if one, found := h.units[unitID]; found && t.After(one.last) {
		one.last = t
	}
}

// Gaps returns the unit's own gaps.
func (h *Histories) Gaps(unitID string) []time.Duration {
	if one, found := h.units[unitID]; found {
		return one.gaps
	}
	return nil
}

// priorWeight is how many gaps of a unit's own the gaps of all units together
// are worth.
const priorWeight = 8.0

// ReturnChance estimates how likely the unit, idle for age, is used again
// within horizon.
func (h *Histories) ReturnChance(unitID string, age, horizon time.Duration) float64 {
	own := h.Gaps(unitID)
	returned, open := 1.0, 2.0 // one of either kind, for when nothing is known
	count := func(gaps []time.Duration, weight float64) {
		for _, g := range gaps {
			if g <= age {
				continue
			}
			open += weight
			if g <= age+horizon {
				returned += weight
			}
		}
	}
	count(own, 1)
	if len(h.pool) > 0 {
		count(h.pool, priorWeight/float64(len(h.pool)))
	}
	return returned / open
}

// KeepFor returns how long the idle unit is kept. Of the lengths that would
// have mattered in the past it takes the one with the least cost, where a
// second of idle memory costs idleCost and a load that has to be repeated
// loadCost. Without any past it is the length at which both are equal, which
// costs at most twice the best choice in hindsight.
func (h *Histories) KeepFor(unitID string, idleCost, loadCost float64) time.Duration {
	own := h.Gaps(unitID)
	if len(own)+len(h.pool) == 0 {
		return time.Duration(loadCost / idleCost * float64(time.Second))
	}
	cost := func(keep time.Duration) float64 {
		sum := keepCost(own, keep, idleCost, loadCost) + unseenWeight*keepCost(unseenGaps, keep, idleCost, loadCost)
		if len(h.pool) > 0 {
			sum += keepCost(h.pool, keep, idleCost, loadCost) * priorWeight / float64(len(h.pool))
		}
		return sum
	}
	best, least := time.Duration(0), cost(0)
	for _, keep := range h.candidates(own) {
		if c := cost(keep); c < least {
			best, least = keep, c
		}
	}
	return best
}

// unseenGaps stand for what a short history has not shown yet: that nothing
// longer was seen does not mean that nothing longer comes. Each weighs
// unseenWeight of a gap that was seen.
var unseenGaps = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, 6 * time.Hour}

const unseenWeight = 0.25

// keepMargin adds a tenth to a gap seen before, since the next is not the same
// to the second.
const keepMargin = 10

// poolStride takes every so many of the pooled gaps as a candidate.
const poolStride = 8

func (h *Histories) candidates(own []time.Duration) []time.Duration {
	out := make([]time.Duration, 0, len(own)+len(h.pool)/poolStride+1)
	for _, g := range own {
		out = append(out, g+g/keepMargin)
	}
	out = append(out, unseenGaps...)
	for i := 0; i < len(h.pool); i += poolStride {
		out = append(out, h.pool[i]+h.pool[i]/keepMargin)
	}
	return out
}

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
