package placement

import (
	"slices"
	"time"
)

// Bounds on the recorded idle gaps: maxGapsPerUnit for each unit, maxPooledGaps for all units
// together.
const (
	maxGapsPerUnit = 48
	maxPooledGaps  = 256
)

// minIdleGap is the shortest pause between uses that counts as idle time. Shorter pauses belong to
// a burst of requests.
const minIdleGap = time.Second

// UsageHistories records the recent idle gaps of the units that an orderer has seen. It is not safe
// for concurrent use.
type UsageHistories struct {
	units map[string]*unitHistory
	// pool is a ring buffer of the latest gaps of all units. It serves as the prior for units that
	// have few gaps of their own.
	pool     []time.Duration
	poolNext int // index in pool to overwrite next once the pool is full
}

type unitHistory struct {
	lastUsed time.Time
	gaps     []time.Duration
}

// NewUsageHistories returns a UsageHistories without any records.
func NewUsageHistories() *UsageHistories {
	return &UsageHistories{units: map[string]*unitHistory{}}
}

// RecordUse records that the unit was in use at t. A pause of at least minIdleGap since the
// previous use is recorded as an idle gap.
func (h *UsageHistories) RecordUse(unitID string, t time.Time) {
	unit, found := h.units[unitID]
	if !found {
		h.units[unitID] = &unitHistory{lastUsed: t}
		return
	}
	gap := t.Sub(unit.lastUsed)
	if gap <= 0 {
		return
	}
	unit.lastUsed = t
	if gap < minIdleGap {
		return
	}
	unit.gaps = append(unit.gaps, gap)
	if len(unit.gaps) > maxGapsPerUnit {
		unit.gaps = slices.Delete(unit.gaps, 0, 1)
	}
	if len(h.pool) < maxPooledGaps {
		h.pool = append(h.pool, gap)
		return
	}
	h.pool[h.poolNext] = gap
	h.poolNext = (h.poolNext + 1) % maxPooledGaps
}

// RecordReady records that the unit became ready at t after a load. The duration of the load does
// not count as idle time.
func (h *UsageHistories) RecordReady(unitID string, t time.Time) {
	if unit, found := h.units[unitID]; found && t.After(unit.lastUsed) {
		unit.lastUsed = t
	}
}

// Gaps returns the recorded idle gaps of the unit. The caller must not modify the slice.
func (h *UsageHistories) Gaps(unitID string) []time.Duration {
	if unit, found := h.units[unitID]; found {
		return unit.gaps
	}
	return nil
}

// priorWeight is the weight of the whole pool, in gaps of the unit itself.
const priorWeight = 8.0

// ReuseProbability estimates the probability that the unit, idle for age, is used again within
// horizon.
func (h *UsageHistories) ReuseProbability(unitID string, age, horizon time.Duration) float64 {
	own := h.Gaps(unitID)
	reused, total := 1.0, 2.0 // one reuse and one miss as a prior, for units without history
	count := func(gaps []time.Duration, weight float64) {
		for _, g := range gaps {
			if g <= age {
				continue
			}
			total += weight
			if g <= age+horizon {
				reused += weight
			}
		}
	}
	count(own, 1)
	if len(h.pool) > 0 {
		count(h.pool, priorWeight/float64(len(h.pool)))
	}
	return reused / total
}

// KeepAlive returns how long the idle unit should stay loaded. It evaluates candidate durations
// against the recorded gaps and returns the one with the lowest total cost, where idleCost is the
// cost of one second of idle memory and loadCost the cost of a load that has to be repeated.
// Without any recorded gap it returns the duration at which both costs are equal, which costs at
// most twice the optimum in hindsight.
func (h *UsageHistories) KeepAlive(unitID string, idleCost, loadCost float64) time.Duration {
	own := h.Gaps(unitID)
	if len(own)+len(h.pool) == 0 {
		return time.Duration(loadCost / idleCost * float64(time.Second))
	}
	cost := func(keep time.Duration) float64 {
		sum := keepAliveCost(own, keep, idleCost, loadCost) +
			assumedGapWeight*keepAliveCost(assumedGaps, keep, idleCost, loadCost)
		if len(h.pool) > 0 {
			sum += keepAliveCost(h.pool, keep, idleCost, loadCost) * priorWeight / float64(len(h.pool))
		}
		return sum
	}
	best, lowest := time.Duration(0), cost(0)
	for _, keep := range h.keepAliveCandidates(own) {
		if c := cost(keep); c < lowest {
			best, lowest = keep, c
		}
	}
	return best
}

// assumedGaps represent long gaps that a short history does not contain yet: that no longer gap was
// recorded does not mean that none will occur. Each of them has the weight assumedGapWeight, where
// a recorded gap of the unit has 1.
var assumedGaps = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, 6 * time.Hour}

const assumedGapWeight = 0.25

// gapMarginDivisor sets the margin added to a recorded gap: a tenth of it, since the next gap will
// not have exactly the same length.
const gapMarginDivisor = 10

// poolStride is the step between the pooled gaps that are used as candidates.
const poolStride = 8

func (h *UsageHistories) keepAliveCandidates(own []time.Duration) []time.Duration {
	out := make([]time.Duration, 0, len(own)+len(h.pool)/poolStride+1)
	for _, g := range own {
		out = append(out, g+g/gapMarginDivisor)
	}
	out = append(out, assumedGaps...)
	for i := 0; i < len(h.pool); i += poolStride {
		out = append(out, h.pool[i]+h.pool[i]/gapMarginDivisor)
	}
	return out
}

func keepAliveCost(gaps []time.Duration, keep time.Duration, idleCost, loadCost float64) float64 {
	cost := 0.0
	for _, g := range gaps {
		cost += min(g, keep).Seconds() * idleCost
		if g > keep {
			cost += loadCost
		}
	}
	return cost
}
