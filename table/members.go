package table

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// MemberState is the state of an instance.
type MemberState int

// The states. Within one version of an entry the later state wins.
const (
	Alive MemberState = iota + 1
	Leaving
	Dead
)

// String returns the state's name as shown by status.
func (s MemberState) String() string {
	return [...]string{"unknown", "alive", "leaving", "dead"}[s]
}

// Member is one entry instance as known here.
type Member struct {
	Name          string      `json:"name"`
	FailureDomain string      `json:"failure_domain"`
	PeerAddress   string      `json:"peer_address"`
	State         MemberState `json:"state"`
	// Incarnation grows with each start of the instance, Version with each
	// change that the instance makes to its own entry.
	Incarnation int64  `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Generation of the declaration in force there.
	Generation int64 `json:"generation"`
}

// newer orders entries of one instance.
func (m Member) newer(o Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.Version, o.Version),
		cmp.Compare(m.State, o.State),
	) > 0
}

// Members is the table of instances.
type Members struct {
	log  *changeLog
	self string

	mu      sync.Mutex
	members map[string]Member    // guarded by mu
	changed map[string]uint64    // guarded by mu; change number by name
	died    map[string]time.Time // guarded by mu; when each dead entry came to be known as dead
}

func newMembers(self Member, log *changeLog) *Members {
	m := &Members{log: log, self: self.Name, members: map[string]Member{}, changed: map[string]uint64{}, died: map[string]time.Time{}}
	self.State = Alive
	m.members[self.Name] = self
	m.changed[self.Name] = log.next()
	return m
}

// Self returns this instance's entry.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[m.self]
}

// UpdateSelf changes this instance's entry and gives it a new version.
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
	m.store(self)
}

// store needs mu.
func (m *Members) store(e Member) {
	if e.State != Dead {
		delete(m.died, e.Name)
	} else if _, known := m.died[e.Name]; !known {
		m.died[e.Name] = time.Now()
	}
	m.members[e.Name] = e
	m.changed[e.Name] = m.log.next()
}

// MemberChange is one entry of the table before and after a merge.
type MemberChange struct {
	Before, After Member
}

// Merge takes in what a peer or the platform says and returns the entries
// that changed. Word that this instance is dead, or an entry of an earlier
// start that looks newer, is answered by a newer entry of its own.
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
			m.store(known)
			continue
		}
		m.store(e)
		out = append(out, MemberChange{Before: known, After: e})
	}
	return out
}

// MarkDead notes that the instance does not answer. It reports whether the
// instance was thought alive or leaving before.
func (m *Members) MarkDead(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, found := m.members[name]
	if !found || e.State == Dead || name == m.self {
		return false
	}
	e.State = Dead
	m.store(e)
	return true
}

// ForgetDead drops the entries that have been dead for longer than a time, and
// returns their names. Without it 94 replacements a day under new names would
// fill the table.
func (m *Members) ForgetDead(longer time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, since := range m.died {
		if time.Since(since) > longer {
			delete(m.members, name)
			delete(m.changed, name)
			delete(m.died, name)
			out = append(out, name)
		}
	}
	return out
}

// Get returns the entry of an instance.
func (m *Members) Get(name string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, found := m.members[name]
	return e, found
}

// All returns all entries by name.
func (m *Members) All() []Member {
	return m.selectBy(func(Member) bool { return true })
}

// Alive returns all instances that take new work.
func (m *Members) Alive() []Member {
	return m.selectBy(func(e Member) bool { return e.State == Alive })
}

// AliveIn returns the instances of a failure domain that take new work.
func (m *Members) AliveIn(domain string) []Member {
	return m.selectBy(func(e Member) bool { return e.FailureDomain == domain && e.State == Alive })
}

// Populated reports whether an instance of the failure domain takes new work.
func (m *Members) Populated(domain string) bool {
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

func (m *Members) selectBy(keep func(Member) bool) []Member {
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

// since returns the entries changed after number n.
func (m *Members) since(n uint64) []Member {
	return m.selectBy(func(e Member) bool { return m.changed[e.Name] > n })
}
