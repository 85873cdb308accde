package serving

import (
	"time"

	"github.com/martenport/martenport/store"
)

// Server is a backend server as announced by itself.
type Server struct {
	ID, Service, Address string
	// Born is when the server's process started, in Unix milliseconds; 0 if it is not announced. A restarted process
	// may have the same ID as its predecessor.
	Born int64
	// Version is the version of the server's software.
	Version string
	// Revision is the store revision of this announcement.
	Revision      store.Revision
	FailureDomain string
	// Slots is the number of requests that the server runs concurrently; 0 if it is not announced.
	Slots int
	// Draining is set if the server should get no new requests.
	Draining bool
	// Remaining is how long a server that was reclaimed at short notice keeps running; 0 if that is not known.
	Remaining time.Duration
	// Models maps each resident model to its resident adapters.
	Models map[string][]string
	// Tiers states, for models that are not resident, from where the engine would load their weights.
	Tiers map[string]Tier
}

// IsEarlierProcess reports whether s is an earlier process than other, which has the same ID. It returns false
// if either start time is not known.
func (s Server) IsEarlierProcess(other Server) bool {
	return StartedBefore(s.Born, other.Born)
}

// StartedBefore reports whether start time a is earlier than b. It returns false if either is 0, which means not known.
func StartedBefore(a, b int64) bool { return a != 0 && b != 0 && a < b }

// MayBeSameProcess reports whether a process that started at born may be the process of s. It returns
// true if either start time is not known.
func (s Server) MayBeSameProcess(born int64) bool {
	return s.Born == 0 || born == 0 || s.Born == born
}

// Tier is the place from which an engine would load the weights of a model: the weight store (TierRemote), the engine's
// disk or its host memory.
type Tier int

// The tiers, from the slowest to the fastest to load from.
const (
	TierRemote Tier = iota
	TierDisk
	TierMemory
)

// LoadTime returns the duration of a load of the model from the tier. If none is configured for the tier, that of the next
// slower tier counts.
func (m Model) LoadTime(t Tier) time.Duration {
	switch {
	case t == TierMemory && m.MemoryLoad > 0:
		return m.MemoryLoad
	case t >= TierDisk && m.DiskLoad > 0:
		return m.DiskLoad
	default:
		return m.RemoteLoad
	}
}

// Unit is a model or one of its adapters, which a request needs on an engine.
type Unit struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// String returns MODEL or MODEL/ADAPTER.
func (u Unit) String() string {
	if u.Adapter == "" {
		return u.Model
	}
	return u.Model + "/" + u.Adapter
}
