package soak

import (
	"strings"
	"sync"
	"time"
)

// An instance is in touch when neither it, nor its way to the store, nor the store has been
// disturbed for a while. What all instances know is gone when all are killed while the store
// is away: it is then in no place that lasts, and they cannot be held to it.

// touchTime is for how long nothing must have been disturbed.
const touchTime = heldAfter

// storeCalm knows which faults of the store are under way, and when the last one ended.
type storeCalm struct {
	mu     sync.Mutex
	active map[string]bool // by the name of the fault; guarded by mu
	last   time.Time       // guarded by mu
}

// note notes a fault as it is sent to the store: NAME=VALUE, with a value of nothing to end it.
func (s *storeCalm) note(fault string, now time.Time) {
	name, value, _ := strings.Cut(fault, "=")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
	if value == "false" || value == "0s" || value == "0" {
		delete(s.active, name)
		return
	}
	s.active[name] = true
}

func (s *storeCalm) calm(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) == 0 && now.Sub(s.last) >= touchTime
}

// inTouch reports whether an instance is in touch.
func (r *run) inTouch(entry int, now time.Time) bool {
	return r.storeCalm.calm(now) && r.entries[entry].untouched(now) && r.ways[entry].untouched(now)
}

// untouched reports whether the program has run, and got no signal, for a while.
func (p *process) untouched(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && now.Sub(p.touched) >= touchTime
}

// calmSince returns when the program was last started or got a signal.
func (p *process) calmSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.touched
}

// untouched reports whether the proxy has let everything pass for a while.
func (p *proxy) untouched(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == pass && now.Sub(p.changed) >= touchTime
}
