package standin

import (
	"maps"
	"sync"
)

// counter counts occurrences by name.
type counter struct {
	mu     sync.Mutex
	counts map[string]int // guarded by mu
}

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
}

func (c *counter) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
