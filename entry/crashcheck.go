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

// firstRelook is the first pause between two looks at a server that was there, but may be about
// to end under a request whose answer broke off; it doubles up to checkSpacing.
const firstRelook = 60 * time.Millisecond

// check looks whether a server has ended, at a time at the earliest, once for all answers that
// break off meanwhile.
func (c *crashes) check(life quarantine.Life, s serving.Server, from time.Time, check *crashCheck) {
	time.Sleep(clock.Until(from))
	again := c.lookOnce(life, s)
	close(check.looked)
	for wait := firstRelook; again; wait = min(2*wait, checkSpacing) {
		time.Sleep(wait)
		again = c.lookOnce(life, s)
	}
	c.mu.Lock()
	if w := c.lives[life]; w != nil {
		w.check = nil
	}
	c.mu.Unlock()
	close(check.done)
}

// lookOnce looks whether a server has ended, and reports whether it should be looked at again:
// it was there, and answers broke off so lately that it may be about to end.
func (c *crashes) lookOnce(life quarantine.Life, s serving.Server) (again bool) {
	began := clock.Now()
	presence := c.look(s)
	if presence == serving.PresenceEnded {
		c.noteEnd(life, "address refuses or is another's")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.lives[life]
	if w == nil || presence != serving.PresenceThere {
		return false
	}
	w.dropBefore(began)
	w.there = clock.Now()
	return len(w.breaks) > 0
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

// brokenCounts is how long after its answer broke off a request may still be the cause of its
// server's end: one that ends by itself may break answers off before it closes its port. A test
// that ends engines so, beside twelve busy processes, missed an end in 1 of 32 runs where the
// first look alone counted.
const brokenCounts = 50 * time.Millisecond

// givenUpCounts is how long after its answer was given up a request may still be the cause of
// its server's end: it goes on there, and one that ends servers does so within tens of
// milliseconds of its beginning. An engine that answered without its receipt and then ended was
// not counted at all before: 59 engines ended under one request in a play with four instances.
const givenUpCounts = 500 * time.Millisecond

// dropBefore forgets the answers that broke off before t, and for long enough: the server was
// there after them.
func (w *lifeWatch) dropBefore(t time.Time) {
	kept := w.breaks[:0]
	for _, b := range w.breaks {
		counts := brokenCounts
		if b.GivenUp {
			counts = givenUpCounts
		}
		if t.Sub(b.at) < counts {
			kept = append(kept, b)
		}
	}
	w.breaks = kept
}
