package serving

import (
	"time"

	"github.com/martenport/martenport/store"
)

// Server is a backend server as it announces itself.
type Server struct {
	ID, Service, Address string
	// Born is when its process started, in milliseconds of the Unix epoch; 0 if it does not
	// say. A process that starts again may bear the ID that the one before had.
	Born int64
	// Version of its software.
	Version string
	// Revision is the store's revision of this announcement.
	Revision      store.Revision
	FailureDomain string
	Slots         int
	// Draining servers get no new requests.
	Draining bool
	// Remaining is how long a server that was reclaimed at short notice still
	// runs; 0 when that is not known.
	Remaining time.Duration
	// Models maps each resident model to its resident adapters.
	Models map[string][]string
	// Tiers says where other weights are cached on the engine.
	Tiers map[string]Tier
}

// Before reports whether s is an earlier process than another that bears the same ID. It is
// not if either does not say when it was born.
func (s Server) Before(other Server) bool {
	return BornBefore(s.Born, other.Born)
}

// BornBefore reports whether a process that was born at a is earlier than one born at b.
func BornBefore(a, b int64) bool { return a != 0 && b != 0 && a < b }

// SameLife reports whether a process that was born then may be the server's.
func (s Server) SameLife(born int64) bool {
	return s.Born == 0 || born == 0 || s.Born == born
}

// Tier is where weights are cached, as seen from one engine.
type Tier int

// The tiers, from the slowest to load to the fastest.
const (
	TierRemote Tier = iota
	TierDisk
	TierMemory
)

// LoadTime is how long a load of the model takes from the tier.
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

// Unit names what a request needs on an engine: a model, or one of its
// adapters.
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
