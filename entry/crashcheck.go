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

// probeDelays are the pauses before each probe of a server after an answer broke off. A process that
// ends closes its connections and its port one after the other. A server whose machine has failed does
// not answer at all; the probes do not wait for that.
var probeDelays = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond}

// probeTimeout bounds one probe. It is long enough for several round trips between failure domains.
const probeTimeout = 300 * time.Millisecond

// minConnects is the number of connections that a server other than an engine has to accept to count
// as running. Such servers have no call that shows it: see platform.Backends.Presence.
const minConnects = 2

// probeSpacing is the minimum time from a probe that found a server running to the first probe of the
// server's next check, so that a server that breaks off many answers without ending is not probed for
// each of them. Within a check it is the maximum time between two probes if another answer breaks off
// between them.
const probeSpacing = 250 * time.Millisecond

// Delays between the probes of one check, while the server is running but may be about to end. The
// first delay is minReprobeDelay, and each further one is twice the previous one, up to maxReprobeDelay.
// If another answer breaks off, the current delay is cut to probeSpacing.
const (
	minReprobeDelay = 60 * time.Millisecond
	maxReprobeDelay = time.Second
)

// crashCheck is a series of probes whether a server has ended.
type crashCheck struct {
	// probed is closed after the first probe that follows the latest request for one. requestProbe
	// replaces it if it is closed. Guarded by crashDetector.mu.
	probed chan struct{}
	// done is closed when the check has ended.
	done chan struct{}
	// answerBroke is signaled when another answer breaks off.
	answerBroke chan struct{}
}

func newCrashCheck() *crashCheck {
	return &crashCheck{probed: make(chan struct{}), done: make(chan struct{}), answerBroke: make(chan struct{}, 1)}
}

// requestProbe makes the next probe happen soon because another answer broke off. crashDetector.mu
// must be held.
func (c *crashCheck) requestProbe() {
	if isClosed(c.probed) {
		c.probed = make(chan struct{})
	}
	pause.Wake(c.answerBroke)
}

// markProbed records that the server was probed. crashDetector.mu must be held.
func (c *crashCheck) markProbed() {
	if !isClosed(c.probed) {
		close(c.probed)
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

// runCheck probes a server, from a given time on, until it is clear whether it has ended. Answers that
// break off meanwhile start no check of their own.
func (c *crashDetector) runCheck(incarnation quarantine.Incarnation, s serving.Server, from time.Time, check *crashCheck) {
	time.Sleep(clock.Until(from))
	for wait := minReprobeDelay; c.probeOnce(incarnation, s, check); wait = min(2*wait, maxReprobeDelay) {
		wait = check.waitForNextProbe(wait)
	}
	close(check.done)
}

// probeWithoutEntry finds out whether an engine whose entry is gone has ended. It waits for no check in progress: those probe
// less often.
func (c *crashDetector) probeWithoutEntry(incarnation quarantine.Incarnation, s serving.Server) {
	start := clock.Now()
	switch presence := c.probe(s); {
	case presence == serving.PresenceRunning:
		c.recordRunning(incarnation, start)
	case presence == serving.PresenceEnded:
		c.recordEnd(incarnation, "address refuses or is another's")
	case c.lostEntry(incarnation):
		c.recordEnd(incarnation, "entry gone, no answer")
	}
}

// recordRunning records that a server was running at a time.
func (c *crashDetector) recordRunning(incarnation quarantine.Incarnation, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.incarnations[incarnation]; w != nil {
		w.dropIrrelevantAttempts(at)
		w.lastSeen = clock.Now()
	}
}

// lostEntry reports whether the entry of an incarnation is gone although the server had not announced that it leaves.
func (c *crashDetector) lostEntry(incarnation quarantine.Incarnation) bool {
	s, known := c.dir.Server(incarnation.Server)
	return !(known && quarantine.IncarnationOf(s) == incarnation) && !c.dir.SeenDraining(incarnation.Server)
}

// waitForNextProbe waits between two probes, for probeSpacing at most if another answer breaks off
// meanwhile, and returns how long it waited.
func (c *crashCheck) waitForNextProbe(wait time.Duration) time.Duration {
	start := time.Now()
	select {
	case <-time.After(wait):
		return wait
	case <-c.answerBroke:
	}
	wait = min(wait, probeSpacing)
	time.Sleep(time.Until(start.Add(wait)))
	return wait
}

// probeOnce probes a server once and reports whether to probe it again: it is running, and answers
// broke off so recently that it may be about to end, or no server is in reach. Otherwise the check has ended.
func (c *crashDetector) probeOnce(incarnation quarantine.Incarnation, s serving.Server, check *crashCheck) (again bool) {
	start := clock.Now()
	presence := c.probe(s)
	if presence == serving.PresenceEnded {
		c.recordEnd(incarnation, "address refuses or is another's")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	check.markProbed()
	w := c.incarnations[incarnation]
	if w == nil {
		return false
	}
	switch presence {
	case serving.PresenceRunning:
		w.dropIrrelevantAttempts(start)
		w.lastSeen = clock.Now()
		again = len(w.brokenAttempts) > 0
	case serving.PresenceUnknown:
		again = c.isolated(s.Service) // whether the server has ended will show once another one is in reach
	}
	if !again {
		w.check = nil
	}
	return again
}

// probe returns whether a server is running, as far as a few probes in a row can tell.
func (c *crashDetector) probe(s serving.Server) serving.Presence {
	connects := 0
	for _, delay := range probeDelays {
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		presence := c.backends.Presence(ctx, s, c.isEngine(s))
		cancel()
		switch presence {
		case serving.PresenceRunning, serving.PresenceEnded:
			return presence
		case serving.PresenceConnects:
			if connects++; connects == minConnects {
				return serving.PresenceRunning
			}
		}
	}
	return serving.PresenceUnknown
}

func (c *crashDetector) isEngine(s serving.Server) bool {
	config := c.dir.Config()
	return config != nil && config.Services[s.Service].Engine != nil
}

// brokenAttemptRelevance is how long after its answer broke off or was abandoned a request may still be
// the cause of its server's end. If one part of a server ends before the rest, answers break off while
// its port is still open, and abandoned requests continue there. A request that another server answers
// meanwhile is cleared of the suspicion that it caused the end.
const brokenAttemptRelevance = 2 * time.Second

// dropIrrelevantAttempts drops the attempts that broke off brokenAttemptRelevance or longer before
// runningAt. The server was still running at that time, so they did not end it.
func (w *incarnationWatch) dropIrrelevantAttempts(runningAt time.Time) {
	w.brokenAttempts = slices.DeleteFunc(w.brokenAttempts, func(a timedAttempt) bool { return runningAt.Sub(a.at) >= brokenAttemptRelevance })
}
