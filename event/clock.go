package event

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a hybrid logical clock reading (Kulkarni et al., 2014): wall time
// in nanoseconds, and a counter for what happens within one wall reading.
type Stamp struct {
	Wall    int64
	Logical int64
}

// Compare orders stamps; a cause is always before its effect.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, o.Logical)
}

// Clock is a hybrid logical clock. It orders events for people to read;
// nothing that must hold depends on it.
type Clock struct {
	mu   sync.Mutex
	last Stamp // guarded by mu
}

// Now returns a stamp later than all stamps returned or observed before.
func (c *Clock) Now() Stamp {
	return c.Observe(Stamp{})
}

// Observe returns a stamp later than remote and than all earlier stamps.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := Stamp{Wall: time.Now().UnixNano()}
	for _, seen := range []Stamp{c.last, remote} {
		if next.Compare(seen) <= 0 {
			next = Stamp{Wall: seen.Wall, Logical: seen.Logical + 1}
		}
	}
	c.last = next
	return next
}
