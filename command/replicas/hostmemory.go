package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// hostMemory is whether loads take as short as they should where an engine is thought to
// have the weights in its host memory. What engines announce of that is seconds old, and
// which copies they have dropped since is not told. On a quiet day of the users' platform
// with 124 engines 191 of 270 such loads took as long as those from disk; 195 requests were
// sent too early and refused for that.
type hostMemory struct {
	// loads and wrong are how many were expected from host memory and how many of them
	// took longer, both decayed; skipped counts those that could have been since one was.
	loads, wrong float64
	skipped      int
}

// How the account of host memory is judged.
const (
	// hostMemoryWindow is about how many loads are remembered.
	hostMemoryWindow = 30
	// maxWrong is the share of loads that may take longer: one that is late costs a
	// refused request, and one expected from disk waits for a quarter longer than it must.
	maxWrong = 0.25
	// minWrong loads must have taken longer before that is believed.
	minWrong = 3
	// tryAgainEach is how many loads are expected from disk before one is expected from
	// host memory again, to see whether that has changed.
	tryAgainEach = 20
)

// trusted reports whether the next load is expected to be as short as it should.
func (h *hostMemory) trusted() bool {
	return h.wrong < minWrong || h.wrong < maxWrong*h.loads || h.skipped >= tryAgainEach
}

// began notes a load of weights that an engine is thought to have in host memory.
func (h *hostMemory) began(expected bool) {
	if !expected {
		h.skipped++
		return
	}
	const keep = 1 - 1.0/hostMemoryWindow
	h.loads, h.wrong, h.skipped = h.loads*keep+1, h.wrong*keep, 0
}

// late notes that such a load took longer.
func (h *hostMemory) late() { h.wrong++ }

// loadTime is how long a load from a tier is expected to take, from the weight store as
// one of so many under way.
func (f *Fleet) loadTime(m serving.Model, tier serving.Tier, together int) time.Duration {
	switch {
	case tier == serving.TierRemote:
		return f.store.duration(m.RemoteLoad, together)
	case tier == serving.TierMemory && !f.hostMemory.trusted():
		return m.LoadTime(serving.TierDisk)
	default:
		return m.LoadTime(tier)
	}
}
