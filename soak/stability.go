package soak

import (
	"strings"
	"sync"
	"time"
)

// An instance is stable if no fault has affected it, its connection to the store and the store itself for
// stablePeriod. Checks of what instances know, such as crashes of engines, apply only to stable instances: if all
// instances are killed while the store is unavailable, nothing durable holds what they knew.

// stablePeriod is how long no fault must have occurred.
const stablePeriod = quarantineDelay

// storeFaultTracker records the faults of the store that are active, and when a fault last began or ended.
type storeFaultTracker struct {
	mu         sync.Mutex
	active     map[string]bool // by name of the fault; guarded by mu
	lastChange time.Time       // guarded by mu
}

// record records a fault as it is sent to the store, as NAME=VALUE. A value of false, 0s or 0 ends the fault.
func (s *storeFaultTracker) record(fault string, now time.Time) {
	name, value, _ := strings.Cut(fault, "=")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastChange = now
	if value == "false" || value == "0s" || value == "0" {
		delete(s.active, name)
		return
	}
	s.active[name] = true
}

func (s *storeFaultTracker) stable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) == 0 && now.Sub(s.lastChange) >= stablePeriod
}

// entryStable reports whether an instance is stable.
func (r *run) entryStable(entry int, now time.Time) bool {
	return r.storeFaults.stable(now) && r.entries[entry].stable(now) && r.storeProxies[entry].stable(now)
}

// stable reports whether the program runs, and has not been started or sent a signal for stablePeriod.
func (p *process) stable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && now.Sub(p.lastDisturbed) >= stablePeriod
}

// undisturbedSince returns when the program was last started or sent a signal.
func (p *process) undisturbedSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDisturbed
}

// stable reports whether the proxy has passed all traffic for stablePeriod.
func (p *proxy) stable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == passAll && now.Sub(p.modeSince) >= stablePeriod
}
