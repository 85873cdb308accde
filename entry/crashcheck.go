package entry

import (
	"context"
	"slices"
	"time"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
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

// Pauses between looks at a server that was there, but may be about to end under a request whose
// answer broke off: firstRelook after an answer has, and twice as long each time up to lastRelook.
const (
	firstRelook = 60 * time.Millisecond
	lastRelook  = time.Second
)

// crashCheck is a series of looks whether a server has ended.
type crashCheck struct {
	// looked is closed after the next look; guarded by the mu of crashes.
	looked chan struct{}
	// done is closed when the check is over.
	done chan struct{}
	// broke has word of further answers that broke off.
	broke chan struct{}
}

func newCrashCheck() *crashCheck {
	return &crashCheck{looked: make(chan struct{}), done: make(chan struct{}), broke: make(chan struct{}, 1)}
}

// expectLook has the next look be soon: another answer broke off. The mu of crashes must be held.
func (c *crashCheck) expectLook() {
	if isClosed(c.looked) {
		c.looked = make(chan struct{})
	}
	pause.Wake(c.broke)
}

// noteLook notes that the server was looked at. The mu of crashes must be held.
func (c *crashCheck) noteLook() {
	if !isClosed(c.looked) {
		close(c.looked)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// check looks whether a server has ended, at a time at the earliest, once for all answers that
// break off meanwhile.
func (c *crashes) check(incarnation quarantine.Incarnation, s serving.Server, from time.Time, check *crashCheck) {
	time.Sleep(clock.Until(from))
	for wait := firstRelook; c.lookOnce(incarnation, s, check); wait = min(2*wait, lastRelook) {
		wait = check.pause(wait)
	}
	close(check.done)
}

// pause waits between two looks, for checkSpacing at the most where another answer breaks off
// meanwhile, and returns for how long it was to.
func (c *crashCheck) pause(wait time.Duration) time.Duration {
	began := time.Now()
	select {
	case <-time.After(wait):
		return wait
	case <-c.broke:
	}
	wait = min(wait, checkSpacing)
	time.Sleep(time.Until(began.Add(wait)))
	return wait
}

// lookOnce looks whether a server has ended, and reports whether it should be looked at again: it
// was there, and answers broke off so lately that it may be about to end. Else the check is over.
func (c *crashes) lookOnce(incarnation quarantine.Incarnation, s serving.Server, check *crashCheck) (again bool) {
	began := clock.Now()
	presence := c.look(s)
	if presence == serving.PresenceEnded {
		c.noteEnd(incarnation, "address refuses or is another's")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	check.noteLook()
	w := c.incarnations[incarnation]
	if w == nil {
		return false
	}
	if presence == serving.PresenceThere {
		w.dropBefore(began)
		w.there = clock.Now()
		again = len(w.breaks) > 0
	}
	if !again {
		w.check = nil
	}
	return again
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

// brokenCounts is how long after its answer broke off, or was given up, a request may still be the
// cause of its server's end: where a part of a server ends before the rest, answers break off while
// its port is open, and what was given up goes on there. Who is answered elsewhere meanwhile is
// cleared.
const brokenCounts = 2 * time.Second

// dropBefore forgets the answers that broke off long enough before t: the server was there after
// them.
func (w *incarnationWatch) dropBefore(t time.Time) {
	w.breaks = slices.DeleteFunc(w.breaks, func(b timedAttempt) bool { return t.Sub(b.at) >= brokenCounts })
}
