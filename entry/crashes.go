package entry

import (
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

// crashes finds out which servers have ended while requests ran there, and has the ledger
// know. An answer that breaks off is no sign of an end by itself: servers and links break
// answers off for other reasons. It is an end if nothing listens at the server's address, if
// another process does, or if the entry goes though the server had not said that it leaves.
type crashes struct {
	ledger   *quarantine.Ledger
	dir      *directory.Directory
	backends *platform.Backends
	log      logrus.FieldLogger
	set      *metrics.Set
	keeper   *quarantineKeeper

	mu           sync.Mutex
	incarnations map[quarantine.Incarnation]*incarnationWatch // guarded by mu
}

// incarnationWatch is what is known of the end of one incarnation.
type incarnationWatch struct {
	server serving.Server
	// breaks are answers that broke off, of which it is not known whether that was its end.
	breaks []timedAttempt
	// check is under way; nil if none is.
	check *crashCheck
	ended bool
	// there is when the server was last seen to be there.
	there time.Time
	// touched is when the last break was noted or the end found.
	touched time.Time
}

type timedAttempt struct {
	quarantine.BrokenAttempt
	at time.Time
}

func newCrashes(k *quarantineKeeper, dir *directory.Directory, b *platform.Backends, set *metrics.Set, log logrus.FieldLogger) *crashes {
	return &crashes{ledger: k.ledger, keeper: k, dir: dir, backends: b, set: set, log: log, incarnations: map[quarantine.Incarnation]*incarnationWatch{}}
}

const (
	// breakMemory is for how long after an answer broke off the end of its server may still
	// be found: entries go after three missed heartbeats, or later where the store is away.
	breakMemory = 20 * time.Second
	// leftCounts is how long after its client has left a request may still be the cause of a
	// server's end: servers drop it when its connection closes.
	leftCounts = 500 * time.Millisecond
	// maxBreaks bounds the breaks remembered of one incarnation, about 300 B each: several times
	// what one instance has under way at one server.
	maxBreaks = 1024
)

// RecordFailure implements forward.Guard.
func (c *crashes) RecordFailure(b quarantine.BrokenAttempt) forward.CrashCheck {
	now := clock.Now()
	incarnation := quarantine.IncarnationOf(b.Server)
	if s, known := c.dir.Server(incarnation.Server); !known || s.Draining || s.Born != incarnation.Born {
		return nothingToCheck // it leaves, some without a word but that their entry goes
	}
	c.mu.Lock()
	w := c.incarnations[incarnation]
	if w == nil {
		w = &incarnationWatch{server: b.Server}
		c.incarnations[incarnation] = w
	}
	w.touched = now
	if w.ended {
		c.mu.Unlock()
		c.count(incarnation, []timedAttempt{{b, now}}, now)
		return nothingToCheck
	}
	defer c.mu.Unlock()
	if len(w.breaks) < maxBreaks {
		w.breaks = append(w.breaks, timedAttempt{b, now})
	}
	switch {
	case w.check != nil:
		w.check.expectLook()
	case !b.Left:
		w.check = newCrashCheck()
		go c.check(incarnation, w.server, w.there.Add(checkSpacing), w.check)
	}
	if w.check == nil {
		return nothingToCheck
	}
	check := forward.CrashCheck{FirstLook: w.check.looked, Done: w.check.done}
	if now.Sub(w.there) < checkSpacing {
		check.FirstLook = closedChannel // the next look is not at once
	}
	return check
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// nothingToCheck is returned where all that can be known of a server is known.
var nothingToCheck = forward.CrashCheck{FirstLook: closedChannel, Done: closedChannel}

// Answered implements forward.Guard.
func (c *crashes) Answered(fp serving.Fingerprint) {
	before, changed := c.ledger.Answered(fp, clock.Now())
	if !changed {
		return
	}
	c.log.WithFields(logrus.Fields{"fingerprint": fp, "state": before}).Info("request answered, cleared of ends of servers")
	c.keeper.cleared(fp, before)
}

// Ended implements forward.Guard.
func (c *crashes) Ended(s serving.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.incarnations[quarantine.IncarnationOf(s)]
	return w != nil && w.ended
}

// Inconclusive implements forward.Guard.
func (c *crashes) Inconclusive(s serving.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.incarnations[quarantine.IncarnationOf(s)]
	return w != nil && !w.ended && len(w.breaks) > 0
}

// noteEnd notes that an incarnation has ended, and counts that against what ran there.
func (c *crashes) noteEnd(incarnation quarantine.Incarnation, evidence string) {
	now := clock.Now()
	c.mu.Lock()
	w := c.incarnations[incarnation]
	if w == nil || w.ended {
		c.mu.Unlock()
		return
	}
	breaks := w.breaks
	w.breaks, w.ended, w.touched = nil, true, now
	c.mu.Unlock()
	c.set.GetOrCreateCounter(`martenport_servers_ended_total{service="` + w.server.Service + `"}`).Inc()
	c.log.WithFields(logrus.Fields{
		"server": incarnation.Server, "born": incarnation.Born, "service": w.server.Service, "evidence": evidence, "requests": len(breaks),
	}).Info("server ended while requests ran there")
	c.count(incarnation, breaks, now)
}

// count counts the end of an incarnation against requests.
func (c *crashes) count(incarnation quarantine.Incarnation, breaks []timedAttempt, now time.Time) {
	if s, known := c.dir.Server(incarnation.Server); known && s.Draining && s.Born == incarnation.Born {
		return // it was to end
	}
	var raised []quarantine.Raise
	for _, b := range breaks {
		if b.Left && now.Sub(b.at) > leftCounts {
			continue
		}
		raised = append(raised, c.ledger.Ended(b.BrokenAttempt, now)...)
		// Instances that start anew decide by all ends of those that are held.
		if c.ledger.State(b.Fingerprint) != quarantine.Clear {
			c.keeper.writeLater(b.Fingerprint)
		}
	}
	c.keeper.changed(raised)
}

// entryGone notes that a server's entry has gone.
func (c *crashes) entryGone(id string, draining bool) {
	for _, incarnation := range c.incarnationsWhere(func(w *incarnationWatch) bool { return w.server.ID == id }) {
		if draining {
			c.forget(incarnation)
			continue
		}
		c.noteEnd(incarnation, "entry gone")
	}
}

// announced notes what a server announces: another incarnation at an address, or under an id, shows that
// the one before has ended.
func (c *crashes) announced(s serving.Server) {
	incarnation := quarantine.IncarnationOf(s)
	replaced := func(w *incarnationWatch) bool {
		before := quarantine.IncarnationOf(w.server)
		return before != incarnation && w.server.Revision < s.Revision && (before.Server == incarnation.Server || w.server.Address == s.Address)
	}
	for _, before := range c.incarnationsWhere(replaced) {
		c.noteEnd(before, "replaced")
	}
}

func (c *crashes) incarnationsWhere(holds func(*incarnationWatch) bool) []quarantine.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var incarnations []quarantine.Incarnation
	for incarnation, w := range c.incarnations {
		if holds(w) {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

func (c *crashes) forget(incarnation quarantine.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.incarnations[incarnation]; w != nil && w.check == nil {
		delete(c.incarnations, incarnation)
	}
}

// sweep settles ends under runs alone, and forgets breaks of which nothing more can be found,
// and ends that are old.
func (c *crashes) sweep(now time.Time) {
	raised, dropped := c.ledger.DecidePending(now)
	for _, fp := range dropped {
		c.log.WithField("fingerprint", fp).Info("end under a run alone does not count, another suspect was there")
	}
	c.keeper.writeLater(dropped...)
	if len(raised)+len(dropped) > 0 {
		c.keeper.changed(raised)
	}
	for _, incarnation := range c.incarnationsWhere(func(w *incarnationWatch) bool { return now.Sub(w.touched) > breakMemory }) {
		c.forget(incarnation)
	}
	for _, fp := range c.ledger.Expire(now) {
		c.log.WithField("fingerprint", fp).Info("request not quarantined any more, its time is over")
		c.keeper.expired(fp)
	}
}
