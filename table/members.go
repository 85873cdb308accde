package table

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// MemberState is the state of an instance.
type MemberState int

// States of an instance. Within one version of an entry, the later state wins.
const (
	Alive MemberState = iota + 1
	Leaving
	Dead
)

// String returns the name of the state, as shown in the status output.
func (s MemberState) String() string {
	return [...]string{"unknown", "alive", "leaving", "dead"}[s]
}

// Member is the entry of one instance.
type Member struct {
	Name          string      `json:"name"`
	FailureDomain string      `json:"failure_domain"`
	PeerAddress   string      `json:"peer_address"`
	State         MemberState `json:"state"`
	// Incarnation increases with each start of the instance, and Version with each change that the
	// instance makes to its own entry.
	Incarnation int64  `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Generation is the generation of the declaration in force on the instance.
	Generation int64 `json:"generation"`
}

// newer reports whether m is newer than o, an entry of the same instance.
func (m Member) newer(o Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.Version, o.Version),
		cmp.Compare(m.State, o.State),
	) > 0
}

// Members is the table of instances. It is safe for concurrent use.
type Members struct {
	log  *changeLog
	self string

	mu             sync.Mutex
	members        map[string]Member    // guarded by mu
	changeSequence map[string]uint64    // guarded by mu; sequence number of the last change, by name
	deadSince      map[string]time.Time // guarded by mu; when this instance learned that the instance is dead, by name
}

func newMembers(self Member, log *changeLog) *Members {
	m := &Members{log: log, self: self.Name, members: map[string]Member{}, changeSequence: map[string]uint64{}, deadSince: map[string]time.Time{}}
	self.State = Alive
	m.members[self.Name] = self
	m.changeSequence[self.Name] = log.advance()
	return m
}

// Self returns this instance's entry.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[m.self]
}

// UpdateSelf calls change on this instance's entry and increments the entry's version if it
// changed.
func (m *Members) UpdateSelf(change func(*Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.members[m.self]
	before := self
	change(&self)
	if self == before {
		return
	}
	self.Version++
	m.storeLocked(self)
}

// storeLocked stores the entry and assigns it a sequence number. m.mu must be held.
func (m *Members) storeLocked(e Member) {
	if e.State != Dead {
		delete(m.deadSince, e.Name)
	} else if _, known := m.deadSince[e.Name]; !known {
		m.deadSince[e.Name] = time.Now()
	}
	m.members[e.Name] = e
	m.changeSequence[e.Name] = m.log.advance()
}

// MemberChange is an entry before and after a merge.
type MemberChange struct {
	Before, After Member
}

// Merge merges entries received from a peer or the platform and returns those that changed. If an
// entry of this instance itself is newer than the known one, because it is marked dead or stems
// from an earlier start, Merge replaces it by the known state under a higher version and does not
// return it.
func (m *Members) Merge(entries []Member) []MemberChange {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []MemberChange
	for _, e := range entries {
		known, found := m.members[e.Name]
		if found && !e.newer(known) {
			continue
		}
		if e.Name == m.self {
			known.Incarnation = max(known.Incarnation, e.Incarnation)
			known.Version = max(known.Version, e.Version) + 1
			m.storeLocked(known)
			continue
		}
		m.storeLocked(e)
		out = append(out, MemberChange{Before: known, After: e})
	}
	return out
}

// MarkDead marks an instance that does not answer as dead. It reports whether the instance was
// alive or leaving before.
func (m *Members) MarkDead(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, found := m.members[name]
	if !found || e.State == Dead || name == m.self {
		return false
	}
	e.State = Dead
	m.storeLocked(e)
	return true
}

// ForgetDead removes the entries that have been dead for longer than maxAge and returns their
// names. Without it, 94 replacements a day under new names would fill the table.
func (m *Members) ForgetDead(maxAge time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, since := range m.deadSince {
		if time.Since(since) > maxAge {
			delete(m.members, name)
			delete(m.changeSequence, name)
			delete(m.deadSince, name)
			out = append(out, name)
		}
	}
	return out
}

// Get returns the entry of an instance and whether it is known.
func (m *Members) Get(name string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, found := m.members[name]
	return e, found
}

// All returns all entries, sorted by name.
func (m *Members) All() []Member {
	return m.filter(func(Member) bool { return true })
}

// Alive returns the instances that accept new work, sorted by name.
func (m *Members) Alive() []Member {
	return m.filter(func(e Member) bool { return e.State == Alive })
}

// AliveIn returns the instances of a failure domain that accept new work, sorted by name.
func (m *Members) AliveIn(domain string) []Member {
	return m.filter(func(e Member) bool { return e.FailureDomain == domain && e.State == Alive })
}

// HasAlive reports whether any instance of the failure domain accepts new work.
func (m *Members) HasAlive(domain string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.members {
		if e.FailureDomain == domain && e.State == Alive {
			return true
		}
	}
	return false
}

// Names returns the names of members.
func Names(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Name
	}
	return out
}

func (m *Members) filter(keep func(Member) bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, e := range m.members {
		if keep(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// changedSince returns the entries changed after sequence number n.
func (m *Members) changedSince(n uint64) []Member {
	return m.filter(func(e Member) bool { return m.changeSequence[e.Name] > n })
}
