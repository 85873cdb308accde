package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/backend"
)

// Policy decides what is unloaded, and when. Its zero value is not usable;
// take DefaultPolicy.
type Policy struct {
	// Speeds are expected bytes a second of a load, by checkpoint tier.
	Speeds map[backend.Tier]float64
	// Quiet is how long a unit must have been unused to be unloaded for
	// another one, so that two models do not push each other out in turns.
	Quiet time.Duration
	// ColdSecondWorth is how many seconds of an idle engine one second of a
	// caller's waiting outweighs at a tail weight of one half.
	ColdSecondWorth float64
	// MaxKeep bounds how long an idle unit is kept.
	MaxKeep time.Duration
	// Fixed, if set, replaces the history by a fixed keep-alive and eviction
	// by least recent use: the baseline of the benchmarks.
	Fixed time.Duration
}

// DefaultPolicy returns the policy of a server with fast local disks.
func DefaultPolicy() Policy {
	return Policy{
		Speeds:          map[backend.Tier]float64{backend.TierMemory: 12e9, backend.TierDisk: 3e9, backend.TierRemote: 1e9},
		Quiet:           3 * time.Second,
		ColdSecondWorth: 10,
		MaxKeep:         6 * time.Hour,
	}
}

// Costs is what a decision about one engine knows beside its ledger.
type Costs struct {
	// Tiers says where checkpoints are cached; a missing one is remote.
	Tiers     map[string]backend.Tier
	Histories *Histories
	// Capacity is the engine's memory in bytes.
	Capacity int64
}

// LoadTime is the expected time of loading so many bytes from the tier. An
// unknown tier counts as remote.
func (p Policy) LoadTime(tier backend.Tier, bytes int64) time.Duration {
	speed, found := p.Speeds[tier]
	if !found {
		speed = p.Speeds[backend.TierRemote]
	}
	return time.Duration(float64(bytes) / speed * float64(time.Second))
}

// Evictable reports whether the unit may be unloaded to make room, or because
// another engine wants its slot.
func (p Policy) Evictable(e Entry, now time.Time) bool {
	return e.Phase == Resident && e.Running == 0 && now.Sub(e.LastUsed) >= p.Quiet
}

// Victims returns the units to unload so that memory bytes fit, those whose
// return is least likely and cheapest for each byte first (Greedy-Dual, after
// FaasCache, 2021). Units that are unloading already count as room to come.
func (p Policy) Victims(l *Ledger, u backend.Unit, memory int64, c Costs, now time.Time) ([]backend.Unit, error) {
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
		return cmp.Or(cmp.Compare(p.worth(a, c, now), p.worth(b, c, now)), cmp.Compare(a.Unit.ID(), b.Unit.ID()))
	})
	return firstThatFit(candidates, room, memory)
}

// firstThatFit returns as many of the candidates, in order, as bring the room
// up to memory.
func firstThatFit(candidates []Entry, room, memory int64) ([]backend.Unit, error) {
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

// worth is reload cost times chance of return for each byte of memory.
func (p Policy) worth(e Entry, c Costs, now time.Time) float64 {
	idle := now.Sub(e.LastUsed)
	if p.Fixed > 0 {
		return -idle.Seconds()
	}
	reload := p.LoadTime(c.Tiers[e.Unit.ID()], e.MemoryBytes).Seconds()
	chance := c.Histories.ReturnChance(e.Unit.ID(), idle, returnHorizon)
	return reload * chance / float64(e.MemoryBytes)
}

// returnHorizon is how far ahead a return counts when a victim is chosen: about
// as long as the unit that takes its place is expected to stay.
const returnHorizon = 10 * time.Minute

// DueForUnload reports whether an idle unit has been kept long enough. The
// tail weight is the operators' setting, from 0 to 1.
func (p Policy) DueForUnload(e Entry, c Costs, tailWeight float64, now time.Time) bool {
	if e.Phase != Resident || e.Running > 0 {
		return false
	}
	return now.Sub(e.LastUsed) > p.Keep(e, c, tailWeight)
}

// Keep returns how long the unit is kept once idle.
func (p Policy) Keep(e Entry, c Costs, tailWeight float64) time.Duration {
	if p.Fixed > 0 {
		return p.Fixed
	}
	// The next load comes from the engine's own memory or disk at best, but
	// those caches are not ours to keep: count on the tier reported now.
	reload := p.LoadTime(c.Tiers[e.Unit.ID()], e.MemoryBytes).Seconds()
	tail := math.Min(tailWeight, maxTailWeight)
	loadCost := reload * p.ColdSecondWorth * tail
	idleCost := (1 - tail) * float64(e.MemoryBytes) / float64(c.Capacity)
	keep := c.Histories.KeepFor(e.Unit.ID(), idleCost, loadCost)
	return min(max(keep, p.Quiet), p.MaxKeep)
}

// maxTailWeight keeps the cost of idleness above zero.
const maxTailWeight = 0.999
