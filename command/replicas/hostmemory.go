package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// hostMemoryStats tracks whether loads take as long as configured where an engine is expected to have the weights in
// its host memory. The announcements of engines are seconds old and do not show which weights were dropped since. In a
// run on the users' platform with 124 engines and little traffic, 191 of 270 such loads took as long as loads from disk,
// and 195 requests were sent too early and refused for that reason.
type hostMemoryStats struct {
	// loads is the number of loads expected from host memory, slow the number of those that took longer, both decayed.
	// skipped counts the loads expected from disk instead since the last one expected from host memory.
	loads, slow float64
	skipped     int
}

// How loads from host memory are judged.
const (
	// hostMemoryWindow is about how many loads are taken into account.
	hostMemoryWindow = 30
	// maxSlowShare is the tolerated share of slow loads: a slow one costs a refused request, and a load expected from
	// disk makes requests wait a quarter longer than necessary.
	maxSlowShare = 0.25
	// minSlowLoads is the number of slow loads from which host memory may be distrusted.
	minSlowLoads = 3
	// retryEvery is the number of loads expected from disk after which one is expected from host memory again, to see
	// whether that has changed.
	retryEvery = 20
)

// trusted reports whether the next load from host memory is expected to take the configured time.
func (h *hostMemoryStats) trusted() bool {
	return h.slow < minSlowLoads || h.slow < maxSlowShare*h.loads || h.skipped >= retryEvery
}

// recordLoad records a load of weights that an engine is expected to have in host memory. expected is the result of
// trusted for it.
func (h *hostMemoryStats) recordLoad(expected bool) {
	if !expected {
		h.skipped++
		return
	}
	const keep = 1 - 1.0/hostMemoryWindow
	h.loads, h.slow, h.skipped = h.loads*keep+1, h.slow*keep, 0
}

// recordSlow records that such a load took longer.
func (h *hostMemoryStats) recordSlow() { h.slow++ }

// loadTime returns the expected duration of a load from a tier. concurrency is the number of concurrent loads from the
// weight store, this one included.
func (f *Fleet) loadTime(m serving.Model, tier serving.Tier, concurrency int) time.Duration {
	switch {
	case tier == serving.TierRemote:
		return f.store.duration(m.RemoteLoad, concurrency)
	case tier == serving.TierMemory && !f.hostMemory.trusted():
		return m.LoadTime(serving.TierDisk)
	default:
		return m.LoadTime(tier)
	}
}
