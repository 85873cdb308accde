package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
)

// crashDetector detects which servers have ended while requests ran on them, and records that in the
// ledger. An answer that breaks off does not prove an end: servers and links break off answers for
// other reasons. The server has ended if nothing listens at its address, if another process does, or
// if its entry disappears although the server had not announced that it leaves. An engine has not ended
// if it still answers then: it may be cut off from the store only.
type crashDetector struct {
	ledger     *quarantine.Ledger
	dir        *directory.Directory
	backends   *platform.Backends
	log        logrus.FieldLogger
	set        *metrics.Set
	quarantine *quarantineManager
	// isolated reports whether this instance seems to reach no server of a service.
	isolated func(service string) bool

	mu           sync.Mutex
	incarnations map[quarantine.Incarnation]*incarnationWatch // guarded by mu
}

// incarnationWatch is the state of one incarnation of a server.
type incarnationWatch struct {
	server serving.Server
	// brokenAttempts are attempts whose answers broke off while it is unknown whether the server has
	// ended.
	brokenAttempts []timedAttempt
	// check is the check in progress, nil if there is none.
	check *crashCheck
	ended bool
	// lastSeen is when a probe last found the server running.
	lastSeen time.Time
	// lastChange is when the last broken attempt or the end was recorded.
	lastChange time.Time
}

// brokeBefore reports whether an answer of the incarnation broke off before a time. What ended it began before then.
func (w *incarnationWatch) brokeBefore(at time.Time) bool {
	return slices.ContainsFunc(w.brokenAttempts, func(a timedAttempt) bool { return a.at.Before(at) })
}

type timedAttempt struct {
	quarantine.BrokenAttempt
	at time.Time
}

func newCrashDetector(q *quarantineManager, dir *directory.Directory, b *platform.Backends, set *metrics.Set, log logrus.FieldLogger) *crashDetector {
	return &crashDetector{
		ledger: q.ledger, quarantine: q, dir: dir, backends: b, set: set, log: log, incarnations: map[quarantine.Incarnation]*incarnationWatch{},
		isolated: func(string) bool { return false },
	}
}

const (
	// brokenAttemptRetention is how long after an answer broke off the end of its server may still be
	// detected: a server's entry disappears after three missed heartbeats, or later if the store is
	// unavailable.
	brokenAttemptRetention = 20 * time.Second
	// cancelledRelevance is how long after its client has disconnected a request may still be the
	// cause of a server's end: servers drop the request when its connection closes.
	cancelledRelevance = 500 * time.Millisecond
	// maxBrokenAttempts bounds the attempts kept for one incarnation, about 300 B each. It is several
	// times the number of requests that one instance has in progress on one server.
	maxBrokenAttempts = 1024
)

// RecordBrokenAnswer implements forward.Guard.
func (c *crashDetector) RecordBrokenAnswer(b quarantine.BrokenAttempt) forward.CrashCheck {
	now := clock.Now()
	incarnation := quarantine.IncarnationOf(b.Server)
	if s, known := c.dir.Server(incarnation.Server); !known || s.Draining || s.Born != incarnation.Born {
		// The server is leaving or was replaced. Some servers leave without notice: only their entry
		// disappears.
		return completedCheck
	}
	c.mu.Lock()
	w := c.incarnations[incarnation]
	if w == nil {
		w = &incarnationWatch{server: b.Server}
		c.incarnations[incarnation] = w
	}
	w.lastChange = now
	if w.ended {
		c.mu.Unlock()
		c.countEnd(incarnation, []timedAttempt{{b, now}}, now)
		return completedCheck
	}
	defer c.mu.Unlock()
	b.Isolated = b.Isolated && !w.brokeBefore(b.SentAt)
	if len(w.brokenAttempts) < maxBrokenAttempts {
		w.brokenAttempts = append(w.brokenAttempts, timedAttempt{b, now})
	}
	switch {
	case w.check != nil:
		w.check.requestProbe()
	case !b.ClientGone:
		w.check = newCrashCheck()
		go c.runCheck(incarnation, w.server, w.lastSeen.Add(probeSpacing), w.check)
	}
	if w.check == nil {
		return completedCheck
	}
	check := forward.CrashCheck{FirstProbe: w.check.probed, Done: w.check.done}
	if now.Sub(w.lastSeen) < probeSpacing {
		check.FirstProbe = closedChannel // do not wait for the next probe, which is not immediate
	}
	return check
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// completedCheck is returned if nothing more can be learned about a server.
var completedCheck = forward.CrashCheck{FirstProbe: closedChannel, Done: closedChannel}

// RecordBegun implements forward.Guard.
func (c *crashDetector) RecordBegun(i quarantine.Identity, version string) {
	for _, fp := range c.ledger.RecordBegun(i, version, clock.Now()) {
		c.log.WithFields(logrus.Fields{"fingerprint": fp, "version": version}).Info("answer begun, part of the prompt cleared of ends of servers")
		c.quarantine.recordCleared(fp, quarantine.Suspect)
	}
}

// RecordSuccess implements forward.Guard.
func (c *crashDetector) RecordSuccess(i quarantine.Identity, version string) {
	c.RecordBegun(i, version)
	before, changed := c.ledger.RecordAnswer(i.Fingerprint, clock.Now())
	if !changed {
		return
	}
	c.log.WithFields(logrus.Fields{"fingerprint": i.Fingerprint, "state": before}).Info("request answered, cleared of ends of servers")
	c.quarantine.recordCleared(i.Fingerprint, before)
}

// Crashed implements forward.Guard.
func (c *crashDetector) Crashed(s serving.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.incarnations[quarantine.IncarnationOf(s)]
	return w != nil && w.ended
}

// Inconclusive implements forward.Guard.
func (c *crashDetector) Inconclusive(s serving.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.incarnations[quarantine.IncarnationOf(s)]
	return w != nil && !w.ended && len(w.brokenAttempts) > 0
}

// recordEnd records that an incarnation has ended and counts that against the requests that ran on it.
func (c *crashDetector) recordEnd(incarnation quarantine.Incarnation, evidence string) {
	now := clock.Now()
	c.mu.Lock()
	w := c.incarnations[incarnation]
	if w == nil || w.ended {
		c.mu.Unlock()
		return
	}
	attempts := w.brokenAttempts
	w.brokenAttempts, w.ended, w.lastChange = nil, true, now
	c.mu.Unlock()
	c.set.GetOrCreateCounter(`martenport_servers_ended_total{service="` + w.server.Service + `"}`).Inc()
	c.log.WithFields(logrus.Fields{
		"server": incarnation.Server, "born": incarnation.Born, "service": w.server.Service, "evidence": evidence, "requests": len(attempts), "parts": sharedParts(attempts),
	}).Info("server ended while requests ran there")
	c.countEnd(incarnation, attempts, now)
}

// recheckEnded probes the servers that count as ended although they are still announced. While several instances lose
// their paths at the same moment, none of them can tell that from the end of a server.
func (c *crashDetector) recheckEnded() {
	for _, incarnation := range c.matchingIncarnations(func(w *incarnationWatch) bool { return w.ended }) {
		if s, known := c.dir.Server(incarnation.Server); known && quarantine.IncarnationOf(s) == incarnation {
			go c.recheck(incarnation, s)
		}
	}
}

// recheck drops the end of a server that runs.
func (c *crashDetector) recheck(incarnation quarantine.Incarnation, s serving.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	presence := c.backends.Presence(ctx, s, c.isEngine(s))
	if presence != serving.PresenceRunning && presence != serving.PresenceConnects {
		return
	}
	c.mu.Lock()
	w := c.incarnations[incarnation]
	revived := w != nil && w.ended
	if revived {
		delete(c.incarnations, incarnation)
	}
	c.mu.Unlock()
	if revived {
		c.log.WithFields(logrus.Fields{"server": s.ID, "born": s.Born, "service": s.Service}).Warn("server that counted as ended runs")
	}
}

// countEnd counts the end of an incarnation against requests.
func (c *crashDetector) countEnd(incarnation quarantine.Incarnation, attempts []timedAttempt, now time.Time) {
	if s, known := c.dir.Server(incarnation.Server); known && s.Draining && s.Born == incarnation.Born {
		return // the end was planned
	}
	var escalations []quarantine.Escalation
	for _, a := range attempts {
		if a.ClientGone && now.Sub(a.at) > cancelledRelevance {
			continue
		}
		escalations = append(escalations, c.ledger.RecordCrash(a.BrokenAttempt, now)...)
		// Restarted instances decide by all ends recorded for held requests, so each further end is
		// written to the store.
		if c.ledger.State(a.Fingerprint) != quarantine.Clear {
			c.quarantine.scheduleWrite(a.Fingerprint)
		}
		c.quarantine.scheduleWrite(c.ledger.HeldParts(a.Identity())...)
	}
	c.quarantine.recordChange(escalations)
}

// handleEntryRemoved handles the removal of a server's entry from the store. A draining server has left as
// planned. An engine is asked whether it runs; any other server has ended.
func (c *crashDetector) handleEntryRemoved(id string, draining bool) {
	for _, incarnation := range c.matchingIncarnations(func(w *incarnationWatch) bool { return w.server.ID == id }) {
		switch s, watched := c.watched(incarnation); {
		case draining:
			c.forget(incarnation)
		case watched && c.isEngine(s):
			go c.probeWithoutEntry(incarnation, s)
		default:
			c.recordEnd(incarnation, "entry gone")
		}
	}
}

// handleAnnounced handles the entry of a server. Another incarnation at the same address or with the
// same ID shows that the previous one has ended.
func (c *crashDetector) handleAnnounced(s serving.Server) {
	incarnation := quarantine.IncarnationOf(s)
	replaced := func(w *incarnationWatch) bool {
		before := quarantine.IncarnationOf(w.server)
		return before != incarnation && w.server.Revision < s.Revision && (before.Server == incarnation.Server || w.server.Address == s.Address)
	}
	for _, before := range c.matchingIncarnations(replaced) {
		c.recordEnd(before, "replaced")
	}
}

func (c *crashDetector) matchingIncarnations(match func(*incarnationWatch) bool) []quarantine.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var incarnations []quarantine.Incarnation
	for incarnation, w := range c.incarnations {
		if match(w) {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// watched returns the server of an incarnation that is not known to have ended.
func (c *crashDetector) watched(incarnation quarantine.Incarnation) (serving.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.incarnations[incarnation]
	if w == nil || w.ended {
		return serving.Server{}, false
	}
	return w.server, true
}

func (c *crashDetector) forget(incarnation quarantine.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.incarnations[incarnation]; w != nil && w.check == nil {
		delete(c.incarnations, incarnation)
	}
}

// sweep decides pending ends of requests that ran alone, and drops expired failures, ends and
// quarantine entries.
func (c *crashDetector) sweep(now time.Time) {
	escalations, dropped, undecided := c.ledger.DecidePending(now)
	for _, crash := range undecided {
		line := c.log.WithFields(logrus.Fields{"fingerprint": crash.Fingerprint, "server": crash.Incarnation.Server, "rivals": len(crash.Rivals)})
		if len(crash.Rivals) == 0 {
			line.Info("end under a run alone is undecided, what else ran there is not known")
			continue
		}
		line.WithField("rival", crash.Rivals[0]).Info("end under a run alone is undecided, others may be its cause")
	}
	for _, fp := range dropped {
		c.log.WithField("fingerprint", fp).Info("end under a run alone does not count, another suspect was there")
	}
	c.quarantine.scheduleWrite(dropped...)
	if len(escalations)+len(dropped) > 0 {
		c.quarantine.recordChange(escalations)
	}
	c.recheckEnded()
	for _, incarnation := range c.matchingIncarnations(func(w *incarnationWatch) bool { return now.Sub(w.lastChange) > brokenAttemptRetention }) {
		c.forget(incarnation)
	}
	for _, fp := range c.ledger.Expire(now) {
		c.log.WithField("fingerprint", fp).Info("request quarantine expired")
		c.quarantine.recordExpired(fp)
	}
}
