package skew

import "time"

// periods holds origins of two periods: the current one and the one before. It is empty before the first call of advance.
type periods struct {
	// current has the origins added since currentSince, and previous those of the period before.
	current, previous map[attemptKey]Origin
	currentSince      time.Time
}

// advance begins a new period if the current one has lasted for the given length, or is full.
func (p *periods) advance(now time.Time, length time.Duration, full bool) {
	age := now.Sub(p.currentSince)
	if p.current != nil && age < length && !full {
		return
	}
	p.previous = p.current
	if age >= 2*length {
		p.previous = nil
	}
	p.current, p.currentSince = map[attemptKey]Origin{}, now
}

// has reports whether an origin is held.
func (p *periods) has(key attemptKey) bool {
	_, current := p.current[key]
	_, previous := p.previous[key]
	return current || previous
}
