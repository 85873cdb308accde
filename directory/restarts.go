package directory

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Restart is the replacement of a server's process by another one under the same ID.
type Restart struct {
	// LearnedAt is when this instance learned of the new process.
	LearnedAt time.Time
	// Assumed is set if the process was in the first list of servers that this instance received. The list does not tell
	// whether or when it replaced another one.
	Assumed bool
}

// Restart returns the restart from which the current process of a server resulted. found is false if this instance knows
// that there was none.
func (d *Directory) Restart(id string) (restart Restart, found bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	restart, found = d.restarts[id]
	return restart, found
}

// recordRestart records whether the process of s replaces another one. known is the process known before; found is false
// if there is none. d.mu must be held.
func (d *Directory) recordRestart(s, known serving.Server, found bool, now time.Time) {
	lastRemoval, removed := d.removed[s.ID]
	switch {
	case found && !known.IsEarlierProcess(s):
	case found:
		d.restarts[s.ID] = Restart{LearnedAt: now}
	case removed && lastRemoval.born != 0 && lastRemoval.born == s.Born: // its entry was missing for a while
	case removed:
		d.restarts[s.ID] = Restart{LearnedAt: now}
	case d.removalsKnownSince.IsZero():
		d.restarts[s.ID] = Restart{LearnedAt: now, Assumed: true}
	}
}
