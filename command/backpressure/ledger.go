package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
)

// Ledger is what one instance knows of all servers. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries map[string]*entry // by server id; guarded by mu
	// change counts the changes of limits; guarded by mu.
	change uint64
}

// entry is what is known of one server.
type entry struct {
	limit Limit
	// known: something was said of a limit; change is the last change of it.
	known  bool
	change uint64
	// named is the rate that was last named, also after the server has ceased to.
	named float64
	// ended is when the answer was read after which it was not named any more.
	ended time.Time
	// lastAdvertised is when the request was sent whose answer others were last told of.
	lastAdvertised time.Time
	// retryAfter is until when the server wants nothing from this instance, asked by the process
	// born then.
	retryAfter time.Time
	born       int64
	// unreadable is what could last not be read.
	unreadable string
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*entry{}} }

// Change is what a word has changed.
type Change struct {
	// Limit: the limit is another, or there is none any more. RetryAfter: it asks for one, and was not
	// resting. Unreadable: something else cannot be read than before.
	Limit, RetryAfter, Unreadable bool
}

// Observe takes over what a server says.
func (l *Ledger) Observe(w serving.Advisory, now time.Time) (c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[w.Server]
	if e == nil {
		if !w.Limited && w.RetryAfter == 0 && w.Unreadable == "" {
			return c // most servers never say anything
		}
		e = l.add(w.Server)
	}
	if !w.LimitUnknown {
		c.Limit = l.updateLimit(e, limitOf(w))
		l.repeatEnd(e, limitOf(w), now)
	}
	c.RetryAfter = e.observeRetryAfter(w, now)
	if w.Unreadable != "" && w.Unreadable != e.unreadable {
		c.Unreadable, e.unreadable = true, w.Unreadable
	}
	return c
}

// l.mu must be held.
func (l *Ledger) add(server string) *entry {
	e := &entry{}
	l.entries[server] = e
	return e
}

// updateLimit takes a limit over unless a newer one is known, and reports whether that changes
// anything. l.mu must be held.
func (l *Ledger) updateLimit(e *entry, limit Limit) bool {
	if !e.known && !limit.Named {
		return false
	}
	if e.known && e.limit.sameWord(limit) {
		if limit.Heard.After(e.limit.Heard) {
			e.limit.Sent, e.limit.Heard = limit.Sent, limit.Heard
		}
		return false
	}
	if e.known && !limit.replaces(e.limit) {
		return false
	}
	if e.limit.Named && !limit.Named {
		e.ended = limit.Heard
	}
	e.limit, e.known = limit, true
	if limit.Named {
		e.named = limit.Rate
	}
	l.markChanged(e)
	return true
}

// markChanged has others be told of a server's limit. l.mu must be held.
func (l *Ledger) markChanged(e *entry) {
	l.change++
	e.change, e.lastAdvertised = l.change, e.limit.Sent
}

// repeatEvery is how often others are told again that a server names no limit any more.
const repeatEvery = time.Second

// repeatEnd has others be told again for a while that a limit is over, by newer answers: they may
// have heard of it so late that they could not tell which word was the newer one. l.mu must be
// held.
func (l *Ledger) repeatEnd(e *entry, limit Limit, now time.Time) {
	if !e.known || e.limit.Named || limit.Named || limit.Sent.Sub(e.lastAdvertised) < repeatEvery {
		return
	}
	if _, accounted := e.account(now); accounted {
		l.markChanged(e)
	}
}

// observeRetryAfter notes until when the server wants nothing. Of several such times the last one
// counts: a server that asks for a shorter one later has
// not taken the longer one back. The ledger's mu must be held.
func (e *entry) observeRetryAfter(w serving.Advisory, now time.Time) bool {
	if serving.BornBefore(e.born, w.Born) {
		e.retryAfter = time.Time{}
	}
	until := w.Heard.Add(w.RetryAfter)
	if w.RetryAfter == 0 || serving.BornBefore(w.Born, e.born) || !until.After(e.retryAfter) || !until.After(now) {
		return false
	}
	resting := e.retryAfter.After(now)
	e.retryAfter, e.born = until, w.Born
	return !resting
}

// Limit returns how many requests a second a server takes; limited is false if it does not say.
func (l *Ledger) Limit(s serving.Server) (rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[s.ID]
	if e == nil || !e.known || !e.limit.Named || !s.SameLife(e.limit.Born) {
		return 0, false
	}
	return e.limit.Rate, true
}

// accountFor is how long the account of what a server got goes on after it has ceased to name a
// limit: if it names one again, it must not begin with all that may be saved up. It is longer
// than a limit's window.
const accountFor = 10 * time.Second

// Account returns the rate by which it is accounted what the server with an id gets: that of its
// limit, or for accountFor of the one that it has ceased to name. ok is false if there is none.
func (l *Ledger) Account(id string, now time.Time) (rate float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return 0, false
	}
	return e.account(now)
}

// The ledger's mu must be held.
func (e *entry) account(now time.Time) (rate float64, ok bool) {
	if !e.known || !e.limit.Named && now.Sub(e.ended) > accountFor {
		return 0, false
	}
	return e.named, true
}

// RetryAfterUntil returns until when a server wants nothing from this instance; the zero time if it
// has not asked for a rest.
func (l *Ledger) RetryAfterUntil(s serving.Server) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[s.ID]
	if e == nil || !s.SameLife(e.born) {
		return time.Time{}
	}
	return e.retryAfter
}

// Snapshot returns what is known of a server's limit, to tell another instance; known is false if
// nothing is.
func (l *Ledger) Snapshot(id string, now time.Time) (told Snapshot, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || !e.known {
		return Snapshot{}, false
	}
	return e.limit.snapshot(now), true
}

// Since returns the limits that changed after a change, and the change up to which they go.
func (l *Ledger) Since(change uint64, now time.Time) (list []Snapshot, upTo uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change == l.change {
		return nil, l.change
	}
	for _, e := range l.entries {
		if e.known && e.change > change {
			list = append(list, e.limit.snapshot(now))
		}
	}
	slices.SortFunc(list, func(a, b Snapshot) int { return cmp.Compare(a.Server, b.Server) })
	return list, l.change
}

// Take takes over what another instance tells, and returns what that changes.
func (l *Ledger) Take(list []Snapshot, now time.Time) (changed []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range list {
		e := l.entries[t.Server]
		if e == nil {
			if !t.Named {
				continue
			}
			e = l.add(t.Server)
		}
		limit := t.limit(now)
		if l.updateLimit(e, limit) {
			changed = append(changed, limit)
		}
		l.repeatEnd(e, limit, now) // who was told in turn may have doubted it, too
	}
	return changed
}

// Count returns how many servers name a limit, and how many want nothing from this instance.
func (l *Ledger) Count(now time.Time) (limited, resting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.known && e.limit.Named {
			limited++
		}
		if e.retryAfter.After(now) {
			resting++
		}
	}
	return limited, resting
}

// Sweep forgets servers that are not known any more, once their last word is old.
func (l *Ledger) Sweep(known func(id string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.entries, func(id string, e *entry) bool {
		old := now.Sub(e.limit.Heard) > forgetAfter && now.Sub(e.retryAfter) > forgetAfter
		return old && !known(id)
	})
}

// forgetAfter is how long what a server said is kept after it is gone: its entry may lapse and
// be back.
const forgetAfter = time.Minute
