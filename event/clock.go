package event

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a hybrid logical clock timestamp (Kulkarni et al., 2014): wall time in
// Unix nanoseconds, and a counter that orders events with the same wall time.
type Stamp struct {
	Wall    int64
	Logical int64
}

// Compare returns -1, 0 or +1 if s is before, equal to or after o. The stamp of a
// cause is always before that of its effect.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, o.Logical)
}

// Clock is a hybrid logical clock. It is used only to order events for display; no
// safety property depends on it. The zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp // guarded by mu
}

// Now returns a stamp later than all stamps previously returned or observed.
func (c *Clock) Now() Stamp {
	return c.Observe(Stamp{})
}

// Observe returns a stamp later than remote and all stamps previously returned or
// observed.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := Stamp{Wall: time.Now().UnixNano()}
	for _, earlier := range []Stamp{c.last, remote} {
		if next.Compare(earlier) <= 0 {
			next = Stamp{Wall: earlier.Wall, Logical: earlier.Logical + 1}
		}
	}
	c.last = next
	return next
}
