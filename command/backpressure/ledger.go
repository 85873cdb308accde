package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
)

// Ledger holds the advisories of all servers that one instance knows of. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries map[string]*entry // by server id; guarded by mu
	// brittleServices are the services of which servers state that they are brittle, by name; guarded by mu.
	brittleServices map[string]*brittleService
	// revision counts the limits marked for sending to other instances: changes, and repeated
	// withdrawals; guarded by mu.
	revision uint64
}

// entry is the state of one server.
type entry struct {
	limit Limit
	// known is set if there has been an advisory about a limit. revision is the ledger's revision at
	// the last change of the limit.
	known    bool
	revision uint64
	// lastRate is the last rate that was advertised. It is kept when the server no longer advertises a
	// limit.
	lastRate float64
	// withdrawnAt is when the answer was read that no longer had a limit.
	withdrawnAt time.Time
	// lastAdvertised is when the request was sent whose answer was last marked for sending to other
	// instances.
	lastAdvertised time.Time
	// retryAfter is the time until which the server accepts nothing from this instance. born is the
	// start time of the process that asked for it.
	retryAfter time.Time
	born       int64
	// lastUnreadable is the last text of an advisory that could not be parsed.
	lastUnreadable string
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[string]*entry{}, brittleServices: map[string]*brittleService{}}
}

// Change describes what an advisory has changed.
type Change struct {
	// Limit is set if the limit changed or was withdrawn. RetryAfter is set if the server asks for a
	// retry-after period and none was in effect. Unreadable is set if the advisory has a text that
	// cannot be parsed and that differs from the last one.
	Limit, RetryAfter, Unreadable bool
}

// Observe processes a server's advisory, and returns what it has changed.
func (l *Ledger) Observe(a serving.Advisory, now time.Time) (c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[a.Server]
	if e == nil {
		if !a.Limited && !a.Brittle && a.RetryAfter == 0 && a.Unreadable == "" && l.brittleServices[a.Service] == nil {
			return c // most servers never send advisories
		}
		e = l.add(a.Server)
	}
	if !a.LimitUnknown {
		c.Limit = l.updateLimit(e, limitOf(a))
		l.readvertiseWithdrawal(e, limitOf(a), now)
	}
	c.RetryAfter = e.observeRetryAfter(a, now)
	if a.Unreadable != "" && a.Unreadable != e.lastUnreadable {
		c.Unreadable, e.lastUnreadable = true, a.Unreadable
	}
	return c
}

// add adds an empty entry for a server. l.mu must be held.
func (l *Ledger) add(server string) *entry {
	e := &entry{}
	l.entries[server] = e
	return e
}

// updateLimit sets the limit unless a newer one is known, and reports whether that changed anything.
// l.mu must be held.
func (l *Ledger) updateLimit(e *entry, limit Limit) bool {
	if !e.known && !limit.Advertised && !limit.Brittle {
		e.limit, e.known = limit, l.brittleServices[limit.Service] != nil
		return false
	}
	if e.known && e.limit.equivalent(limit) {
		if limit.ReadAt.After(e.limit.ReadAt) {
			e.limit.SentAt, e.limit.ReadAt = limit.SentAt, limit.ReadAt
			l.recordBrittle(limit)
		}
		return false
	}
	if e.known && !limit.supersedes(e.limit) {
		return false
	}
	if e.limit.Advertised && !limit.Advertised {
		e.withdrawnAt = limit.ReadAt
	}
	e.limit, e.known = limit, true
	l.recordBrittle(limit)
	if limit.Advertised {
		e.lastRate = limit.Rate
	}
	l.markChanged(e)
	return true
}

// markChanged records a change of a server's limit that has to be sent to other instances. l.mu must be
// held.
func (l *Ledger) markChanged(e *entry) {
	l.revision++
	e.revision, e.lastAdvertised = l.revision, e.limit.SentAt
}

// readvertiseInterval is how often other instances are informed again that a server has withdrawn its
// limit.
const readvertiseInterval = time.Second

// readvertiseWithdrawal has other instances informed again, for a while and by newer answers, that a limit was
// withdrawn. They may have received the limit so late that they could not tell which advisory was
// newer. l.mu must be held.
func (l *Ledger) readvertiseWithdrawal(e *entry, limit Limit, now time.Time) {
	if !e.known || e.limit.Advertised || limit.Advertised || limit.SentAt.Sub(e.lastAdvertised) < readvertiseInterval {
		return
	}
	if _, ok := e.accountingRate(now); ok {
		l.markChanged(e)
	}
}

// observeRetryAfter records the retry-after period of an advisory, and reports whether one begins. Of
// several periods the one that ends last applies, since a server that later asks for a shorter one has
// not withdrawn the longer one. The ledger's mu must be held.
func (e *entry) observeRetryAfter(a serving.Advisory, now time.Time) bool {
	if serving.StartedBefore(e.born, a.Born) {
		e.retryAfter = time.Time{}
	}
	until := a.ReceivedAt.Add(a.RetryAfter)
	if a.RetryAfter == 0 || serving.StartedBefore(a.Born, e.born) || !until.After(e.retryAfter) || !until.After(now) {
		return false
	}
	active := e.retryAfter.After(now)
	e.retryAfter, e.born = until, a.Born
	return !active
}

// Limit returns how many requests per second a server accepts; limited is false if it advertises no
// limit.
func (l *Ledger) Limit(s serving.Server) (rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[s.ID]
	if e == nil || !e.known || !e.limit.Advertised || !s.MayBeSameProcess(e.limit.Born) {
		return 0, false
	}
	return e.limit.Rate, true
}

// accountingRetention is how long the sends to a server are still accounted for after it has withdrawn
// its limit: if it advertises one again, the accounting must not restart with the full saved-up amount.
// It is longer than a limit's window.
const accountingRetention = 10 * time.Second

// AccountingRate returns the rate by which sends to the server with the given id are accounted for: that of
// its limit, or for accountingRetention that of a withdrawn limit. ok is false if there is none.
func (l *Ledger) AccountingRate(id string, now time.Time) (rate float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return 0, false
	}
	return e.accountingRate(now)
}

// accountingRate implements AccountingRate. The ledger's mu must be held.
func (e *entry) accountingRate(now time.Time) (rate float64, ok bool) {
	if !e.known || !e.limit.Advertised && now.Sub(e.withdrawnAt) > accountingRetention {
		return 0, false
	}
	return e.lastRate, true
}

// RetryAfterUntil returns the time until which a server accepts nothing from this instance; the zero
// time if it has not asked for a retry-after period.
func (l *Ledger) RetryAfterUntil(s serving.Server) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[s.ID]
	if e == nil || !s.MayBeSameProcess(e.born) {
		return time.Time{}
	}
	return e.retryAfter
}

// Snapshot returns a server's limit for another instance; known is false if there has been no advisory
// about a limit.
func (l *Ledger) Snapshot(id string, now time.Time) (snapshot Snapshot, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || !e.known {
		return Snapshot{}, false
	}
	return e.limit.snapshot(now), true
}

// Since returns the limits that have changed after the given revision, sorted by server, and the
// current revision.
func (l *Ledger) Since(revision uint64, now time.Time) (list []Snapshot, current uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision == l.revision {
		return nil, l.revision
	}
	for _, e := range l.entries {
		if e.known && e.revision > revision {
			list = append(list, e.limit.snapshot(now))
		}
	}
	slices.SortFunc(list, func(a, b Snapshot) int { return cmp.Compare(a.Server, b.Server) })
	return list, l.revision
}

// Merge merges snapshots of another instance, and returns the limits that changed.
func (l *Ledger) Merge(list []Snapshot, now time.Time) (changed []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		e := l.entries[s.Server]
		if e == nil {
			if !s.Named && !s.Brittle {
				continue
			}
			e = l.add(s.Server)
		}
		limit := s.limit(now)
		if l.updateLimit(e, limit) {
			changed = append(changed, limit)
		}
		// Instances that got the limit from this one may not have been able to order it either.
		l.readvertiseWithdrawal(e, limit, now)
	}
	return changed
}

// CountBrittle returns the number of servers that state that they are brittle.
func (l *Ledger) CountBrittle() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.known && e.limit.Brittle {
			n++
		}
	}
	return n
}

// Count returns the number of servers that advertise a limit, and of those that accept nothing from
// this instance because of a retry-after period.
func (l *Ledger) Count(now time.Time) (limited, resting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.known && e.limit.Advertised {
			limited++
		}
		if e.retryAfter.After(now) {
			resting++
		}
	}
	return limited, resting
}

// Sweep removes servers that are no longer known once their last advisory is older than entryRetention.
func (l *Ledger) Sweep(known func(id string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.entries, func(id string, e *entry) bool {
		expired := now.Sub(e.limit.ReadAt) > entryRetention && now.Sub(e.retryAfter) > entryRetention
		if !expired || known(id) {
			return false
		}
		l.recordBrittle(Limit{Server: id, Service: e.limit.Service})
		return true
	})
}

// entryRetention is how long a server's advisories are kept after the server has gone: its directory
// entry may lapse and return.
const entryRetention = time.Minute
