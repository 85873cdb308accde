package entry

import (
	"context"
	"time"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// checkAfter are the pauses before a server is looked at after an answer broke off. A process
// that ends closes its connections and its port one after the other; one whose machine ends
// with it answers nothing, and is not waited for.
var checkAfter = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond}

// checkTimeout bounds one look: many round trips between failure domains.
const checkTimeout = 300 * time.Millisecond

// connectsToBeThere is how often a plain server has to take a connection to count as there.
const connectsToBeThere = 2

// checkSpacing is the least time between two looks at a server that was there: one that breaks
// many answers off, and does not end, is not asked as often as it does.
const checkSpacing = 250 * time.Millisecond

// check looks whether a server has ended, at a time at the earliest, once for all answers that
// break off meanwhile.
func (c *crashes) check(life quarantine.Life, s serving.Server, from time.Time, settled chan struct{}) {
	time.Sleep(clock.Until(from))
	began := clock.Now()
	presence := c.look(s)
	if presence == serving.PresenceEnded {
		c.noteEnd(life, "address refuses or is another's")
	}
	c.mu.Lock()
	if w := c.lives[life]; w != nil {
		w.settled = nil
		if presence == serving.PresenceThere {
			w.dropBefore(began)
			w.there = clock.Now()
		}
	}
	c.mu.Unlock()
	close(settled)
}

// look returns whether a server is there, as far as that can be seen at once.
func (c *crashes) look(s serving.Server) serving.Presence {
	connects := 0
	for _, pause := range checkAfter {
		time.Sleep(pause)
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		presence := c.backends.Presence(ctx, s, c.isEngine(s))
		cancel()
		switch presence {
		case serving.PresenceThere, serving.PresenceEnded:
			return presence
		case serving.PresenceConnects:
			if connects++; connects == connectsToBeThere {
				return serving.PresenceThere
			}
		}
	}
	return serving.PresenceUnknown
}

func (c *crashes) isEngine(s serving.Server) bool {
	config := c.dir.Config()
	return config != nil && config.Services[s.Service].Engine != nil
}

// dropBefore forgets the answers that broke off before t: the server was there after them.
func (w *lifeWatch) dropBefore(t time.Time) {
	kept := w.breaks[:0]
	for _, b := range w.breaks {
		if b.at.After(t) {
			kept = append(kept, b)
		}
	}
	w.breaks = kept
}
