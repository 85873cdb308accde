package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/tunnel"
)

// prefixMembers is the store's prefix of the instances' entries.
const prefixMembers = "members/"

// member is an instance's entry in the store.
type member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Domain is the instance's failure domain.
	Domain string `json:"domain"`
	// Cores is the processor time available to the instance, in cores.
	Cores float64 `json:"cores"`
	// Tunnels is where the instance provides tunnels; empty if it provides none.
	Tunnels string `json:"tunnels,omitempty"`
}

// members is the list of instances in the store. It is read only when needed, which is rare, since
// instances usually communicate with the holder only.
type members struct {
	store store.Store
	self  member
	log   logrus.FieldLogger
	// eraChanged is signaled when the store was restored from a copy.
	eraChanged chan struct{}

	mu     sync.Mutex
	known  []member  // guarded by mu
	readAt time.Time // guarded by mu
	// refreshing is set while the list is read in the background.
	refreshing atomic.Bool
	// version is the version of this instance's entry, 0 while there is none; guarded by mu.
	version store.Revision
}

// membersCacheTime is how long the list is cached. Instances join and leave within minutes.
const membersCacheTime = 10 * time.Second

// registerRetry is the pause before a failed registration is retried.
const registerRetry = time.Second

// registerJitter is the time over which instances spread their registrations after the store was
// restored from a copy.
const registerJitter = time.Second

// run registers this instance, once in each era of the store, since a restored copy may lack the
// entry.
func (m *members) run(ctx context.Context) {
	for {
		m.register(ctx)
		select {
		case <-ctx.Done():
			return
		case <-m.eraChanged:
		}
		pause.For(ctx, rand.N(registerJitter))
	}
}

// register writes this instance's entry, and retries until that has succeeded or ctx ends.
func (m *members) register(ctx context.Context) {
	version := store.Revision(0) // usually there is no entry yet
	for ctx.Err() == nil {
		written, err := store.WriteJSON(ctx, m.store, prefixMembers+m.self.Name, m.self, version)
		if err == nil {
			m.setRegistered(written)
			return
		}
		if errors.Is(err, store.ErrConflict) {
			var known member
			known, version, err = store.Read[member](ctx, m.store, prefixMembers+m.self.Name)
			if err == nil && known == m.self {
				m.setRegistered(version)
				return
			}
			if err == nil {
				continue
			}
		}
		if !errors.Is(err, store.ErrUnavailable) {
			m.log.WithField("error", err).Info("failed to register the instance")
		}
		pause.For(ctx, registerRetry)
	}
}

// setRegistered records the version of this instance's entry.
func (m *members) setRegistered(version store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = version
}

// unregister removes this instance's entry.
func (m *members) unregister(ctx context.Context) {
	m.mu.Lock()
	version := m.version
	m.mu.Unlock()
	if version == 0 {
		return
	}
	if err := m.store.Delete(ctx, prefixMembers+m.self.Name, version); err != nil {
		m.log.WithField("error", err).Info("failed to unregister the instance")
	}
}

// others returns the addresses of all other instances.
func (m *members) others(ctx context.Context) []string {
	return m.addressesOfOthers(m.list(ctx))
}

// lastKnown returns the addresses of all other instances as last read. It reads the list only if that
// has never been done, since it is also used while the store may be unavailable.
func (m *members) lastKnown(ctx context.Context) []string {
	m.mu.Lock()
	known := append([]member(nil), m.known...)
	m.mu.Unlock()
	if len(known) == 0 {
		known = m.list(ctx)
	}
	return m.addressesOfOthers(known)
}

// cached returns the list as last read. It refreshes the list in the background if it is old, and waits for it only if
// it has never been read.
func (m *members) cached(ctx context.Context) []member {
	m.mu.Lock()
	known, read, fresh := append([]member(nil), m.known...), !m.readAt.IsZero(), clock.Since(m.readAt) < membersCacheTime
	m.mu.Unlock()
	switch {
	case !read:
		known = m.list(ctx)
	case !fresh && m.refreshing.CompareAndSwap(false, true):
		go func() {
			defer m.refreshing.Store(false)
			m.list(context.WithoutCancel(ctx))
		}()
	}
	return known
}

// tunnelProviders returns the other instances that provide tunnels, as cached returns them.
func (m *members) tunnelProviders(ctx context.Context) []tunnel.Instance {
	var providers []tunnel.Instance
	for _, other := range m.cached(ctx) {
		if other.Name != m.self.Name && other.Tunnels != "" {
			providers = append(providers, tunnel.Instance{Name: other.Name, Address: other.Tunnels, Domain: other.Domain})
		}
	}
	return providers
}

func (m *members) addressesOfOthers(list []member) []string {
	var addresses []string
	for _, member := range list {
		if member.Name != m.self.Name {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// sample returns the addresses of up to n random instances of each failure domain, without those whose
// names are excluded.
func (m *members) sample(ctx context.Context, n int, excluded ...string) []string {
	list := m.list(ctx)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var addresses []string
	taken := map[string]int{}
	for _, member := range list {
		if taken[member.Domain] < n && !slices.Contains(excluded, member.Name) {
			taken[member.Domain]++
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// namesInDomain returns the names of the instances registered in a failure domain, as last read: nil
// if the list has never been read, and the names of all instances if the domain has none.
func (m *members) namesInDomain(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt.IsZero() {
		return nil
	}
	all, inDomain := []string{m.self.Name}, []string{}
	if m.self.Domain == domain {
		inDomain = append(inDomain, m.self.Name)
	}
	for _, other := range m.known {
		if other.Name == m.self.Name {
			continue
		}
		all = append(all, other.Name)
		if other.Domain == domain {
			inDomain = append(inDomain, other.Name)
		}
	}
	if len(inDomain) == 0 {
		return all
	}
	return inDomain
}

// ranked returns all instances in an order by a key, those in a failure domain before the others, as cached returns them.
func (m *members) ranked(ctx context.Context, key, domain string) []member {
	all := m.cached(ctx)
	if !slices.ContainsFunc(all, func(other member) bool { return other.Name == m.self.Name }) {
		all = append(all, m.self)
	}
	rendezvous.Rank(key, all, func(other member) string { return other.Name })
	inDomain := func(m member) int { // 0 sorts before 1
		if m.Domain == domain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(all, func(a, b member) int { return cmp.Compare(inDomain(a), inDomain(b)) })
	return all
}

// count returns the number of instances as last read, 1 if the list has never been read.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.known))
}

// hasInstanceIn reports whether an instance is registered in a failure domain, as last read.
func (m *members) hasInstanceIn(domain string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.Domain == domain || slices.ContainsFunc(m.known, func(other member) bool { return other.Domain == domain })
}

// takeoverDelay returns how long this instance should wait before it tries to take over the lease, so
// that instances with more processor time try first: 0 with the most processor time of all, spread with
// none.
func (m *members) takeoverDelay(ctx context.Context, spread time.Duration) time.Duration {
	strongest := m.self.Cores
	for _, other := range m.list(ctx) {
		strongest = max(strongest, other.Cores)
	}
	if strongest <= 0 {
		return 0
	}
	return time.Duration(float64(spread) * (1 - m.self.Cores/strongest))
}

// refreshNames reads the list again and returns the names of all instances. ok is false if the store
// does not answer.
func (m *members) refreshNames(ctx context.Context) (names []string, ok bool) {
	if !m.readList(ctx) {
		return nil, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.known {
		names = append(names, known.Name)
	}
	return names, true
}

func (m *members) list(ctx context.Context) []member {
	m.mu.Lock()
	fresh := clock.Since(m.readAt) < membersCacheTime
	known := append([]member(nil), m.known...)
	m.mu.Unlock()
	if fresh {
		return known
	}
	if !m.readList(store.WithStaleReads(ctx)) {
		return known
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]member(nil), m.known...)
}

// readList reads the list and reports whether the store answered.
func (m *members) readList(ctx context.Context) bool {
	snap, err := m.store.List(ctx, prefixMembers)
	if err != nil {
		return false
	}
	var list []member
	for _, obj := range snap.Objects {
		var entry member
		if err := json.Unmarshal(obj.Value, &entry); err != nil {
			m.log.WithFields(logrus.Fields{"key": obj.Key, "revision": obj.Version, "error": err}).Warn("instance entry cannot be decoded")
			continue
		}
		list = append(list, entry)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known, m.readAt = list, clock.Now()
	return true
}
