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
	"github.com/martenport/martenport/internal/pause"
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

	mu    sync.Mutex
	lives map[quarantine.Life]*lifeWatch // guarded by mu
}

// lifeWatch is what is known of the end of one life.
type lifeWatch struct {
	server serving.Server
	// breaks are answers that broke off, of which it is not known whether that was its end.
	breaks []timedBreak
	// check is under way; nil if none is.
	check *crashCheck
	ended bool
	// there is when the server was last seen to be there.
	there time.Time
	// touched is when the last break was noted or the end found.
	touched time.Time
}

// crashCheck looks whether a server has ended.
type crashCheck struct {
	// looked is closed after its first look, done when it is over.
	looked, done chan struct{}
	// broke has word of further answers that broke off.
	broke chan struct{}
}

type timedBreak struct {
	quarantine.Break
	at time.Time
}

func newCrashes(k *quarantineKeeper, dir *directory.Directory, b *platform.Backends, set *metrics.Set, log logrus.FieldLogger) *crashes {
	return &crashes{ledger: k.ledger, keeper: k, dir: dir, backends: b, set: set, log: log, lives: map[quarantine.Life]*lifeWatch{}}
}

const (
	// breakMemory is for how long after an answer broke off the end of its server may still
	// be found: entries go after three missed heartbeats, or later where the store is away.
	breakMemory = 20 * time.Second
	// leftCounts is how long after its client has left a request may still be the cause of a
	// server's end: servers drop it when its connection closes.
	leftCounts = 500 * time.Millisecond
	// maxBreaks bounds the breaks remembered of one life, about 300 B each: several times
	// what one instance has under way at one server.
	maxBreaks = 1024
)

// Broke implements forward.Guard.
func (c *crashes) Broke(b quarantine.Break) forward.CrashCheck {
	now := clock.Now()
	life := quarantine.LifeOf(b.Server)
	if s, known := c.dir.Server(life.Server); !known || s.Draining || s.Born != life.Born {
		return nothingToCheck // it leaves, some without a word but that their entry goes
	}
	c.mu.Lock()
	w := c.lives[life]
	if w == nil {
		w = &lifeWatch{server: b.Server}
		c.lives[life] = w
	}
	w.touched = now
	if w.ended {
		c.mu.Unlock()
		c.count(life, []timedBreak{{b, now}}, now)
		return nothingToCheck
	}
	defer c.mu.Unlock()
	if len(w.breaks) < maxBreaks {
		w.breaks = append(w.breaks, timedBreak{b, now})
	}
	switch {
	case w.check != nil:
		pause.Wake(w.check.broke)
	case !b.Left:
		w.check = &crashCheck{looked: make(chan struct{}), done: make(chan struct{}), broke: make(chan struct{}, 1)}
		go c.check(life, w.server, w.there.Add(checkSpacing), w.check)
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
	w := c.lives[quarantine.LifeOf(s)]
	return w != nil && w.ended
}

// Doubtful implements forward.Guard.
func (c *crashes) Doubtful(s serving.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.lives[quarantine.LifeOf(s)]
	return w != nil && !w.ended && len(w.breaks) > 0
}

// noteEnd notes that a life has ended, and counts that against what ran there.
func (c *crashes) noteEnd(life quarantine.Life, evidence string) {
	now := clock.Now()
	c.mu.Lock()
	w := c.lives[life]
	if w == nil || w.ended {
		c.mu.Unlock()
		return
	}
	breaks := w.breaks
	w.breaks, w.ended, w.touched = nil, true, now
	c.mu.Unlock()
	c.set.GetOrCreateCounter(`martenport_servers_ended_total{service="` + w.server.Service + `"}`).Inc()
	c.log.WithFields(logrus.Fields{
		"server": life.Server, "born": life.Born, "service": w.server.Service, "evidence": evidence, "requests": len(breaks),
	}).Info("server ended while requests ran there")
	c.count(life, breaks, now)
}

// count counts the end of a life against requests.
func (c *crashes) count(life quarantine.Life, breaks []timedBreak, now time.Time) {
	if s, known := c.dir.Server(life.Server); known && s.Draining && s.Born == life.Born {
		return // it was to end
	}
	var raised []quarantine.Raise
	for _, b := range breaks {
		if b.Left && now.Sub(b.at) > leftCounts {
			continue
		}
		raised = append(raised, c.ledger.Ended(b.Break, now)...)
		// Instances that start anew decide by all ends of those that are held.
		if c.ledger.State(b.Fingerprint) != quarantine.Clear {
			c.keeper.writeLater(b.Fingerprint)
		}
	}
	c.keeper.changed(raised)
}

// entryGone notes that a server's entry has gone.
func (c *crashes) entryGone(id string, draining bool) {
	for _, life := range c.livesWhere(func(w *lifeWatch) bool { return w.server.ID == id }) {
		if draining {
			c.forget(life)
			continue
		}
		c.noteEnd(life, "entry gone")
	}
}

// announced notes what a server announces: another life at an address, or under an id, shows that
// the one before has ended.
func (c *crashes) announced(s serving.Server) {
	life := quarantine.LifeOf(s)
	replaced := func(w *lifeWatch) bool {
		before := quarantine.LifeOf(w.server)
		return before != life && w.server.Revision < s.Revision && (before.Server == life.Server || w.server.Address == s.Address)
	}
	for _, before := range c.livesWhere(replaced) {
		c.noteEnd(before, "replaced")
	}
}

func (c *crashes) livesWhere(holds func(*lifeWatch) bool) []quarantine.Life {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lives []quarantine.Life
	for life, w := range c.lives {
		if holds(w) {
			lives = append(lives, life)
		}
	}
	return lives
}

func (c *crashes) forget(life quarantine.Life) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.lives[life]; w != nil && w.check == nil {
		delete(c.lives, life)
	}
}

// sweep settles ends under runs alone, and forgets breaks of which nothing more can be found,
// and ends that are old.
func (c *crashes) sweep(now time.Time) {
	raised, dropped := c.ledger.Settle(now)
	c.keeper.writeLater(dropped...)
	if len(raised)+len(dropped) > 0 {
		c.keeper.changed(raised)
	}
	for _, life := range c.livesWhere(func(w *lifeWatch) bool { return now.Sub(w.touched) > breakMemory }) {
		c.forget(life)
	}
	for _, fp := range c.ledger.Expire(now) {
		c.log.WithField("fingerprint", fp).Info("request not quarantined any more, its time is over")
		c.keeper.expired(fp)
	}
}
