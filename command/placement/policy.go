package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/backend"
)

// Policy decides which units are unloaded, and when. Its zero value is not usable; use
// DefaultPolicy.
type Policy struct {
	// Speeds is the expected load throughput in bytes per second, by checkpoint tier.
	Speeds map[backend.Tier]float64
	// MinIdle is how long a unit must have been idle before it may be unloaded to make room for
	// another one, so that two models do not evict each other in turn.
	MinIdle time.Duration
	// ColdStartWeight is the cost of one second of a request waiting for a load, in seconds of an
	// idle engine, at a tail weight of 0.5.
	ColdStartWeight float64
	// MaxKeepAlive is the upper bound on how long an idle unit is kept loaded.
	MaxKeepAlive time.Duration
	// FixedKeepAlive, if set, replaces the history-based decisions by a fixed keep-alive and
	// least-recently-used eviction. It is the baseline of the benchmarks.
	FixedKeepAlive time.Duration
}

// DefaultPolicy returns the policy for a server with fast local disks.
func DefaultPolicy() Policy {
	return Policy{
		Speeds:          map[backend.Tier]float64{backend.TierMemory: 12e9, backend.TierDisk: 3e9, backend.TierRemote: 1e9},
		MinIdle:         3 * time.Second,
		ColdStartWeight: 10,
		MaxKeepAlive:    6 * time.Hour,
	}
}

// EngineContext is the input, besides the ledger, of a decision about one engine.
type EngineContext struct {
	// Tiers maps unit IDs to the tier that caches the checkpoint. A missing entry means remote.
	Tiers     map[string]backend.Tier
	Histories *UsageHistories
	// Capacity is the engine's memory in bytes.
	Capacity int64
}

// LoadTime returns the expected time to load the given number of bytes from the tier. An unknown
// tier counts as remote.
func (p Policy) LoadTime(tier backend.Tier, bytes int64) time.Duration {
	speed, found := p.Speeds[tier]
	if !found {
		speed = p.Speeds[backend.TierRemote]
	}
	return time.Duration(float64(bytes) / speed * float64(time.Second))
}

// Evictable reports whether the unit may be unloaded to make room for another unit, or because
// another engine needs its slot.
func (p Policy) Evictable(e Entry, now time.Time) bool {
	return e.Phase == Resident && e.Running == 0 && now.Sub(e.LastUsed) >= p.MinIdle
}

// Victims returns the units to unload so that memory bytes become free, in ascending order of
// retention value (Greedy-Dual, after FaasCache, 2021). Units that are already being unloaded count
// as free. It returns ErrNoMemory if unloading every evictable unit would not be enough.
func (p Policy) Victims(l *Ledger, u backend.Unit, memory int64, c EngineContext, now time.Time) ([]backend.Unit, error) {
	room := l.Free()
	var candidates []Entry
	for _, e := range l.Entries {
		switch {
		case e.Phase == Unloading:
			room += e.MemoryBytes
		case e.Unit.ID() != u.Model && p.Evictable(e, now):
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(p.retentionValue(a, c, now), p.retentionValue(b, c, now)), cmp.Compare(a.Unit.ID(), b.Unit.ID()))
	})
	return selectUntilFits(candidates, room, memory)
}

// selectUntilFits returns the shortest prefix of candidates whose unloading raises room to at least
// memory bytes, or ErrNoMemory if all of them are not enough.
func selectUntilFits(candidates []Entry, room, memory int64) ([]backend.Unit, error) {
	var out []backend.Unit
	for _, e := range candidates {
		if room >= memory {
			break
		}
		room += e.MemoryBytes
		out = append(out, e.Unit)
	}
	if room < memory {
		return nil, ErrNoMemory
	}
	return out, nil
}

// retentionValue is the reload time multiplied by the probability of reuse, per byte of memory.
func (p Policy) retentionValue(e Entry, c EngineContext, now time.Time) float64 {
	idle := now.Sub(e.LastUsed)
	if p.FixedKeepAlive > 0 {
		return -idle.Seconds()
	}
	reload := p.LoadTime(c.Tiers[e.Unit.ID()], e.MemoryBytes).Seconds()
	probability := c.Histories.ReuseProbability(e.Unit.ID(), idle, reuseHorizon)
	return reload * probability / float64(e.MemoryBytes)
}

// reuseHorizon is how far ahead a reuse counts when a victim is chosen. It is about as long as the
// unit that replaces the victim is expected to stay.
const reuseHorizon = 10 * time.Minute

// IdleExpired reports whether the unit has been idle for longer than its keep-alive. tailWeight is
// the operators' setting, from 0 to 1.
func (p Policy) IdleExpired(e Entry, c EngineContext, tailWeight float64, now time.Time) bool {
	if e.Phase != Resident || e.Running > 0 {
		return false
	}
	return now.Sub(e.LastUsed) > p.KeepAlive(e, c, tailWeight)
}

// KeepAlive returns how long the unit stays loaded once it is idle.
func (p Policy) KeepAlive(e Entry, c EngineContext, tailWeight float64) time.Duration {
	if p.FixedKeepAlive > 0 {
		return p.FixedKeepAlive
	}
	// At best the next load comes from a cache in the engine's own memory or on its disk, but the
	// orderer does not control those caches, so the tier reported now is assumed.
	reload := p.LoadTime(c.Tiers[e.Unit.ID()], e.MemoryBytes).Seconds()
	tail := math.Min(tailWeight, maxTailWeight)
	loadCost := reload * p.ColdStartWeight * tail
	idleCost := (1 - tail) * float64(e.MemoryBytes) / float64(c.Capacity)
	keep := c.Histories.KeepAlive(e.Unit.ID(), idleCost, loadCost)
	return min(max(keep, p.MinIdle), p.MaxKeepAlive)
}

// maxTailWeight keeps the cost of idle memory above zero.
const maxTailWeight = 0.999
